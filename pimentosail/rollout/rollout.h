// Selects the targets that load new weights next.
//
// At most a fixed share of a service's targets loads at a time, because a load takes longer the more targets load at
// once. A target that has not answered its load order, and whose report does not show the load, may carry the order out at
// any later time. When it loads is not up to the leader, so late loads do not hold up the other targets; a larger bound of
// their own limits how many load if all of them start at once. Targets with the oldest version come first, among them those
// with the fewest requests in flight. Only the newest wanted version is planned: a version that was replaced before a target
// started to load it is skipped.
//
//     std::vector<std::string> ids = planRollout(targets, 7, RolloutLimits{});
//
// The functions are pure: the same input gives the same result. They are safe to call from any thread.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

// The state of one target that the selection depends on.
struct RolloutTarget
{
    std::string id;
    int64_t version = 0;
    // The target is prepared for a load order, executes one, or was just sent one.
    bool isLoading = false;
    // The target did not answer its load order in time. It executes it, or may do so later.
    bool isLate = false;
    // The target must not get a load order now: it is draining, unreachable or has recently refused one.
    bool isExcluded = false;
    double requestsInFlight = 0;
};

struct RolloutLimits
{
    // Largest share of a service's targets that loads at a time; the number of targets is rounded down. It yields the
    // operators' limits: 2 of 12, 3 of 18, 18 of 90 and 28 of 140 targets.
    double maxLoadingShare = 0.2;
    // Largest share of a service's targets that loads or has an order that is not carried out yet; the number of targets is rounded
    // down. The other targets serve requests even if all outstanding orders are carried out at the same moment.
    double maxUnfinishedShare = 0.75;
};

// Returns how many of `targets` targets may load at a time, at least 1.
int64_t maxConcurrentLoads(size_t targets, const RolloutLimits &limits);

// Returns how many of `targets` targets may load or have an order that is not carried out yet, at least `maxConcurrentLoads`.
int64_t maxUnfinishedLoads(size_t targets, const RolloutLimits &limits);

// Returns the ids of the targets that are to be prepared for loading `version` now, those of the highest priority first.
std::vector<std::string> planRollout(const std::vector<RolloutTarget> &targets, int64_t version, const RolloutLimits &limits);

} // namespace pimentosail
