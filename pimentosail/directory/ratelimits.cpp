#include "pimentosail/directory/ratelimits.h"

namespace pimentosail
{

namespace
{

bool isRecent(const RateLimitObservation &observation, Time now)
{
    return observation.observedAt > Time(0) && observation.observedAt + RateLimitTable::Memory >= now;
}

} // namespace

bool RateLimitTable::recordNewestLocked(Entry &entry, const RateLimitObservation &observation)
{
    const bool isNewer = observation.startedAt > entry.newest.startedAt
        || (observation.startedAt == entry.newest.startedAt && observation.observedAt >= entry.newest.observedAt);
    if (!isNewer) {
        return false;
    }
    const bool isChanged = observation.startedAt != entry.newest.startedAt || observation.requestsPerSecond != entry.newest.requestsPerSecond;
    entry.newest = observation;
    this->changes.fetch_add(isChanged ? 1 : 0);
    return isChanged;
}

void RateLimitTable::forgetOldLocked(Time now)
{
    std::erase_if(this->entries, [now](const auto &entry) { return !isRecent(entry.second.newest, now); });
    this->count.store(this->entries.size());
}

bool RateLimitTable::recordAnswer(const RateLimitObservation &observation)
{
    if (!observation.requestsPerSecond && !this->hasObservations()) {
        return false;
    }
    const std::lock_guard lock(this->mutex);
    this->forgetOldLocked(observation.observedAt);
    if (!observation.requestsPerSecond && !this->entries.contains(observation.target)) {
        return false;
    }
    Entry &entry = this->entries[observation.target];
    this->count.store(this->entries.size());
    entry.own = observation;
    return this->recordNewestLocked(entry, observation);
}

bool RateLimitTable::recordReport(const RateLimitObservation &observation)
{
    const std::lock_guard lock(this->mutex);
    this->forgetOldLocked(observation.observedAt);
    const bool isChanged = this->recordNewestLocked(this->entries[observation.target], observation);
    this->count.store(this->entries.size());
    return isChanged;
}

std::optional<double> RateLimitTable::limitOf(const std::string &target, int64_t startedAt, Time now) const
{
    if (!this->hasObservations()) {
        return std::nullopt;
    }
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(target);
    if (found == this->entries.end() || found->second.newest.startedAt != startedAt || !isRecent(found->second.newest, now)) {
        return std::nullopt;
    }
    return found->second.newest.requestsPerSecond;
}

std::vector<RateLimitObservation> RateLimitTable::ownObservations(Time since) const
{
    std::vector<RateLimitObservation> result;
    const std::lock_guard lock(this->mutex);
    for (const auto &[target, entry] : this->entries) {
        if (entry.own.observedAt > Time(0) && entry.own.observedAt >= since) {
            result.push_back(entry.own);
        }
    }
    return result;
}

std::vector<RateLimitObservation> RateLimitTable::newestObservations(Time now) const
{
    std::vector<RateLimitObservation> result;
    const std::lock_guard lock(this->mutex);
    for (const auto &[target, entry] : this->entries) {
        if (isRecent(entry.newest, now)) {
            result.push_back(entry.newest);
        }
    }
    return result;
}

} // namespace pimentosail
