#include "pimentosail/dispatch/workmix.h"

#include <algorithm>
#include <cmath>

namespace pimentosail
{

namespace
{

// Number of requests after which the weight of an earlier one has decayed to 1/e: about ten seconds of one host's traffic.
constexpr double DecayRequests = 400;
// Routes with a smaller decayed count of requests do not decide whether lanes are used.
constexpr double MinRequests = 5;
// Lanes are decided again after this number of requests.
constexpr int DecisionInterval = 10;
// Lanes are used only if the largest ratio of answer tokens to prompt tokens is at least this multiple of the smallest.
constexpr double MinRatioFactor = 8;
// Weight of the prompt tokens of routes with long answers when the targets are divided between the lanes. With it, a
// target for long answers gets a third of the prompt tokens that another target gets, and its engine steps take less than
// half as long.
constexpr double LongAnswerWeight = 3;
// Bounds of the fraction of the targets for long answers.
constexpr double MinShare = 0.03;
constexpr double MaxShare = 0.5;
constexpr size_t MaxRoutes = 512;

} // namespace

void WorkMix::record(const std::string &route, double prefillTokens, double answerTokens)
{
    const std::lock_guard lock(this->mutex);
    if (this->routes.size() >= MaxRoutes && !this->routes.contains(route)) {
        this->routes.clear();
    }
    for (auto &[name, totals] : this->routes) {
        const double decay = 1 - 1 / DecayRequests;
        totals.requests *= decay;
        totals.prefillTokens *= decay;
        totals.answerTokens *= decay;
    }
    RouteTotals &totals = this->routes[route];
    totals.requests += 1;
    totals.prefillTokens += prefillTokens;
    totals.answerTokens += answerTokens;
    if (--this->requestsUntilDecision <= 0) {
        this->requestsUntilDecision = DecisionInterval;
        this->decideLanes();
    }
}

void WorkMix::decideLanes()
{
    this->lanes.clear();
    this->share = 0;
    double smallestRatio = 0;
    double largestRatio = 0;
    const auto ratioOf = [](const RouteTotals &totals) {
        return std::max(1.0, totals.answerTokens) / std::max(1.0, totals.prefillTokens);
    };
    for (const auto &[name, totals] : this->routes) {
        if (totals.requests >= MinRequests) {
            const double ratio = ratioOf(totals);
            smallestRatio = smallestRatio <= 0 ? ratio : std::min(smallestRatio, ratio);
            largestRatio = std::max(largestRatio, ratio);
        }
    }
    if (smallestRatio <= 0 || largestRatio < MinRatioFactor * smallestRatio) {
        return;
    }
    const double threshold = std::sqrt(smallestRatio * largestRatio);
    double longPromptTokens = 0;
    double longAnswerTokens = 0;
    for (const auto &[name, totals] : this->routes) {
        const bool isLongAnswer = ratioOf(totals) >= threshold;
        this->lanes[name] = isLongAnswer ? Lane::LongAnswers : Lane::LongPrompts;
        (isLongAnswer ? longAnswerTokens : longPromptTokens) += totals.prefillTokens;
    }
    const double weightedTokens = LongAnswerWeight * longAnswerTokens + longPromptTokens;
    this->share = weightedTokens <= 0 ? 0 : std::clamp(LongAnswerWeight * longAnswerTokens / weightedTokens, MinShare, MaxShare);
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
