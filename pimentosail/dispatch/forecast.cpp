#include "pimentosail/dispatch/forecast.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

// Initial regression of a route, used until there are observations. Rates are in prompt tokens per ms; the initial rate is
// half of an engine's nominal rate, because the engine also runs the steps of other requests. `InitialTokens` and
// `InitialSpread` are the mean and the standard deviation of the pending tokens under usual load.
constexpr double InitialRate = 56;
constexpr double InitialBaseMs = 60;
constexpr double InitialTokens = 5000;
constexpr double InitialSpread = 8000;
constexpr double MinRate = 5;
constexpr double MaxRate = 300;
constexpr double MinBaseMs = 5;
// Weight of one observation in the moving averages.
constexpr double ObservationWeight = 0.03;
// An observed time is capped at this multiple of the predicted time.
constexpr double MaxObservationFactor = 4;
constexpr Duration TimeoutStep = Milliseconds(20);
constexpr size_t MaxTimeoutSteps = 64;

} // namespace

FirstTokenForecast::Regression FirstTokenForecast::initialRegression()
{
    const double variance = InitialSpread * InitialSpread;
    return {InitialTokens, InitialBaseMs + InitialTokens / InitialRate, variance, variance / InitialRate};
}

void FirstTokenForecast::record(const std::string &route, double pendingTokens, Duration time)
{
    const double expected = toSeconds(this->predict(route, pendingTokens)) * 1000;
    const std::lock_guard lock(this->mutex);
    Regression &regression = this->regressions.try_emplace(route, initialRegression()).first->second;
    const double observed = std::min(static_cast<double>(time.count()) / 1000, MaxObservationFactor * expected);
    const double tokensDeviation = pendingTokens - regression.tokens;
    const double timeDeviation = observed - regression.milliseconds;
    regression.tokens += ObservationWeight * tokensDeviation;
    regression.milliseconds += ObservationWeight * timeDeviation;
    regression.variance = (1 - ObservationWeight) * (regression.variance + ObservationWeight * tokensDeviation * tokensDeviation);
    regression.covariance = (1 - ObservationWeight) * (regression.covariance + ObservationWeight * tokensDeviation * timeDeviation);
}

Duration FirstTokenForecast::predict(const std::string &route, double pendingTokens) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->regressions.find(route);
    const Regression regression = found == this->regressions.end() ? initialRegression() : found->second;
    const double slope = std::clamp(regression.covariance / std::max(1.0, regression.variance), 1 / MaxRate, 1 / MinRate);
    const double base = std::max(MinBaseMs, regression.milliseconds - slope * regression.tokens);
    return fromSeconds((base + slope * pendingTokens) / 1000);
}

Duration FirstTokenForecast::estimateElapsed(const std::string &route, Duration callerTimeout)
{
    const std::lock_guard lock(this->mutex);
    std::map<int64_t, double> &counts = this->timeoutCounts[route];
    ++counts[callerTimeout / TimeoutStep];
    if (counts.size() > MaxTimeoutSteps) {
        for (auto &[step, count] : counts) {
            count /= 2;
        }
        std::erase_if(counts, [](const auto &entry) { return entry.second < 1; });
    }
    if (counts.empty()) {
        return Duration(0);
    }
    const auto usual = std::max_element(counts.begin(), counts.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    return std::max(Duration(0), usual->first * TimeoutStep - callerTimeout);
}

} // namespace pimentosail
