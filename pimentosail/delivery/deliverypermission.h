// Decides which targets a request may go to while a delivery is in progress and after it. This is the only place of the rule.
//
//     DeliveryDecision decision = checkDelivery(view, {target.id, target.version}, mayUseNew);
//     if (!decision.isAllowed()) { log(deliveryObstacleName(decision.obstacle)); }
//
//     phase                    new version                              old versions
//     no order and no state    allowed                                  allowed
//     order, no state yet      denied (1)                               allowed
//     Waiting                  denied (1)                               allowed
//     Watching                 chosen targets, for drawn requests (1)   allowed
//     Switching                allowed                                  denied
//     Completed                allowed                                  denied
//     RolledBack               denied (2)                               allowed
//
// (1) Allowed if no target with an allowed version takes requests: refusing everything would protect no caller. (2) The same if the order was rejected as
// faulty, because it may name the only version that there is.
//
// In Watching and Switching, a host that itself finds the version bad (`isStopped`) denies the new version and allows the old ones. In Watching, a
// host that hears from neither the store nor other hosts (`isIsolated`) denies the new version. The state of an order that was removed or replaced
// counts as rolled back unless it is completed. Withdrawn versions of the state are denied. All functions are pure and thread-safe.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentosail/delivery/deliveryorder.h"
#include "pimentosail/delivery/deliverystate.h"

namespace pimentosail
{

// What a host knows of a service's delivery.
struct DeliveryView
{
    std::optional<DeliveryOrder> order;
    std::optional<DeliveryState> state;
    // This host's own sums say that the version of `order` is bad.
    bool isStopped = false;
    // Some target takes requests whose version is allowed at any rate; see `hasAllowedVersion`.
    bool hasOldTargets = true;
    // This host has heard from neither the store nor other hosts for `IsolationLimit`.
    bool isIsolated = false;
};

// Time without word from the store and other hosts after which a watched version gets nothing more. Well below Bounds.RollbackMs (5,000), and above
// the 1.7 s after which a silent relay is given up.
constexpr Duration IsolationLimit = std::chrono::seconds(2);

// Why a target may not get a request.
enum class DeliveryObstacle {
    None,
    // There is no state for the order yet, or the version waits for its targets.
    NotStarted,
    // The target is not one of those that are watched.
    NotChosen,
    // The request is not one of the share that goes to the watched version.
    OutsideShare,
    // This host found the version bad.
    Stopped,
    // This host is cut off from the store and from other hosts.
    Isolated,
    // The version was rolled back, or its order removed or replaced.
    RolledBack,
    // The target has an old version, and the requests have been switched over.
    Replaced,
};

// Returns the name of the obstacle, as it stands in logs and metrics.
std::string_view deliveryObstacleName(DeliveryObstacle obstacle);

struct DeliveryDecision
{
    DeliveryObstacle obstacle = DeliveryObstacle::None;
    // The request is one of the watched version's share: this target is to be taken before others that are merely allowed.
    bool isPreferred = false;

    bool isAllowed() const
    {
        return this->obstacle == DeliveryObstacle::None;
    }
};

// Returns true if requests of the service are to be drawn by `ExposureLimiter::mayUseNewVersion`: a version is watched, and this host may use it.
bool needsDraw(const DeliveryView &view);

// Returns true if one of `servingVersions`, the versions of the targets that take requests, is allowed for requests outside the share.
bool hasAllowedVersion(DeliveryView view, const std::vector<std::string> &servingVersions);

// Returns whether a request may go to the target `targetId` with `targetVersion`. `isDrawn` is what the exposure limiter said of this request.
DeliveryDecision checkDelivery(const DeliveryView &view, const std::string &targetVersion, const std::string &targetId, bool isDrawn);

} // namespace pimentosail
