// The epoch of a cache store as one host knows it: until when the host may act on it, and from when it may save blocks there.
//
// A cache store loses its blocks when it restarts, and begins a new epoch. A request that was sent before may still wait at a target and
// fetch a block of the former epoch once it begins. If the block is being saved again at that time, the request reads an incomplete block.
// Two bounds prevent this without any agreement between hosts:
//   - A host acts on an epoch for `Lease` after the last time at which the store was certainly in it. So no request with a fetch from a
//     former epoch is sent later than `Lease` after a restart, however late the host learns of it.
//   - A host saves to a store only `Lease` and the longest time that a fetch may take, from the sending of its request on, after it first saw
//     the epoch. By then all fetches of the former epoch have ended.
//
//     StoreEpoch epoch;
//     epoch.observe(77121, clock.nowWithSuspend());
//     epoch.confirm(77121, pollSentAt);
//     const bool mayFetch = epoch.isUsable(clock.nowWithSuspend());
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
    // A relay polls a cache store for up to a second, and its followers read its answer up to a second later.
    static constexpr Duration Lease = std::chrono::seconds(3);

    // Records that the store has reported `epoch`. Returns true if it differs from the known one, whose blocks are lost then.
    bool observe(int64_t epoch, Time now);

    // Records that the store was in `epoch` at `time` or later. Has no effect if another epoch is known.
    void confirm(int64_t epoch, Time time);

    // Permits saves at once, because no request of a former epoch exists any more.
    void openForSaves()
    {
        this->isOpen = true;
    }

    // Takes `openForSaves` back: the store was used in a former epoch.
    void closeForSaves()
    {
        this->isOpen = false;
    }

    // 0 if the store has not reported any.
    int64_t number() const
    {
        return this->epoch;
    }

    // Returns the time until which fetches and saves may be sent.
    Time usableUntil() const
    {
        return this->confirmedAt == Time(0) ? Time(0) : this->confirmedAt + Lease;
    }
    bool isUsable(Time now) const
    {
        return this->epoch != 0 && now < this->usableUntil();
    }

    // Returns the last time at which the store was certainly in this epoch; zero if there is none.
    Time lastConfirmation() const
    {
        return this->confirmedAt;
    }

    // Returns how long no block may be saved yet, if every fetch ends within `longestFetch` after its request is sent.
    Duration saveDelay(Time now, Duration longestFetch) const;

    // Returns true if this host has itself waited for the fetches of former epochs.
    bool hasWaited(Time now, Duration longestFetch) const;

private:
    int64_t epoch = 0;
    Time seenAt{};
    Time confirmedAt{};
    bool isOpen = false;
};

} // namespace pimentosail
