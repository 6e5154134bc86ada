// The load of the other hosts at each target, which hosts report several times a second. Requests are placed by it, so a
// lost or late report may delay a request but does no other harm.
//
// Without relays, every host reports to every other host (`LoadSource::Direct`). With relays, a host reports to the relay that it
// follows (`Follower`), each relay sends the sum of its group to the other relays (`Group`), and the total of all groups to its
// followers.
//
//     table.record(LoadSource::Direct, "front-2", {processId, 17}, loads, now);
//     TargetLoad others = table.loadOfOthers("i-7f3a", now);
//
// Thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

// The load of one host, or of several, at one target.
struct TargetLoad
{
    std::string target;
    // Requests in flight.
    int64_t requests = 0;
    // Prompt tokens that are not prefilled yet.
    int64_t pendingTokens = 0;
    // The same tokens of late requests, which are expected to miss the target latency of their route and run at a lower
    // priority than all others; not part of `pendingTokens`.
    int64_t lateTokens = 0;
    // Prompt and answer tokens of the requests in flight, as a measure of the cache memory that they occupy.
    int64_t heldTokens = 0;
};

// What the load in a report covers.
enum class LoadSource {
    // One host, which reports to every host or to every relay.
    Direct,
    // One host that follows this relay.
    Follower,
    // Another relay and its followers.
    Group,
};

// Identifies a report: the process that sent it, and its number there. Both 0 if the sender does not number its reports.
struct ReportNumber
{
    uint64_t process = 0;
    uint64_t sequence = 0;

    bool operator==(const ReportNumber &other) const = default;
};

class LoadTable
{
public:
    // Replaces the last report of `sender`. Returns false and changes nothing if a later report of the same process was recorded
    // already.
    bool record(LoadSource source, const std::string &sender, const ReportNumber &number, std::vector<TargetLoad> loads, Time now);

    // Returns the number of the last recorded report of `sender`, or {0, 0} if none is recent.
    ReportNumber lastReport(const std::string &sender, Time now) const;

    // Records the total load of all hosts that a relay has sent, of which `ownIncluded` is this host's part. While it is recent, it
    // takes precedence over the reports.
    void recordTotals(std::vector<TargetLoad> totals, const std::vector<TargetLoad> &ownIncluded, Time now);

    // Returns the load of all other hosts at `target`. Reports that are too old are not counted.
    TargetLoad loadOfOthers(const std::string &target, Time now) const;

    // Return, for every target with requests and ordered by target: the sum of `own` and the followers' reports, which the other
    // relays need, and the sum of `own` and all reports.
    std::vector<TargetLoad> groupLoad(const std::vector<TargetLoad> &own, Time now) const;
    std::vector<TargetLoad> totalLoad(const std::vector<TargetLoad> &own, Time now) const;

private:
    using Sums = std::map<std::string, TargetLoad>;
    struct Report
    {
        LoadSource source = LoadSource::Direct;
        ReportNumber number;
        Time at{};
        std::vector<TargetLoad> loads;
    };

    // Called with `mutex` locked.
    void addLocked(const Report &report, int sign) const;
    void dropOldLocked(Time now) const;

    mutable std::mutex mutex;
    // By sender.
    mutable std::map<std::string, Report> reports;
    // Sums of the followers' reports and of all reports, updated with each report.
    mutable Sums followerSums;
    mutable Sums allSums;
    mutable Time nextDrop{};
    // The last totals of a relay without this host's part, ordered by target.
    std::vector<TargetLoad> relayTotals;
    Time relayTotalsAt{};
};

} // namespace pimentosail
