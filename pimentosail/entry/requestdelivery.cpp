// The part of a request's way that concerns the delivery of a service's new version: which versions may get it, and what its outcome tells of them.
#include <algorithm>
#include <utility>

#include "pimentosail/entry/requestrunner.h"

namespace pimentosail
{

std::shared_ptr<const DeliveryView> RequestRunner::deliveryView()
{
    if (!this->context.deliveries.isActive()) {
        return nullptr;
    }
    std::shared_ptr<const DeliveryView> view = this->context.deliveries.view(this->service, this->context.mirror.status().lastAnswer);
    // A request that was sent before is tried again on old versions only, so that a watched one gets no more than its share.
    if (view && needsDraw(*view) && this->arrivals == 0 && !std::exchange(this->hasDrawn, true)) {
        this->isDrawn = this->context.deliveries.limiter.mayUseNewVersion(this->service);
    }
    return view;
}

void RequestRunner::returnDraw()
{
    if (std::exchange(this->isDrawn, false)) {
        this->context.deliveries.limiter.giveBack(this->service);
    }
}

void RequestRunner::settleDraw(const TargetChoice &choice)
{
    if (!this->context.deliveries.isActive()) {
        return;
    }
    this->context.metrics.count("pimentosail_delivery_requests_total", {{"service", this->service}, {"version", choice.target->softwareVersion}});
    if (!this->isDrawn) {
        return;
    }
    const std::shared_ptr<const DeliveryView> view = this->context.deliveries.view(this->service, this->context.mirror.status().lastAnswer);
    if (view && view->state && view->state->order.version == choice.target->softwareVersion) {
        this->isDrawn = false;
    } else {
        this->returnDraw();
    }
}

// A target that is at a limit or in backoff counts too: otherwise a watched version would get all requests in the moments in which the old targets refuse
// them under load.
bool RequestRunner::hasOldTargets(const DeliveryView &view) const
{
    std::vector<std::string> versions;
    for (const TargetView &entry : this->context.directory.all(this->service, "")) {
        const SendObstacle obstacle = this->context.gate.check(*entry.target, SendKind::Request).obstacle;
        if (obstacle == SendObstacle::None || obstacle > SendObstacle::Evacuated) {
            versions.push_back(entry.target->softwareVersion);
        }
    }
    return hasAllowedVersion(view, versions);
}

void RequestRunner::recordVersionOutcome(const TargetChoice &choice, const AttemptResult &result, bool failedRun)
{
    if (!this->context.deliveries.isCounting() || result.sentAt == Time(0)) {
        return;
    }
    const bool isDeadline = result.end == AttemptEnd::Deadline;
    if (!failedRun && !isDeadline && result.end != AttemptEnd::Answered) {
        return;
    }
    // A deadline that passes before the first event tells that the target is at least as slow as that; after it, that the target broke off.
    const bool hasBegun = result.timeToFirstEvent > Duration(0);
    const Duration firstEvent = hasBegun ? result.timeToFirstEvent : this->context.clock.now() - result.sentAt;
    this->context.deliveries.outcomes.recordAnswer(
        {this->service, choice.target->softwareVersion, this->route->name}, {.isFailure = failedRun || (isDeadline && hasBegun), .firstEvent = firstEvent});
}

} // namespace pimentosail
