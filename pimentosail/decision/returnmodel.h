// Estimates, for each team, when its prompts are used again: a decaying histogram of the gaps between uses, with buckets on
// a logarithmic scale.
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
    // Records that a prompt of `team` was used again after `gap`.
    void addGap(const std::string &team, Duration gap);

    // Records the first use of a prompt of `team`.
    void addNew(const std::string &team);

    // Returns the probability that a prompt last used `age` ago is used again within the next `horizon`.
    double returnProbability(const std::string &team, Duration age, Duration horizon) const;

private:
    static constexpr size_t BucketCount = 24;

    struct GapHistogram
    {
        std::array<double, BucketCount> weight{};
        double newPrompts = 0;
    };

    static double bucketPosition(Duration gap);
    static double weightBelow(const GapHistogram &gaps, Duration gap);

    std::unordered_map<std::string, GapHistogram> teams;
};

} // namespace pimentosail
