// A `PrefixStore` in memory for tests that can simulate faults of a real store: an outage, lost answers, a compacted
// history, leases that end, and a return from an older copy.
//
//     MemoryPrefixStore memory(clock);
//     PrefixStore store = memory.asPrefixStore();
//     memory.setDown(true);   // simulates an outage
//
// Leases end by the given clock. Listings, commits and renewals check them, and so does a watch repeatedly while it waits.
//
// Thread-safe. Must outlive the values that `asPrefixStore` returns.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>

#include "pimentosail/kv/prefixstore.h"

namespace pimentosail
{

class MemoryPrefixStore
{
public:
    explicit MemoryPrefixStore(Clock &runtimeClock)
        : clock(runtimeClock)
    {
    }

    // Returns the interface to this store.
    PrefixStore asPrefixStore();

    // Writes or removes a key without conditions, as a write by another process.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    // While set, every call of the interface except `revokeLease` throws. Leases go on.
    void setDown(bool isDown);

    // The same, but leases are suspended until `setDown(false)`.
    void setDownWithLeases();

    // Drops the history of changes, so that watches from earlier revisions report `isCompacted`.
    void compact();

    // Makes the next `count` commits take effect and then throw.
    void loseNextAnswers(int count);

    // Ends a lease of the present era now.
    void expireLease(int64_t lease);

private:
    struct Entry
    {
        std::string value;
        int64_t revision = 0;
        int64_t lease = 0;
    };

    struct Lease
    {
        Duration ttl{};
        // Zero: the lease has ended.
        Time end{};
    };

public:
    // What a store loses or gets back when it is restored.
    struct Copy
    {
        std::map<std::string, Entry> entries;
        std::map<int64_t, Lease> leases;
        std::vector<StoreChange> history;
        int64_t revision = 1;
        int64_t compactedAt = 0;
        int64_t nextLease = 1;
    };

    // Returns a copy of the present contents.
    Copy copy();

    // Returns the era of the store, which begins with 0.
    int64_t currentEra() const;

    // Replaces the contents by `older` and begins the next era. Revisions and lease ids after the copy are given out again. The leases of the
    // copy run anew.
    void restore(const Copy &older);

    // Returns the value of `key`, or an empty string if the key is absent.
    std::string value(const std::string &key) const;
    // Returns the number of calls of `commit` so far.
    long commits() const;

private:
    void throwIfDown() const;
    void endExpiredLeases();
    bool isAlive(const StoreLease &lease) const;
    void revokeLease(int64_t lease);
    void write(const std::string &key, const std::string &value, int64_t lease);
    void erase(const std::string &key);
    StoreListing list(const std::string &prefix);
    StoreChanges watch(const std::string &prefix, int64_t afterRevision, Duration wait);
    CommitOutcome commit(const StoreTransaction &transaction);

    Clock &clock;
    mutable std::mutex mutex;
    std::condition_variable changed;
    Copy state;
    int64_t era = 0;
    long commitCount = 0;
    int answersLeftToLose = 0;
    bool down = false;
    // Since when leases are suspended; a time of `Clock::nowWithSuspend`.
    std::optional<Time> leasesSuspendedSince;
};

} // namespace pimentosail
