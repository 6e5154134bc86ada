// Blocks requests that repeatedly crash the targets which run them. A caller may send the same request again through any
// host, so each host publishes its observations and merges those of the others.
//
//     quarantine.recordLoss(fingerprint, targetIncarnation);
//     if (quarantine.isBlocked(fingerprint)) { refuse }
//
// A lost connection alone is no evidence against a request: call `recordLoss` only after the target is found to be
// unreachable. An incarnation is one run of a target process, from its start to its end.
//
// Thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

class Quarantine
{
public:
    explicit Quarantine(const Clock &runtimeClock)
        : clock(runtimeClock)
    {
    }

    // Records that `incarnation` ended while it ran the request. Returns true if this was not recorded before.
    bool recordLoss(uint64_t fingerprint, const std::string &incarnation);

    // Adds the observations that another host published.
    void merge(const std::vector<std::pair<uint64_t, std::string>> &losses);

    // Returns the number of incarnations that ended while they ran the request.
    size_t lossCount(uint64_t fingerprint) const;

    // Returns true if the request must not run again, because too many incarnations ended while they ran it.
    bool isBlocked(uint64_t fingerprint) const;

    // Returns the recent observations of this host, for publishing.
    std::vector<std::pair<uint64_t, std::string>> ownLosses() const;

    // Increases with each change of `ownLosses`, whose size stays the same once it is full.
    uint64_t changeCount() const;

private:
    struct Entry
    {
        std::set<std::string> incarnations;
        Time last{};
    };
    struct OwnLoss
    {
        uint64_t fingerprint = 0;
        std::string incarnation;
        Time at{};
    };

    bool add(uint64_t fingerprint, const std::string &incarnation, Time now);

    const Clock &clock;
    mutable std::mutex mutex;
    std::map<uint64_t, Entry> entries;
    std::vector<OwnLoss> recentOwnLosses;
    uint64_t changes = 0;
};

} // namespace pimentosail
