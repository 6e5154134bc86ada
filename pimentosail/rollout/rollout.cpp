#include "pimentosail/rollout/rollout.h"

#include <algorithm>

namespace pimentosail
{

int64_t maxConcurrentLoads(size_t targets, const RolloutLimits &limits)
{
    // Floating-point error can put a product that should be a whole number just below it.
    constexpr double RoundingTolerance = 1e-9;
    return std::max<int64_t>(1, static_cast<int64_t>(limits.maxLoadingShare * static_cast<double>(targets) + RoundingTolerance));
}

std::vector<std::string> planRollout(const std::vector<RolloutTarget> &targets, int64_t version, const RolloutLimits &limits)
{
    const int64_t maxLoads = maxConcurrentLoads(targets.size(), limits);
    const auto loading = std::count_if(targets.begin(), targets.end(), [](const RolloutTarget &target) { return target.isLoading; });
    std::vector<const RolloutTarget *> candidates;
    for (const RolloutTarget &target : targets) {
        if (!target.isLoading && !target.isExcluded && target.version < version) {
            candidates.push_back(&target);
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const RolloutTarget *a, const RolloutTarget *b) {
        return a->version != b->version ? a->version < b->version : a->requestsInFlight < b->requestsInFlight;
    });
    std::vector<std::string> result;
    for (const RolloutTarget *target : candidates) {
        if (loading + static_cast<int64_t>(result.size()) >= maxLoads) {
            break;
        }
        result.push_back(target->id);
    }
    return result;
}

} // namespace pimentosail
