#include "pimentosail/entry/requestrunner.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

// A target is told to stop this much earlier than this host answers.
constexpr Duration TargetMargin = Milliseconds(20);
// A request with less time left than this is not sent: a target could not begin with it.
constexpr Duration MinTimeLeft = Milliseconds(15);
// Part of the target latency for which a request may wait for a target before it is refused.
constexpr int HoldPart = 8;
// Part of the target latency that the transfer of a cached part may take.
constexpr int FetchPart = 3;
// A late prompt is sent if it is expected to begin within this part of the time left.
constexpr double LateShare = 0.5;
// Targets that a host compares for a prompt: at least so many, and so many times its part of all targets.
constexpr size_t SmallestSample = 3;
constexpr size_t SampleFactor = 2;
constexpr Duration HoldStep = Milliseconds(10);
// A kept connection is used for a request that may not be repeated only if it was used this lately: targets close
// connections that have been idle for seconds.
constexpr Duration MaxIdleUnsafe = Milliseconds(1500);
constexpr Duration MaxIdleIdempotent = std::chrono::seconds(30);
// A silent target is given up after this multiple of its usual response time, but not before the shortest stall.
constexpr int StallFactor = 8;
constexpr Duration ShortestStall = Milliseconds(900);
// No work is sent to older weights this long before their limit: it may wait at the target for about its deadline.
constexpr Duration VersionMargin = Milliseconds(4200);

} // namespace

std::vector<Candidate> RequestRunner::candidates() const
{
    const std::string model = this->request.prompt ? this->request.prompt->model : "";
    const Service *profile = this->serving->findService(this->service);
    std::vector<std::string> hosts;
    std::vector<Candidate> result;
    const int64_t now = this->context.clock.now().count();
    for (TargetView &view : this->context.directory.usable(this->service, model)) {
        Candidate candidate;
        candidate.version = view.version;
        const TargetLoad others = this->context.loads.loadOfOthers(view.target->id, Time(now));
        candidate.requests = view.target->inFlight.load() + others.requests;
        candidate.pendingTokens = static_cast<double>(view.target->pendingTokens.load() + others.pendingTokens);
        candidate.heldTokens = static_cast<double>(view.target->heldTokens.load() + others.heldTokens);
        if (profile != nullptr && profile->engine) {
            candidate.capacityTokens = static_cast<double>(profile->engine->cacheTokens);
            candidate.runs = profile->engine->slots;
        }
        candidate.lateTokens = static_cast<double>(view.target->lateTokens.load() + others.lateTokens);
        if (view.target->coldUntil.load() > now && profile != nullptr && profile->coldRequestsPerSecond > 0) {
            if (hosts.empty()) {
                for (const HostEntry &host : this->context.state.hosts()) {
                    hosts.push_back(host.name);
                }
                hosts.resize(std::max(hosts.size(), this->context.state.sharing()));
            }
            const int allowed = ColdLimiter::share(profile->coldRequestsPerSecond, view.target->id, this->context.settings.name, hosts);
            candidate.coldAndFull = !this->context.coldLimiter.hasRoom(view.target->id, allowed);
            candidate.coldShare = allowed;
        }
        candidate.target = std::move(view.target);
        result.push_back(std::move(candidate));
    }
    return result;
}

std::optional<Choice> RequestRunner::tryChoose()
{
    PickQuery query;
    query.ownZone = this->context.settings.zone;
    query.tried = this->tried;
    query.draw = this->random();
    if (this->request.prompt && !this->request.prompt->parts.empty()) {
        const Prompt &prompt = *this->request.prompt;
        const PromptBlock &deciding = prompt.parts[std::max<size_t>(1, this->sharedParts) - 1];
        query.affinity = deciding.id;
        query.ownTokens = deciding.tokens;
        query.heldTokens = static_cast<double>(prompt.promptTokens + prompt.maxOutputTokens);
        query.lane = this->context.workMix.laneOf(this->route->name);
        query.longAnswerShare = this->context.workMix.longAnswerShare();
        const WantedVersion wanted = this->context.state.wanted(prompt.model);
        query.newestVersion = wanted.version;
        query.oldestVersion = this->context.state.oldestAllowed(prompt.model, this->context.clock.now(), this->context.settings.versionLimit - VersionMargin);
    }
    std::vector<Candidate> known = this->candidates();
    if (!query.affinity.empty()) {
        const size_t hosts = std::max<size_t>(1, this->context.state.hosts().size());
        query.sample = std::max(SmallestSample, SampleFactor * known.size() / hosts);
    }
    if (!query.affinity.empty()) {
        int64_t version = query.newestVersion;
        for (const Candidate &candidate : known) {
            version = std::max(version, candidate.version);
        }
        query.cacheZones = this->context.caches.zonesOf(this->saltFor(version), query.affinity);
        this->isCached = !query.cacheZones.empty();
    }
    while (std::optional<Choice> choice = pickTarget(query, known)) {
        const auto chosen = std::find_if(known.begin(), known.end(), [&choice](const Candidate &candidate) { return candidate.target == choice->target; });
        if (chosen->coldShare < 0 || this->context.coldLimiter.tryTake(choice->target->id, chosen->coldShare)) {
            return choice;
        }
        chosen->coldAndFull = true;
    }
    return std::nullopt;
}

// The first part is shared by so many prompts that every target has it; the deciding part is read from a store.
int64_t RequestRunner::expectedReadTokens() const
{
    const Prompt &prompt = *this->request.prompt;
    int64_t tokens = prompt.promptTokens;
    for (size_t index = 0; index < this->sharedParts; ++index) {
        const bool isKept = index == 0 ? this->sharedParts > 1 : this->isCached;
        tokens -= isKept ? prompt.parts[index].tokens : 0;
    }
    return std::max<int64_t>(0, tokens);
}

void RequestRunner::judgeLoad(const Choice &choice)
{
    if (!this->request.prompt || this->streaming) {
        return;
    }
    const double own = static_cast<double>(this->expectedReadTokens());
    this->context.workMix.note(this->route->name, own, static_cast<double>(this->request.prompt->maxOutputTokens));
    this->pendingAtSend = choice.pendingTokens + own;
    const Duration waited = this->spentBefore + (this->context.clock.now() - this->received);
    const Duration expected = this->context.forecast.predict(this->route->name, this->pendingAtSend);
    this->isLate = waited + expected > this->route->targetLatency;
    if (!this->isLate) {
        return;
    }
    const Duration left = this->deadline - this->context.clock.now();
    const Duration behindAll = this->context.forecast.predict(this->route->name, this->pendingAtSend + choice.lateTokens);
    if (behindAll <= fromSeconds(toSeconds(left) * LateShare)) {
        return;
    }
    // Callers come back when about half of the backlog is done, spread out over as long again.
    const double spread = 0.5 + static_cast<double>(this->random() % 1000) / 1000;
    this->retryAfter = std::min<Duration>(left / 3, fromSeconds(toSeconds(behindAll) / 2 * spread));
    throw Failure(ErrorKind::Overloaded, "expected after " + std::to_string(toMilliseconds(behindAll)) + " ms");
}

// Waits a small part of the target latency for a target to become free.
Choice RequestRunner::chooseTarget()
{
    const Time end = std::min(this->deadline - MinTimeLeft, this->context.clock.now() + this->route->targetLatency / HoldPart);
    while (true) {
        if (std::optional<Choice> choice = this->tryChoose()) {
            return *choice;
        }
        if (this->context.clock.now() >= end) {
            throw Failure(ErrorKind::NoTarget, "no target of " + this->service + " may get work now");
        }
        this->context.clock.sleepFor(HoldStep);
    }
}

// Cached parts are shared by all requests with the same weights, but for teams that share nothing.
std::string RequestRunner::saltFor(int64_t version) const
{
    const bool isIsolated = this->team != nullptr && this->team->isIsolated;
    return CacheSalt{this->request.prompt->model, version, isIsolated ? this->team->name : ""}.text();
}

AttemptPlan RequestRunner::planFor(const Choice &choice)
{
    AttemptPlan plan;
    plan.target = choice.target;
    plan.timeLeft = this->deadline - this->context.clock.now() - TargetMargin;
    plan.team = this->team == nullptr ? "" : this->team->name;
    plan.resumeAfter = this->lastEvent.empty() ? this->request.resumeAfter : this->lastEvent;
    if (this->request.prompt) {
        plan.priority = this->team != nullptr && this->team->priority ? *this->team->priority : this->route->priority;
        plan.isLate = this->isLate;
        plan.readTokens = this->expectedReadTokens();
        plan.heldTokens = this->request.prompt->promptTokens + this->request.prompt->maxOutputTokens;
        plan.expectedVersion = choice.version;
        plan.cacheSalt = this->saltFor(choice.version);
        if (choice.version > 0) {
            plan.cache = this->context.caches.plan(
                plan.cacheSalt, this->request.prompt->parts, this->sharedParts, choice.target->zone, this->route->targetLatency / FetchPart, this->random());
        }
        this->cacheSource = plan.cache.mainSource;
        this->expectedTransfer = plan.cache.expectedTime;
        this->fetchTokens += plan.cache.fetchTokens;
        this->saveTokens += plan.cache.saveTokens;
    }
    return plan;
}

AttemptLimits RequestRunner::limitsFor(const TargetState &target) const
{
    AttemptLimits limits;
    limits.deadline = this->deadline;
    limits.callerSocket = this->exchange.callerSocket();
    limits.maxConnectionIdle = this->route->isIdempotent() ? MaxIdleIdempotent : MaxIdleUnsafe;
    if (this->route->isIdempotent()) {
        limits.stall = std::max({ShortestStall, 2 * this->route->targetLatency, Duration(StallFactor * target.responseTime.load())});
    }
    return limits;
}

} // namespace pimentosail
