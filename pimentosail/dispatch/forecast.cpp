#include "pimentosail/dispatch/forecast.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

// Until something was observed: an engine's nominal rate, halved for the steps of other runs, over usual loads.
constexpr double InitialRate = 56;
constexpr double InitialBaseMs = 60;
constexpr double InitialTokens = 5000;
constexpr double InitialSpread = 8000;
constexpr double LowestRate = 5;
constexpr double HighestRate = 300;
constexpr double LowestBaseMs = 5;
constexpr double ObservationWeight = 0.03;
// One observation counts as no more than this many times what was expected.
constexpr double LargestSurprise = 4;
constexpr Duration PatienceStep = Milliseconds(20);
constexpr size_t MaxPatienceSteps = 64;

} // namespace

FirstTokenForecast::Line FirstTokenForecast::initialLine()
{
    const double variance = InitialSpread * InitialSpread;
    return {InitialTokens, InitialBaseMs + InitialTokens / InitialRate, variance, variance / InitialRate};
}

void FirstTokenForecast::note(const std::string &route, double pendingTokens, Duration time)
{
    const double expected = toSeconds(this->predict(route, pendingTokens)) * 1000;
    const std::lock_guard lock(this->mutex);
    Line &line = this->lines.try_emplace(route, initialLine()).first->second;
    const double observed = std::min(static_cast<double>(time.count()) / 1000, LargestSurprise * expected);
    const double tokensOff = pendingTokens - line.tokens;
    const double timeOff = observed - line.milliseconds;
    line.tokens += ObservationWeight * tokensOff;
    line.milliseconds += ObservationWeight * timeOff;
    line.variance = (1 - ObservationWeight) * (line.variance + ObservationWeight * tokensOff * tokensOff);
    line.covariance = (1 - ObservationWeight) * (line.covariance + ObservationWeight * tokensOff * timeOff);
}

Duration FirstTokenForecast::predict(const std::string &route, double pendingTokens) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->lines.find(route);
    const Line line = found == this->lines.end() ? initialLine() : found->second;
    const double slope = std::clamp(line.covariance / std::max(1.0, line.variance), 1 / HighestRate, 1 / LowestRate);
    const double base = std::max(LowestBaseMs, line.milliseconds - slope * line.tokens);
    return fromSeconds((base + slope * pendingTokens) / 1000);
}

Duration FirstTokenForecast::spent(const std::string &route, Duration patience)
{
    const std::lock_guard lock(this->mutex);
    std::map<int64_t, double> &counts = this->patienceCounts[route];
    ++counts[patience / PatienceStep];
    if (counts.size() > MaxPatienceSteps) {
        for (auto &[step, count] : counts) {
            count /= 2;
        }
        std::erase_if(counts, [](const auto &entry) { return entry.second < 1; });
    }
    if (counts.empty()) {
        return Duration(0);
    }
    const auto usual = std::max_element(counts.begin(), counts.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    return std::max(Duration(0), usual->first * PatienceStep - patience);
}

} // namespace pimentosail
