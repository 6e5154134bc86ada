#include "standins/enginemodel.h"

#include <algorithm>

namespace pimentosail::standins
{

namespace
{

constexpr size_t MaxEvents = 20'000;
// Every eleventh event is dropped, so that readers must tolerate gaps.
constexpr int64_t DroppedEventPeriod = 11;

} // namespace

EngineModel::EngineModel(EngineSettings engineSettings, Clock &runtimeClock)
    : settings(engineSettings)
    , clock(runtimeClock)
    , coldUntil(runtimeClock.now() + std::chrono::seconds(engineSettings.coldSeconds))
{
}

bool EngineModel::isColdLocked() const
{
    return this->clock.now() < this->coldUntil;
}

void EngineModel::touch(uint64_t block)
{
    const auto found = this->cache.find(block);
    if (found != this->cache.end()) {
        this->lruOrder.splice(this->lruOrder.begin(), this->lruOrder, found->second);
        return;
    }
    this->lruOrder.push_front(block);
    this->cache[block] = this->lruOrder.begin();
    const int64_t sequence = this->nextSequence++;
    if (sequence % DroppedEventPeriod != 0) {
        this->events.push_back({sequence, false, block});
    }
    while (static_cast<int64_t>(this->lruOrder.size()) > this->settings.maxCachedBlocks) {
        const int64_t evictedSequence = this->nextSequence++;
        if (evictedSequence % DroppedEventPeriod != 0) {
            this->events.push_back({evictedSequence, true, this->lruOrder.back()});
        }
        this->cache.erase(this->lruOrder.back());
        this->lruOrder.pop_back();
    }
    while (this->events.size() > MaxEvents) {
        this->events.pop_front();
    }
}

int64_t EngineModel::begin(const std::vector<uint64_t> &blocks, int64_t promptTokens, int priority)
{
    std::unique_lock lock(this->mutex);
    ++this->runningCount;
    if (this->isColdLocked() && this->runningCount > this->settings.coldLimit) {
        ++this->coldOverloadCount;
    }
    int64_t cachedTokens = 0;
    for (const uint64_t block : blocks) {
        if (this->cache.count(block) == 0) {
            break;
        }
        cachedTokens += this->settings.blockTokens;
    }
    const int64_t uncachedTokens = promptTokens - std::min(cachedTokens, promptTokens);
    this->queuedTokenCount += uncachedTokens;
    const uint64_t ticket = this->nextTicket++;
    this->prefillQueue.emplace(priority, ticket);
    this->changed.wait(lock, [&] { return !this->prefilling && this->prefillQueue.begin()->second == ticket; });
    this->prefillQueue.erase(this->prefillQueue.begin());
    this->prefilling = true;
    lock.unlock();
    const double slowdown = this->isCold() ? 3.0 : 1.0;
    this->clock.sleepFor(fromSeconds(slowdown * static_cast<double>(uncachedTokens) / static_cast<double>(this->settings.prefillTokensPerSecond)));
    lock.lock();
    this->prefilling = false;
    this->queuedTokenCount -= uncachedTokens;
    for (const uint64_t block : blocks) {
        this->touch(block);
    }
    this->changed.notify_all();
    return cachedTokens;
}

void EngineModel::end()
{
    const std::lock_guard lock(this->mutex);
    --this->runningCount;
}

void EngineModel::insertBlock(uint64_t block)
{
    const std::lock_guard lock(this->mutex);
    this->touch(block);
}

bool EngineModel::hasBlock(uint64_t block)
{
    const std::lock_guard lock(this->mutex);
    return this->cache.count(block) != 0;
}

void EngineModel::restart()
{
    const std::lock_guard lock(this->mutex);
    this->lruOrder.clear();
    this->cache.clear();
    this->coldUntil = this->clock.now() + std::chrono::seconds(this->settings.coldSeconds);
}

bool EngineModel::isCold()
{
    const std::lock_guard lock(this->mutex);
    return this->isColdLocked();
}

int64_t EngineModel::running()
{
    const std::lock_guard lock(this->mutex);
    return this->runningCount;
}

int64_t EngineModel::queuedTokens()
{
    const std::lock_guard lock(this->mutex);
    return this->queuedTokenCount;
}

int64_t EngineModel::coldOverloads()
{
    const std::lock_guard lock(this->mutex);
    return this->coldOverloadCount;
}

std::vector<CacheEvent> EngineModel::eventsAfter(int64_t sequence)
{
    const std::lock_guard lock(this->mutex);
    std::vector<CacheEvent> result;
    for (const CacheEvent &event : this->events) {
        if (event.sequence > sequence) {
            result.push_back(event);
        }
    }
    return result;
}

} // namespace pimentosail::standins
