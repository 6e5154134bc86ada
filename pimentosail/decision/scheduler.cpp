#include "pimentosail/decision/scheduler.h"

#include <algorithm>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/statelog.h"

namespace pimentosail
{

namespace
{

constexpr size_t MaxRecentDecisions = 256;
// If a model has at most this many targets, all are considered for a request. Otherwise those that may have the prompt in
// their cache and a sample are, and all others only if none of these can take the request.
constexpr size_t FullSearchTargets = 24;
constexpr size_t SampledTargets = 12;
// A batch request counts as standard when the time left until its finish deadline is shorter than the longest of: this
// fraction of the time between its two deadlines, MinBatchBoostWindow, and four times the average slot time.
constexpr double BatchBoostFraction = 0.2;
constexpr Duration MinBatchBoostWindow = std::chrono::seconds(10);
// A request that was preempted this often is not preempted again.
constexpr int MaxPreemptions = 3;
// Targets with a lower limit keep no slot free of batch work.
constexpr int64_t MinLimitForReserve = 4;
// Waiting requests that are tried each time a slot may have become free.
constexpr size_t MaxWaitingScan = 64;
constexpr Duration PromotionInterval = std::chrono::seconds(1);
// Gains are weights of a new sample in an exponential moving average.
constexpr double LatenessGain = 0.01;
// The margin added to predictions is this multiple of the average lateness, up to MaxLatenessSeconds.
constexpr double LatenessFactor = 2;
constexpr double MaxLatenessSeconds = 0.5;
constexpr double SlotSecondsGain = 0.05;

void subtractTokens(std::array<int64_t, PriorityCount> &tokens, Priority priority, int64_t amount)
{
    int64_t &level = tokens.at(static_cast<size_t>(priority));
    level = std::max<int64_t>(0, level - amount);
}

} // namespace

Scheduler::Scheduler(Options schedulerOptions, Policy routingPolicy)
    : options(schedulerOptions)
    , policy(std::move(routingPolicy))
    , prompts(schedulerOptions.maxPrompts)
{
    this->recent.reserve(MaxRecentDecisions);
}

TargetIndex Scheduler::describeTarget(const TargetDescription &description, Time now)
{
    return this->table.describe(description, now);
}

void Scheduler::setModels(std::vector<Model> newModels)
{
    this->models = std::move(newModels);
}

StoreIndex Scheduler::describeStore(const std::string &name)
{
    const auto found = std::find(this->storeNames.begin(), this->storeNames.end(), name);
    if (found != this->storeNames.end()) {
        return static_cast<StoreIndex>(found - this->storeNames.begin());
    }
    this->storeNames.push_back(name);
    this->links.emplace_back();
    return static_cast<StoreIndex>(this->storeNames.size() - 1);
}

std::vector<Command> Scheduler::handle(const Event &event, Time now)
{
    Commands out;
    std::visit([&](const auto &concreteEvent) { this->on(concreteEvent, now, out); }, event);
    return out;
}

const Model *Scheduler::findModel(const std::string &name) const
{
    for (const Model &model : this->models) {
        if (model.name == name) {
            return &model;
        }
    }
    return nullptr;
}

Priority Scheduler::effectivePriority(const RequestInfo &request, Time now) const
{
    if (request.priority != Priority::Batch) {
        return request.priority;
    }
    const Duration left = request.finishDeadline - now;
    const Duration needed = std::max(MinBatchBoostWindow, fromSeconds(this->slotSeconds * 4));
    const Duration total = request.finishDeadline - request.firstTokenDeadline;
    const Duration window = std::max(needed, fromSeconds(BatchBoostFraction * toSeconds(total)));
    return left < window ? Priority::Standard : Priority::Batch;
}

bool Scheduler::hasSlot(TargetIndex target, const RequestInfo &request, Priority priority, Time now) const
{
    const Target &state = this->table.at(target);
    const int64_t limit = this->table.limit(target, now);
    if (this->table.inFlight(target, now) >= limit) {
        return false;
    }
    if (request.suspect && state.suspectsInFlight > 0) {
        return false;
    }
    const bool isLastSlotReserved = this->options.batchReserve && priority == Priority::Batch && limit >= MinLimitForReserve;
    return !isLastSlotReserved || this->table.inFlight(target, now) + 1 < limit;
}

std::vector<TargetIndex> Scheduler::consideredTargets(const RequestInfo &request, const std::vector<TargetIndex> &serving) const
{
    if (serving.size() <= FullSearchTargets) {
        return serving;
    }
    std::vector<TargetIndex> result;
    const auto add = [&result](TargetIndex target) {
        if (std::find(result.begin(), result.end(), target) == result.end()) {
            result.push_back(target);
        }
    };
    const PromptRecord *record = const_cast<PromptTable &>(this->prompts).find(request.promptKey);
    if (record != nullptr) {
        for (const CacheLocation &location : record->locations) {
            if (location.target != NoTarget) {
                add(location.target);
            }
        }
    }
    for (size_t index = 0; index < SampledTargets; ++index) {
        add(serving[combineHashes(request.id, index) % serving.size()]);
    }
    return result;
}

std::vector<TargetIndex> Scheduler::candidatesFor(const RequestInfo &request, Time now) const
{
    const Model *model = this->findModel(request.model);
    const int64_t version = model == nullptr ? 0 : model->version;
    const Priority priority = this->effectivePriority(request, now);
    std::vector<TargetIndex> result;
    const auto addUsable = [&](TargetIndex target) {
        const bool excluded = std::find(request.excludedTargets.begin(), request.excludedTargets.end(), target) != request.excludedTargets.end();
        if (!excluded && this->table.usabilityOf(target, version, now) == TargetUsability::Usable && this->hasSlot(target, request, priority, now)) {
            result.push_back(target);
        }
    };
    if (request.pinnedTarget != NoTarget) {
        addUsable(request.pinnedTarget);
        return result;
    }
    const std::vector<TargetIndex> &serving = this->table.serving(request.model);
    for (const TargetIndex target : this->consideredTargets(request, serving)) {
        addUsable(target);
    }
    if (result.empty() && serving.size() > FullSearchTargets) {
        for (const TargetIndex target : serving) {
            addUsable(target);
        }
    }
    return result;
}

bool Scheduler::cannotMeetDeadline(const RequestInfo &request, Duration predicted, Time now) const
{
    return this->options.earlyRefusal && !request.resumed && now + predicted + this->lateness() > request.firstTokenDeadline;
}

bool Scheduler::tryDispatch(const RequestInfo &request, Time now, Commands &out)
{
    const std::vector<TargetIndex> candidates = this->candidatesFor(request, now);
    if (candidates.empty()) {
        return false;
    }
    PromptRecord *record = this->prompts.find(request.promptKey);
    const LinkState *link = nullptr;
    if (record != nullptr && record->copy.store != NoStore) {
        link = &this->links.at(static_cast<size_t>(record->copy.store)).at(static_cast<size_t>(record->copy.tier));
    }
    const Model *model = this->findModel(request.model);
    const double bytesPerToken = model == nullptr ? 0 : static_cast<double>(model->cacheBytesPerToken);
    const PolicyInput input{this->table, candidates, record, link, bytesPerToken, this->lateness()};
    const std::optional<PlacementChoice> choice = choosePlacement(this->policy, input, request, now);
    if (!choice) {
        return false;
    }
    if (this->cannotMeetDeadline(request, choice->predicted, now)) {
        ++this->counters.refusedDeadline;
        out.push_back(Refuse{request.id, Error(ErrorKind::DeadlineUnreachable, "the first token cannot arrive before its deadline")});
        return true;
    }
    this->dispatch(request, *choice, now, out);
    return true;
}

void Scheduler::dispatch(const RequestInfo &request, const PlacementChoice &choice, Time now, Commands &out)
{
    Target &target = this->table.at(choice.target);
    const bool forward = target.description.remote;
    const auto level = static_cast<size_t>(request.priority);
    RunningRequest entry;
    entry.request = request;
    entry.choice = choice;
    entry.dispatchedAt = now;
    entry.queueWasEmpty = this->table.queuedTokens(choice.target, Priority::Batch) == 0;
    entry.pendingTokens = request.promptTokens - std::min(choice.source.tokens, request.promptTokens);
    const int64_t limit = this->table.limit(choice.target, now);
    if (this->table.inFlight(choice.target, now) >= limit) {
        reportViolation("target_limit",
            target.description.name + " has " + std::to_string(this->table.inFlight(choice.target, now)) + " attempts of at most " + std::to_string(limit));
    }
    if (forward) {
        ++target.remoteInFlight;
        target.remoteQueuedTokens.at(level) += entry.pendingTokens;
        ++this->counters.forwarded;
    } else {
        ++target.inFlight;
        target.recentPeak = std::max(target.recentPeak, target.inFlight);
        target.batchInFlight += request.priority == Priority::Batch ? 1 : 0;
        target.suspectsInFlight += request.suspect ? 1 : 0;
        target.pendingTokens.at(level) += entry.pendingTokens;
        target.probing = target.consecutiveFailures > 0;
        ++this->counters.dispatched;
        this->counters.promptTokens += request.promptTokens;
    }
    if (choice.source.kind == SourceKind::StoreImport) {
        this->recordImport(request, choice);
    }
    this->running.emplace(request.id, std::move(entry));
    const TargetDescription &description = target.description;
    out.push_back(Dispatch{
        request.id, choice.target, choice.source, choice.predicted, forward, description.name, description.address, description.owner, target.report.boot});
}

bool Scheduler::preemptFor(const RequestInfo &request, Time now, Commands &out)
{
    if (!this->options.preemption || request.priority != Priority::Interactive) {
        return false;
    }
    RunningRequest *victim = nullptr;
    for (auto &[id, entry] : this->running) {
        const bool sameModel = entry.request.model == request.model && !this->table.at(entry.choice.target).description.remote;
        const bool usable = this->table.usabilityOf(entry.choice.target, 0, now) == TargetUsability::Usable;
        const bool eligible = this->effectivePriority(entry.request, now) == Priority::Batch && entry.request.preemptions < MaxPreemptions;
        if (!sameModel || !usable || !eligible || entry.preempting) {
            continue;
        }
        // The attempt that was dispatched last loses the least work.
        if (victim == nullptr || entry.dispatchedAt > victim->dispatchedAt) {
            victim = &entry;
        }
    }
    if (victim == nullptr) {
        return false;
    }
    victim->preempting = true;
    ++this->counters.preempted;
    out.push_back(Preempt{victim->request.id});
    return true;
}

std::optional<Error> Scheduler::refusalFor(const RequestInfo &request, Time now) const
{
    const std::vector<TargetIndex> &serving = this->table.serving(request.model);
    int64_t slots = 0;
    int64_t batchRunning = 0;
    for (const TargetIndex target : serving) {
        if (this->table.usabilityOf(target, 0, now) == TargetUsability::Usable) {
            slots += this->table.limit(target, now);
            batchRunning += this->table.at(target).batchInFlight;
        }
    }
    if (this->waiting.size() >= this->options.maxQueue) {
        return Error(ErrorKind::Overloaded, "the queue is full");
    }
    if (slots == 0 || request.resumed || !this->options.earlyRefusal) {
        return std::nullopt;
    }
    const int64_t ahead = this->waiting.countAtLeast(request.model, request.priority);
    const bool mayPreempt = this->options.preemption && request.priority == Priority::Interactive && batchRunning > ahead;
    const Duration wait = fromSeconds(this->slotSeconds * static_cast<double>(ahead + 1) / static_cast<double>(slots));
    if (!mayPreempt && now + wait > request.firstTokenDeadline) {
        return Error(ErrorKind::DeadlineUnreachable, "the queue is too long for the first-token deadline");
    }
    return std::nullopt;
}

void Scheduler::on(const RequestArrived &event, Time now, Commands &out)
{
    RequestInfo request = event.request;
    if (this->findModel(request.model) == nullptr) {
        out.push_back(Refuse{request.id, Error(ErrorKind::UnknownModel, "model '" + request.model + "' is not configured")});
        return;
    }
    if (request.pinnedTarget == NoTarget && !request.resumed) {
        PromptRecord &record = this->prompts.touch(request.promptKey);
        if (record.lastSeen >= Time(0)) {
            this->returns.addGap(request.team, now - record.lastSeen);
        } else {
            this->returns.addNew(request.team);
        }
        record.lastSeen = now;
    }
    if (this->tryDispatch(request, now, out)) {
        return;
    }
    if (request.pinnedTarget != NoTarget) {
        ++this->counters.refusedFull;
        out.push_back(Refuse{
            request.id, Error(ErrorKind::TargetFull, "target '" + this->table.at(request.pinnedTarget).description.name + "' accepts no more work now")});
        return;
    }
    if (const std::optional<Error> refusal = this->refusalFor(request, now)) {
        ++this->counters.refusedDeadline;
        out.push_back(Refuse{request.id, *refusal});
        return;
    }
    this->preemptFor(request, now, out);
    this->waiting.add(request, this->effectivePriority(request, now));
}

void Scheduler::on(const FirstTokenSeen &event, Time now, Commands & /*out*/)
{
    const auto found = this->running.find(event.id);
    if (found == this->running.end() || found->second.firstTokenSeen) {
        return;
    }
    RunningRequest &entry = found->second;
    entry.firstTokenSeen = true;
    Target &target = this->table.at(entry.choice.target);
    const Duration actual = now - entry.dispatchedAt;
    const int64_t cached = event.cachedTokens >= 0 ? event.cachedTokens : entry.choice.source.tokens;
    const int64_t computed = entry.request.promptTokens - std::min(cached, entry.request.promptTokens);
    if (target.description.remote) {
        subtractTokens(target.remoteQueuedTokens, entry.request.priority, entry.pendingTokens);
    } else {
        subtractTokens(target.pendingTokens, entry.request.priority, entry.pendingTokens);
        this->counters.computedTokens += computed;
        this->table.recordFirstToken(entry.choice.target, entry.choice.predicted, actual, now);
        if (entry.request.priority == Priority::Interactive) {
            this->updateLateness(toSeconds(actual - entry.choice.predicted));
        }
        if (entry.queueWasEmpty && entry.choice.source.kind != SourceKind::StoreImport) {
            this->table.updatePrefillRate(entry.choice.target, computed, actual);
        }
        const bool cacheWasEvicted
            = entry.choice.source.kind == SourceKind::TargetCache && event.cachedTokens >= 0 && event.cachedTokens < entry.choice.source.tokens / 2;
        if (cacheWasEvicted) {
            this->table.recordBlockEviction(entry.choice.target, entry.request.blocks.empty() ? 0 : entry.request.blocks.back());
        }
    }
    entry.pendingTokens = 0;
    this->recordDecision({event.id, target.description.name, entry.choice.source.kind, entry.choice.predicted, actual});
}

void Scheduler::release(RunningRequest &entry)
{
    Target &target = this->table.at(entry.choice.target);
    if (target.description.remote) {
        target.remoteInFlight = std::max<int64_t>(0, target.remoteInFlight - 1);
        subtractTokens(target.remoteQueuedTokens, entry.request.priority, entry.pendingTokens);
        return;
    }
    target.inFlight = std::max<int64_t>(0, target.inFlight - 1);
    target.batchInFlight = std::max<int64_t>(0, target.batchInFlight - (entry.request.priority == Priority::Batch ? 1 : 0));
    target.suspectsInFlight = std::max<int64_t>(0, target.suspectsInFlight - (entry.request.suspect ? 1 : 0));
    subtractTokens(target.pendingTokens, entry.request.priority, entry.pendingTokens);
}

void Scheduler::on(const AttemptEnded &event, Time now, Commands &out)
{
    const auto found = this->running.find(event.id);
    if (found == this->running.end()) {
        return;
    }
    RunningRequest entry = std::move(found->second);
    this->running.erase(found);
    this->release(entry);
    const TargetIndex target = entry.choice.target;
    if (event.outcome != AttemptOutcome::Finished && event.outcome != AttemptOutcome::TargetRefused) {
        this->table.keepSlot(target, now);
    }
    switch (event.outcome) {
    case AttemptOutcome::Finished:
        this->table.recordSuccess(target);
        this->updateSlotSeconds(toSeconds(now - entry.dispatchedAt));
        this->recordAndExport(entry, now, out);
        break;
    case AttemptOutcome::TargetFailed:
        this->table.recordFailure(target, now);
        break;
    case AttemptOutcome::TargetDied:
        this->table.recordFailure(target, now);
        this->table.recordFailure(target, now);
        this->table.at(target).evictedBefore = now;
        break;
    case AttemptOutcome::TargetRefused:
        if (this->table.at(target).description.remote) {
            this->table.at(target).remoteSlots = 0;
        }
        break;
    case AttemptOutcome::Preempted:
    case AttemptOutcome::Cancelled:
        this->table.at(target).probing = false;
        break;
    }
    this->dispatchWaiting(now, out);
}

void Scheduler::updateLateness(double seconds)
{
    this->latenessSeconds += LatenessGain * (std::max(0.0, seconds) - this->latenessSeconds);
}

Duration Scheduler::lateness() const
{
    return this->options.latenessMargin ? fromSeconds(std::min(LatenessFactor * this->latenessSeconds, MaxLatenessSeconds)) : Duration(0);
}

void Scheduler::updateSlotSeconds(double seconds)
{
    this->slotSeconds = this->slotSeconds <= 0 ? seconds : this->slotSeconds + SlotSecondsGain * (seconds - this->slotSeconds);
}

void Scheduler::on(const RequestWithdrawn &event, Time now, Commands &out)
{
    this->waiting.remove(event.id);
    this->on(AttemptEnded{event.id, AttemptOutcome::Cancelled}, now, out);
}

void Scheduler::on(const TargetReported &event, Time now, Commands &out)
{
    this->table.report(event.target, event.report, now);
    this->dispatchWaiting(now, out);
}

void Scheduler::on(const RemoteTargetReported &event, Time now, Commands &out)
{
    Target &target = this->table.at(event.target);
    target.reportedAt = now;
    target.remoteInFlight = event.inFlight;
    target.remoteQueuedTokens = {event.queuedTokens - event.interactiveTokens, 0, event.interactiveTokens};
    target.remoteSlots = event.usableSlots;
    target.report.cold = event.cold;
    if (event.prefillTokensPerSecond > 0) {
        target.prefillTokensPerSecond = event.prefillTokensPerSecond;
    }
    if (event.evictionAge >= Duration(0)) {
        target.evictedBefore = std::max(target.evictedBefore, now - event.evictionAge);
    }
    this->dispatchWaiting(now, out);
}

void Scheduler::on(const BlockEvicted &event, Time /*now*/, Commands & /*out*/)
{
    this->table.recordBlockEviction(event.target, event.block);
}

void Scheduler::on(const TargetUnreachable &event, Time now, Commands & /*out*/)
{
    Target &target = this->table.at(event.target);
    const bool wasHealthy = target.consecutiveFailures == 0;
    this->table.recordFailure(event.target, now);
    if (wasHealthy) {
        logStateChange("target_unreachable", {{"target", target.description.name}});
    }
}

void Scheduler::on(const ClockTicked & /*event*/, Time now, Commands &out)
{
    this->dispatchWaiting(now, out);
    if (now >= this->nextPromotion) {
        this->promoteBatch(now);
        this->nextPromotion = now + PromotionInterval;
    }
    for (const RequestId id : this->waiting.expired(now)) {
        const RequestInfo request = this->waiting.at(id);
        const bool hasTargets = !this->table.serving(request.model).empty();
        ++(hasTargets ? this->counters.refusedDeadline : this->counters.refusedNoTarget);
        const ErrorKind kind = hasTargets ? ErrorKind::DeadlineUnreachable : ErrorKind::NoTarget;
        out.push_back(Refuse{id, Error(kind, "no target accepted the request before its deadline", !request.resumed)});
        this->waiting.remove(id);
    }
}

// Batch requests that are close to their deadline count as standard ones.
void Scheduler::promoteBatch(Time now)
{
    for (const RequestId id : this->waiting.batch()) {
        this->waiting.setPriority(id, this->effectivePriority(this->waiting.at(id), now));
    }
}

bool Scheduler::hasFreeSlot(Time now) const
{
    for (size_t index = 0; index < this->table.size(); ++index) {
        const auto target = static_cast<TargetIndex>(index);
        if (this->table.inFlight(target, now) < this->table.limit(target, now) && this->table.usabilityOf(target, 0, now) == TargetUsability::Usable) {
            return true;
        }
    }
    return false;
}

void Scheduler::dispatchWaiting(Time now, Commands &out)
{
    if (this->waiting.size() == 0 || !this->hasFreeSlot(now)) {
        return;
    }
    for (const RequestId id : this->waiting.first(MaxWaitingScan)) {
        const RequestInfo request = this->waiting.at(id);
        if (this->tryDispatch(request, now, out)) {
            this->waiting.remove(id);
        }
    }
}

std::vector<RequestId> Scheduler::inFlightOn(TargetIndex target) const
{
    std::vector<RequestId> result;
    for (const auto &[id, entry] : this->running) {
        if (entry.choice.target == target) {
            result.push_back(id);
        }
    }
    return result;
}

void Scheduler::recordDecision(const DecisionRecord &record)
{
    if (this->recent.size() < MaxRecentDecisions) {
        this->recent.push_back(record);
    } else {
        this->recent[this->nextRecentSlot] = record;
    }
    this->nextRecentSlot = (this->nextRecentSlot + 1) % MaxRecentDecisions;
}

} // namespace pimentosail
