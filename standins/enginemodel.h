// The work of a stand-in engine: slots, serial prefill by priority, a prefix cache in pieces, and a cold start.
//
//     EngineModel model(settings, clock);
//     auto run = model.begin(request);   // waits for a slot and for the prefill
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
    int64_t maxRunning = 8;
    int64_t coldLimit = 2;
    int64_t coldSeconds = 0;
    int64_t prefillTokensPerSecond = 8000;
    int64_t decodeMilliseconds = 20;
    int64_t pieceTokens = 4000;
    int64_t cachePieces = 64;
};

// One change of the cache, as published to the outside.
struct CacheEvent
{
    int64_t sequence = 0;
    bool evicted = false;
    uint64_t piece = 0;
};

class EngineModel
{
public:
    EngineModel(EngineSettings engineSettings, Clock &runtimeClock);

    // Waits for a slot by priority, then for the prefill of what is not cached. Returns the cached tokens.
    int64_t begin(const std::vector<uint64_t> &pieces, int64_t promptTokens, int priority);

    // Frees the slot.
    void end();

    // Puts a piece into the cache, as a finished import does; returns whether its predecessor is cached.
    void insertPiece(uint64_t piece);
    bool hasPiece(uint64_t piece);

    // Starts anew: empties the cache and becomes cold.
    void restart();

    bool isCold();
    int64_t running();
    int64_t queuedTokens();
    int64_t coldOverloads();
    std::vector<CacheEvent> eventsAfter(int64_t sequence);

    const EngineSettings settings;

private:
    bool coldLocked() const;
    void touch(uint64_t piece);

    Clock &clock;
    std::mutex mutex;
    std::condition_variable changed;
    std::list<uint64_t> order;
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> cache;
    std::deque<CacheEvent> events;
    int64_t nextEvent = 1;
    int64_t runningCount = 0;
    int64_t queued = 0;
    int64_t overloads = 0;
    bool prefilling = false;
    std::multimap<int, uint64_t, std::greater<>> prefillQueue;
    uint64_t nextTicket = 1;
    Time coldUntil{0};
};

} // namespace pimentosail::standins
