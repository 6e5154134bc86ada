// Plans which targets load new weights next.
//
// A pure function: the same facts give the same plan. At most a fixed share of a service's targets load at once,
// since loading is slower while more do; the targets with the least work go first, those that are farthest behind
// before others; a version that was replaced before a target began with it is skipped.
//
//     RolloutPlan plan = planRollout(facts, RolloutLimits{});
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

// What is known of one target.
struct RolloutTarget
{
    std::string id;
    int64_t version = 0;
    // It carries out an order, or one was sent and its outcome is open.
    bool isLoading = false;
    // It may not be ordered now: it is leaving, out of reach or refused lately.
    bool isExcluded = false;
    double load = 0;
};

struct RolloutLimits
{
    // Largest part of the targets that load at once, rounded down (the operators' sheet: 2 of 12, 3 of 18, 28 of 140, 18 of 90).
    double share = 0.2;
};

// Returns how many of `targets` targets may load at once.
int64_t loadsAtOnce(size_t targets, const RolloutLimits &limits);

// Returns the ids of the targets to prepare or order now to load `version`, in order.
std::vector<std::string> planRollout(const std::vector<RolloutTarget> &targets, int64_t version, const RolloutLimits &limits);

} // namespace pimentosail
