// Requests that were in flight on a target when it died. One death makes a request a suspect, which does not share a
// target with other suspects. A second death, of another target or of a later run of the same one, quarantines the
// request on every host.
//
//     if (suspects.record(fingerprint, deadTargetBoot, now)) { broadcast(fingerprint, deadTargetBoot); }
//     int deaths = suspects.deaths(fingerprint, now);
//
// Thread-safe. Bounded: keeps 4096 requests and drops the one with the oldest death first; an entry expires 30 minutes
// after its last death.
#pragma once

#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

// Number of deaths that quarantines a request.
constexpr int QuarantineDeaths = 2;

class SuspectTable
{
public:
    // Records that the run `deadBoot` of a target (its name and boot id) died while it ran a request. Returns true if this
    // run was not yet recorded for the request.
    bool record(uint64_t fingerprint, const std::string &deadBoot, Time now);

    // Returns how many runs of targets died while they ran a request; 0 once the entry has expired.
    int deaths(uint64_t fingerprint, Time now);

    // Returns the number of recorded requests.
    size_t size();

private:
    struct Entry
    {
        std::set<std::string> deadBoots;
        Time lastDeath{};
    };

    std::mutex mutex;
    std::unordered_map<uint64_t, Entry> entries;
};

} // namespace pimentosail
