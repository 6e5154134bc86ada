// The load that other hosts have at each target, as they report it several times a second. Used to place work; a lost
// or late report costs time only.
//
//     board.note("front-2", loads, now);
//     TargetLoad others = board.others("i-7f3a", now);
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

// Requests in flight and prompt tokens still to be read, of one host at one target.
struct TargetLoad
{
    std::string target;
    int requests = 0;
    int64_t pendingTokens = 0;
    // Of requests that yield to all others.
    int64_t lateTokens = 0;
    // Memory that the runs need, in tokens.
    int64_t heldTokens = 0;
};

class LoadBoard
{
public:
    // Takes the report of `host` in place of its earlier one.
    void note(const std::string &host, std::vector<TargetLoad> loads, Time now);

    // Takes the load of all other hosts as a relay has summed it up. It goes before the reports of single hosts.
    void noteTotals(std::vector<TargetLoad> loads, Time now);

    // Returns the load of all other hosts at `target`, by reports that are not too old.
    TargetLoad others(const std::string &target, Time now) const;

    // Returns `own` and the load of all reporting hosts but `host`, at every target that has any.
    std::vector<TargetLoad> totalsWithout(const std::string &host, const std::vector<TargetLoad> &own, Time now) const;

    // Returns when the last totals of a relay came.
    Time totalsAt() const;

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
    Loads relayed;
    Time relayedAt{};
    // Sums of the reports, made anew after a change or when reports may have become too old.
    mutable Loads summed;
    mutable Time summedAt{};
    mutable bool isChanged = true;
};

} // namespace pimentosail
