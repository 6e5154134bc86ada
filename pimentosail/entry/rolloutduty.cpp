#include <algorithm>
#include <utility>

#include "pimentosail/entry/storeduties.h"

namespace pimentosail
{

namespace
{

// Time between announcement and load order in which the other hosts receive the announcement and stop sending to the
// target.
constexpr Duration NoticeTime = Milliseconds(120);
// Delay of the first status query after a load order. A load takes about two seconds after the last request of the target
// has ended, and the status lags by a few hundred ms.
constexpr Duration FirstReportDelay = Milliseconds(1900);
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
// Outdated blocks are freed this long after the last request that may use them could start. No transfer can then still
// read them: one that would have to wait for more than two seconds is not started, and a fetch ends well before.
constexpr Duration FreeDelay = std::chrono::seconds(2);
constexpr Duration FreeingInterval = std::chrono::seconds(1);
constexpr size_t BlocksPerCall = 200;
constexpr Duration IdleStep = Milliseconds(50);

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
    this->leadership.stop();
}

// Returns true if load orders may be sent now.
bool RolloutDuty::mayOrder() const
{
    return this->leadership.mayOrder() && !this->stopping.load();
}

bool RolloutDuty::publishAnnouncement()
{
    RolloutAnnouncement announcement;
    announcement.fencingToken = this->leadership.token();
    for (const auto &[id, load] : this->pendingLoads) {
        if (!load.isOutstanding) {
            announcement.loading.push_back(id);
        }
    }
    announcement.finished.assign(this->finished.begin(), this->finished.end());
    announcement.released = this->released;
    return this->leadership.announce(encodeAnnouncement(announcement));
}

void RolloutDuty::sendOrder(PendingLoad &load)
{
    try {
        const TargetWeightsReport report = this->context.wire.fetchWeightsReport(*load.target);
        load.orderCount = report.orderCount;
        const auto found = report.modelVersions.find(load.model);
        if (report.isBusy || (found != report.modelVersions.end() && found->second >= load.version)) {
            // An earlier order is being carried out or is complete; the next report ends the load.
            load.nextReport = this->context.clock.now();
            return;
        }
        if (!this->mayOrder() || !this->leadership.isAnnounced()) {
            // Without an order, the load is not unanswered: it is ordered after the next announcement.
            load.isOrdered = load.ordersSent > 0;
            return;
        }
        const SendDecision decision = this->context.gate.check(*load.target, SendKind::Order);
        if (decision.obstacle == SendObstacle::Resting) {
            load.isOrdered = load.ordersSent > 0;
            return;
        }
        if (!decision.isAllowed()) {
            throw Failure(ErrorKind::TargetLost, "the target may get no orders: " + std::string(sendObstacleName(decision.obstacle)));
        }
        const Time sentAt = this->context.clock.now();
        ++load.ordersSent;
        load.outcome = this->context.wire.sendLoadOrder(
            *load.target, {load.model, load.version, this->context.settings.name, this->leadership.token(), load.orderCount});
        load.orderedAt = this->context.clock.now();
        load.nextReport = load.orderedAt + (load.outcome == OrderOutcome::Accepted ? FirstReportDelay : ReportInterval);
        this->context.log.write(LogLevel::Info, "load_ordered",
            {{"target", load.target->id}, {"model", load.model}, {"version", load.version}, {"fence", this->leadership.token()},
                {"order_count", load.orderCount}, {"outcome", static_cast<int>(load.outcome)}, {"orders_sent", load.ordersSent},
                {"took_ms", toMilliseconds(load.orderedAt - sentAt)}});
        if (load.outcome == OrderOutcome::Refused) {
            // Lets the next check give up this load.
            load.orderedAt -= MaxLoadTime;
        }
    } catch (const Failure &failure) {
        this->context.log.write(LogLevel::Warning, "load_not_ordered", {{"target", load.target->id}, {"version", load.version}, {"reason", failure.what()}});
        load.outcome = OrderOutcome::Refused;
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

void RolloutDuty::callTargets(const std::vector<PendingLoad *> &loads, const std::function<void(PendingLoad &)> &call)
{
    if (loads.empty()) {
        return;
    }
    std::vector<std::unique_ptr<DutyThread>> threads;
    for (size_t index = 1; index < loads.size(); ++index) {
        threads.push_back(std::make_unique<DutyThread>("targetcall", [&call, load = loads[index]] { call(*load); }));
        threads.back()->start();
    }
    call(*loads.front());
    for (const auto &thread : threads) {
        thread->join();
    }
}

// `occupied` is the number of targets that load in time or were just ordered to.
bool RolloutDuty::isOrderDue(const PendingLoad &load, Time now, int64_t occupied, int64_t maxLoads) const
{
    if (occupied >= maxLoads) {
        return false;
    }
    return load.isOutstanding ? now > load.orderedAt + OrderRetry : !load.isOrdered && now >= load.preparedAt + NoticeTime;
}

// Sends load orders to prepared targets, and again to targets that have not carried out theirs, as long as fewer than the
// permitted number of targets load.
void RolloutDuty::sendDueOrders()
{
    const Time now = this->context.clock.now();
    std::vector<PendingLoad *> due;
    int64_t occupied
        = std::count_if(this->pendingLoads.begin(), this->pendingLoads.end(), [](const auto &other) { return other.second.isOrdered && !other.second.isLate; });
    // First orders go before repeated ones. A target that accepts a repeated order loads in time, as the others do.
    for (const bool isRepeated : {false, true}) {
        for (auto &[id, load] : this->pendingLoads) {
            const int64_t maxLoads = maxConcurrentLoads(this->context.directory.all(load.target->service, load.model).size(), RolloutLimits{});
            if (load.isOutstanding == isRepeated && due.size() < MaxParallelCalls && this->isOrderDue(load, now, occupied, maxLoads)) {
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
        load->isOrdered = true;
    }
    callTargets(due, [this](PendingLoad &load) { this->sendOrder(load); });
    bool isChanged = false;
    for (PendingLoad *load : due) {
        if (load->outcome == OrderOutcome::Refused) {
            this->excludedUntil[load->target->id] = this->context.clock.now() + ExclusionTime;
        }
        if (load->outcome == OrderOutcome::Accepted && load->isOutstanding) {
            load->isOutstanding = false;
            load->isLate = false;
            isChanged = true;
        }
    }
    if (isChanged) {
        this->publishAnnouncement();
    }
}

void RolloutDuty::fetchReport(PendingLoad &load)
{
    load.report.reset();
    load.reportError.clear();
    try {
        load.report = this->context.wire.fetchWeightsReport(*load.target);
    } catch (const Failure &failure) {
        this->context.log.write(LogLevel::Warning, "load_report_failed", {{"target", load.target->id}, {"reason", failure.what()}});
        load.reportError = failure.what();
    }
}

void RolloutDuty::finishLoad(const PendingLoad &load, Time now, const char *reasonGivenUp)
{
    const bool isDone = reasonGivenUp == nullptr;
    this->context.log.write(isDone ? LogLevel::Info : LogLevel::Warning, isDone ? "load_done" : "load_given_up",
        {{"target", load.target->id}, {"version", load.version}, {"orders_sent", load.ordersSent}, {"prepared_ms", toMilliseconds(now - load.preparedAt)},
            {"took_ms", toMilliseconds(now - load.orderedAt)}, {"reason", isDone ? "" : reasonGivenUp}});
    this->released.push_back(load.target->id);
    if (isDone) {
        this->finished.push_back({load.target->id, load.model, load.version});
        if (this->finished.size() > MaxFinished) {
            this->finished.pop_front();
        }
    }
    load.target->avoidUntil.store(0);
}

bool RolloutDuty::evaluateReport(PendingLoad &load, Time now, bool &isChanged)
{
    if (!load.report) {
        load.nextReport = now + ReportInterval;
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
    if (present >= load.version && !load.report->isBusy) {
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
        isChanged = true;
        this->context.log.write(LogLevel::Info, load.isOutstanding ? "load_outstanding" : "load_started_late",
            {{"target", load.target->id}, {"version", load.version}, {"orders_sent", load.ordersSent}, {"prepared_ms", toMilliseconds(now - load.preparedAt)}});
        if (load.isOutstanding) {
            this->released.push_back(load.target->id);
            load.target->avoidUntil.store(0);
        }
    }
    load.nextReport = now + (load.isOutstanding ? OutstandingReportInterval : ReportInterval);
    return true;
}

void RolloutDuty::checkPendingLoads()
{
    std::vector<PendingLoad *> due;
    for (auto &[id, load] : this->pendingLoads) {
        if (due.size() < MaxParallelCalls && load.isOrdered && this->context.clock.now() >= load.nextReport && !load.target->removed) {
            due.push_back(&load);
        }
    }
    callTargets(due, [this](PendingLoad &load) { this->fetchReport(load); });
    const Time now = this->context.clock.now();
    const std::map<std::string, WantedVersion> wanted = this->context.state.allWantedVersions();
    bool isChanged = false;
    for (auto entry = this->pendingLoads.begin(); entry != this->pendingLoads.end();) {
        PendingLoad &load = entry->second;
        bool isPending = true;
        const auto newest = wanted.find(load.model);
        if (load.target->removed || now >= load.orderedAt + MaxLoadTime) {
            this->finishLoad(load, now, load.target->removed ? "removed" : "too long");
            isPending = false;
        } else if (load.isOutstanding && newest != wanted.end() && newest->second.version > load.version) {
            // The next plan orders the newest version; at most one of the orders is carried out.
            this->finishLoad(load, now, "replaced");
            isPending = false;
        } else if (std::find(due.begin(), due.end(), &load) != due.end()) {
            isPending = this->evaluateReport(load, now, isChanged);
        }
        isChanged = isChanged || !isPending;
        entry = isPending ? std::next(entry) : this->pendingLoads.erase(entry);
    }
    if (isChanged) {
        this->publishAnnouncement();
        this->released.clear();
    }
}

// Returns the oldest version of `model` on which a request may still start on any host: one that a host may allow and that a
// target has.
int64_t RolloutDuty::oldestInUse(const std::string &model) const
{
    const int64_t allowed = this->context.state.oldestPossibleVersion(model, this->context.clock.nowWithSuspend(), this->context.settings.versionLimit);
    int64_t present = 0;
    for (const TargetView &view : this->targetsOf(model)) {
        present = present == 0 ? view.version : std::min(present, view.version);
    }
    return std::max(allowed, present);
}

// Frees the cached blocks of weight versions on which no request may start any more. It does so some seconds later, when no
// transfer can still read them.
void RolloutDuty::freeOutdatedBlocks()
{
    const Time now = this->context.clock.now();
    if (now < this->nextFreeing) {
        return;
    }
    this->nextFreeing = now + FreeingInterval;
    for (const std::string &text : this->context.cacheStores.salts()) {
        const std::optional<CacheSalt> salt = CacheSalt::parse(text);
        if (!salt || salt->version >= this->oldestInUse(salt->model)) {
            this->unusedSince.erase(text);
            continue;
        }
        if (now < this->unusedSince.try_emplace(text, now).first->second + FreeDelay) {
            continue;
        }
        this->unusedSince.erase(text);
        for (const BlocksToFree &freed : this->context.cacheStores.removeSalt(text)) {
            for (size_t first = 0; first < freed.blocks.size(); first += BlocksPerCall) {
                const size_t last = std::min(freed.blocks.size(), first + BlocksPerCall);
                bool isFreed = false;
                try {
                    isFreed = this->context.wire.freeBlocks(freed.storeAddress, freed.epoch, text,
                        {freed.blocks.begin() + static_cast<long>(first), freed.blocks.begin() + static_cast<long>(last)});
                } catch (const Failure &failure) {
                    this->context.log.write(LogLevel::Warning, "parts_not_freed", {{"store", freed.storeAddress}, {"salt", text}, {"reason", failure.what()}});
                }
                this->context.log.write(
                    LogLevel::Info, "parts_freed", {{"store", freed.storeAddress}, {"salt", text}, {"parts", last - first}, {"freed", isFreed}});
            }
        }
    }
}

void RolloutDuty::advance()
{
    this->checkPendingLoads();
    for (const auto &[model, wanted] : this->context.state.allWantedVersions()) {
        this->prepareLoads(model, wanted.version);
    }
    this->sendDueOrders();
    this->freeOutdatedBlocks();
}

void RolloutDuty::run()
{
    while (!this->stopping.load()) {
        const int64_t former = this->leadership.token();
        this->leadership.maintain();
        if (this->leadership.token() != former || former == 0) {
            this->pendingLoads.clear();
            this->finished.clear();
        }
        if (this->mayOrder()) {
            this->advance();
        }
        this->context.clock.sleepFor(IdleStep);
    }
}

} // namespace pimentosail
