// The load of the other hosts at each target, which they report several times a second. Requests are placed by it, so a
// lost or late report may delay a request but does no other harm.
//
//     table.recordReport("front-2", loads, now);
//     TargetLoad others = table.loadOfOthers("i-7f3a", now);
//
// Thread-safe.
#pragma once

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
    int requests = 0;
    // Prompt tokens that are not prefilled yet.
    int64_t pendingTokens = 0;
    // The same tokens of late requests, which are expected to miss the target latency of their route and run at a lower
    // priority than all others; not part of `pendingTokens`.
    int64_t lateTokens = 0;
    // Prompt and answer tokens of the requests in flight, as a measure of the cache memory that they occupy.
    int64_t heldTokens = 0;
};

class LoadTable
{
public:
    // Replaces the last report of `host`.
    void recordReport(const std::string &host, std::vector<TargetLoad> loads, Time now);

    // Records the summed load of all other hosts that a relay has sent. While it is recent, it takes precedence over the
    // reports of single hosts.
    void recordTotals(std::vector<TargetLoad> loads, Time now);

    // Returns the load of all other hosts at `target`. Reports that are too old are not counted.
    TargetLoad loadOfOthers(const std::string &target, Time now) const;

    // Returns, for every target with requests, the sum of `own` and the reports of all hosts except `host`.
    std::vector<TargetLoad> totalsWithout(const std::string &host, const std::vector<TargetLoad> &own, Time now) const;

    // Returns the time at which totals of a relay were last received, or zero.
    Time lastTotalsAt() const;

private:
    using Loads = std::map<std::string, TargetLoad>;
    struct Report
    {
        Time at{};
        Loads loads;
    };

    const Loads &sums(Time now) const;

    mutable std::mutex mutex;
    std::map<std::string, Report> reports;
    // The last totals of a relay.
    Loads relayTotals;
    Time relayTotalsAt{};
    // Sums of the reports, cached until a report arrives or may have become too old.
    mutable Loads cachedSums;
    mutable Time sumsComputedAt{};
    mutable bool isChanged = true;
};

} // namespace pimentosail
