#include "pimentosail/entry/requestrunner.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "pimentosail/admission/memoryadmission.h"
#include "pimentosail/dispatch/enginepriority.h"
#include "pimentosail/dispatch/sendwindow.h"

namespace pimentosail
{

namespace
{

// The deadline that is sent to a target is this much earlier than the time at which this host answers.
constexpr Duration TargetMargin = Milliseconds(20);
// A request with less time left is not sent, because no target could start it in time.
constexpr Duration MinTimeLeft = Milliseconds(15);
// A request waits for a free target for at most its target latency divided by this, and is then refused.
constexpr int TargetWaitDivisor = 8;
// Callers follow a Retry-After up to the time that they have left divided by this.
constexpr int CallerPatienceDivisor = 3;
// Acceptable transfer time of a cached block: the target latency divided by this.
constexpr int TransferTimeDivisor = 3;
// A late prompt (expected to miss its target latency) is sent if its first token is expected within this fraction of the
// time left.
constexpr double LateTimeFraction = 0.5;
// Number of targets that a host compares for a prompt: `SampleFactor` times the number of targets per host, and at least
// `MinSample`.
constexpr size_t MinSample = 3;
constexpr size_t SampleFactor = 2;
// Interval at which a waiting request looks for a free target.
constexpr Duration TargetWaitInterval = Milliseconds(10);
// Interval at which a prompt that waits for memory looks for a target.
constexpr Duration MemoryWaitInterval = Milliseconds(25);
// Maximum idle time of a connection that is reused. Targets close connections that have been idle for some seconds, so
// the limit is short for requests that must not be sent twice.
constexpr Duration MaxIdleUnsafe = Milliseconds(1500);
constexpr Duration MaxIdleIdempotent = std::chrono::seconds(30);
// An attempt is given up if the target sends nothing for this multiple of its average response time, and for at least
// `MinStallTimeout`.
constexpr int StallFactor = 8;
constexpr Duration MinStallTimeout = Milliseconds(900);
// A bounded fetch may take the target latency divided by this, so that the tokens can still be read in time.
constexpr int FetchLatencyDivisor = 2;
// A fetch may take this multiple of its expected time.
constexpr int FetchTimeFactor = 2;
// Under mixed load, a prompt that has waited for its target latency divided by this counts as late.
constexpr int WindowWaitDivisor = 2;
// The share of its memory that a target without room has in use, for the decision whether to wait.
constexpr double TakenShare = 10;
// A target whose runs hold more than this share of its cache memory counts as full where older weights could be used instead.
constexpr double FullMemoryShare = 0.9;

std::vector<std::string> hostNames(const std::vector<HostEntry> &hosts)
{
    std::vector<std::string> names;
    names.reserve(hosts.size());
    for (const HostEntry &host : hosts) {
        names.push_back(host.name);
    }
    return names;
}

std::vector<std::string> targetIds(const std::vector<TargetView> &views)
{
    std::vector<std::string> ids;
    ids.reserve(views.size());
    for (const TargetView &view : views) {
        ids.push_back(view.target->id);
    }
    return ids;
}

// Returns when each of the targets may get a further request (`Time::max()` if this host has no share of it); empty if one of them is
// not at its limit.
std::vector<Time> endsOfLimits(const std::vector<Candidate> &candidates, const std::set<std::string> &triedTargets)
{
    std::vector<Time> ends;
    for (const Candidate &candidate : candidates) {
        if (triedTargets.contains(candidate.target->id)) {
            continue;
        }
        if (!candidate.isAtLimit) {
            return {};
        }
        ends.push_back(candidate.nextSend);
    }
    return ends;
}

} // namespace

TargetShares RequestRunner::sharesOf(const TargetState &target, ShareContext &shareContext) const
{
    TargetShares shares;
    const Time now = this->context.clock.now();
    const ServiceSettings *serviceSettings = this->serving->findService(this->service);
    if (target.coldUntil.load() > now.count() && serviceSettings != nullptr && serviceSettings->coldRequestsPerSecond > 0) {
        if (shareContext.sharingHosts.empty()) {
            shareContext.sharingHosts = hostNames(this->context.state.hosts());
            shareContext.sharingHosts.resize(std::max(shareContext.sharingHosts.size(), this->context.state.sharingHostCount()));
        }
        shares.cold = coldShare(serviceSettings->coldRequestsPerSecond, target.id, this->context.settings.name, shareContext.sharingHosts);
    }
    if (const std::optional<double> limit = this->context.rateLimits.limitOf(target.id, target.startedAt, now)) {
        if (!shareContext.rateShares) {
            shareContext.rateShares.emplace(this->service, this->context.settings.name, hostNames(this->context.state.hosts()),
                this->context.state.sharingHostCount(), targetIds(this->context.directory.all(this->service, "")));
        }
        shares.rate = shareContext.rateShares->shareOf(target.id, *limit);
    }
    return shares;
}

std::vector<RequestRunner::GatedCandidate> RequestRunner::candidatesUnder(const DeliveryView *delivery) const
{
    const std::string model = this->request.prompt ? this->request.prompt->model : "";
    const ServiceSettings *serviceSettings = this->serving->findService(this->service);
    ShareContext shareContext;
    std::vector<GatedCandidate> result;
    const Time now = this->context.clock.now();
    for (TargetView &view : this->context.directory.all(this->service, model)) {
        GatedCandidate gated;
        if (delivery != nullptr) {
            const DeliveryDecision permission = checkDelivery(*delivery, view.target->softwareVersion, view.target->id, this->isDrawn);
            if (!permission.isAllowed()) {
                continue;
            }
            gated.isPreferred = permission.isPreferred;
        }
        gated.shares = this->sharesOf(*view.target, shareContext);
        const SendDecision decision = this->context.gate.check(*view.target, SendKind::Request, gated.shares);
        // An obstacle whose end is known counts in the Retry-After of a refusal.
        if (!decision.isAllowed() && !decision.endsAtKnownTime()) {
            continue;
        }
        Candidate &candidate = gated.candidate;
        candidate.version = view.version;
        const TargetLoad otherLoad = this->context.loads.loadOfOthers(view.target->id, now);
        candidate.requests = static_cast<double>(view.target->inFlight.load() + otherLoad.requests);
        candidate.pendingTokens = static_cast<double>(view.target->pendingTokens.load() + otherLoad.pendingTokens);
        candidate.heldTokens = static_cast<double>(view.target->heldTokens.load() + otherLoad.heldTokens);
        if (serviceSettings != nullptr && serviceSettings->engine) {
            candidate.capacityTokens = static_cast<double>(serviceSettings->engine->cacheTokens);
            candidate.maxRuns = serviceSettings->engine->slots;
        }
        candidate.lateTokens = static_cast<double>(view.target->lateTokens.load() + otherLoad.lateTokens);
        candidate.speed = this->isMixed ? this->context.targetSpeeds.factor(view.target->id) : 1;
        candidate.isAtLimit = !decision.isAllowed();
        candidate.nextSend = decision.until;
        gated.isAvoided = decision.isAllowed() && this->context.gate.othersRestUntil(*view.target) > now;
        candidate.target = std::move(view.target);
        result.push_back(std::move(gated));
    }
    return result;
}

std::vector<RequestRunner::GatedCandidate> RequestRunner::candidates()
{
    const std::shared_ptr<const DeliveryView> delivery = this->deliveryView();
    std::vector<GatedCandidate> result = this->candidatesUnder(delivery.get());
    if (result.empty() && delivery && !this->hasOldTargets(*delivery)) {
        DeliveryView view = *delivery;
        view.hasOldTargets = false;
        result = this->candidatesUnder(&view);
    }
    return result;
}

std::optional<TargetChoice> RequestRunner::tryChoose()
{
    PickQuery query;
    query.localZone = this->context.settings.zone;
    query.triedTargets = this->triedTargets;
    query.draw = this->random();
    if (this->request.prompt && !this->request.prompt->blocks.empty()) {
        const Prompt &prompt = *this->request.prompt;
        const PromptBlock &affinityBlock = prompt.blocks[std::max<size_t>(1, this->sharedBlocks) - 1];
        query.affinity = affinityBlock.id;
        query.affinityTokens = affinityBlock.tokens;
        query.heldTokens = static_cast<double>(prompt.promptTokens + prompt.maxOutputTokens);
        query.lane = this->context.workMix.laneOf(this->route->name);
        query.longAnswerShare = this->context.workMix.longAnswerShare();
        query.mixed = this->context.mixedLoad.profile(this->service, this->route->name, this->configuredPriority());
        query.targetLatency = this->route->targetLatency;
        // What has reached a target before must not be refused, so it does not wait for a window either.
        if (query.mixed && !this->streaming && this->arrivals == 0) {
            const Duration waited = this->elapsedBefore + (this->context.clock.now() - this->received);
            query.window = windowKey(this->context.settings.name, this->context.clock.now());
            query.hosts = this->context.state.hostCount();
            query.isLate = waited >= this->route->targetLatency / WindowWaitDivisor;
            query.timeLeft = this->deadline - this->context.clock.now();
        }
        this->usesWindow = query.window != 0;
        this->isMixed = query.mixed.has_value();
        this->readTime = query.mixed ? query.mixed->readTime : 0;
        const WantedVersion wanted = this->context.state.wantedVersion(prompt.model);
        query.newestVersion = wanted.version;
        this->wantedVersion = wanted.version;
        const Time now = this->context.clock.nowWithSuspend();
        this->wantedVersionAge = wanted.setTime.earliest == UnknownPast ? Duration(-1) : now - wanted.setTime.earliest;
        query.oldestVersion = this->context.state.oldestAllowedVersion(prompt.model, now, this->context.settings.versionLimit - MaxVersionMargin);
    }
    const std::vector<GatedCandidate> gated = this->candidates();
    if (!query.affinity.empty()) {
        const size_t hosts = std::max<size_t>(1, this->context.state.hostCount());
        query.sampleSize = query.mixed ? MixedSampleSize : std::max(MinSample, SampleFactor * gated.size() / hosts);
        int64_t version = query.newestVersion;
        for (const GatedCandidate &entry : gated) {
            version = std::max(version, entry.candidate.version);
        }
        query.cacheZones = this->context.cacheStores.zonesOf(this->saltFor(version), query.affinity);
        this->isCached = !query.cacheZones.empty();
        query.prefillTokens = static_cast<double>(this->expectedPrefillTokens());
        if (this->preferredTargets == 0) {
            this->preferredTargets = this->context.blockShares.recordAndCount(this->service, query.affinity, query.prefillTokens, gated.size());
        }
        query.preferredTargets = query.mixed ? this->preferredTargets : 1;
    }
    query.oldestVersion = this->oldestUsableVersion(query, gated);
    std::vector<GatedCandidate> preferred;
    std::copy_if(gated.begin(), gated.end(), std::back_inserter(preferred), [](const GatedCandidate &entry) { return entry.isPreferred; });
    if (!preferred.empty()) {
        if (std::optional<TargetChoice> choice = this->pickAndAcquire(query, preferred, false)) {
            return choice;
        }
    }
    // Targets that have asked other hosts to rest are used if no other target may get the request.
    std::optional<TargetChoice> choice = this->pickAndAcquire(query, gated, false);
    const bool hasAvoided = std::any_of(gated.begin(), gated.end(), [](const GatedCandidate &entry) { return entry.isAvoided; });
    return choice || !hasAvoided ? choice : this->pickAndAcquire(query, gated, true);
}

// Returns the oldest weight version that the prompt may be sent to: `query.oldestVersion`, or an older one if the targets that `query` allows cannot
// take the prompt and the limit for older weights is far enough away.
int64_t RequestRunner::oldestUsableVersion(const PickQuery &query, const std::vector<GatedCandidate> &gated) const
{
    // A stream that is resumed is not taken back at the limit.
    if (!this->request.prompt || this->streaming) {
        return query.oldestVersion;
    }
    const std::string &model = this->request.prompt->model;
    const Time now = this->context.clock.nowWithSuspend();
    PickQuery olderQuery = query;
    olderQuery.oldestVersion = this->context.state.oldestAllowedVersion(model, now, this->context.settings.versionLimit - MinVersionMargin);
    if (olderQuery.oldestVersion >= query.oldestVersion) {
        return query.oldestVersion;
    }
    std::vector<Candidate> newTargets;
    std::vector<Candidate> oldTargets;
    for (const GatedCandidate &entry : gated) {
        if (entry.candidate.version >= query.oldestVersion) {
            newTargets.push_back(entry.candidate);
        } else if (entry.candidate.version > 0) {
            // A prompt for unknown weights is not taken back at the limit.
            oldTargets.push_back(entry.candidate);
        }
    }
    const std::optional<TargetChoice> older = pickTarget(olderQuery, oldTargets);
    if (!older) {
        return query.oldestVersion;
    }
    const std::optional<TargetChoice> newest = pickTarget(query, newTargets);
    const TimeBounds replaced = this->context.state.setTimeAfter(model, older->version);
    const Duration left = replaced.earliest + this->context.settings.versionLimit - now;
    const bool isNeeded = needsOlderWeights(newest ? std::optional(this->offerOf(*newest)) : std::nullopt, this->offerOf(*older), left);
    return isNeeded ? older->version : query.oldestVersion;
}

WeightsOffer RequestRunner::offerOf(const TargetChoice &choice) const
{
    const Duration expected = this->context.forecast.predict(this->route->name, choice.pendingTokens + static_cast<double>(this->expectedPrefillTokens()));
    const Duration waited = this->elapsedBefore + (this->context.clock.now() - this->received);
    return {expected, waited + expected > this->route->targetLatency || choice.heldShare > FullMemoryShare};
}

std::optional<TargetChoice> RequestRunner::pickAndAcquire(const PickQuery &query, const std::vector<GatedCandidate> &gated, bool usesAvoided)
{
    std::vector<Candidate> targets;
    std::map<std::string, const TargetShares *> sharesById;
    for (const GatedCandidate &entry : gated) {
        if (usesAvoided || !entry.isAvoided) {
            targets.push_back(entry.candidate);
            sharesById.emplace(entry.candidate.target->id, &entry.shares);
        }
    }
    while (std::optional<TargetChoice> choice = pickTarget(query, targets)) {
        const SendDecision decision = this->context.gate.acquire(*choice->target, *sharesById.at(choice->target->id));
        if (decision.isAllowed()) {
            if (query.window != 0) {
                recordWindowSend(query.window, *choice->target);
            }
            return choice;
        }
        const auto chosen = std::find_if(targets.begin(), targets.end(), [&choice](const Candidate &candidate) { return candidate.target == choice->target; });
        if (!decision.endsAtKnownTime()) {
            targets.erase(chosen);
            continue;
        }
        chosen->isAtLimit = true;
        chosen->nextSend = decision.until;
    }
    this->limitEnds = endsOfLimits(targets, this->triedTargets);
    return std::nullopt;
}

// Returns the prompt tokens that a target is expected to process. The first block, if others follow it, is shared by so
// many prompts that every target has it in its cache; the other shared blocks can be fetched if a cache store holds them.
int64_t RequestRunner::expectedPrefillTokens() const
{
    const Prompt &prompt = *this->request.prompt;
    int64_t tokens = prompt.promptTokens;
    for (size_t index = 0; index < this->sharedBlocks; ++index) {
        const bool isExpectedCached = index == 0 ? this->sharedBlocks > 1 : this->isCached;
        tokens -= isExpectedCached ? prompt.blocks[index].tokens : 0;
    }
    return std::max<int64_t>(0, tokens);
}

void RequestRunner::evaluateLoad(const TargetChoice &choice)
{
    if (!this->request.prompt || this->streaming) {
        return;
    }
    const double prefillTokens = static_cast<double>(this->expectedPrefillTokens());
    this->context.workMix.record(this->route->name, prefillTokens, static_cast<double>(this->request.prompt->maxOutputTokens));
    this->context.mixedLoad.recordPrompt(this->service,
        {this->route->name, this->route->targetLatency, this->route->priority, static_cast<double>(this->request.prompt->promptTokens), prefillTokens,
            static_cast<double>(this->request.prompt->promptTokens + this->request.prompt->maxOutputTokens)});
    this->pendingAtSend = choice.pendingTokens + prefillTokens;
    const Duration waited = this->elapsedBefore + (this->context.clock.now() - this->received);
    const Duration expected = this->context.forecast.predict(this->route->name, this->pendingAtSend);
    this->isLate = waited + expected > this->route->targetLatency;
    if (!this->isLate) {
        return;
    }
    const Duration left = this->deadline - this->context.clock.now();
    const Duration expectedLate = this->context.forecast.predict(this->route->name, this->pendingAtSend + choice.lateTokens);
    if (expectedLate <= fromSeconds(toSeconds(left) * LateTimeFraction)) {
        return;
    }
    // Callers should return when about half of the backlog is processed; the random factor spreads their returns over
    // an interval of the same length.
    const double spread = 0.5 + static_cast<double>(this->random() % 1000) / 1000;
    this->retryAfter = std::min<Duration>(left / CallerPatienceDivisor, fromSeconds(toSeconds(expectedLate) / 2 * spread));
    throw Failure(ErrorKind::Overloaded, "the first token is expected after " + std::to_string(toMilliseconds(expectedLate)) + " ms");
}

bool RequestRunner::admitToMemory(const TargetChoice &choice)
{
    this->heldShare = choice.heldShare;
    this->targetSpeed = choice.speed;
    // What has reached a target before must not be refused as not run.
    if (!this->request.prompt || this->streaming || this->arrivals > 0) {
        return true;
    }
    const Time now = this->context.clock.now();
    // The limits are for kinds of prompts, so a team's own priority does not count here; the engine goes by it.
    const AdmissionDecision decision = admitPrompt({choice.heldShare, this->route->priority, this->route->targetLatency,
        this->elapsedBefore + (now - this->received), this->deadline - now, this->random()});
    if (decision.verdict == AdmissionVerdict::Refuse) {
        this->retryAfter = decision.retryAfter;
        throw Failure(ErrorKind::Overloaded, "the cache memory of the targets is taken: " + std::to_string(choice.heldShare));
    }
    return decision.verdict == AdmissionVerdict::Send;
}

// Waits until other targets may be open to this host. A prompt waits for one at which it is on time for half of its target latency,
// then for any, and is refused after the target latency.
void RequestRunner::waitForWindow()
{
    const Time now = this->context.clock.now();
    const AdmissionDecision decision = admitPrompt({TakenShare, this->route->priority, WindowWaitDivisor * this->route->targetLatency,
        this->elapsedBefore + (now - this->received), this->deadline - now, this->random()});
    if (decision.verdict == AdmissionVerdict::Refuse) {
        this->retryAfter = decision.retryAfter;
        throw Failure(ErrorKind::Overloaded, "no target of " + this->service + " has room for the prompt");
    }
    this->context.clock.sleepFor(MemoryWaitInterval);
}

// Waits for a target to become free, for at most a fraction of the target latency and only while the caller is connected.
TargetChoice RequestRunner::chooseTarget()
{
    const Time end = std::min(this->deadline - MinTimeLeft, this->context.clock.now() + this->route->targetLatency / TargetWaitDivisor);
    while (true) {
        this->checkCallerConnected();
        if (this->context.state.shutdownEnd.isSet()) {
            throw Failure(ErrorKind::ShuttingDown, "this host is shutting down");
        }
        if (std::optional<TargetChoice> choice = this->tryChoose()) {
            if (this->admitToMemory(*choice)) {
                return *choice;
            }
            this->context.clock.sleepFor(MemoryWaitInterval);
            continue;
        }
        // Waiting is of no use if this host may send to no target until then.
        if (!this->limitEnds.empty() && *std::min_element(this->limitEnds.begin(), this->limitEnds.end()) > end) {
            const Time now = this->context.clock.now();
            const Time back = returnTime(this->limitEnds, now + (this->deadline - now) / CallerPatienceDivisor, this->random());
            this->retryAfter = back == Time::max() ? Duration(0) : back - now;
            throw Failure(ErrorKind::NoTarget, "the targets of " + this->service + " take no more requests now");
        }
        if (this->usesWindow && this->limitEnds.empty()) {
            this->waitForWindow();
            continue;
        }
        if (this->context.clock.now() >= end) {
            throw Failure(ErrorKind::NoTarget, "no target of " + this->service + " may get work now");
        }
        this->context.clock.sleepFor(TargetWaitInterval);
    }
}

// Returns the namespace of cached blocks. All teams share the cached blocks of the same weights, except isolated teams,
// each of which has a namespace of its own.
std::string RequestRunner::saltFor(int64_t version) const
{
    const bool isIsolated = this->team != nullptr && this->team->isIsolated;
    return CacheSalt{this->request.prompt->model, version, isIsolated ? this->team->name : ""}.text();
}

int RequestRunner::configuredPriority() const
{
    return this->team != nullptr && this->team->priority ? *this->team->priority : this->route->priority;
}

int RequestRunner::mixedPriority() const
{
    ConfiguredPriorities priorities;
    for (const Route &other : this->serving->all().routes) {
        priorities.add(other.priority);
    }
    for (const TeamSettings &other : this->serving->all().teams) {
        if (other.priority) {
            priorities.add(*other.priority);
        }
    }
    const Duration waited = this->elapsedBefore + (this->context.clock.now() - this->received);
    const double left = 1 - toSeconds(waited) / std::max(toSeconds(this->route->targetLatency), toSeconds(Milliseconds(1)));
    return priorities.enginePriority(this->configuredPriority(), left);
}

// A fetch ends within `CacheStores::MaxFetchTime`. Under mixed load, it ends at half of the target latency, or later if the target would have
// taken longer to read the tokens instead.
std::optional<int64_t> RequestRunner::fetchEnd(const TargetChoice &choice, const CachePlan &cache) const
{
    if (!cache.hasFetch()) {
        return std::nullopt;
    }
    const double tokens = choice.pendingTokens + static_cast<double>(cache.fetchTokens);
    const Duration worthwhile = std::max<Duration>(
        this->route->targetLatency / FetchLatencyDivisor, FetchTimeFactor * cache.expectedTime + fromSeconds(tokens * this->readTime / 1000));
    const Duration limit = this->isMixed ? std::min(CacheStores::MaxFetchTime, worthwhile) : CacheStores::MaxFetchTime;
    const Duration latest = this->deadline - this->context.clock.now();
    const std::optional<int64_t> now = this->context.cacheStores.targetClock().at(this->context.clock.nowWithSuspend());
    return now ? std::optional<int64_t>(*now + toMilliseconds(std::min(limit, latest))) : std::nullopt;
}

AttemptPlan RequestRunner::planFor(const TargetChoice &choice)
{
    AttemptPlan plan;
    plan.target = choice.target;
    plan.timeLeft = this->deadline - this->context.clock.now() - TargetMargin;
    plan.team = this->team == nullptr ? "" : this->team->name;
    plan.resumeAfter = this->lastEventId.empty() ? this->request.resumeAfter : this->lastEventId;
    if (this->request.prompt) {
        plan.priority = this->isMixed ? this->mixedPriority() : this->configuredPriority();
        this->enginePriority = *plan.priority;
        if (this->isMixed) {
            this->context.metrics.count("pimentosail_mixed_choices_total",
                {{"service", this->service}, {"zone", choice.target->zone == this->context.settings.zone ? "local" : "other"},
                    {"preferred", choice.isPreferred ? "1" : "0"}});
        }
        plan.isLate = this->isLate;
        plan.prefillTokens = this->expectedPrefillTokens();
        plan.heldTokens = this->request.prompt->promptTokens + this->request.prompt->maxOutputTokens;
        plan.expectedVersion = choice.version;
        this->expectedVersion = choice.version;
        plan.cacheSalt = this->saltFor(choice.version);
        // The waits for earlier fetches cover the routes to services with an engine only.
        const ServiceSettings *settings = this->serving->findService(this->service);
        if (choice.version > 0 && settings != nullptr && settings->engine) {
            plan.cache = this->context.cacheStores.plan(plan.cacheSalt, this->request.prompt->blocks, this->sharedBlocks, choice.target->zone,
                this->route->targetLatency / TransferTimeDivisor, this->random(),
                settings->engine->bytesPerToken > 0 ? static_cast<double>(settings->engine->bytesPerToken) : CacheStores::DefaultBytesPerToken);
            plan.cache.fetchEnd = this->fetchEnd(choice, plan.cache);
        }
        if (plan.cache.withheldTokens > 0) {
            this->context.metrics.count("pimentosail_withheld_tokens_total", {{"service", this->service}}, static_cast<double>(plan.cache.withheldTokens));
        }
        this->cacheSource = plan.cache.mainSource;
        this->expectedTransfer = plan.cache.expectedTime;
        this->fetchTokens += plan.cache.fetchTokens;
        this->saveTokens += plan.cache.saveTokens;
    }
    return plan;
}

AttemptLimits RequestRunner::limitsFor(const TargetChoice &choice) const
{
    const TargetState &target = *choice.target;
    AttemptLimits limits;
    limits.deadline = this->deadline;
    limits.callerSocket = this->exchange.callerSocket();
    limits.callerWriter = this->exchange.callerWriter();
    limits.interrupt = &this->context.state.shutdownEnd;
    limits.maxConnectionIdle = this->route->isIdempotent() ? MaxIdleIdempotent : MaxIdleUnsafe;
    if (this->route->isIdempotent()) {
        limits.stallTimeout = std::max({MinStallTimeout, 2 * this->route->targetLatency, Duration(StallFactor * target.responseTime.load())});
    }
    // A prompt that waits at a target with older weights must not begin there after their limit.
    if (this->request.prompt && choice.version > 0 && choice.version < this->wantedVersion && !this->streaming) {
        const TimeBounds setTime = this->context.state.setTimeAfter(this->request.prompt->model, choice.version);
        const Duration left = setTime.earliest + this->context.settings.versionLimit - VersionCutoff - this->context.clock.nowWithSuspend();
        limits.answerBeginsBy = this->context.clock.now() + left;
    }
    return limits;
}

} // namespace pimentosail
