#include "pimentosail/dispatch/workmix.h"

#include <algorithm>
#include <cmath>

namespace pimentosail
{

namespace
{

// Requests after which earlier ones have mostly faded; some ten seconds of one host's traffic.
constexpr double Memory = 400;
constexpr double MinRequests = 5;
constexpr int DecisionInterval = 10;
// Routes are kept apart only if their ratios of answer to prompt differ by this factor.
constexpr double MinContrast = 8;
// A target for long answers gets this part of the prompt tokens that the others get: its steps then take less than
// half as long.
constexpr double QuietFactor = 3;
constexpr double SmallestShare = 0.03;
constexpr double LargestShare = 0.5;
constexpr size_t MaxRoutes = 512;

} // namespace

void WorkMix::note(const std::string &route, double readTokens, double answerTokens)
{
    const std::lock_guard lock(this->mutex);
    if (this->flows.size() >= MaxRoutes && !this->flows.contains(route)) {
        this->flows.clear();
    }
    for (auto &[name, flow] : this->flows) {
        const double keep = 1 - 1 / Memory;
        flow.requests *= keep;
        flow.readTokens *= keep;
        flow.answerTokens *= keep;
    }
    Flow &flow = this->flows[route];
    flow.requests += 1;
    flow.readTokens += readTokens;
    flow.answerTokens += answerTokens;
    if (--this->untilDecision <= 0) {
        this->untilDecision = DecisionInterval;
        this->decideLanes();
    }
}

void WorkMix::decideLanes()
{
    this->lanes.clear();
    this->share = 0;
    double least = 0;
    double most = 0;
    const auto ratioOf = [](const Flow &flow) {
        return std::max(1.0, flow.answerTokens) / std::max(1.0, flow.readTokens);
    };
    for (const auto &[name, flow] : this->flows) {
        if (flow.requests >= MinRequests) {
            const double ratio = ratioOf(flow);
            least = least <= 0 ? ratio : std::min(least, ratio);
            most = std::max(most, ratio);
        }
    }
    if (least <= 0 || most < MinContrast * least) {
        return;
    }
    const double border = std::sqrt(least * most);
    double longPrompts = 0;
    double longAnswers = 0;
    for (const auto &[name, flow] : this->flows) {
        const bool isLongAnswer = ratioOf(flow) >= border;
        this->lanes[name] = isLongAnswer ? Lane::LongAnswers : Lane::LongPrompts;
        (isLongAnswer ? longAnswers : longPrompts) += flow.readTokens;
    }
    const double both = QuietFactor * longAnswers + longPrompts;
    this->share = both <= 0 ? 0 : std::clamp(QuietFactor * longAnswers / both, SmallestShare, LargestShare);
}

Lane WorkMix::laneOf(const std::string &route) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->lanes.find(route);
    return found == this->lanes.end() ? Lane::Any : found->second;
}

double WorkMix::longAnswerShare() const
{
    const std::lock_guard lock(this->mutex);
    return this->share;
}

} // namespace pimentosail
