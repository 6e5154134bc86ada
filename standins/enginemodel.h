// The timing model of a stand-in engine: running requests, one prefill at a time in order of priority, a prefix cache of
// blocks with LRU eviction, and a cold start.
//
//     EngineModel model(settings, clock);
//     int64_t cachedTokens = model.begin(blocks, promptTokens, priority);   // returns after the prefill
//     model.end();
//
// Thread-safe.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "pimentosail/base/clock.h"

namespace pimentosail::standins
{

struct EngineSettings
{
    // Only reported; `begin` does not enforce it.
    int64_t maxRunning = 8;
    // Running requests that a cold engine should have at most; a request beyond it counts as a cold overload.
    int64_t coldLimit = 2;
    int64_t coldSeconds = 0;
    int64_t prefillTokensPerSecond = 8000;
    // Time between two answer tokens.
    int64_t decodeMilliseconds = 20;
    int64_t blockTokens = 4000;
    int64_t maxCachedBlocks = 64;
};

// One change of the cache, as reported by /cache/events.
struct CacheEvent
{
    int64_t sequence = 0;
    bool evicted = false;
    uint64_t block = 0;
};

class EngineModel
{
public:
    EngineModel(EngineSettings engineSettings, Clock &runtimeClock);

    // Counts a running request, waits for its prefill in order of priority and arrival, and sleeps for the prefill of the
    // tokens that are not cached. Returns the number of cached tokens.
    int64_t begin(const std::vector<uint64_t> &blocks, int64_t promptTokens, int priority);

    // Ends a request that `begin` counted.
    void end();

    // Puts a block into the cache, as a finished import does.
    void insertBlock(uint64_t block);
    bool hasBlock(uint64_t block);

    // Empties the cache and becomes cold, as a restarted engine does.
    void restart();

    // True for `coldSeconds` after the start or a restart. A cold engine prefills at a third of its rate.
    bool isCold();
    int64_t running();
    // Returns the uncached prompt tokens whose prefill has not ended.
    int64_t queuedTokens();
    // Returns how many requests began while the engine was cold and over `coldLimit`.
    int64_t coldOverloads();
    // Returns the stored events with a higher sequence number; some are missing.
    std::vector<CacheEvent> eventsAfter(int64_t sequence);

    const EngineSettings settings;

private:
    // As `isCold`; the caller holds the mutex.
    bool isColdLocked() const;
    // Makes a block the most recently used one, inserts it if needed and evicts the least recently used ones.
    void touch(uint64_t block);

    Clock &clock;
    std::mutex mutex;
    std::condition_variable changed;
    // Cached blocks, the most recently used first.
    std::list<uint64_t> lruOrder;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> cache;
    std::deque<CacheEvent> events;
    int64_t nextSequence = 1;
    int64_t runningCount = 0;
    int64_t queuedTokenCount = 0;
    int64_t coldOverloadCount = 0;
    bool prefilling = false;
    // Tickets of waiting prefills by priority, the highest first.
    std::multimap<int, uint64_t, std::greater<>> prefillQueue;
    uint64_t nextTicket = 1;
    Time coldUntil{0};
};

} // namespace pimentosail::standins
