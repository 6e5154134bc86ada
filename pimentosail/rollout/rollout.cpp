#include "pimentosail/rollout/rollout.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

int64_t countOfShare(double share, size_t targets)
{
    // Floating-point error can put a product that should be a whole number just below it.
    constexpr double RoundingTolerance = 1e-9;
    return static_cast<int64_t>(share * static_cast<double>(targets) + RoundingTolerance);
}

} // namespace

int64_t maxConcurrentLoads(size_t targets, const RolloutLimits &limits)
{
    return std::max<int64_t>(1, countOfShare(limits.maxLoadingShare, targets));
}

int64_t maxUnfinishedLoads(size_t targets, const RolloutLimits &limits)
{
    return std::max(maxConcurrentLoads(targets, limits), countOfShare(limits.maxUnfinishedShare, targets));
}

std::vector<std::string> planRollout(const std::vector<RolloutTarget> &targets, int64_t version, const RolloutLimits &limits)
{
    const auto loading = std::count_if(targets.begin(), targets.end(), [](const RolloutTarget &target) { return target.isLoading; });
    const auto late = std::count_if(targets.begin(), targets.end(), [](const RolloutTarget &target) { return target.isLate; });
    const int64_t free = std::min(maxConcurrentLoads(targets.size(), limits) - loading, maxUnfinishedLoads(targets.size(), limits) - loading - late);
    std::vector<const RolloutTarget *> candidates;
    for (const RolloutTarget &target : targets) {
        if (!target.isLoading && !target.isLate && !target.isExcluded && target.version < version) {
            candidates.push_back(&target);
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const RolloutTarget *a, const RolloutTarget *b) {
        return a->version != b->version ? a->version < b->version : a->requestsInFlight < b->requestsInFlight;
    });
    std::vector<std::string> result;
    for (const RolloutTarget *target : candidates) {
        if (static_cast<int64_t>(result.size()) >= free) {
            break;
        }
        result.push_back(target->id);
    }
    return result;
}

} // namespace pimentosail
