// Learns how much slower or faster than usual each target is, from the times until first tokens compared with the forecast.
//
// Observations lose their weight within some seconds, so that a target that was slow for a moment is used again. Each host
// learns from its own requests; one observation moves a target half of the way.
//
//     speeds.record("i-7f3a", Milliseconds(100), Milliseconds(220));
//     double factor = speeds.factor("i-7f3a");   // 1.48; 1 for a target without recent observations
//
// Thread-safe.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

class TargetSpeeds
{
public:
    explicit TargetSpeeds(const Clock &runtimeClock)
        : clock(runtimeClock)
    {
    }

    // Records that a first token that was expected after `expected` came after `observed`.
    void record(const std::string &target, Duration expected, Duration observed);

    // Returns the time that `target` takes for its work, as a multiple of what is usual.
    double factor(const std::string &target) const;

private:
    // Sums of the logarithms of the observed factors and of their weights, as of `at`.
    struct State
    {
        double logarithms = 0;
        double weight = 0;
        Time at{};
    };

    const Clock &clock;
    mutable std::mutex mutex;
    std::map<std::string, State> states;
};

} // namespace pimentosail
