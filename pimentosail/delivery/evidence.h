// Judges from the answers of all hosts whether the new version of a delivery is bad.
//
//     EvidenceWindows windows("chat", "v2");
//     windows.record(table.totals(), now);                      // several times a second
//     Evidence evidence = windows.judge(DeliveryPhase::Watching);
//     if (evidence.verdict == EvidenceVerdict::Bad) { send nothing to v2 }
//
// Compared are the shares of failures and of slow answers of the new version and of the old ones on each route, over the same periods: the last
// seconds, so that a version that turns bad late is found, and the whole time since the order. What fails or is slow on both is no evidence.
// A version is bad if its old versions' share would explain its count with a probability of at most `BadProbability`, and its share exceeds
// theirs by a margin. Once a version was found bad, it remains so.
//
// `EvidenceWindows` is not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/delivery/deliverystate.h"
#include "pimentosail/delivery/versionoutcomes.h"

namespace pimentosail
{

enum class EvidenceVerdict {
    // Enough answers, and they are like those of the old versions.
    Good,
    // Clearly worse than the old versions. Final for this order.
    Bad,
    // Too few answers to tell.
    TooFew,
};

// Returns the name of the verdict, as it stands in logs and metrics.
std::string_view evidenceVerdictName(EvidenceVerdict verdict);

struct Evidence
{
    EvidenceVerdict verdict = EvidenceVerdict::TooFew;
    // Some route is likely bad, but not as clearly as for `Bad`. Such a version is neither switched to nor completed.
    bool isSuspicious = false;
    // There are failures or slow answers that the old versions do not have. With the verdict `TooFew`, such a version is not completed.
    bool hasBadAnswers = false;
    // What the verdict rests on, with the route and the figures.
    std::string reason;
    EvidenceSummary summary;
};

// Answers of the new and of the old versions on one route over the same period.
struct RouteOutcomes
{
    OutcomeCounts newVersion;
    OutcomeCounts oldVersions;
};

// How much larger than the old versions' share a share must be at least.
struct EvidenceMargins
{
    double failures = 0.02;
    double slow = 0.05;
    double verySlow = 0.05;
};

// Judges the answers of one period, by route.
Evidence judgeOutcomes(const std::map<std::string, RouteOutcomes> &routes, const EvidenceMargins &margins);

class EvidenceWindows
{
public:
    EvidenceWindows(std::string serviceName, std::string newVersionName);

    // Takes the sums of all hosts at `now`; rows of other services are passed over.
    void record(const std::vector<OutcomeRow> &totals, Time now);

    // Judges what was recorded. `phase` is the delivery's current phase: in `Switching`, when hardly any answers of old versions arrive, the new one is
    // compared with their answers before the switch.
    Evidence judge(DeliveryPhase phase);

private:
    using Routes = std::map<std::string, RouteOutcomes>;
    struct Snapshot
    {
        Time at{};
        Routes routes;
    };

    // Returns the counts at the start of the `window` before the last ones, or nullptr.
    const Snapshot *startOf(Duration window) const;
    // Returns the answers in the `window`.
    Routes since(Duration window) const;
    // The same without those before the end of the warm-up; all after it if `window` is zero.
    Routes sinceWarmUp(Duration window) const;
    void enterSwitch();

    std::string service;
    std::string newVersion;
    Snapshot latest;
    // Those of the last seconds.
    std::deque<Snapshot> snapshots;
    // End of the warm-up of the new targets, and the counts at that time.
    std::optional<Time> warmAt;
    std::optional<Snapshot> warm;
    // The answers of the last seconds before the switch.
    std::optional<Routes> beforeSwitch;
    // The answers before the switch that slow ones are compared with.
    Routes warmBeforeSwitch;
    // While it was watched, the new version was not slow.
    bool wasFastWhileWatched = false;
    std::string badReason;
};

} // namespace pimentosail
