// The one clock of the runtime. Every duty reads time and waits through it; tests pause and advance it.
//
//     Clock clock;
//     clock.pause();
//     clock.advance(std::chrono::seconds(5));
//
// All functions are thread-safe.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace pimentosail
{

using Duration = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;

// A point on the monotonic clock: time since an arbitrary start.
using Time = Duration;

class Clock
{
public:
    // Returns the monotonic time.
    Time now() const;

    // Returns the monotonic time including time in which the machine was suspended. Leases are judged by it.
    Time nowWithSuspend() const;

    // Returns wall time in milliseconds since the Unix epoch. For display and for log lines only.
    static int64_t wallMilliseconds();

    // Blocks until `duration` has passed on this clock or `interrupt` is called.
    void sleepFor(Duration duration);

    // Ends every running `sleepFor` and every later one at once. Used at process shutdown.
    void interrupt();

    // Freezes the clock at its present value.
    void pause();

    // Moves a paused clock forward and wakes the sleepers that are due.
    void advance(Duration duration);

private:
    mutable std::mutex mutex;
    std::condition_variable changed;
    bool paused = false;
    bool interrupted = false;
    Time pausedAt{0};
};

// Returns `time` in whole milliseconds.
inline int64_t toMilliseconds(Duration time)
{
    return std::chrono::duration_cast<Milliseconds>(time).count();
}

// Returns `duration` in seconds.
inline double toSeconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1e6;
}

// Returns `seconds` as a duration, rounded down to a microsecond.
inline Duration fromSeconds(double seconds)
{
    return Duration(static_cast<int64_t>(seconds * 1e6));
}

} // namespace pimentosail
