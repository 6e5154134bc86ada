// Requests that end the targets which run them. The same request may come again through any host, so each host
// publishes what it saw and merges what others did.
//
//     quarantine.noteLost(fingerprint, targetIncarnation);
//     if (quarantine.isBlocked(fingerprint)) { refuse }
//
// A lost connection alone is no proof: it counts once the target is seen to have ended. Thread-safe.
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

    // Records that the connection to `incarnation` broke while it ran the request. Returns true if that is new.
    bool noteLost(uint64_t fingerprint, const std::string &incarnation);

    // Merges what another host published.
    void merge(const std::vector<std::pair<uint64_t, std::string>> &losses);

    // Returns the number of incarnations that broke off while they ran the request.
    size_t losses(uint64_t fingerprint) const;

    // Returns true if the request must not run again.
    bool isBlocked(uint64_t fingerprint) const;

    // Returns this host's own observations, for publishing.
    std::vector<std::pair<uint64_t, std::string>> own() const;

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
    std::vector<OwnLoss> ownLosses;
};

} // namespace pimentosail
