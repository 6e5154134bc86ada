#include "pimentosail/base/clock.h"

#include <atomic>
#include <ctime>

namespace pimentosail
{

namespace
{

// Sum of all steps of the wall clock, in milliseconds.
std::atomic<int64_t> wallClockOffset{0};

Time steadyNow()
{
    return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace

Time Clock::now() const
{
    const std::lock_guard lock(this->mutex);
    return this->paused ? this->pausedAt : steadyNow();
}

Time Clock::nowWithSuspend() const
{
    const std::lock_guard lock(this->mutex);
    if (this->paused) {
        return this->pausedAt + this->suspended;
    }
    timespec bootTime{};
    clock_gettime(CLOCK_BOOTTIME, &bootTime);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(bootTime.tv_sec) + std::chrono::nanoseconds(bootTime.tv_nsec)) + this->suspended;
}

int64_t Clock::wallMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count() + wallClockOffset.load();
}

void Clock::stepWallClock(Duration step)
{
    wallClockOffset.fetch_add(toMilliseconds(step));
}

void Clock::sleepFor(Duration duration)
{
    std::unique_lock lock(this->mutex);
    const Time start = this->paused ? this->pausedAt : steadyNow();
    const Time end = start + duration;
    while (!this->interrupted) {
        const Time current = this->paused ? this->pausedAt : steadyNow();
        if (current >= end) {
            return;
        }
        if (this->paused) {
            this->changed.wait(lock);
        } else {
            this->changed.wait_for(lock, end - current);
        }
    }
}

void Clock::interrupt()
{
    const std::lock_guard lock(this->mutex);
    this->interrupted = true;
    this->changed.notify_all();
}

void Clock::suspend(Duration duration)
{
    const std::lock_guard lock(this->mutex);
    this->suspended += duration;
}

void Clock::pause()
{
    const std::lock_guard lock(this->mutex);
    this->pausedAt = this->paused ? this->pausedAt : steadyNow();
    this->paused = true;
}

void Clock::advance(Duration duration)
{
    const std::lock_guard lock(this->mutex);
    this->pausedAt += duration;
    this->changed.notify_all();
}

} // namespace pimentosail
