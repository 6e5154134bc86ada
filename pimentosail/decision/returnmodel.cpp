#include "pimentosail/decision/returnmodel.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pimentosail
{

namespace
{

// Factor by which old observations lose weight with each new one.
constexpr double Decay = 0.999;
// Weight of the assumption, before any observation, that gaps spread evenly over the scale.
constexpr double PriorWeight = 0.2;
// Part of new prompts expected never to return while nothing is known.
constexpr double PriorNever = 1.0;

} // namespace

double ReturnModel::bucketOf(Duration gap)
{
    const double seconds = std::max(1.0, toSeconds(gap));
    return std::min(std::log2(seconds), static_cast<double>(BucketCount) - 0.001);
}

void ReturnModel::addGap(const std::string &team, Duration gap)
{
    Gaps &gaps = this->teams[team];
    for (double &weight : gaps.weight) {
        weight *= Decay;
    }
    gaps.fresh *= Decay;
    gaps.weight.at(static_cast<size_t>(bucketOf(gap))) += 1;
}

void ReturnModel::addNew(const std::string &team)
{
    this->teams[team].fresh += 1;
}

double ReturnModel::weightBelow(const Gaps &gaps, Duration gap)
{
    const double position = bucketOf(gap);
    const auto whole = static_cast<size_t>(position);
    double sum = 0;
    for (size_t index = 0; index < whole; ++index) {
        sum += gaps.weight.at(index) + PriorWeight;
    }
    return sum + (gaps.weight.at(whole) + PriorWeight) * (position - static_cast<double>(whole));
}

double ReturnModel::returnProbability(const std::string &team, Duration age, Duration horizon) const
{
    static const Gaps empty;
    const auto found = this->teams.find(team);
    const Gaps &gaps = found == this->teams.end() ? empty : found->second;
    const double returned = std::accumulate(gaps.weight.begin(), gaps.weight.end(), 0.0) + PriorWeight * BucketCount;
    // Each known prompt was new once; those that never returned are a small part once returns outnumber them.
    const double never = PriorNever + gaps.fresh * gaps.fresh / (gaps.fresh + returned + 1);
    const double passed = weightBelow(gaps, age);
    const double within = weightBelow(gaps, age + horizon) - passed;
    const double remaining = std::max(returned + never - passed, 1e-9);
    return std::clamp(within / remaining, 0.0, 1.0);
}

} // namespace pimentosail
