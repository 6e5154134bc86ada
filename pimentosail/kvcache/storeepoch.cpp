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

Duration StoreEpoch::saveDelay(Time now, Duration longestRequest) const
{
    if (this->isOpen) {
        return Duration(0);
    }
    return std::max(Duration(0), this->seenAt + NoticeTime + MaxTransit + longestRequest - now);
}

} // namespace pimentosail
