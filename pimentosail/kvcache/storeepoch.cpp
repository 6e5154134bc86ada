#include "pimentosail/kvcache/storeepoch.h"

#include <algorithm>

namespace pimentosail
{

bool StoreEpoch::observe(int64_t reported, Time now)
{
    if (reported == this->epoch) {
        return false;
    }
    *this = StoreEpoch{};
    this->epoch = reported;
    this->seenAt = now;
    return true;
}

void StoreEpoch::confirm(int64_t reported, Time time)
{
    if (reported == this->epoch) {
        this->confirmedAt = std::max(this->confirmedAt, time);
    }
}

Duration StoreEpoch::saveDelay(Time now, Duration longestFetch) const
{
    if (this->isOpen) {
        return Duration(0);
    }
    return std::max(Duration(0), this->seenAt + Lease + longestFetch - now);
}

bool StoreEpoch::hasWaited(Time now, Duration longestFetch) const
{
    return this->epoch != 0 && now >= this->seenAt + Lease + longestFetch;
}

} // namespace pimentosail
