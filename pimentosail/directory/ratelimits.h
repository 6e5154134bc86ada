// The request rates that targets in need have named in their answers. A target names the requests a second that it takes from
// all hosts together, and stops doing so when it takes any number again.
//
// A host learns of a limit by an answer that it receives, and from the reports of the hosts that do. The newest observation of
// a target holds. A limit ends with the incarnation that named it, and `Memory` after it was last observed.
//
//     table.recordAnswer({"i-7f3a", 1700000000000, 12.5, clock.now()});
//     std::optional<double> limit = table.limitOf("i-7f3a", 1700000000000, clock.now());
//
// All times are those of the runtime clock of this host: reports carry ages. Thread-safe.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

// What a host saw in an answer of one incarnation of a target.
struct RateLimitObservation
{
    std::string target;
    // Start of the incarnation in Unix ms, as in `TargetState`.
    int64_t startedAt = 0;
    // Nothing if the answer named no limit.
    std::optional<double> requestsPerSecond;
    Time observedAt{};
};

class RateLimitTable
{
public:
    // Long enough that a target with a very low limit, which is seldom asked, is not forgotten between two answers.
    static constexpr Duration Memory = std::chrono::seconds(60);

    // Records an answer that this host received. Returns true if the limit that holds has changed. An answer without a limit is
    // recorded only for a target that had one.
    bool recordAnswer(const RateLimitObservation &observation);

    // Records an observation of another host. Returns true if the limit that holds has changed.
    bool recordReport(const RateLimitObservation &observation);

    // Returns the limit of the target's incarnation, if one holds.
    std::optional<double> limitOf(const std::string &target, int64_t startedAt, Time now) const;

    // Returns the last observation of this host for each target, if it was made at `since` or later.
    std::vector<RateLimitObservation> ownObservations(Time since) const;

    // Returns the newest observation of any host for each target, if it is not older than `Memory`.
    std::vector<RateLimitObservation> newestObservations(Time now) const;

    // Returns true if there may be a limit.
    bool hasObservations() const
    {
        return this->count.load() > 0;
    }

    // Counts the changes of limits that hold, so that a duty sees that there is something to report.
    uint64_t changeCount() const
    {
        return this->changes.load();
    }

private:
    struct Entry
    {
        RateLimitObservation newest;
        // The last observation of this host; `observedAt` is zero if there was none.
        RateLimitObservation own;
    };

    // Called with `mutex` locked.
    bool recordNewestLocked(Entry &entry, const RateLimitObservation &observation);
    void forgetOldLocked(Time now);

    mutable std::mutex mutex;
    std::map<std::string, Entry> entries;
    // Size of `entries`, so that hosts without limits to keep take no lock.
    std::atomic<size_t> count{0};
    std::atomic<uint64_t> changes{0};
};

} // namespace pimentosail
