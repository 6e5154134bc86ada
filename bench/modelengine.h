// Models one engine in virtual time: serial prefill by priority, decoding at a fixed rate, a prefix cache with
// least-recently-used eviction, and a slower cold start. The experiment runner advances the time; see experiment.h.
//
//     ModelEngine engine(parameters, schedule, onFirstToken, onEnd, onEvicted);
//     engine.start(run, now);
//
// Times are virtual. Functions report no errors: an unknown request id is ignored. Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <unordered_map>
#include <vector>

#include "pimentosail/base/clock.h"

namespace pimentosail::bench
{

// Schedules `action` for the virtual time `at`.
using Schedule = std::function<void(Time at, std::function<void()> action)>;

struct EngineParameters
{
    double prefillTokensPerSecond = 20'000;
    Duration decodeStep = Milliseconds(25);
    int64_t cacheTokens = 600'000;
    // Requests that a cold engine may run at a time; more count as overloads.
    int64_t coldLimit = 2;
    Duration coldTime = std::chrono::seconds(20);
    // Factor by which prefill is slower while the engine is cold.
    double coldFactor = 3;
};

// A request as the engine runs it.
struct EngineRun
{
    uint64_t id = 0;
    uint64_t promptKey = 0;
    int64_t promptTokens = 0;
    // Tokens of the prompt that can be cached; a multiple of the block size.
    int64_t cacheableTokens = 0;
    int64_t answerTokens = 0;
    // A higher priority is prefilled first.
    int priority = 0;
    // Answer tokens that the caller received from earlier attempts; they are prefilled and not decoded again.
    int64_t resumeFrom = 0;
};

class ModelEngine
{
public:
    using OnFirstToken = std::function<void(uint64_t id, int64_t cachedTokens)>;
    using OnEnd = std::function<void(uint64_t id)>;
    using OnEvicted = std::function<void(uint64_t promptKey)>;

    ModelEngine(EngineParameters engineParameters, Schedule scheduleAt, OnFirstToken firstToken, OnEnd end, OnEvicted evicted);

    void start(const EngineRun &run, Time now);

    // Drops a request without calling `onEnd`. A prefill in progress still occupies the engine until its end.
    void cancel(uint64_t id);

    // Caches the first `tokens` tokens of a prompt, as a finished import does, and evicts the least recently used prompts
    // if the cache is full.
    void insert(uint64_t promptKey, int64_t tokens);

    // Drops all requests, empties the cache and starts cold under a new boot id.
    void restart(Time now);

    // Returns the answer tokens produced so far, including those of earlier attempts; 0 for an unknown request.
    int64_t progress(uint64_t id, Time now) const;

    bool isCold(Time now) const
    {
        return now < this->coldUntil;
    }
    int64_t running() const
    {
        return static_cast<int64_t>(this->runs.size());
    }
    // Returns the uncached prompt tokens of the requests that wait for prefill.
    int64_t queuedTokens() const;
    // Returns how many requests started on the cold engine beyond its limit.
    int64_t coldOverloads() const
    {
        return this->coldOverloadCount;
    }
    const std::string &boot() const
    {
        return this->bootId;
    }

private:
    struct RunState
    {
        EngineRun run;
        int64_t cached = 0;
        bool prefilled = false;
        Time firstTokenAt{};
    };

    void startNextPrefill(Time now);
    void finishPrefill(uint64_t id, uint64_t startEpoch, Time now);
    int64_t cachedTokens(uint64_t promptKey) const;

    EngineParameters parameters;
    Schedule schedule;
    OnFirstToken onFirstToken;
    OnEnd onEnd;
    OnEvicted onEvicted;
    std::unordered_map<uint64_t, RunState> runs;
    std::deque<uint64_t> prefillQueue;
    // Request in prefill; 0 for none.
    uint64_t prefilling = 0;
    // Prompt keys and their cached tokens, most recently used first.
    std::list<std::pair<uint64_t, int64_t>> recentlyUsed;
    std::unordered_map<uint64_t, std::list<std::pair<uint64_t, int64_t>>::iterator> cache;
    int64_t cachedTotal = 0;
    Time coldUntil{-1};
    // Counts restarts; scheduled actions of an earlier epoch are ignored.
    uint64_t epoch = 0;
    int64_t coldOverloadCount = 0;
    std::string bootId = "boot-0";
};

} // namespace pimentosail::bench
