// The epoch of a cache store as one host knows it, and from when the host may save blocks there.
//
// A cache store loses its blocks when it restarts, and begins a new epoch. A request that was sent before may still wait at a target and
// fetch a block of the former epoch once it begins. If the block is being saved again at that time, the request reads an incomplete block.
// So a host saves to a store only after the longest time that such a request may last: `NoticeTime`, within which all hosts know the new
// epoch, `MaxTransit` and the longest time that a target may spend on a request.
//
//     StoreEpoch epoch;
//     epoch.observe(77121, clock.nowWithSuspend());
//     const Duration delay = epoch.saveDelay(clock.nowWithSuspend(), longestRequest);
//
// All times are those of `Clock::nowWithSuspend`, which also advances while the host stands still. Not thread-safe.
#pragma once

#include <cstdint>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

class StoreEpoch
{
public:
    // Time within which all hosts know that a store has restarted.
    static constexpr Duration NoticeTime = std::chrono::seconds(3);
    // Longest time that a request is on its way to a target.
    static constexpr Duration MaxTransit = std::chrono::seconds(1);

    // Records that the store has reported `epoch`. Returns true if it differs from the known one, whose blocks are lost then.
    bool observe(int64_t epoch, Time now);

    // Permits saves at once, because no request of a former epoch exists.
    void openForSaves()
    {
        this->isOpen = true;
    }

    // 0 if the store has not reported any.
    int64_t number() const
    {
        return this->epoch;
    }

    // Returns how long no block may be saved yet, if a target may spend up to `longestRequest` on a request.
    Duration saveDelay(Time now, Duration longestRequest) const;

private:
    int64_t epoch = 0;
    Time seenAt{};
    bool isOpen = false;
};

} // namespace pimentosail
