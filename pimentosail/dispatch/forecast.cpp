#include "pimentosail/dispatch/forecast.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

// Until something was observed: an engine's nominal rate, halved for the steps of other runs.
constexpr double InitialRate = 56;
constexpr double InitialBaseMs = 60;
constexpr double LowestRate = 5;
constexpr double HighestRate = 300;
// Below this many tokens the time says little about the rate; it is the time of an idle target.
constexpr double BusyTokens = 8000;
constexpr double ObservationWeight = 0.05;
constexpr Duration PatienceStep = Milliseconds(20);
constexpr size_t MaxPatienceSteps = 64;

} // namespace

void FirstTokenForecast::note(const std::string &service, double pendingTokens, Duration time)
{
    const std::lock_guard lock(this->mutex);
    Rate &rate = this->rates.try_emplace(service, Rate{InitialRate, InitialBaseMs}).first->second;
    const double milliseconds = static_cast<double>(time.count()) / 1000;
    if (pendingTokens < BusyTokens) {
        rate.baseMs += (std::min(milliseconds, 4 * rate.baseMs) - rate.baseMs) * ObservationWeight;
        return;
    }
    const double observed = std::clamp(pendingTokens / std::max(1.0, milliseconds - rate.baseMs), LowestRate, HighestRate);
    rate.tokensPerMillisecond += (observed - rate.tokensPerMillisecond) * ObservationWeight;
}

Duration FirstTokenForecast::predict(const std::string &service, double pendingTokens) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->rates.find(service);
    const Rate rate = found == this->rates.end() ? Rate{InitialRate, InitialBaseMs} : found->second;
    return fromSeconds((rate.baseMs + pendingTokens / rate.tokensPerMillisecond) / 1000);
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
