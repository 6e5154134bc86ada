// The clock of the process. Every duty reads the time and waits through it, so that tests can pause and advance it.
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

    // Returns the monotonic time including time in which the machine was suspended. Leases are measured with it, because
    // they also expire while the machine is suspended.
    Time nowWithSuspend() const;

    // Returns wall time in milliseconds since the Unix epoch. For display and for log lines only: the wall clocks of two hosts
    // may differ by seconds, and each may jump.
    static int64_t wallMilliseconds();

    // Moves the wall clock of this process by `step`, as an operator or a time server does. For tests.
    static void stepWallClock(Duration step);

    // Blocks until `duration` has passed on this clock or `interrupt` is called.
    void sleepFor(Duration duration);

    // Makes every running and every later `sleepFor` return at once. Used at process shutdown.
    void interrupt();

    // Moves the time that includes suspension ahead by `duration`, and not the other. For tests.
    void suspend(Duration duration);

    // Stops the clock at its current value. Only `advance` changes it afterwards.
    void pause();

    // Moves a paused clock forward and ends each `sleepFor` whose duration has passed.
    void advance(Duration duration);

private:
    mutable std::mutex mutex;
    std::condition_variable changed;
    bool paused = false;
    bool interrupted = false;
    Time pausedAt{0};
    // Time that `suspend` has added.
    Duration suspended{};
};

// Returns `time` in whole milliseconds, truncated.
inline int64_t toMilliseconds(Duration time)
{
    return std::chrono::duration_cast<Milliseconds>(time).count();
}

// Returns `duration` in seconds, with fractions.
inline double toSeconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1e6;
}

// Returns `seconds` as a duration, truncated to whole microseconds.
inline Duration fromSeconds(double seconds)
{
    return Duration(static_cast<int64_t>(seconds * 1e6));
}

} // namespace pimentosail
