// A model of one engine for measuring decisions: slots, serial prefill, decoding, a least-recently-used prefix cache
// and a cold start. Driven by virtual time; see world.h.
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

// Calls `action` at a point of virtual time.
using Schedule = std::function<void(Time at, std::function<void()> action)>;

struct EngineParameters
{
    double prefillTokensPerSecond = 20'000;
    Duration decodeStep = Milliseconds(25);
    int64_t cacheTokens = 600'000;
    int64_t coldLimit = 2;
    Duration coldTime = std::chrono::seconds(20);
    // Prefill is this many times slower in a cold start.
    double coldFactor = 3;
};

struct EngineRun
{
    uint64_t id = 0;
    uint64_t promptKey = 0;
    int64_t promptTokens = 0;
    // Tokens of the prompt that can be cached (whole pieces).
    int64_t cacheableTokens = 0;
    int64_t answerTokens = 0;
    int priority = 0;
    // Answer tokens that the caller already has.
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
    void cancel(uint64_t id);

    // Makes `tokens` of a prompt present, as a finished import does.
    void insert(uint64_t promptKey, int64_t tokens);

    // Empties the cache and starts cold.
    void restart(Time now);

    // Returns the answer tokens that a running request has so far.
    int64_t progress(uint64_t id, Time now) const;

    bool isCold(Time now) const
    {
        return now < this->coldUntil;
    }
    int64_t running() const
    {
        return static_cast<int64_t>(this->runs.size());
    }
    int64_t queuedTokens() const;
    int64_t coldOverloads() const
    {
        return this->overloads;
    }
    const std::string &boot() const
    {
        return this->bootId;
    }

private:
    struct State
    {
        EngineRun run;
        int64_t cached = 0;
        bool prefilled = false;
        Time firstTokenAt{};
    };

    void pump(Time now);
    void finishPrefill(uint64_t id, uint64_t epoch, Time now);
    int64_t cachedTokens(uint64_t promptKey) const;

    EngineParameters parameters;
    Schedule schedule;
    OnFirstToken onFirstToken;
    OnEnd onEnd;
    OnEvicted onEvicted;
    std::unordered_map<uint64_t, State> runs;
    std::deque<uint64_t> prefillQueue;
    uint64_t prefilling = 0;
    std::list<std::pair<uint64_t, int64_t>> order;
    std::unordered_map<uint64_t, std::list<std::pair<uint64_t, int64_t>>::iterator> cache;
    int64_t cachedTotal = 0;
    Time coldUntil{-1};
    uint64_t epoch = 0;
    int64_t overloads = 0;
    std::string bootId = "boot-0";
};

} // namespace pimentosail::bench
