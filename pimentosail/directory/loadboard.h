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
};

class LoadBoard
{
public:
    // Takes the report of `host` in place of its earlier one.
    void note(const std::string &host, std::vector<TargetLoad> loads, Time now);

    // Returns the load of all other hosts at `target`, by reports that are not too old.
    TargetLoad others(const std::string &target, Time now) const;

private:
    struct Report
    {
        Time at{};
        std::map<std::string, TargetLoad> loads;
    };

    mutable std::mutex mutex;
    std::map<std::string, Report> reports;
};

} // namespace pimentosail
