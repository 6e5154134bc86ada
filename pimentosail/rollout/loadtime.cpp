#include "pimentosail/rollout/loadtime.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

// Probes end when the expected time is at most this much, as a divisor of it, above the longest time at which a probe still ran.
constexpr int PrecisionDivisor = 7;
// Each load that takes longer than expected moves the expected time by the difference divided by this.
constexpr int CorrectionDivisor = 4;

} // namespace

bool LoadTime::beginLoad()
{
    if (this->hasProbe || this->expectedTime - this->runningAt <= this->expectedTime / PrecisionDivisor) {
        return false;
    }
    this->hasProbe = true;
    return true;
}

Duration LoadTime::firstQueryDelay(bool isProbe) const
{
    return isProbe ? this->runningAt + (this->expectedTime - this->runningAt) / 2 : this->expectedTime;
}

void LoadTime::recordFirstQuery(bool isProbe, Duration elapsed, bool isDone)
{
    if (isDone) {
        this->expectedTime = std::min(this->expectedTime, elapsed);
        this->runningAt = std::min(this->runningAt, this->expectedTime);
    } else if (isProbe) {
        this->runningAt = std::min(std::max(this->runningAt, elapsed), this->expectedTime);
    }
}

void LoadTime::recordLaterQuery(Duration elapsed)
{
    const Duration correction = std::max(Duration(0), elapsed - this->expectedTime) / CorrectionDivisor;
    this->expectedTime = std::min(InitialLoadTime, this->expectedTime + correction);
}

void LoadTime::endProbe()
{
    this->hasProbe = false;
}

} // namespace pimentosail
