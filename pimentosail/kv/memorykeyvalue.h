// A key-value store in memory that can simulate faults of the real service: an outage, lost answers, and watches that miss
// changes. Tests and the stand-in server use it.
//
//     auto memory = std::make_shared<MemoryKeyValue>(clock);
//     memory->setDown(true);         // every call throws
//     memory->loseNextAnswers(1);    // the next compare-and-swap takes effect and then throws
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

// Number of calls served, by kind. A watch counts once, when it starts.
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

    // The operations of `KeyValueStore`; see there.
    std::optional<KeyValue> get(const std::string &key);
    std::vector<KeyValue> list(const std::string &prefix);
    SwapOutcome compareAndSwap(const std::string &key, int64_t expectedRevision, const std::string &value, int64_t lease);
    int64_t grantLease(Duration ttl);
    bool keepAlive(int64_t lease);
    void revokeLease(int64_t lease);
    std::optional<KeyValue> waitForChange(const std::string &key, int64_t afterRevision, Duration wait);

    // While set, every call throws.
    void setDown(bool isDown);

    // While set, watches report no changes.
    void setWatchSilent(bool isSilent);

    // Makes the next `count` compare-and-swaps take effect and then throw.
    void loseNextAnswers(int count);

    // Returns the numbers of calls served so far.
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

    void throwIfDown() const;
    void endExpiredLeases();
    void removeLease(int64_t lease);

    Clock &clock;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Entry> entries;
    std::map<int64_t, Lease> leases;
    int64_t revision = 0;
    int64_t nextLease = 1;
    bool down = false;
    bool watchSilent = false;
    int answersLeftToLose = 0;
    KeyValueCounts served;
};

} // namespace pimentosail
