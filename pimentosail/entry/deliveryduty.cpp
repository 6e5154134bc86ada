#include "pimentosail/entry/deliveryduty.h"

#include <algorithm>
#include <utility>

#include "pimentosail/entry/ownwrites.h"
#include "pimentosail/entry/stateupdater.h"

namespace pimentosail
{

namespace
{

// Interval between two decisions, and between two looks for an order.
constexpr Duration DecisionInterval = Milliseconds(50);
constexpr Duration IdleInterval = Milliseconds(200);

} // namespace

DeliveryDuty::DeliveryDuty(EntryContext &entryContext, PrefixStore platformStore, const StoreMirror &storeMirror, const RolloutLeadership &rolloutLeadership)
    : context(entryContext)
    , store(std::move(platformStore))
    , mirror(storeMirror)
    , leadership(rolloutLeadership)
    , settings{entryContext.settings.exposureShare.value_or(0), static_cast<double>(entryContext.settings.exposureSlack)}
    , thread("delivery", [this] { this->run(); })
{
}

DeliveryDuty::~DeliveryDuty()
{
    this->stop();
}

void DeliveryDuty::start()
{
    if (this->context.deliveries.isEnabled()) {
        this->thread.start();
    }
}

void DeliveryDuty::stop()
{
    this->stopping.store(true);
    this->thread.join();
}

void DeliveryDuty::run()
{
    while (!this->stopping.load()) {
        const bool isActive = this->context.deliveries.isActive();
        if (isActive) {
            if (const std::optional<StoreCondition> condition = this->leadership.holding()) {
                this->decide(*condition);
            }
        }
        this->context.clock.sleepFor(isActive ? DecisionInterval : IdleInterval);
    }
}

void DeliveryDuty::decide(const StoreCondition &condition)
{
    // What a predecessor wrote is known once the mirror has the state of the store as of this host's leadership.
    const StorePosition since{condition.era, condition.revision};
    for (const std::string &service : this->context.deliveries.services()) {
        if (this->mirror.status().position() < std::max(since, this->writtenAt)) {
            return;
        }
        this->decideService(service, condition);
    }
}

std::vector<DeliveryTarget> DeliveryDuty::targetsOf(const std::string &service) const
{
    const Time now = this->context.clock.now();
    std::vector<DeliveryTarget> targets;
    for (const TargetView &view : this->context.directory.all(service, "")) {
        const TargetState &target = *view.target;
        const SendObstacle obstacle = this->context.gate.check(target, SendKind::Request).obstacle;
        const bool isLeaving = obstacle != SendObstacle::None && obstacle <= SendObstacle::Evacuated;
        targets.push_back({target.id, target.softwareVersion, isLeaving, target.inFlight.load() + this->context.loads.loadOfOthers(target.id, now).requests});
    }
    return targets;
}

DeliveryStep DeliveryDuty::nextStep(const std::string &service, const DeliveryKnowledge &known) const
{
    std::optional<StatedDelivery> order = known.order;
    const ServingConfigurationPointer serving = this->context.state.serving();
    if (order && order->error.empty() && serving && serving->findService(service) == nullptr) {
        order->error = "the configuration has no service " + service;
    }
    DeliveryInput input;
    input.previous = known.state;
    if (order && order->error.empty()) {
        input.order = order->order;
    }
    input.mayLackOrder = known.mayLackOrder;
    input.targets = this->targetsOf(service);
    input.evidence = known.evidence;
    input.elapsed = known.elapsed;
    if (order && !order->error.empty() && !order->order.version.empty()) {
        return rejectDelivery(input, order->order, order->error);
    }
    return planDelivery(input, this->settings);
}

bool DeliveryDuty::isStatusDue(const std::string &service, const DeliveryStatus &status) const
{
    const std::optional<StoredItem> item = itemAt(this->mirror, this->context.wire.layout.deliveryStatusPrefix + service);
    return !item || !this->context.wire.layout.isDeliveryStatus(item->value, status);
}

void DeliveryDuty::decideService(const std::string &service, const StoreCondition &condition)
{
    const KeyValueLayout &layout = this->context.wire.layout;
    const std::string key = DeliveryPrefix + service;
    const int64_t era = this->mirror.status().era;
    const DeliveryKnowledge known = this->context.deliveries.knowledge(service);
    const std::optional<StoredItem> item = itemAt(this->mirror, key);
    if ((item ? item->position() : StorePosition{}) != known.itemPosition) {
        // The listener of the mirror is about to apply the item, or it cannot be read.
        if (!item || decodeDeliveryState(item->value)) {
            return;
        }
    }
    const DeliveryStep step = this->nextStep(service, known);
    StoreTransaction transaction{{condition, {key, item ? item->revision : 0, era}}, {}, {}};
    if (step.mustWrite || known.isRewriteDue) {
        if (step.state) {
            transaction.puts.push_back({key, encodeDeliveryState(*step.state), {}});
        } else if (item) {
            transaction.removals.push_back(key);
        }
    }
    std::optional<DeliveryStatus> status;
    if (known.order && !known.order->error.empty() && known.order->order.version.empty()) {
        status = DeliveryStatus{DeliveryPhase::RolledBack, "", known.order->error};
    } else if (step.state) {
        status = DeliveryStatus{step.state->phase, step.state->order.version, step.state->reason};
    }
    if (status && this->isStatusDue(service, *status)) {
        transaction.puts.push_back({layout.deliveryStatusPrefix + service, layout.encodeDeliveryStatus(*status), {}});
    }
    if (transaction.puts.empty() && transaction.removals.empty()) {
        return;
    }
    if (this->write(transaction, service) && step.isPhaseChange && step.state) {
        const EvidenceSummary &summary = step.state->evidence;
        this->context.log.write(LogLevel::Info, "delivery_decided",
            {{"service", service}, {"version", step.state->order.version}, {"phase", deliveryPhaseName(step.state->phase)}, {"share", step.state->share},
                {"chosen", step.state->chosenTargets.size()}, {"elapsed_ms", toMilliseconds(step.state->elapsed)}, {"old_runs", step.state->oldRuns},
                {"reason", step.state->reason}, {"new_answers", summary.newAnswers}, {"new_failures", summary.newFailures}, {"new_slow", summary.newSlow},
                {"old_answers", summary.oldAnswers}, {"old_failures", summary.oldFailures}, {"old_slow", summary.oldSlow}});
    }
}

bool DeliveryDuty::write(const StoreTransaction &transaction, const std::string &service)
{
    try {
        const CommitOutcome outcome = this->store.commit(transaction);
        if (outcome.status == CommitStatus::Committed) {
            this->writtenAt = outcome.position();
            return true;
        }
        // Another host is the leader, or the mirror does not have this host's last write yet, whose answer was lost.
        this->context.log.write(LogLevel::Info, "delivery_not_written", {{"service", service}, {"reason", "the leadership or the state has changed"}});
    } catch (const Failure &) {
        // The state may have been written; then the condition on it fails until the mirror has it.
        this->context.metrics.count("pimentosail_store_failures_total", {{"duty", "delivery"}});
    }
    return false;
}

} // namespace pimentosail
