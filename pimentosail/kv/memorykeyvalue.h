// A key-value store in memory with the faults of the real service: outage, slowness and lost answers. Used by
// tests and by the stand-in server.
//
//     auto memory = std::make_shared<MemoryKeyValue>(clock);
//     memory->setDown(true);         // every call throws
//     memory->loseNextAnswers(1);    // the next write takes effect and then throws
//
// Thread-safe.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

#include "pimentosail/kv/keyvaluestore.h"

namespace pimentosail
{

// Calls served, by kind. A waiting watch counts as one read.
struct KeyValueCounts
{
    long reads = 0;
    long writes = 0;
    long watches = 0;
};

class MemoryKeyValue
{
public:
    explicit MemoryKeyValue(Clock &runtimeClock)
        : clock(runtimeClock)
    {
    }

    // The operations of `KeyValueStore`.
    std::optional<KeyValue> get(const std::string &key);
    std::vector<KeyValue> list(const std::string &prefix);
    SwapOutcome compareAndSwap(const std::string &key, int64_t expectedRevision, const std::string &value, int64_t lease);
    int64_t grantLease(Duration ttl);
    bool keepAlive(int64_t lease);
    void revokeLease(int64_t lease);
    std::optional<KeyValue> waitForChange(const std::string &key, int64_t afterRevision, Duration wait);

    // Makes every call fail until it is set back.
    void setDown(bool isDown);

    // Makes watches miss all changes until it is set back.
    void setWatchSilent(bool isSilent);

    // Lets the next `count` writes take effect and then fail.
    void loseNextAnswers(int count);

    // Returns the calls served so far.
    KeyValueCounts counts() const;

private:
    struct Entry
    {
        std::string value;
        int64_t modRevision = 0;
        int64_t lease = 0;
    };
    struct Lease
    {
        Duration ttl{};
        Time end{};
    };

    void checkUp() const;
    void expireLeases();
    void dropLease(int64_t lease);

    Clock &clock;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Entry> entries;
    std::map<int64_t, Lease> leases;
    int64_t revision = 0;
    int64_t nextLease = 1;
    bool down = false;
    bool watchSilent = false;
    int answersToLose = 0;
    KeyValueCounts served;
};

} // namespace pimentosail
