#include "pimentosail/delivery/deliverypermission.h"

#include <algorithm>
#include <array>

namespace pimentosail
{

namespace
{

constexpr std::array<std::string_view, 8> ObstacleNames = {
    "none",
    "not_started",
    "not_chosen",
    "outside_share",
    "stopped",
    "isolated",
    "rolled_back",
    "replaced",
};

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

// The state of an order that was removed or replaced counts as rolled back, unless it is completed.
DeliveryPhase effectivePhase(const DeliveryView &view)
{
    const bool isCurrent = view.order && view.order->version == view.state->order.version;
    return isCurrent || view.state->phase == DeliveryPhase::Completed ? view.state->phase : DeliveryPhase::RolledBack;
}

DeliveryObstacle findObstacleWhileWatched(const DeliveryView &view, const std::string &targetId, bool isDrawn)
{
    if (view.isStopped) {
        return DeliveryObstacle::Stopped;
    }
    if (view.isIsolated) {
        return DeliveryObstacle::Isolated;
    }
    if (!view.hasOldTargets) {
        return DeliveryObstacle::None;
    }
    if (!contains(view.state->chosenTargets, targetId)) {
        return DeliveryObstacle::NotChosen;
    }
    return isDrawn ? DeliveryObstacle::None : DeliveryObstacle::OutsideShare;
}

DeliveryObstacle findObstacleForNew(const DeliveryView &view, DeliveryPhase phase, const std::string &targetId, bool isDrawn)
{
    switch (phase) {
    case DeliveryPhase::Waiting:
        return view.hasOldTargets ? DeliveryObstacle::NotStarted : DeliveryObstacle::None;
    case DeliveryPhase::Watching:
        return findObstacleWhileWatched(view, targetId, isDrawn);
    case DeliveryPhase::Switching:
        return view.isStopped ? DeliveryObstacle::Stopped : DeliveryObstacle::None;
    case DeliveryPhase::Completed:
        return DeliveryObstacle::None;
    case DeliveryPhase::RolledBack:
        break;
    }
    return view.state->isRejected && !view.hasOldTargets ? DeliveryObstacle::None : DeliveryObstacle::RolledBack;
}

DeliveryObstacle findObstacleForOld(const DeliveryView &view, DeliveryPhase phase)
{
    const bool isReplaced = phase == DeliveryPhase::Completed || (phase == DeliveryPhase::Switching && !view.isStopped);
    return isReplaced ? DeliveryObstacle::Replaced : DeliveryObstacle::None;
}

} // namespace

std::string_view deliveryObstacleName(DeliveryObstacle obstacle)
{
    return ObstacleNames.at(static_cast<size_t>(obstacle));
}

bool needsDraw(const DeliveryView &view)
{
    return view.state && view.state->phase == DeliveryPhase::Watching && effectivePhase(view) == DeliveryPhase::Watching && view.state->share > 0
        && !view.isStopped && !view.isIsolated;
}

bool hasAllowedVersion(DeliveryView view, const std::vector<std::string> &servingVersions)
{
    view.hasOldTargets = true;
    return std::any_of(
        servingVersions.begin(), servingVersions.end(), [&view](const std::string &version) { return checkDelivery(view, version, "", false).isAllowed(); });
}

DeliveryDecision checkDelivery(const DeliveryView &view, const std::string &targetVersion, const std::string &targetId, bool isDrawn)
{
    const bool hasOrderedVersion = view.order && view.order->version == targetVersion;
    if (!view.state) {
        return {hasOrderedVersion && view.hasOldTargets ? DeliveryObstacle::NotStarted : DeliveryObstacle::None};
    }
    if (contains(view.state->withdrawnVersions, targetVersion)) {
        return {DeliveryObstacle::RolledBack};
    }
    const DeliveryPhase phase = effectivePhase(view);
    if (targetVersion == view.state->order.version) {
        const DeliveryObstacle obstacle = findObstacleForNew(view, phase, targetId, isDrawn);
        return {obstacle, obstacle == DeliveryObstacle::None && phase == DeliveryPhase::Watching && isDrawn};
    }
    // The order has another version than the state, which is that of a former order.
    if (hasOrderedVersion && view.hasOldTargets) {
        return {DeliveryObstacle::NotStarted};
    }
    return {findObstacleForOld(view, phase)};
}

} // namespace pimentosail
