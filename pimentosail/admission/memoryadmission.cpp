#include "pimentosail/admission/memoryadmission.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

// Limit of the most urgent prompts, as a share of the memory. What runs hold is estimated from their longest answers, and most answers are
// shorter.
constexpr double MostUrgentLimit = 1.1;
// The limit falls by this with each lower priority, down to `LeastLimit`.
constexpr double LimitStep = 0.1;
constexpr double LeastLimit = 0.9;
// A prompt waits for memory for the target latency divided by this. One that waited longer would be late in most cases, and those behind
// it too.
constexpr int WaitDivisor = 2;
// Callers follow a Retry-After up to the time that they have left divided by this.
constexpr int CallerPatienceDivisor = 3;
// Range of the Retry-After, as shares of the longest that callers follow: runs hold their memory for seconds, and callers must not
// return all at once.
constexpr double EarliestReturn = 0.6;
constexpr double LatestReturn = 1.0;

} // namespace

double memoryLimit(int priority)
{
    return std::max(LeastLimit, MostUrgentLimit - LimitStep * std::max(0, priority));
}

AdmissionDecision admitPrompt(const PromptDemand &demand)
{
    if (demand.heldShare < memoryLimit(demand.priority)) {
        return {};
    }
    if (demand.waited < demand.targetLatency / WaitDivisor) {
        return {AdmissionVerdict::Wait, Duration(0)};
    }
    const double uniform = static_cast<double>(demand.draw >> 11U) / 9007199254740992.0;
    const double patience = toSeconds(std::max(Duration(0), demand.timeLeft)) / CallerPatienceDivisor;
    return {AdmissionVerdict::Refuse, fromSeconds(patience * (EarliestReturn + uniform * (LatestReturn - EarliestReturn)))};
}

} // namespace pimentosail
