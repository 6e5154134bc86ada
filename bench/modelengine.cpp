#include "bench/modelengine.h"

#include <algorithm>

namespace pimentosail::bench
{

ModelEngine::ModelEngine(EngineParameters engineParameters, Schedule scheduleAt, OnFirstToken firstToken, OnEnd end, OnEvicted evicted)
    : parameters(engineParameters)
    , schedule(std::move(scheduleAt))
    , onFirstToken(std::move(firstToken))
    , onEnd(std::move(end))
    , onEvicted(std::move(evicted))
{
}

int64_t ModelEngine::cachedTokens(uint64_t promptKey) const
{
    const auto found = this->cache.find(promptKey);
    return found == this->cache.end() ? 0 : found->second->second;
}

void ModelEngine::start(const EngineRun &run, Time now)
{
    this->runs[run.id] = RunState{run, 0, false, Time(0)};
    if (this->isCold(now) && this->running() > this->parameters.coldLimit) {
        ++this->coldOverloadCount;
    }
    const auto position = std::find_if(this->prefillQueue.begin(), this->prefillQueue.end(), [&](uint64_t other) {
        const auto found = this->runs.find(other);
        return found != this->runs.end() && found->second.run.priority < run.priority;
    });
    this->prefillQueue.insert(position, run.id);
    this->startNextPrefill(now);
}

void ModelEngine::startNextPrefill(Time now)
{
    while (this->prefilling == 0 && !this->prefillQueue.empty()) {
        const uint64_t id = this->prefillQueue.front();
        this->prefillQueue.pop_front();
        const auto found = this->runs.find(id);
        if (found == this->runs.end()) {
            continue;
        }
        RunState &state = found->second;
        state.cached = std::min(this->cachedTokens(state.run.promptKey), state.run.cacheableTokens);
        const int64_t computedTokens = state.run.promptTokens + state.run.resumeFrom - state.cached;
        const double slowdown = this->isCold(now) ? this->parameters.coldFactor : 1;
        const Duration prefillTime = fromSeconds(slowdown * static_cast<double>(computedTokens) / this->parameters.prefillTokensPerSecond);
        this->prefilling = id;
        this->schedule(now + prefillTime, [this, id, startEpoch = this->epoch, end = now + prefillTime] { this->finishPrefill(id, startEpoch, end); });
    }
}

void ModelEngine::finishPrefill(uint64_t id, uint64_t startEpoch, Time now)
{
    if (startEpoch != this->epoch) {
        return;
    }
    this->prefilling = 0;
    const auto found = this->runs.find(id);
    if (found != this->runs.end()) {
        RunState &state = found->second;
        state.prefilled = true;
        state.firstTokenAt = now;
        this->insert(state.run.promptKey, state.run.cacheableTokens);
        const Duration decodeTime = this->parameters.decodeStep * std::max<int64_t>(0, state.run.answerTokens - state.run.resumeFrom - 1);
        this->schedule(now + decodeTime, [this, id, startEpoch] {
            // `cancel` may have removed the request in the meantime.
            if (startEpoch == this->epoch && this->runs.erase(id) != 0) {
                this->onEnd(id);
            }
        });
        this->onFirstToken(id, state.cached);
    }
    this->startNextPrefill(now);
}

void ModelEngine::cancel(uint64_t id)
{
    this->runs.erase(id);
}

void ModelEngine::insert(uint64_t promptKey, int64_t tokens)
{
    if (tokens <= 0) {
        return;
    }
    const auto found = this->cache.find(promptKey);
    if (found != this->cache.end()) {
        this->cachedTotal += std::max<int64_t>(0, tokens - found->second->second);
        found->second->second = std::max(found->second->second, tokens);
        this->recentlyUsed.splice(this->recentlyUsed.begin(), this->recentlyUsed, found->second);
    } else {
        this->recentlyUsed.emplace_front(promptKey, tokens);
        this->cache[promptKey] = this->recentlyUsed.begin();
        this->cachedTotal += tokens;
    }
    while (this->cachedTotal > this->parameters.cacheTokens && this->recentlyUsed.size() > 1) {
        const auto [victim, size] = this->recentlyUsed.back();
        this->cachedTotal -= size;
        this->cache.erase(victim);
        this->recentlyUsed.pop_back();
        this->onEvicted(victim);
    }
}

void ModelEngine::restart(Time now)
{
    ++this->epoch;
    this->runs.clear();
    this->prefillQueue.clear();
    this->prefilling = 0;
    this->recentlyUsed.clear();
    this->cache.clear();
    this->cachedTotal = 0;
    this->coldUntil = now + this->parameters.coldTime;
    this->bootId = "boot-" + std::to_string(this->epoch);
}

int64_t ModelEngine::progress(uint64_t id, Time now) const
{
    const auto found = this->runs.find(id);
    if (found == this->runs.end() || !found->second.prefilled) {
        return found == this->runs.end() ? 0 : found->second.run.resumeFrom;
    }
    return found->second.run.resumeFrom + 1 + (now - found->second.firstTokenAt) / this->parameters.decodeStep;
}

int64_t ModelEngine::queuedTokens() const
{
    int64_t total = 0;
    for (const uint64_t id : this->prefillQueue) {
        const auto found = this->runs.find(id);
        total += found == this->runs.end() ? 0 : found->second.run.promptTokens - this->cachedTokens(found->second.run.promptKey);
    }
    return total;
}

} // namespace pimentosail::bench
