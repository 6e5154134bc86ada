#include "standins/enginemodel.h"

#include <algorithm>

namespace pimentosail::standins
{

namespace
{

constexpr size_t MaxEvents = 20'000;
// Every eleventh event is lost, so that readers must live with gaps.
constexpr int64_t LostEventPeriod = 11;

} // namespace

EngineModel::EngineModel(EngineSettings engineSettings, Clock &runtimeClock)
    : settings(engineSettings)
    , clock(runtimeClock)
    , coldUntil(runtimeClock.now() + std::chrono::seconds(engineSettings.coldSeconds))
{
}

bool EngineModel::coldLocked() const
{
    return this->clock.now() < this->coldUntil;
}

void EngineModel::touch(uint64_t piece)
{
    const auto found = this->cache.find(piece);
    if (found != this->cache.end()) {
        this->order.splice(this->order.begin(), this->order, found->second);
        return;
    }
    this->order.push_front(piece);
    this->cache[piece] = this->order.begin();
    const int64_t sequence = this->nextEvent++;
    if (sequence % LostEventPeriod != 0) {
        this->events.push_back({sequence, false, piece});
    }
    while (static_cast<int64_t>(this->order.size()) > this->settings.cachePieces) {
        const int64_t evictedSequence = this->nextEvent++;
        if (evictedSequence % LostEventPeriod != 0) {
            this->events.push_back({evictedSequence, true, this->order.back()});
        }
        this->cache.erase(this->order.back());
        this->order.pop_back();
    }
    while (this->events.size() > MaxEvents) {
        this->events.pop_front();
    }
}

int64_t EngineModel::begin(const std::vector<uint64_t> &pieces, int64_t promptTokens, int priority)
{
    std::unique_lock lock(this->mutex);
    ++this->runningCount;
    if (this->coldLocked() && this->runningCount > this->settings.coldLimit) {
        ++this->overloads;
    }
    int64_t cached = 0;
    for (const uint64_t piece : pieces) {
        if (this->cache.count(piece) == 0) {
            break;
        }
        cached += this->settings.pieceTokens;
    }
    const int64_t compute = promptTokens - std::min(cached, promptTokens);
    this->queued += compute;
    const uint64_t ticket = this->nextTicket++;
    this->prefillQueue.emplace(priority, ticket);
    this->changed.wait(lock, [&] { return !this->prefilling && this->prefillQueue.begin()->second == ticket; });
    this->prefillQueue.erase(this->prefillQueue.begin());
    this->prefilling = true;
    lock.unlock();
    const double slowdown = this->isCold() ? 3.0 : 1.0;
    this->clock.sleepFor(fromSeconds(slowdown * static_cast<double>(compute) / static_cast<double>(this->settings.prefillTokensPerSecond)));
    lock.lock();
    this->prefilling = false;
    this->queued -= compute;
    for (const uint64_t piece : pieces) {
        this->touch(piece);
    }
    this->changed.notify_all();
    return cached;
}

void EngineModel::end()
{
    const std::lock_guard lock(this->mutex);
    --this->runningCount;
}

void EngineModel::insertPiece(uint64_t piece)
{
    const std::lock_guard lock(this->mutex);
    this->touch(piece);
}

bool EngineModel::hasPiece(uint64_t piece)
{
    const std::lock_guard lock(this->mutex);
    return this->cache.count(piece) != 0;
}

void EngineModel::restart()
{
    const std::lock_guard lock(this->mutex);
    this->order.clear();
    this->cache.clear();
    this->coldUntil = this->clock.now() + std::chrono::seconds(this->settings.coldSeconds);
}

bool EngineModel::isCold()
{
    const std::lock_guard lock(this->mutex);
    return this->coldLocked();
}

int64_t EngineModel::running()
{
    const std::lock_guard lock(this->mutex);
    return this->runningCount;
}

int64_t EngineModel::queuedTokens()
{
    const std::lock_guard lock(this->mutex);
    return this->queued;
}

int64_t EngineModel::coldOverloads()
{
    const std::lock_guard lock(this->mutex);
    return this->overloads;
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
