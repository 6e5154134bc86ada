// Blocks requests that repeatedly crash the targets which run them. A caller may send the same request again through any
// host, so each host publishes its observations and merges those of the others.
//
//     quarantine.recordLoss(fingerprint, targetIncarnation);
//     quarantine.recordAnswer(fingerprint);   // a target ran the request to a good end
//     if (quarantine.isBlocked(fingerprint)) { refuse }
//
// A lost connection alone is no evidence against a request: call `recordLoss` only after the target is found to be
// unreachable. An incarnation is one run of a target process, from its start to its end.
//
// A request that ends targets ends each that runs it. So one that was ever run to a good end is sound: the targets that ended under it
// had other reasons. It is never blocked, on any host. Without an answer, losses do not expire.
//
// Thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <unordered_set>
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

    // Records that a target ran the request to a good end.
    void recordAnswer(uint64_t fingerprint);

    // Adds the observations that another host published, or this one before it was restarted.
    void merge(const std::vector<std::pair<uint64_t, std::string>> &losses, const std::vector<uint64_t> &sound);

    // Returns the number of incarnations that ended while they ran the request.
    size_t lossCount(uint64_t fingerprint) const;

    // Returns true if the request must not run again, because too many incarnations ended while they ran it.
    bool isBlocked(uint64_t fingerprint) const;

    // Returns the recent observations of this host, for publishing.
    std::vector<std::pair<uint64_t, std::string>> ownLosses() const;

    // Returns the sound requests that this host found near to being blocked, for publishing.
    std::vector<uint64_t> soundRequests() const;

    // Increases with each change of `ownLosses`, whose size stays the same once it is full, and with `soundRequests`.
    uint64_t changeCount() const;

private:
    struct Entry
    {
        std::set<std::string> incarnations;
        Time last{};
        bool isSound = false;
        bool isPublished = false;
    };
    struct OwnLoss
    {
        uint64_t fingerprint = 0;
        std::string incarnation;
        Time at{};
    };

    // Returns true if the loss was not known.
    bool addLoss(uint64_t fingerprint, const std::string &incarnation, Time now);
    Entry &entryOf(uint64_t fingerprint, Time now);
    void markSound(uint64_t fingerprint, Entry &entry);
    bool isAnswered(uint64_t fingerprint) const;

    const Clock &clock;
    mutable std::mutex mutex;
    std::map<uint64_t, Entry> entries;
    std::vector<OwnLoss> recentOwnLosses;
    // Sound requests that this host publishes, oldest first.
    std::vector<uint64_t> publishedSound;
    // Requests that were answered on this host. When `recentAnswered` is full, it replaces `olderAnswered`.
    std::unordered_set<uint64_t> recentAnswered;
    std::unordered_set<uint64_t> olderAnswered;
    uint64_t changes = 0;
};

} // namespace pimentosail
