// A `PrefixStore` in memory for tests that can simulate faults of a real store: an outage, lost answers, a compacted
// history, and leases that end.
//
//     MemoryPrefixStore memory(clock);
//     PrefixStore store = memory.asPrefixStore();
//     memory.setDown(true);   // every call throws
//
// Leases end by the given clock. They are checked in each call, and repeatedly while a watch waits.
//
// Thread-safe. Must outlive the values that `asPrefixStore` returns.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>

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

    // While set, every call throws.
    void setDown(bool isDown);

    // Drops the history of changes, so that watches from earlier revisions report `isCompacted`.
    void compact();

    // Makes the next `count` commits take effect and then throw.
    void loseNextAnswers(int count);

    // Ends a lease now.
    void expireLease(int64_t lease);

    // Returns the value of `key`, or an empty string if the key is absent.
    std::string value(const std::string &key) const;
    // Returns the number of calls of `commit` so far.
    long commits() const;

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

    void throwIfDown() const;
    void endExpiredLeases();
    void revokeLease(int64_t lease);
    void write(const std::string &key, const std::string &value, int64_t lease);
    void erase(const std::string &key);
    StoreListing list(const std::string &prefix);
    StoreChanges watch(const std::string &prefix, int64_t afterRevision, Duration wait);
    CommitOutcome commit(const StoreTransaction &transaction);

    Clock &clock;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Entry> entries;
    std::map<int64_t, Lease> leases;
    std::vector<StoreChange> history;
    int64_t revision = 1;
    int64_t compactedAt = 0;
    int64_t nextLease = 1;
    long commitCount = 0;
    int answersLeftToLose = 0;
    bool down = false;
};

} // namespace pimentosail
