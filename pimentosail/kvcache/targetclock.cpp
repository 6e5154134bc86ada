#include "pimentosail/kvcache/targetclock.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

// Cache stores answer polls at least once a second, so an interval has answers of each of them.
constexpr Duration SampleInterval = std::chrono::seconds(5);

} // namespace

void TargetClock::record(int64_t targetTime, Time receivedAt)
{
    const std::lock_guard lock(this->mutex);
    if (!this->current.offset || receivedAt >= this->current.start + SampleInterval) {
        this->previous = this->current;
        this->current = {receivedAt, std::nullopt};
    }
    const int64_t offset = targetTime - toMilliseconds(receivedAt);
    this->current.offset = std::max(offset, this->current.offset.value_or(offset));
}

bool TargetClock::isStated() const
{
    const std::lock_guard lock(this->mutex);
    return this->current.offset.has_value();
}

std::optional<int64_t> TargetClock::at(Time time) const
{
    const std::lock_guard lock(this->mutex);
    std::optional<int64_t> offset;
    for (const Interval &interval : {this->current, this->previous}) {
        if (interval.offset && time < interval.start + 2 * SampleInterval) {
            offset = std::max(*interval.offset, offset.value_or(*interval.offset));
        }
    }
    return offset ? std::optional<int64_t>(*offset + toMilliseconds(time)) : std::nullopt;
}

} // namespace pimentosail
