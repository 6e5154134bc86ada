#include "pimentosail/entry/deliveries.h"

#include <algorithm>
#include <random>
#include <utility>

namespace pimentosail
{

namespace
{

uint64_t randomProcessId()
{
    std::random_device device;
    return ((static_cast<uint64_t>(device()) << 32) | device()) | 1;
}

// Returns true if both are the same write. Hosts that have lived through a restore of the store know a write by the era in which they first
// read it, so eras are not compared.
bool isSameOrder(const DeliveryOrder &first, const DeliveryOrder &second)
{
    return first.service == second.service && first.version == second.version && first.duration == second.duration
        && first.position.revision == second.position.revision;
}

} // namespace

Deliveries::Deliveries(const Clock &runtimeClock, EventLog &eventLog, Metrics &hostMetrics, bool deliveryIsEnabled)
    : outcomes(randomProcessId())
    , clock(runtimeClock)
    , log(eventLog)
    , metrics(hostMetrics)
    , enabled(deliveryIsEnabled)
{
}

void Deliveries::setOrders(const std::vector<StatedDelivery> &orders, bool isRestoring)
{
    if (!this->enabled) {
        return;
    }
    const std::lock_guard lock(this->mutex);
    std::map<std::string, const StatedDelivery *> present;
    for (const StatedDelivery &stated : orders) {
        present[stated.order.service] = &stated;
        this->entries.try_emplace(stated.order.service);
    }
    for (auto &[service, entry] : this->entries) {
        const auto found = present.find(service);
        if (found == present.end()) {
            entry.mayLackOrder = isRestoring;
            if (entry.order && !isRestoring) {
                entry.order.reset();
                this->log.write(LogLevel::Info, "delivery_order_removed", {{"service", service}});
                this->adapt(service, entry);
            }
            continue;
        }
        entry.mayLackOrder = false;
        const StatedDelivery &stated = *found->second;
        if (entry.order && isSameOrder(entry.order->order, stated.order) && entry.order->error == stated.error) {
            continue;
        }
        entry.order = stated;
        entry.orderAt = this->clock.now();
        if (entry.state && isSameOrder(entry.state->order, stated.order)) {
            entry.order->order.position = entry.state->order.position;
        }
        const bool isValid = stated.error.empty();
        this->log.write(isValid ? LogLevel::Info : LogLevel::Warning, isValid ? "delivery_ordered" : "delivery_order_invalid",
            {{"service", service}, {"version", stated.order.version}, {"duration_ms", toMilliseconds(stated.order.duration)},
                {"revision", stated.order.position.revision}, {"reason", stated.error}});
        this->adapt(service, entry);
    }
    this->updateFlags();
}

void Deliveries::setStates(const std::vector<StoredDeliveryState> &states, bool isRestoring)
{
    if (!this->enabled) {
        return;
    }
    const std::lock_guard lock(this->mutex);
    std::map<std::string, const StoredDeliveryState *> present;
    for (const StoredDeliveryState &stored : states) {
        present[stored.state.order.service] = &stored;
        this->entries.try_emplace(stored.state.order.service);
    }
    for (auto &[service, entry] : this->entries) {
        const auto found = present.find(service);
        if (found == present.end()) {
            entry.isRewriteDue = entry.state.has_value() && isRestoring;
            entry.itemPosition = {};
            if (entry.state && !isRestoring) {
                entry.state.reset();
                this->adapt(service, entry);
            }
            continue;
        }
        const StoredDeliveryState &stored = *found->second;
        if (stored.position == entry.itemPosition && !(entry.isRewriteDue && !isRestoring)) {
            continue;
        }
        entry.itemPosition = stored.position;
        const bool isEarlier = entry.state
            && (isSameOrder(entry.state->order, stored.state.order) ? stored.state.phase < entry.state->phase
                                                                    : stored.state.order.position.revision < entry.state->order.position.revision);
        entry.isRewriteDue = isRestoring && isEarlier;
        if (entry.isRewriteDue) {
            continue;
        }
        const bool isPhaseChange = !entry.state || entry.state->phase != stored.state.phase || !isSameOrder(entry.state->order, stored.state.order);
        entry.state = stored.state;
        entry.stateAt = this->clock.now();
        if (entry.order && isSameOrder(entry.order->order, entry.state->order)) {
            entry.order->order.position = entry.state->order.position;
        }
        if (isPhaseChange) {
            this->log.write(LogLevel::Info, "delivery_phase",
                {{"service", service}, {"version", entry.state->order.version}, {"phase", deliveryPhaseName(entry.state->phase)}, {"share", entry.state->share},
                    {"chosen", entry.state->chosenTargets.size()}, {"elapsed_ms", toMilliseconds(entry.state->elapsed)}, {"reason", entry.state->reason}});
        }
        if (isPhaseChange && isFinal(entry.state->phase)) {
            // An order for the same version that came at the same time is counted anew.
            this->outcomes.end(service);
            entry.windows.reset();
        }
        this->adapt(service, entry);
    }
    this->updateFlags();
}

void Deliveries::adapt(const std::string &service, Entry &entry)
{
    const bool isOfOrder = entry.order && entry.state && entry.state->order == entry.order->order;
    const bool isInProgress = entry.order && entry.order->error.empty() && !(isOfOrder && isFinal(entry.state->phase));
    if (!isInProgress) {
        // The judgement is kept, so that a version that this host found bad stays stopped until the decider has written the final state.
        this->outcomes.end(service);
        entry.windows.reset();
        if (!entry.order) {
            entry.evidence = {};
        }
    } else {
        if (!entry.windows || entry.countedVersion != entry.order->order.version) {
            entry.countedVersion = entry.order->order.version;
            entry.windows.emplace(service, entry.countedVersion);
            entry.evidence = {};
        }
        this->outcomes.begin(entry.order->order);
    }
    this->limiter.setShare(service, isInProgress && isOfOrder && entry.state->phase == DeliveryPhase::Watching ? entry.state->share : 0);
    updateViews(entry);
    this->setMetrics(service, entry);
}

void Deliveries::updateViews(Entry &entry)
{
    DeliveryView view;
    // An order that names no version concerns no target.
    if (entry.order && !entry.order->order.version.empty()) {
        view.order = entry.order->order;
    }
    view.state = entry.state;
    view.isStopped = entry.evidence.verdict == EvidenceVerdict::Bad;
    entry.connectedView = view.order || view.state ? std::make_shared<const DeliveryView>(view) : nullptr;
    view.isIsolated = true;
    entry.isolatedView = entry.connectedView ? std::make_shared<const DeliveryView>(std::move(view)) : nullptr;
}

void Deliveries::updateFlags()
{
    std::erase_if(this->entries, [](const auto &entry) { return !entry.second.order && !entry.second.state; });
    this->active.store(!this->entries.empty());
    this->counting.store(std::any_of(this->entries.begin(), this->entries.end(), [](const auto &entry) { return entry.second.windows.has_value(); }));
}

void Deliveries::setMetrics(const std::string &service, const Entry &entry)
{
    for (const DeliveryPhase phase :
        {DeliveryPhase::Waiting, DeliveryPhase::Watching, DeliveryPhase::Switching, DeliveryPhase::Completed, DeliveryPhase::RolledBack}) {
        this->metrics.set("pimentosail_delivery_phase", {{"service", service}, {"phase", std::string(deliveryPhaseName(phase))}},
            entry.state && entry.state->phase == phase ? 1 : 0);
    }
    this->metrics.set(
        "pimentosail_delivery_share", {{"service", service}}, entry.state && entry.state->phase == DeliveryPhase::Watching ? entry.state->share : 0);
    for (const EvidenceVerdict verdict : {EvidenceVerdict::Good, EvidenceVerdict::Bad, EvidenceVerdict::TooFew}) {
        this->metrics.set("pimentosail_delivery_evidence", {{"service", service}, {"verdict", std::string(evidenceVerdictName(verdict))}},
            entry.windows && entry.evidence.verdict == verdict ? 1 : 0);
    }
}

void Deliveries::recordOtherHost()
{
    this->otherHostAt.store(this->clock.now().count());
}

bool Deliveries::isIsolated(Time lastStoreAnswer) const
{
    return this->clock.now() > std::max(lastStoreAnswer, Time(this->otherHostAt.load())) + IsolationLimit;
}

void Deliveries::refresh(Time lastStoreAnswer)
{
    if (!this->counting.load()) {
        return;
    }
    const std::vector<OutcomeRow> totals = this->outcomes.totals();
    const std::lock_guard lock(this->mutex);
    for (auto &[service, entry] : this->entries) {
        if (!entry.windows) {
            continue;
        }
        const bool isOfOrder = entry.state && entry.state->order == entry.order->order;
        const EvidenceVerdict former = entry.evidence.verdict;
        entry.windows->record(totals, this->clock.now());
        entry.evidence = entry.windows->judge(isOfOrder ? entry.state->phase : DeliveryPhase::Waiting);
        if (entry.evidence.verdict != former) {
            const EvidenceSummary &summary = entry.evidence.summary;
            this->log.write(entry.evidence.verdict == EvidenceVerdict::Bad ? LogLevel::Warning : LogLevel::Info, "delivery_evidence",
                {{"service", service}, {"version", entry.order->order.version}, {"verdict", evidenceVerdictName(entry.evidence.verdict)},
                    {"reason", entry.evidence.reason}, {"new_answers", summary.newAnswers}, {"new_failures", summary.newFailures},
                    {"new_slow", summary.newSlow}, {"old_answers", summary.oldAnswers}, {"old_failures", summary.oldFailures}, {"old_slow", summary.oldSlow}});
            updateViews(entry);
            this->setMetrics(service, entry);
        }
    }
    const bool isCutOff = this->isIsolated(lastStoreAnswer);
    if (isCutOff != std::exchange(this->wasIsolated, isCutOff)) {
        this->log.write(isCutOff ? LogLevel::Warning : LogLevel::Info, isCutOff ? "delivery_cut_off" : "delivery_reconnected",
            {{"store_answer_age_ms", toMilliseconds(this->clock.now() - lastStoreAnswer)},
                {"other_host_age_ms", toMilliseconds(this->clock.now() - Time(this->otherHostAt.load()))}});
    }
}

std::shared_ptr<const DeliveryView> Deliveries::view(const std::string &service, Time lastStoreAnswer) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(service);
    if (found == this->entries.end()) {
        return nullptr;
    }
    return this->isIsolated(lastStoreAnswer) ? found->second.isolatedView : found->second.connectedView;
}

std::vector<std::string> Deliveries::services() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> names;
    for (const auto &[service, entry] : this->entries) {
        names.push_back(service);
    }
    return names;
}

Duration Deliveries::elapsedOf(const Entry &entry) const
{
    const Time now = this->clock.now();
    if (entry.order && entry.state && entry.state->order == entry.order->order) {
        return elapsedSinceOrder(*entry.state, now - entry.stateAt, now - entry.orderAt);
    }
    return entry.order ? now - entry.orderAt : Duration(0);
}

DeliveryKnowledge Deliveries::knowledge(const std::string &service) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(service);
    if (found == this->entries.end()) {
        return {};
    }
    const Entry &entry = found->second;
    return {entry.order, entry.state, entry.itemPosition, entry.isRewriteDue, entry.mayLackOrder, entry.evidence, this->elapsedOf(entry)};
}

} // namespace pimentosail
