#include "pimentosail/decision/returnmodel.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pimentosail
{

namespace
{

// Factor by which the weight of earlier observations decreases with each new gap.
constexpr double Decay = 0.999;
// Prior weight of each bucket: without observations, gaps are assumed to be spread evenly over the logarithmic scale.
constexpr double PriorWeight = 0.2;
// Prior weight of prompts that never return.
constexpr double PriorNever = 1.0;

} // namespace

double ReturnModel::bucketPosition(Duration gap)
{
    const double seconds = std::max(1.0, toSeconds(gap));
    return std::min(std::log2(seconds), static_cast<double>(BucketCount) - 0.001);
}

void ReturnModel::addGap(const std::string &team, Duration gap)
{
    GapHistogram &gaps = this->teams[team];
    for (double &weight : gaps.weight) {
        weight *= Decay;
    }
    gaps.newPrompts *= Decay;
    gaps.weight.at(static_cast<size_t>(bucketPosition(gap))) += 1;
}

void ReturnModel::addNew(const std::string &team)
{
    this->teams[team].newPrompts += 1;
}

double ReturnModel::weightBelow(const GapHistogram &gaps, Duration gap)
{
    const double position = bucketPosition(gap);
    const auto fullBuckets = static_cast<size_t>(position);
    double sum = 0;
    for (size_t index = 0; index < fullBuckets; ++index) {
        sum += gaps.weight.at(index) + PriorWeight;
    }
    return sum + (gaps.weight.at(fullBuckets) + PriorWeight) * (position - static_cast<double>(fullBuckets));
}

double ReturnModel::returnProbability(const std::string &team, Duration age, Duration horizon) const
{
    static const GapHistogram empty;
    const auto found = this->teams.find(team);
    const GapHistogram &gaps = found == this->teams.end() ? empty : found->second;
    const double returned = std::accumulate(gaps.weight.begin(), gaps.weight.end(), 0.0) + PriorWeight * BucketCount;
    // Every prompt was new once, including those that returned. The weight of new prompts is therefore scaled by their share
    // of all observations, so that the estimate of prompts that never return falls as returns outnumber new prompts.
    const double never = PriorNever + gaps.newPrompts * gaps.newPrompts / (gaps.newPrompts + returned + 1);
    const double passed = weightBelow(gaps, age);
    const double within = weightBelow(gaps, age + horizon) - passed;
    const double remaining = std::max(returned + never - passed, 1e-9);
    return std::clamp(within / remaining, 0.0, 1.0);
}

} // namespace pimentosail
