#include "pimentosail/dispatch/targetspeeds.h"

#include <algorithm>
#include <cmath>

namespace pimentosail
{

namespace
{

// The weight of an observation falls to 1/e in this time: targets slow down for some seconds.
constexpr Duration DecayTime = std::chrono::seconds(4);
// Weight of the assumption that a target is as fast as others, in observations.
constexpr double UsualWeight = 1;
// Maximum weight of a target's observations, so that a target that gets many requests recovers as quickly as others.
constexpr double MaxWeight = 4;
// Bounds of an observed factor. Prompts whose blocks were in the target's cache are much faster than expected, which says nothing of
// its speed.
constexpr double MinFactor = 0.5;
constexpr double MaxFactor = 4;
// A target without an observation for this long is forgotten when there are `MaxTargets`.
constexpr Duration ForgetTime = std::chrono::seconds(30);
constexpr size_t MaxTargets = 2048;

double decayOver(Duration age)
{
    return std::exp(-toSeconds(std::max(Duration(0), age)) / toSeconds(DecayTime));
}

} // namespace

void TargetSpeeds::record(const std::string &target, Duration expected, Duration observed)
{
    if (expected <= Duration(0) || observed <= Duration(0)) {
        return;
    }
    const Time now = this->clock.now();
    const double observedFactor = std::clamp(toSeconds(observed) / toSeconds(expected), MinFactor, MaxFactor);
    const std::lock_guard lock(this->mutex);
    if (this->states.size() >= MaxTargets && !this->states.contains(target)) {
        std::erase_if(this->states, [now](const auto &entry) { return entry.second.at + ForgetTime < now; });
        if (this->states.size() >= MaxTargets) {
            return;
        }
    }
    State &state = this->states[target];
    const double decay = decayOver(now - state.at);
    const double kept = std::min(decay, state.weight > 0 ? (MaxWeight - 1) / state.weight : 1);
    state.logarithms = kept * state.logarithms + std::log(observedFactor);
    state.weight = kept * state.weight + 1;
    state.at = now;
}

double TargetSpeeds::factor(const std::string &target) const
{
    const Time now = this->clock.now();
    const std::lock_guard lock(this->mutex);
    const auto found = this->states.find(target);
    if (found == this->states.end()) {
        return 1;
    }
    const double decay = decayOver(now - found->second.at);
    return std::exp(decay * found->second.logarithms / (decay * found->second.weight + UsualWeight));
}

} // namespace pimentosail
