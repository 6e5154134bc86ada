#include <algorithm>
#include <iterator>
#include <utility>

#include "pimentosail/entry/storeduties.h"

namespace pimentosail
{

namespace
{

// Time between announcement and load order in which the other hosts receive the announcement and stop sending to the
// target.
constexpr Duration NoticeTime = Milliseconds(120);
constexpr Duration ReportInterval = Milliseconds(200);
// The same for an order that was not answered. Many targets may have one, and each query has a price.
constexpr Duration OutstandingReportInterval = Milliseconds(400);
// Number of targets that are called at the same time.
constexpr size_t MaxParallelCalls = 16;
// A load order is sent again if the target's status does not show it after this time. The order count in the orders lets the
// target accept at most one of them.
constexpr Duration OrderRetry = Milliseconds(1500);
// A target that refused a load order or could not be reached gets no load order for this long.
constexpr Duration ExclusionTime = Milliseconds(1000);
// A load that has not finished after this time is given up.
constexpr Duration MaxLoadTime = std::chrono::seconds(10);
// Number of finished loads that an announcement repeats for hosts that missed an earlier one.
constexpr size_t MaxFinished = 64;
constexpr Duration IdleStep = Milliseconds(50);
// What ends within this time is announced together, since each announcement costs two calls to the store.
constexpr Duration PlanningInterval = Milliseconds(100);
// The same while calls to targets run, so that their answers are evaluated soon.
constexpr Duration CallStep = Milliseconds(10);

} // namespace

RolloutDuty::RolloutDuty(EntryContext &entryContext, PrefixStore platformStore, const StoreMirror &storeMirror)
    : context(entryContext)
    , leadership(entryContext, std::move(platformStore), storeMirror)
    , thread("rollout", [this] { this->run(); })
{
}

RolloutDuty::~RolloutDuty()
{
    this->stopping.store(true);
    this->thread.join();
}

void RolloutDuty::start()
{
    this->thread.start();
}

void RolloutDuty::stop()
{
    this->stopping.store(true);
    this->thread.join();
    this->leadership.stop(this->announcement(), this->pendingTargets());
}

bool RolloutDuty::mayOrder() const
{
    return this->leadership.mayOrder() && !this->stopping.load();
}

RolloutAnnouncement RolloutDuty::announcement() const
{
    RolloutAnnouncement announcement;
    for (const auto &[id, load] : this->pendingLoads) {
        if (!load.isOutstanding) {
            announcement.loading.push_back(id);
            announcement.loadingVersions[id] = load.version;
        }
    }
    announcement.finished.assign(this->finished.begin(), this->finished.end());
    announcement.released = this->released;
    return announcement;
}

std::vector<std::string> RolloutDuty::pendingTargets() const
{
    std::vector<std::string> result;
    std::transform(this->pendingLoads.begin(), this->pendingLoads.end(), std::back_inserter(result), [](const auto &entry) { return entry.first; });
    return result;
}

bool RolloutDuty::publishAnnouncement()
{
    if (!this->leadership.announce(this->announcement(), this->pendingTargets())) {
        return false;
    }
    this->hasNews = false;
    this->released.clear();
    return true;
}

void RolloutDuty::sendOrder(PendingLoad &load)
{
    load.sentOrder = false;
    try {
        const TargetWeightsReport report = this->context.wire.fetchWeightsReport(*load.target);
        load.orderCount = report.orderCount;
        const auto found = report.modelVersions.find(load.model);
        if (report.isBusy || (found != report.modelVersions.end() && found->second >= load.version)) {
            // An earlier order is being carried out or is complete; the next report ends the load.
            load.nextReport = this->context.clock.now();
            load.isOrdered = true;
            return;
        }
        const SendDecision decision = this->context.gate.check(*load.target, SendKind::Order);
        const std::optional<int64_t> token = this->stopping.load() ? std::nullopt : this->leadership.orderToken(load.target->id);
        if (!token || decision.obstacle == SendObstacle::Resting) {
            // Without an order, the load is not unanswered: it is ordered after the next announcement.
            load.isOrdered = load.ordersSent > 0;
            return;
        }
        if (!decision.isAllowed()) {
            throw Failure(ErrorKind::TargetLost, "the target may get no orders: " + std::string(sendObstacleName(decision.obstacle)));
        }
        const Time sentAt = this->context.clock.now();
        ++load.ordersSent;
        load.outcome = this->context.wire.sendLoadOrder(*load.target, {load.model, load.version, this->context.settings.name, *token, load.orderCount});
        load.sentOrder = true;
        load.isOrdered = true;
        load.orderedAt = this->context.clock.now();
        load.nextReport = load.orderedAt + ReportInterval;
        this->context.log.write(LogLevel::Info, "load_ordered",
            {{"target", load.target->id}, {"model", load.model}, {"version", load.version}, {"fence", *token}, {"order_count", load.orderCount},
                {"outcome", static_cast<int>(load.outcome)}, {"orders_sent", load.ordersSent}, {"took_ms", toMilliseconds(load.orderedAt - sentAt)}});
        if (load.outcome == OrderOutcome::Refused) {
            // Lets the next check give up this load.
            load.orderedAt -= MaxLoadTime;
        }
    } catch (const Failure &failure) {
        this->context.log.write(LogLevel::Warning, "load_not_ordered", {{"target", load.target->id}, {"version", load.version}, {"reason", failure.what()}});
        load.outcome = OrderOutcome::Refused;
        load.isOrdered = true;
        load.orderedAt = this->context.clock.now() - MaxLoadTime;
    }
}

// Returns all registered targets of the services that serve `model`.
std::vector<TargetView> RolloutDuty::targetsOf(const std::string &model) const
{
    std::vector<TargetView> result;
    const ServingConfigurationPointer serving = this->context.state.serving();
    if (!serving) {
        return result;
    }
    for (const ServiceSettings &service : serving->all().services) {
        if (service.engine && std::find(service.engine->models.begin(), service.engine->models.end(), model) != service.engine->models.end()) {
            const std::vector<TargetView> serviceTargets = this->context.directory.all(service.name, model);
            result.insert(result.end(), serviceTargets.begin(), serviceTargets.end());
        }
    }
    return result;
}

// Selects and announces the targets that load `version` next. Their load orders are sent after `NoticeTime`.
void RolloutDuty::prepareLoads(const std::string &model, int64_t version)
{
    std::vector<RolloutTarget> targets;
    std::map<std::string, TargetPointer> byId;
    const Time now = this->context.clock.now();
    const HandOver handOver = this->leadership.handOver();
    const Time orderTime = this->context.clock.nowWithSuspend();
    for (const TargetView &view : this->targetsOf(model)) {
        RolloutTarget target;
        target.id = view.target->id;
        target.version = view.version;
        const auto pending = this->pendingLoads.find(target.id);
        target.isLate = pending != this->pendingLoads.end() && pending->second.isLate;
        target.isLoading = pending != this->pendingLoads.end() && !target.isLate;
        const auto excluded = this->excludedUntil.find(target.id);
        target.isExcluded = !this->context.gate.check(*view.target, SendKind::Order).isAllowed() || view.target->connectFailures.load() > 0
            || (excluded != this->excludedUntil.end() && now < excluded->second);
        if (!handOver.mayOrder(target.id, orderTime)) {
            target.isExcluded = true;
            target.isLoading = target.isLoading || handOver.isLoading(target.id, target.version, orderTime);
        }
        target.requestsInFlight = view.target->inFlight.load();
        byId[target.id] = view.target;
        targets.push_back(std::move(target));
    }
    const std::vector<std::string> selected = planRollout(targets, version, RolloutLimits{});
    if (selected.empty()) {
        return;
    }
    for (const std::string &id : selected) {
        PendingLoad load;
        load.target = byId[id];
        load.model = model;
        load.version = version;
        load.preparedAt = now;
        load.orderedAt = now;
        this->pendingLoads[id] = std::move(load);
    }
    if (!this->publishAnnouncement()) {
        for (const std::string &id : selected) {
            this->pendingLoads.erase(id);
        }
    }
}

void RolloutDuty::startCall(PendingLoad &load, TargetCallKind kind)
{
    load.call = std::make_unique<TargetCall>(kind);
    load.call->thread = std::make_unique<DutyThread>("targetcall", [this, &load, &call = *load.call] {
        if (call.kind == TargetCallKind::Order) {
            this->sendOrder(load);
        } else {
            this->fetchReport(load);
        }
        call.hasEnded.store(true);
    });
    load.call->thread->start();
}

// Returns how many more calls to targets may be started now.
size_t RolloutDuty::freeCalls() const
{
    const auto running = std::count_if(this->pendingLoads.begin(), this->pendingLoads.end(), [](const auto &other) { return other.second.isInCall(); });
    return MaxParallelCalls - std::min(MaxParallelCalls, static_cast<size_t>(running));
}

// `occupied` is the number of targets that load in time or were just ordered to.
bool RolloutDuty::isOrderDue(const PendingLoad &load, Time now, int64_t occupied, int64_t maxLoads) const
{
    if (occupied >= maxLoads) {
        return false;
    }
    return load.isOutstanding ? now > load.orderedAt + OrderRetry : !load.isOrdered && now >= load.preparedAt + NoticeTime && now >= load.nextReport;
}

// Sends load orders to prepared targets, and again to targets that have not carried out theirs, as long as fewer than the
// permitted number of targets load.
void RolloutDuty::sendDueOrders()
{
    const Time now = this->context.clock.now();
    const size_t mostCalls = this->freeCalls();
    std::vector<PendingLoad *> due;
    int64_t occupied = std::count_if(this->pendingLoads.begin(), this->pendingLoads.end(), [](const auto &other) { return other.second.occupiesPlace(); });
    // First orders go before repeated ones. A target that accepts a repeated order loads in time, as the others do.
    for (const bool isRepeated : {false, true}) {
        for (auto &[id, load] : this->pendingLoads) {
            const int64_t maxLoads = maxConcurrentLoads(this->context.directory.all(load.target->service, load.model).size(), RolloutLimits{});
            if (!load.isInCall() && load.isOutstanding == isRepeated && due.size() < mostCalls && this->isOrderDue(load, now, occupied, maxLoads)) {
                due.push_back(&load);
                ++occupied;
            }
        }
    }
    if (due.empty()) {
        return;
    }
    if (!this->mayOrder() || (!this->leadership.isAnnounced(NoticeTime) && !this->publishAnnouncement())) {
        return;
    }
    for (PendingLoad *load : due) {
        this->startCall(*load, TargetCallKind::Order);
    }
}

void RolloutDuty::evaluateOrder(PendingLoad &load)
{
    if (load.outcome == OrderOutcome::Refused) {
        this->excludedUntil[load.target->id] = this->context.clock.now() + ExclusionTime;
    }
    if (!load.isOrdered) {
        load.nextReport = this->context.clock.now() + IdleStep;
    }
    if (!load.sentOrder || load.outcome != OrderOutcome::Accepted) {
        return;
    }
    LoadTime &loadTime = this->loadTimes[load.model];
    // Only a load whose first order was accepted shows how long loads take.
    load.isTimed = load.ordersSent == 1;
    load.isProbe = load.isTimed && loadTime.beginLoad();
    load.nextReport = load.orderedAt + loadTime.firstQueryDelay(load.isProbe);
    if (load.isOutstanding) {
        load.isOutstanding = false;
        load.isLate = false;
        this->hasNews = true;
    }
}

// Evaluates the calls to targets that have ended since the last step. Those that a target leaves unanswered go on meanwhile.
void RolloutDuty::collectCalls()
{
    const Time now = this->context.clock.now();
    for (auto entry = this->pendingLoads.begin(); entry != this->pendingLoads.end();) {
        PendingLoad &load = entry->second;
        bool isPending = true;
        if (load.call && load.call->hasEnded.load()) {
            const TargetCallKind kind = load.call->kind;
            load.call.reset();
            if (kind == TargetCallKind::Order) {
                this->evaluateOrder(load);
            } else {
                isPending = this->evaluateReport(load, now);
            }
        }
        this->hasNews = this->hasNews || !isPending;
        entry = isPending ? std::next(entry) : this->pendingLoads.erase(entry);
    }
}

void RolloutDuty::fetchReport(PendingLoad &load)
{
    load.report.reset();
    load.reportError.clear();
    load.queriedAt = this->context.clock.now();
    try {
        load.report = this->context.wire.fetchWeightsReport(*load.target);
    } catch (const Failure &failure) {
        this->context.log.write(LogLevel::Warning, "load_report_failed", {{"target", load.target->id}, {"reason", failure.what()}});
        load.reportError = failure.what();
    }
}

void RolloutDuty::finishLoad(PendingLoad &load, Time now, const char *reasonGivenUp)
{
    const bool isDone = reasonGivenUp == nullptr;
    this->endTiming(load);
    this->leadership.recordOrder(load.target->id);
    this->context.log.write(isDone ? LogLevel::Info : LogLevel::Warning, isDone ? "load_done" : "load_given_up",
        {{"target", load.target->id}, {"version", load.version}, {"orders_sent", load.ordersSent}, {"prepared_ms", toMilliseconds(now - load.preparedAt)},
            {"took_ms", toMilliseconds(now - load.orderedAt)}, {"queries", load.queries},
            {"expected_ms", toMilliseconds(this->loadTimes[load.model].expected())}, {"reason", isDone ? "" : reasonGivenUp}});
    this->released.push_back(load.target->id);
    if (isDone) {
        this->finished.push_back({load.target->id, load.model, load.version});
        if (this->finished.size() > MaxFinished) {
            this->finished.pop_front();
        }
    }
    load.target->avoidUntil.store(0);
}

bool RolloutDuty::evaluateReport(PendingLoad &load, Time now)
{
    if (!load.report) {
        load.nextReport = now + ReportInterval;
        this->endTiming(load);
        this->excludedUntil[load.target->id] = now + ExclusionTime;
        if (now > load.orderedAt + OrderRetry) {
            this->finishLoad(load, now, "no report");
            return false;
        }
        return true;
    }
    const auto found = load.report->modelVersions.find(load.model);
    const int64_t present = found == load.report->modelVersions.end() ? 0 : found->second;
    this->context.directory.recordVersion(load.target->id, load.model, present);
    const bool isDone = present >= load.version && !load.report->isBusy;
    this->recordQuery(load, isDone);
    if (isDone) {
        this->finishLoad(load, now, nullptr);
        return false;
    }
    const bool isShown = load.report->isBusy || load.report->orderCount != load.orderCount;
    if (load.isLate && isShown && !load.report->isBusy) {
        // Another order was carried out, for example one for an earlier version: the order count no longer matches.
        this->finishLoad(load, now, "other order");
        return false;
    }
    if (load.isOutstanding == isShown && (isShown || load.outcome == OrderOutcome::Unknown || now > load.orderedAt + OrderRetry)) {
        load.isOutstanding = !isShown;
        load.isLate = true;
        load.orderedAt = isShown ? now : load.orderedAt;
        this->hasNews = true;
        this->context.log.write(LogLevel::Info, load.isOutstanding ? "load_outstanding" : "load_started_late",
            {{"target", load.target->id}, {"version", load.version}, {"orders_sent", load.ordersSent}, {"prepared_ms", toMilliseconds(now - load.preparedAt)}});
        if (load.isOutstanding) {
            this->released.push_back(load.target->id);
            load.target->avoidUntil.store(0);
        }
    }
    load.nextReport = now + (load.isOutstanding ? OutstandingReportInterval : ReportInterval);
    if (load.isProbe && load.queries == 1) {
        load.nextReport = std::max(load.nextReport, load.orderedAt + this->loadTimes[load.model].expected());
    }
    return true;
}

// Learns from an answered status query of a load whose first order was accepted.
void RolloutDuty::recordQuery(PendingLoad &load, bool isDone)
{
    ++load.queries;
    if (!load.isTimed || load.isLate) {
        return;
    }
    LoadTime &loadTime = this->loadTimes[load.model];
    const Duration elapsed = load.queriedAt - load.orderedAt;
    if (load.queries == 1) {
        loadTime.recordFirstQuery(load.isProbe, elapsed, isDone);
    } else if (isDone) {
        loadTime.recordLaterQuery(elapsed);
    }
}

void RolloutDuty::endTiming(PendingLoad &load)
{
    if (load.isProbe) {
        this->loadTimes[load.model].endProbe();
    }
    load.isProbe = false;
    load.isTimed = false;
}

// Returns true if the next status query of a load is due.
bool RolloutDuty::isReportDue(const PendingLoad &load, Time now)
{
    if (load.isInCall() || !load.isOrdered || load.target->removed) {
        return false;
    }
    // The load time may have been learnt since the order.
    const bool isFirst = load.isTimed && load.queries == 0 && !load.isLate;
    return now >= (isFirst ? std::min(load.nextReport, load.orderedAt + this->loadTimes[load.model].firstQueryDelay(load.isProbe)) : load.nextReport);
}

void RolloutDuty::checkPendingLoads()
{
    this->collectCalls();
    const Time now = this->context.clock.now();
    const std::map<std::string, WantedVersion> wanted = this->context.state.allWantedVersions();
    size_t mostCalls = this->freeCalls();
    for (auto entry = this->pendingLoads.begin(); entry != this->pendingLoads.end();) {
        PendingLoad &load = entry->second;
        if (load.isInCall()) {
            ++entry;
            continue;
        }
        bool isPending = true;
        const auto newest = wanted.find(load.model);
        if (load.target->removed || now >= load.orderedAt + MaxLoadTime) {
            this->finishLoad(load, now, load.target->removed ? "removed" : "too long");
            isPending = false;
        } else if (load.isOutstanding && newest != wanted.end() && newest->second.version > load.version) {
            // The next plan orders the newest version; at most one of the orders is carried out.
            this->finishLoad(load, now, "replaced");
            isPending = false;
        } else if (mostCalls > 0 && this->isReportDue(load, now)) {
            this->startCall(load, TargetCallKind::Report);
            --mostCalls;
        }
        this->hasNews = this->hasNews || !isPending;
        entry = isPending ? std::next(entry) : this->pendingLoads.erase(entry);
    }
}

void RolloutDuty::advance()
{
    this->checkPendingLoads();
    const Time now = this->context.clock.now();
    if (now >= this->nextPlanning) {
        this->nextPlanning = now + PlanningInterval;
        for (const auto &[model, wanted] : this->context.state.allWantedVersions()) {
            this->prepareLoads(model, wanted.version);
        }
        if (this->hasNews) {
            this->publishAnnouncement();
        }
        this->freeOutdatedBlocks();
    }
    this->sendDueOrders();
}

void RolloutDuty::run()
{
    while (!this->stopping.load()) {
        const int64_t former = this->leadership.token();
        this->leadership.maintain();
        if (this->leadership.token() != former || former == 0) {
            this->pendingLoads.clear();
            this->finished.clear();
            this->released.clear();
            this->hasNews = false;
            for (auto &[model, loadTime] : this->loadTimes) {
                loadTime.endProbe();
            }
        }
        if (this->mayOrder()) {
            this->advance();
        }
        const bool isCalling = std::any_of(this->pendingLoads.begin(), this->pendingLoads.end(), [](const auto &entry) { return entry.second.isInCall(); });
        this->context.clock.sleepFor(isCalling ? CallStep : IdleStep);
    }
    // A load order in progress ends before the leadership is given up.
    for (auto &[id, load] : this->pendingLoads) {
        load.call.reset();
    }
}

} // namespace pimentosail
