// A `PrefixStore` in memory for tests, with the faults of a real one.
//
//     MemoryPrefixStore memory(clock);
//     PrefixStore store = memory.port();
//     memory.setDown(true);   // every call throws
//
// Leases end on the runtime's clock, looked at with each call and a few times in each watch.
//
// Thread-safe. Must outlive its ports.
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

    PrefixStore port();

    // Writes as an operator or a target would.
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    // Makes every call fail until it is set back.
    void setDown(bool isDown);

    // Drops the history, so that watches from earlier revisions have to list again.
    void compact();

    // The next `count` commits take effect and then throw.
    void loseNextAnswers(int count);

    // Ends a lease now.
    void expire(int64_t lease);

    std::string value(const std::string &key) const;
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
        Duration life{};
        // Zero: the lease has ended.
        Time end{};
    };

    void checkUp() const;
    // Ends the leases that were not renewed in time.
    void endDueLeases();
    void endLease(int64_t lease);
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
    int answersToLose = 0;
    bool down = false;
};

} // namespace pimentosail
