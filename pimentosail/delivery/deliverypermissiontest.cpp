#include <criterion/criterion.h>

#include <array>

#include "pimentosail/delivery/deliverypermission.h"

using namespace pimentosail;

namespace
{

const DeliveryOrder Order = *DeliveryOrder::make("chat", "v2", 12, {1, 7});

DeliveryView makeView(DeliveryPhase phase)
{
    return {.order = Order, .state = DeliveryState{.order = Order, .phase = phase, .share = 0.02, .chosenTargets = {"new1"}}};
}

DeliveryObstacle obstacle(const DeliveryView &view, const char *version, const char *target, bool isDrawn = false)
{
    return checkDelivery(view, version, target, isDrawn).obstacle;
}

constexpr std::array<DeliveryPhase, 5> Phases = {
    DeliveryPhase::Waiting,
    DeliveryPhase::Watching,
    DeliveryPhase::Switching,
    DeliveryPhase::Completed,
    DeliveryPhase::RolledBack,
};

} // namespace

// Failure: the feature changes decisions where nobody has ordered anything.
Test(deliverypermission, without_an_order_every_target_is_allowed_and_nothing_is_drawn)
{
    const DeliveryView view;
    cr_assert_not(needsDraw(view));
    for (const char *version : {"", "v1", "v2"}) {
        for (const bool isDrawn : {false, true}) {
            const DeliveryDecision decision = checkDelivery(view, version, "t1", isDrawn);
            cr_assert(decision.isAllowed());
            cr_assert_not(decision.isPreferred);
        }
    }
}

// Failure: a new version gets requests before anybody watches it.
Test(deliverypermission, an_order_without_state_keeps_requests_from_the_new_version)
{
    DeliveryView view{.order = Order};
    cr_assert_eq(obstacle(view, "v2", "new1", true), DeliveryObstacle::NotStarted);
    cr_assert_eq(obstacle(view, "v1", "old1"), DeliveryObstacle::None);
    cr_assert_not(needsDraw(view));
    // An order that names the only version there is must not end the service.
    view.hasOldTargets = false;
    cr_assert_eq(obstacle(view, "v2", "new1"), DeliveryObstacle::None);
}

// Failure: a phase of the table in the header is not kept to.
Test(deliverypermission, each_phase_allows_the_targets_of_the_table)
{
    using enum DeliveryObstacle;
    cr_assert_eq(obstacle(makeView(DeliveryPhase::Waiting), "v2", "new1", true), NotStarted);
    cr_assert_eq(obstacle(makeView(DeliveryPhase::Waiting), "v1", "old1"), None);
    cr_assert_eq(obstacle(makeView(DeliveryPhase::Watching), "v2", "new1", true), None);
    cr_assert_eq(obstacle(makeView(DeliveryPhase::Watching), "v2", "new1", false), OutsideShare);
    cr_assert_eq(obstacle(makeView(DeliveryPhase::Watching), "v2", "new2", true), NotChosen);
    cr_assert_eq(obstacle(makeView(DeliveryPhase::Watching), "v1", "old1", true), None);
    cr_assert(checkDelivery(makeView(DeliveryPhase::Watching), "v2", "new1", true).isPreferred);
    cr_assert_not(checkDelivery(makeView(DeliveryPhase::Watching), "v1", "old1", true).isPreferred);
    for (const DeliveryPhase phase : {DeliveryPhase::Switching, DeliveryPhase::Completed}) {
        cr_assert_eq(obstacle(makeView(phase), "v2", "new2"), None);
        cr_assert_eq(obstacle(makeView(phase), "v1", "old1"), Replaced);
    }
    cr_assert_eq(obstacle(makeView(DeliveryPhase::RolledBack), "v2", "new1", true), RolledBack);
    cr_assert_eq(obstacle(makeView(DeliveryPhase::RolledBack), "v1", "old1"), None);
    for (const DeliveryPhase phase : Phases) {
        cr_assert_eq(needsDraw(makeView(phase)), phase == DeliveryPhase::Watching);
    }
}

// Failure: a host that found the version bad goes on sending to it while the decider is lost, or has no target left.
Test(deliverypermission, a_host_that_found_the_version_bad_uses_the_old_ones)
{
    for (const DeliveryPhase phase : {DeliveryPhase::Watching, DeliveryPhase::Switching}) {
        DeliveryView view = makeView(phase);
        view.isStopped = true;
        cr_assert_eq(obstacle(view, "v2", "new1", true), DeliveryObstacle::Stopped);
        cr_assert_eq(obstacle(view, "v1", "old1"), DeliveryObstacle::None);
        cr_assert_not(needsDraw(view));
    }
    // The old targets stop at this point, so the state is decisive.
    DeliveryView completed = makeView(DeliveryPhase::Completed);
    completed.isStopped = true;
    cr_assert_eq(obstacle(completed, "v2", "new1"), DeliveryObstacle::None);
    cr_assert_eq(obstacle(completed, "v1", "old1"), DeliveryObstacle::Replaced);
}

// Failure: a host that is cut off goes on sending to a version that has been rolled back meanwhile.
Test(deliverypermission, an_isolated_host_sends_nothing_to_a_watched_version)
{
    DeliveryView view = makeView(DeliveryPhase::Watching);
    view.isIsolated = true;
    cr_assert_eq(obstacle(view, "v2", "new1", true), DeliveryObstacle::Isolated);
    cr_assert_eq(obstacle(view, "v1", "old1"), DeliveryObstacle::None);
    cr_assert_not(needsDraw(view));
}

// Failure: a removed or replaced order leaves its version in use.
Test(deliverypermission, the_state_of_a_removed_or_replaced_order_counts_as_rolled_back)
{
    const DeliveryOrder next = *DeliveryOrder::make("chat", "v3", 12, {1, 9});
    for (const DeliveryPhase phase : Phases) {
        const bool isCompleted = phase == DeliveryPhase::Completed;
        for (const std::optional<DeliveryOrder> &order : {std::optional<DeliveryOrder>(), std::optional(next)}) {
            DeliveryView view = makeView(phase);
            view.order = order;
            cr_assert_eq(checkDelivery(view, "v2", "new1", true).isAllowed(), isCompleted);
            cr_assert_eq(checkDelivery(view, "v1", "old1", false).isAllowed(), !isCompleted);
            cr_assert_not(needsDraw(view));
            if (order) {
                cr_assert_not(checkDelivery(view, "v3", "newer", true).isAllowed());
            }
        }
    }
}

// Failure: a bad version that was rolled back gets requests as an old version of the next delivery.
Test(deliverypermission, withdrawn_versions_get_nothing)
{
    for (const DeliveryPhase phase : Phases) {
        DeliveryView view = makeView(phase);
        view.state->withdrawnVersions = {"v1b"};
        cr_assert_eq(obstacle(view, "v1b", "bad1"), DeliveryObstacle::RolledBack);
    }
}

// Failure: a faulty order that names the only version there is ends the service.
Test(deliverypermission, a_rejected_order_denies_its_version_only_beside_another)
{
    DeliveryView view = makeView(DeliveryPhase::RolledBack);
    view.state->isRejected = true;
    cr_assert_eq(obstacle(view, "v2", "new1"), DeliveryObstacle::RolledBack);
    view.hasOldTargets = false;
    cr_assert_eq(obstacle(view, "v2", "new1"), DeliveryObstacle::None);
    view.state->isRejected = false;
    cr_assert_eq(obstacle(view, "v2", "new1"), DeliveryObstacle::RolledBack, "a version that was found bad stays out of use");
}

// Failure: an order back to the former version, while the new one was just rolled back, leaves no target for any request.
Test(deliverypermission, something_is_allowed_if_the_order_goes_back_to_the_former_version)
{
    DeliveryView view = makeView(DeliveryPhase::RolledBack);
    cr_assert(hasAllowedVersion(view, {"v1", "v2"}));
    view.order = *DeliveryOrder::make("chat", "v1", 12, {1, 9});
    cr_assert_not(hasAllowedVersion(view, {"v1", "v2"}));
    view.hasOldTargets = false;
    cr_assert_eq(obstacle(view, "v1", "old1"), DeliveryObstacle::None);
    cr_assert_eq(obstacle(view, "v2", "new1"), DeliveryObstacle::RolledBack);
}

// Failure: names in logs and metrics do not match the obstacles.
Test(deliverypermission, each_obstacle_has_its_name)
{
    cr_assert_eq(deliveryObstacleName(DeliveryObstacle::None), "none");
    cr_assert_eq(deliveryObstacleName(DeliveryObstacle::Isolated), "isolated");
    cr_assert_eq(deliveryObstacleName(DeliveryObstacle::Replaced), "replaced");
}
