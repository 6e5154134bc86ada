#include <algorithm>
#include <utility>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"
#include "pimentosail/entry/stateupdater.h"
#include "pimentosail/entry/storeduties.h"

namespace pimentosail
{

namespace
{

// Life of the right to give orders after a renewal. Its loss delays a rollout by about twice this.
constexpr Duration RightLease = std::chrono::seconds(3);
constexpr Duration RenewInterval = Milliseconds(900);
// In a large deployment the relays may take the right at once, the other hosts only if none does for this long.
constexpr Duration OthersTakeAfter = std::chrono::seconds(2);
// The right is not used this close to its end: an order must arrive before another host can have the right.
constexpr Duration RightMargin = Milliseconds(700);
// An order is given at most this long after it was announced; a new holder counts from the last announcement.
constexpr Duration OrderWindow = Milliseconds(1000);
// Time in which the other hosts learn that a target is about to load and stop sending to it.
constexpr Duration NoticeTime = Milliseconds(120);
// A load takes about two seconds after the runs have ended; reports lag by some hundred ms.
constexpr Duration FirstReport = Milliseconds(1900);
constexpr Duration ReportInterval = Milliseconds(200);
// An unanswered order is given again if the target shows no sign of it after this time.
constexpr Duration OrderRetry = Milliseconds(1500);
// A target that refused an order or could not be reached is left out for this long.
constexpr Duration Exclusion = Milliseconds(1000);
constexpr Duration LongestLoad = std::chrono::seconds(10);
// Finished loads that an announcement repeats, for hosts that missed one.
constexpr size_t MaxFinished = 64;
// A transfer that would wait for over two seconds is not begun; a fetch is over well before this.
constexpr Duration FreeDelay = std::chrono::seconds(2);
constexpr Duration FreeingInterval = std::chrono::seconds(1);
constexpr size_t PartsPerCall = 200;
constexpr Duration IdleStep = Milliseconds(50);

} // namespace

RolloutDuty::RolloutDuty(EntryContext &entryContext, PrefixStore platformStore, const StoreMirror &storeMirror)
    : context(entryContext)
    , store(std::move(platformStore))
    , mirror(storeMirror)
    , nonce(randomId())
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
    if (this->lease != 0) {
        try {
            this->store.endLease(std::exchange(this->lease, 0));
        } catch (const Failure &failure) {
            this->context.log.write(LogLevel::Warning, "lease_not_ended", {{"lease", this->lease}, {"reason", failure.what()}});
        }
    }
}

bool RolloutDuty::mayOrder() const
{
    const Time now = this->context.clock.nowWithSuspend();
    return this->fence != 0 && now < this->trustedUntil - RightMargin && now >= this->mayOrderFrom && !this->stopping.load();
}

void RolloutDuty::dropRight(const char *reason)
{
    this->context.log.write(LogLevel::Warning, "rollout_right_lost", {{"fence", this->fence}, {"reason", reason}});
    this->fence = 0;
    this->lease = 0;
    this->mayOrderFrom = Time::max();
}

void RolloutDuty::tryTakeRight()
{
    const Time now = this->context.clock.now();
    if (!this->mirror.items(RolloutHolderKey).empty()) {
        this->vacantSince = Time(0);
        return;
    }
    this->vacantSince = this->vacantSince == Time(0) ? now : this->vacantSince;
    if (!this->context.state.readsFromSource() && now < this->vacantSince + OthersTakeAfter) {
        return;
    }
    const Time asked = this->context.clock.nowWithSuspend();
    this->lease = this->store.grantLease(RightLease);
    Json::Value value;
    value["host"] = this->context.settings.name;
    value["nonce"] = this->nonce;
    const CommitOutcome outcome = this->store.commit({{{RolloutHolderKey, 0}}, {{RolloutHolderKey, printJson(value), this->lease}}, {}});
    if (outcome.status != CommitStatus::Committed) {
        this->store.endLease(this->lease);
        this->lease = 0;
        return;
    }
    this->fence = outcome.revision;
    this->trustedUntil = asked + RightLease;
    this->mayOrderFrom = Time::max();
    this->context.log.write(LogLevel::Info, "rollout_right_taken", {{"fence", this->fence}});
}

// The holder before gave its last order at most `OrderWindow` after its last announcement, and can announce nothing
// after this holder's key was written. So all depends on having seen the store as it was then.
void RolloutDuty::settleRight()
{
    if (this->mayOrderFrom != Time::max() || this->mirror.status().revision < this->fence) {
        return;
    }
    const LatestRollout last = this->context.state.rollout();
    if (last.fencingToken == 0 || (!last.isReceivedLive && this->mirror.items(RolloutRecentKey).empty())) {
        // No order at all, or the last announcement is older than its lease.
        this->mayOrderFrom = Time(0);
        return;
    }
    this->mayOrderFrom = last.at + OrderWindow + this->context.settings.leaderGap;
}

void RolloutDuty::keepRight()
{
    const Time now = this->context.clock.nowWithSuspend();
    if (now < this->nextRenewal) {
        return;
    }
    this->nextRenewal = now + RenewInterval;
    try {
        if (this->fence == 0) {
            this->tryTakeRight();
            return;
        }
        if (this->store.keepAlive(this->lease)) {
            this->trustedUntil = now + RightLease;
            return;
        }
        this->dropRight("the lease has ended");
    } catch (const Failure &) {
        this->context.metrics.count("pimentosail_store_failures_total", {{"duty", "rollout"}});
        if (this->fence != 0 && this->context.clock.nowWithSuspend() > this->trustedUntil) {
            this->dropRight("not renewed in time");
        } else if (this->fence == 0) {
            // A lost answer may have left the key behind; it ends with its lease.
            this->lease = 0;
        }
    }
}

bool RolloutDuty::publish()
{
    const Time asked = this->context.clock.nowWithSuspend();
    RolloutAnnouncement announcement;
    announcement.fence = this->fence;
    for (const auto &[id, entry] : this->loading) {
        announcement.loading.push_back(id);
    }
    announcement.finished.assign(this->finished.begin(), this->finished.end());
    announcement.released = this->released;
    try {
        // Granted before the announcement, so that it ends no earlier than the last order allowed by it plus the gap.
        const int64_t recent = this->store.grantLease(2 * OrderWindow + this->context.settings.leaderGap);
        const CommitOutcome outcome = this->store.commit({{{RolloutHolderKey, this->fence}},
            {{RolloutStateKey, encodeAnnouncement(announcement), 0}, {RolloutRecentKey, std::to_string(this->fence), recent}}, {}});
        if (outcome.status == CommitStatus::Committed) {
            this->announcedAt = asked;
            return true;
        }
        if (outcome.status == CommitStatus::LeaseEnded) {
            return false;
        }
        this->dropRight("another host holds it");
    } catch (const Failure &) {
        // Other hosts learn the version from the registrations, and of the load by refusals.
        this->context.metrics.count("pimentosail_store_failures_total", {{"duty", "rollout"}});
    }
    return false;
}

void RolloutDuty::orderOne(Loading &entry)
{
    try {
        const TargetWeightsReport report = this->context.wire.report(*entry.target);
        entry.orderCount = report.orderCount;
        if (!this->mayOrder() || this->context.clock.nowWithSuspend() > this->announcedAt + OrderWindow) {
            return;
        }
        const Time sent = this->context.clock.now();
        const OrderOutcome outcome
            = this->context.wire.order(*entry.target, {entry.model, entry.version, this->context.settings.name, this->fence, entry.orderCount});
        entry.isAnswered = outcome == OrderOutcome::Accepted;
        entry.orderedAt = this->context.clock.now();
        entry.nextReport = entry.orderedAt + (entry.isAnswered ? FirstReport : ReportInterval);
        this->context.log.write(LogLevel::Info, "load_ordered",
            {{"target", entry.target->id}, {"model", entry.model}, {"version", entry.version}, {"fence", this->fence}, {"order_count", entry.orderCount},
                {"outcome", static_cast<int>(outcome)}, {"took_ms", toMilliseconds(entry.orderedAt - sent)}});
        if (outcome == OrderOutcome::Refused) {
            this->excludedUntil[entry.target->id] = entry.orderedAt + Exclusion;
            entry.orderedAt -= LongestLoad;
        }
    } catch (const Failure &failure) {
        this->context.log.write(LogLevel::Warning, "load_not_ordered", {{"target", entry.target->id}, {"version", entry.version}, {"reason", failure.what()}});
        this->excludedUntil[entry.target->id] = this->context.clock.now() + Exclusion;
        entry.orderedAt = this->context.clock.now() - LongestLoad;
    }
}

// Returns all live targets that serve `model`.
std::vector<TargetView> RolloutDuty::targetsOf(const std::string &model) const
{
    std::vector<TargetView> result;
    const ServingPointer serving = this->context.state.serving();
    if (!serving) {
        return result;
    }
    for (const Service &service : serving->all().services) {
        if (service.engine && std::find(service.engine->models.begin(), service.engine->models.end(), model) != service.engine->models.end()) {
            const std::vector<TargetView> own = this->context.directory.all(service.name, model);
            result.insert(result.end(), own.begin(), own.end());
        }
    }
    return result;
}

void RolloutDuty::startLoads(const std::string &model, int64_t version)
{
    std::vector<RolloutTarget> targets;
    std::map<std::string, TargetPointer> byId;
    const Time now = this->context.clock.now();
    for (const TargetView &view : this->targetsOf(model)) {
        RolloutTarget target;
        target.id = view.target->id;
        target.version = view.version;
        target.isLoading = this->loading.contains(target.id);
        const auto excluded = this->excludedUntil.find(target.id);
        target.isExcluded
            = view.target->draining || view.target->connectFailures.load() > 0 || (excluded != this->excludedUntil.end() && now < excluded->second);
        target.load = view.target->inFlight.load();
        byId[target.id] = view.target;
        targets.push_back(std::move(target));
    }
    const std::vector<std::string> next = planRollout(targets, version, RolloutLimits{});
    if (next.empty()) {
        return;
    }
    for (const std::string &id : next) {
        Loading entry;
        entry.target = byId[id];
        entry.model = model;
        entry.version = version;
        entry.preparedAt = now;
        entry.orderedAt = now;
        this->loading[id] = std::move(entry);
    }
    if (!this->publish()) {
        for (const std::string &id : next) {
            this->loading.erase(id);
        }
    }
}

// Orders prepared targets while fewer than the permitted number load.
void RolloutDuty::orderPrepared()
{
    const Time now = this->context.clock.now();
    for (auto &[id, entry] : this->loading) {
        const auto ordered = std::count_if(this->loading.begin(), this->loading.end(), [](const auto &other) { return other.second.isOrdered; });
        const auto atOnce = loadsAtOnce(this->context.directory.all(entry.target->service, entry.model).size(), RolloutLimits{});
        if (entry.isOrdered || ordered >= atOnce || now < entry.preparedAt + NoticeTime) {
            continue;
        }
        const bool isAnnounced = this->context.clock.nowWithSuspend() < this->announcedAt + OrderWindow - NoticeTime;
        if (this->mayOrder() && (isAnnounced || this->publish())) {
            entry.isOrdered = true;
            this->orderOne(entry);
        }
    }
}

void RolloutDuty::checkLoading()
{
    const Time now = this->context.clock.now();
    bool isChanged = false;
    for (auto entry = this->loading.begin(); entry != this->loading.end();) {
        Loading &load = entry->second;
        const bool isWaiting = !load.isOrdered || now < load.nextReport;
        if (isWaiting && !load.target->gone && now < load.orderedAt + LongestLoad) {
            ++entry;
            continue;
        }
        bool isDone = false;
        bool isOver = load.target->gone || now >= load.orderedAt + LongestLoad;
        if (!isOver) {
            load.nextReport = now + ReportInterval;
            try {
                const TargetWeightsReport report = this->context.wire.report(*load.target);
                const auto found = report.modelVersions.find(load.model);
                const int64_t present = found == report.modelVersions.end() ? 0 : found->second;
                isDone = present >= load.version && !report.isBusy;
                if (!isDone && !report.isBusy && report.orderCount == load.orderCount && now > load.orderedAt + OrderRetry && this->mayOrder()
                    && this->publish()) {
                    this->orderOne(load);
                }
                this->context.directory.noteVersion(load.target->id, load.model, present);
            } catch (const Failure &failure) {
                this->context.log.write(LogLevel::Warning, "load_report_failed", {{"target", load.target->id}, {"reason", failure.what()}});
                isOver = now > load.orderedAt + OrderRetry;
                this->excludedUntil[load.target->id] = now + Exclusion;
            }
        }
        if (!isDone && !isOver) {
            ++entry;
            continue;
        }
        this->context.log.write(isDone ? LogLevel::Info : LogLevel::Warning, isDone ? "load_done" : "load_given_up",
            {{"target", load.target->id}, {"version", load.version}, {"took_ms", toMilliseconds(now - load.orderedAt)}});
        this->released.push_back(entry->first);
        if (isDone) {
            this->finished.push_back({entry->first, load.model, load.version});
            if (this->finished.size() > MaxFinished) {
                this->finished.pop_front();
            }
        }
        load.target->avoidUntil.store(0);
        entry = this->loading.erase(entry);
        isChanged = true;
    }
    if (isChanged) {
        this->publish();
        this->released.clear();
    }
}

// Returns the oldest version of `model` on which work may still begin: one that a target has, and that is allowed.
int64_t RolloutDuty::oldestInUse(const std::string &model, Time now) const
{
    const int64_t allowed = this->context.state.oldestAllowedVersion(model, now, this->context.settings.versionLimit);
    int64_t present = 0;
    for (const TargetView &view : this->targetsOf(model)) {
        present = present == 0 ? view.version : std::min(present, view.version);
    }
    return std::max(allowed, present);
}

// Parts of weights on which no work may begin any more are freed some seconds later, when no transfer can still read them.
void RolloutDuty::freeOldParts()
{
    const Time now = this->context.clock.now();
    if (now < this->nextFreeing) {
        return;
    }
    this->nextFreeing = now + FreeingInterval;
    for (const std::string &text : this->context.caches.salts()) {
        const std::optional<CacheSalt> salt = CacheSalt::parse(text);
        if (!salt || salt->version >= this->oldestInUse(salt->model, now)) {
            this->unusedSince.erase(text);
            continue;
        }
        if (now < this->unusedSince.try_emplace(text, now).first->second + FreeDelay) {
            continue;
        }
        this->unusedSince.erase(text);
        for (const PartsToFree &freed : this->context.caches.takeSalt(text)) {
            for (size_t first = 0; first < freed.parts.size(); first += PartsPerCall) {
                const size_t last = std::min(freed.parts.size(), first + PartsPerCall);
                bool isFreed = false;
                try {
                    isFreed = this->context.wire.freeBlocks(
                        freed.storeAddress, freed.epoch, text, {freed.parts.begin() + static_cast<long>(first), freed.parts.begin() + static_cast<long>(last)});
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
    this->checkLoading();
    for (const auto &[model, wanted] : this->context.state.allWantedVersions()) {
        this->startLoads(model, wanted.version);
    }
    this->orderPrepared();
    this->freeOldParts();
}

void RolloutDuty::run()
{
    while (!this->stopping.load()) {
        this->keepRight();
        if (this->fence != 0) {
            this->settleRight();
        }
        if (this->mayOrder()) {
            this->advance();
        } else if (this->fence == 0) {
            this->loading.clear();
            this->finished.clear();
        }
        this->context.clock.sleepFor(IdleStep);
    }
}

} // namespace pimentosail
