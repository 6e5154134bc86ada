// Requests that were in flight on a target when it died. One death makes a request a suspect, which runs apart from
// other suspects; a second death on another target quarantines it on every host.
//
//     if (suspects.record(fingerprint, deadTargetBoot, now)) { broadcast(fingerprint, deadTargetBoot); }
//     int deaths = suspects.deaths(fingerprint, now);
//
// Thread-safe. Bounded: the oldest entries are forgotten.
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
    // Records that the run `deadBoot` of a target died under a request. Returns true if that is new.
    bool record(uint64_t fingerprint, const std::string &deadBoot, Time now);

    // Returns how many targets are known to have died under a request lately.
    int deaths(uint64_t fingerprint, Time now);

    // Returns the number of requests known.
    size_t size();

private:
    struct Entry
    {
        std::set<std::string> boots;
        Time last{};
    };

    std::mutex mutex;
    std::unordered_map<uint64_t, Entry> entries;
};

} // namespace pimentosail
