// Learns, for each team, when its prompts come back: a decaying histogram of return gaps on a logarithmic scale.
//
//     ReturnModel model;
//     model.addGap("pickers", std::chrono::minutes(20));
//     double p = model.returnProbability("pickers", age, horizon);
//
// Not thread-safe.
#pragma once

#include <array>
#include <string>
#include <unordered_map>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

class ReturnModel
{
public:
    // Records that a prompt of `team` came back after `gap`.
    void addGap(const std::string &team, Duration gap);

    // Records a prompt of `team` that was not known before.
    void addNew(const std::string &team);

    // Returns the probability that a prompt last used `age` ago comes back within the next `horizon`.
    double returnProbability(const std::string &team, Duration age, Duration horizon) const;

private:
    static constexpr size_t BucketCount = 24;

    struct Gaps
    {
        std::array<double, BucketCount> weight{};
        double fresh = 0;
    };

    static double bucketOf(Duration gap);
    static double weightBelow(const Gaps &gaps, Duration gap);

    std::unordered_map<std::string, Gaps> teams;
};

} // namespace pimentosail
