// Estimates the clock of the targets, which is common to all targets and cache stores, from the times that they state in
// their answers. Fetches of cached blocks are bounded by a time on that clock.
//
//     clock.record(1787181690068, received);              // the answer stated this time and was received at `received`
//     std::optional<int64_t> time = clock.at(received);   // 1787181690068 or, if another answer came faster, later
//
// An answer is always received after the time that it states, so the estimate is behind the targets' clock by the delay of
// the fastest recent answer. All times of this host are on a clock that also advances while it is suspended
// (`Clock::nowWithSuspend`). Thread-safe.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

class TargetClock
{
public:
    // Records that an answer which stated `targetTime` (Unix ms on the targets' clock) was received at `receivedAt`.
    void record(int64_t targetTime, Time receivedAt);

    // Returns the targets' time (Unix ms) at `time`, or nothing if no answer of the last seconds stated it.
    std::optional<int64_t> at(Time time) const;

    // Returns true if an answer has stated the time.
    bool isStated() const;

private:
    // The largest difference, in ms, between stated times and times of receipt in an interval of `SampleInterval`.
    struct Interval
    {
        Time start{};
        std::optional<int64_t> offset;
    };

    mutable std::mutex mutex;
    Interval current;
    Interval previous;
};

} // namespace pimentosail
