#include "pimentosail/entry/requestrunner.h"

#include <algorithm>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"

namespace pimentosail
{

namespace
{

// Answered this long before the timeout, so that the answer is with the caller by then.
constexpr Duration AnswerMargin = Milliseconds(30);
// A request with less time left than this is not sent: a target could not begin with it.
constexpr Duration MinTimeLeft = Milliseconds(15);
constexpr int MaxUnsent = 6;
constexpr int MaxArrivals = 4;
// A target that refused or answers for another instance is left alone for this long.
constexpr Duration RefusalPause = Milliseconds(120);
constexpr Duration OtherInstancePause = Milliseconds(400);
// Retry-After of a refusal without a better estimate: from this to twice this, so that callers return spread out.
constexpr Duration RetryAfterBase = Milliseconds(250);
constexpr Duration ReconnectProbe = Milliseconds(200);

double milliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

} // namespace

RequestRunner::RequestRunner(EntryContext &entryContext, HttpExchange &httpExchange)
    : context(entryContext)
    , exchange(httpExchange)
    , random(static_cast<uint64_t>(entryContext.clock.now().count()) ^ reinterpret_cast<uintptr_t>(&httpExchange))
    , received(entryContext.clock.now())
{
}

void RequestRunner::run()
{
    try {
        this->admit();
        this->attemptUntilAnswered();
    } catch (const Failure &failure) {
        this->answerFailure(failure);
    } catch (const std::exception &exception) {
        this->answerFailure(Failure(ErrorKind::Internal, exception.what()));
    }
    this->logDone();
}

void RequestRunner::admit()
{
    this->request = this->context.wire.decodeRequest(this->exchange);
    this->serving = this->context.state.serving();
    this->readBody();
    if (this->context.state.isClosing.load()) {
        throw Failure(ErrorKind::ShuttingDown, "this host is shutting down");
    }
    if (!this->serving) {
        throw Failure(ErrorKind::NotReady, "no configuration is known yet");
    }
    this->route = this->serving->findRoute(this->request.host, this->request.path);
    if (this->route == nullptr) {
        throw Failure(ErrorKind::NotFound, "no route for this host and path");
    }
    this->checkTeam();
    this->service = pickService(*this->route, this->random());
    const std::string teamName = this->team == nullptr ? "" : this->team->name;
    this->fingerprint = combineHashes(stableHash(this->request.method + this->request.target + "\n" + teamName), stableHash(this->request.body));
    const Duration patience = this->request.patience > Duration(0) ? this->request.patience : this->route->timeout;
    this->spentBefore = this->context.forecast.spent(this->route->name, patience);
    if (this->request.prompt && !this->request.prompt->parts.empty()) {
        const std::vector<PromptBlock> &parts = this->request.prompt->parts;
        this->sharedParts = parts.size()
            - (this->context.partReuse.recordLastBlock(this->route->name, parts.back().id, this->fingerprint, this->spentBefore > Duration(0)) ? 0 : 1);
    }
    this->deadline = this->received + std::min(patience, this->route->timeout) - AnswerMargin;
    if (this->context.quarantine.isBlocked(this->fingerprint)) {
        throw Failure(ErrorKind::Blocked, "targets ended while they ran this request");
    }
}

void RequestRunner::checkTeam()
{
    if (!this->serving->all().hasTeams) {
        return;
    }
    this->team = this->request.key.empty() ? nullptr : this->serving->findTeam(this->request.key);
    if (this->team == nullptr && !this->route->isPublic) {
        throw Failure(ErrorKind::Unauthorized, "the key is unknown");
    }
}

void RequestRunner::readBody()
{
    const CallerLimits limits = this->serving ? this->serving->all().limits : CallerLimits{};
    this->request.body = this->exchange.readBody(limits.bodyBytes, this->context.clock, limits.headerTimeout + limits.idleTimeout);
}

bool RequestRunner::forwardEvent(const ReplyFacts &facts, const std::string &event, const std::string &id)
{
    try {
        if (!this->streaming) {
            if (this->context.state.isDraining.load()) {
                this->exchange.closeAfterAnswer();
            }
            this->exchange.startStreamWithHeaders(facts.status, facts.headers);
            this->streaming = true;
            this->answeredStatus = facts.status;
            this->weightVersion = facts.weightVersion.value_or(0);
            this->firstEventAt = this->context.clock.now();
        }
        this->exchange.write(event);
    } catch (const std::exception &) {
        // The caller has closed its connection; the attempt ends as abandoned.
        return false;
    }
    if (!id.empty()) {
        this->lastEvent = id;
    }
    return true;
}

// A broken connection is evidence against the request only if the target is gone too.
void RequestRunner::noteLost(const TargetState &target)
{
    if (TargetConnection::connect(target.address, ReconnectProbe)) {
        return;
    }
    const std::string incarnation = target.id + "/" + std::to_string(target.startedAt);
    if (this->context.quarantine.noteLost(this->fingerprint, incarnation)) {
        this->context.log.write(LogLevel::Warning, "target_ended_under_request",
            {{"id", this->request.id}, {"target", target.id}, {"fingerprint", std::to_string(this->fingerprint)},
                {"losses", this->context.quarantine.losses(this->fingerprint)}});
    }
}

void RequestRunner::noteResult(const Choice &choice, const AttemptResult &result)
{
    TargetState &target = *choice.target;
    const Time now = this->context.clock.now();
    const bool failedRun
        = result.end == AttemptEnd::Lost || result.end == AttemptEnd::Stalled || (result.end == AttemptEnd::Answered && result.facts.status >= 500);
    if (failedRun || result.end == AttemptEnd::Answered) {
        recordOutcome(target, failedRun);
    }
    if (this->request.prompt && result.firstAfter > Duration(0) && result.facts.isEventStream) {
        this->context.caches.recordFirstTokenTime(this->cacheSource, result.firstAfter);
        if (!this->isLate) {
            this->context.forecast.note(this->route->name, this->pendingAtSend, result.firstAfter);
        }
    }
    if (result.end == AttemptEnd::NotRun) {
        const Duration pause = result.facts.isOtherInstance ? OtherInstancePause : RefusalPause;
        target.avoidUntil.store(std::max(target.avoidUntil.load(), (now + pause).count()));
    }
    if (result.facts.coldRemaining && *result.facts.coldRemaining > Duration(0)) {
        target.coldUntil.store(std::max(target.coldUntil.load(), (now + *result.facts.coldRemaining).count()));
    }
    if (result.end == AttemptEnd::Lost) {
        this->context.connections.closeIdle(target.address);
        this->noteLost(target);
    }
    this->context.metrics.count("pimentosail_attempts_total", {{"end", std::string(attemptEndName(result.end))}, {"service", this->service}});
    if (result.end != AttemptEnd::Answered || failedRun) {
        this->context.log.write(LogLevel::Warning, "attempt_failed",
            {{"id", this->request.id}, {"target", target.id}, {"zone", target.zone}, {"end", attemptEndName(result.end)}, {"status", result.facts.status},
                {"reason", result.reason}, {"kept_connection", result.usedKeptConnection}, {"arrivals", this->arrivals}, {"version", choice.version},
                {"target_failures_permille", target.failurePermille.load()}, {"age_ms", milliseconds(now - this->received)}});
    }
}

Failure RequestRunner::failureFor(const AttemptResult &result) const
{
    const std::string text = std::string(attemptEndName(result.end)) + ": " + result.reason;
    if (this->runs > 0) {
        return result.end == AttemptEnd::Deadline ? Failure(Error(ErrorKind::DeadlinePassed, text, false)) : Failure(Error(ErrorKind::TargetLost, text, false));
    }
    return result.end == AttemptEnd::NotRun ? Failure(ErrorKind::TargetFull, text) : Failure(ErrorKind::NoTarget, text);
}

bool RequestRunner::mayTryAgain(const AttemptResult &result)
{
    if (this->deadline - this->context.clock.now() < MinTimeLeft + AnswerMargin) {
        return false;
    }
    if (result.end == AttemptEnd::NotSent) {
        return ++this->unsent < MaxUnsent;
    }
    const bool mayHaveRun = result.end != AttemptEnd::NotRun;
    if (mayHaveRun && (!this->route->isIdempotent() || this->runs >= this->route->maxAttempts)) {
        return false;
    }
    if (this->arrivals >= MaxArrivals || this->context.quarantine.isBlocked(this->fingerprint)) {
        return false;
    }
    return this->context.repeats.tryRepeat(this->service, this->context.state.sharing());
}

void RequestRunner::deliver(const AttemptResult &result)
{
    if (this->context.state.isDraining.load()) {
        this->exchange.closeAfterAnswer();
    }
    this->answeredStatus = result.facts.status;
    this->exchange.sendWithHeaders(result.facts.status, result.facts.headers, result.body, this->request.method != "HEAD");
}

bool RequestRunner::finishAttempt(const Choice &choice, AttemptResult &result)
{
    this->lastTarget = choice.target->id;
    this->lastReason = result.reason;
    this->outcome = attemptEndName(result.end);
    if (result.end != AttemptEnd::NotSent) {
        ++this->arrivals;
        this->tried.insert(choice.target->id);
        this->runs += result.end == AttemptEnd::NotRun ? 0 : 1;
    } else {
        this->tried.insert(choice.target->id);
    }
    this->noteResult(choice, result);
    if (result.end == AttemptEnd::CallerGone) {
        this->callerGone = true;
        this->exchange.abort();
        return true;
    }
    if (result.end == AttemptEnd::Answered && this->streaming && result.facts.isEventStream) {
        this->streamEnded = true;
        return true;
    }
    const bool isFailureAnswer = result.end == AttemptEnd::Answered && result.facts.status >= 500;
    if (result.end == AttemptEnd::Answered && !isFailureAnswer && !this->streaming) {
        this->deliver(result);
        return true;
    }
    if (this->mayTryAgain(result)) {
        if (isFailureAnswer) {
            this->fallback = std::move(result);
        }
        return false;
    }
    if (this->streaming) {
        throw Failure(Error(ErrorKind::Incomplete, "the stream broke off: " + result.reason, false));
    }
    // A status that promises "not run" is passed on only if the target made that promise.
    const bool isPromise = result.facts.status == 503;
    if (isFailureAnswer && !isPromise) {
        this->deliver(result);
        return true;
    }
    throw this->failureFor(result);
}

void RequestRunner::attemptUntilAnswered()
{
    while (true) {
        Choice choice;
        try {
            choice = this->chooseTarget();
        } catch (const Failure &) {
            if (this->streaming) {
                throw Failure(Error(ErrorKind::Incomplete, "no target to resume the stream", false));
            }
            if (this->fallback && this->fallback->facts.status != 503) {
                this->deliver(*this->fallback);
                return;
            }
            if (this->runs > 0) {
                throw Failure(Error(ErrorKind::TargetLost, "no other target may get the request", false));
            }
            throw;
        }
        if (this->deadline - this->context.clock.now() < MinTimeLeft) {
            throw this->runs > 0 ? Failure(Error(ErrorKind::DeadlinePassed, "the deadline passed", false))
                                 : Failure(ErrorKind::NoTarget, "too little time is left");
        }
        if (this->arrivals == 0) {
            // Once sent, a request must not be refused as not run.
            this->judgeLoad(choice);
            this->context.repeats.noteFirst(this->service);
        }
        const AttemptPlan plan = this->planFor(choice);
        Attempt attempt(this->context, this->request, plan);
        AttemptResult result = attempt.run(this->limitsFor(*choice.target),
            [this](const ReplyFacts &facts, const std::string &event, const std::string &id) { return this->forwardEvent(facts, event, id); });
        if (this->finishAttempt(choice, result)) {
            return;
        }
    }
}

void RequestRunner::answerFailure(const Failure &failure)
{
    this->outcome = errorName(failure.error.kind);
    this->lastReason = failure.what();
    if (this->streaming || this->exchange.isHeaderSent()) {
        this->exchange.abort();
        return;
    }
    const ErrorAnswer &answer = answerFor(failure.error.kind);
    HeaderList headers = this->context.wire.ownAnswerHeaders(this->request);
    headers.emplace_back("Content-Type", "application/json");
    if (answer.retryAfterSeconds > 0) {
        const double spread = 1 + static_cast<double>(this->random() % 1000) / 1000;
        const double seconds = this->retryAfter > Duration(0) ? toSeconds(this->retryAfter) : toSeconds(RetryAfterBase) * spread;
        headers.emplace_back("Retry-After", std::to_string(seconds).substr(0, 5));
    }
    if (this->context.state.isDraining.load()) {
        this->exchange.closeAfterAnswer();
    }
    this->answeredStatus = answer.httpStatus;
    try {
        this->exchange.sendWithHeaders(
            answer.httpStatus, headers, printJson(errorBody(failure.error, this->request.id)) + "\n", this->request.method != "HEAD");
    } catch (const std::exception &exception) {
        this->lastReason += std::string("; the caller has gone: ") + exception.what();
    }
}

void RequestRunner::logDone()
{
    const Time now = this->context.clock.now();
    const std::string routeName = this->route == nullptr ? "" : this->route->name;
    const std::string kind = this->route == nullptr ? "none" : std::string(requestKindName(this->route->kind));
    const bool isGood = this->answeredStatus >= 200 && this->answeredStatus < 300 && !this->isAborted() && !this->callerGone;
    this->context.metrics.count("pimentosail_requests_total", {{"kind", kind}, {"status", std::to_string(this->answeredStatus)}, {"outcome", this->outcome}});
    if (this->fetchTokens > 0) {
        this->context.metrics.count("pimentosail_cache_fetch_tokens_total", {{"store", this->cacheSource}}, static_cast<double>(this->fetchTokens));
    }
    if (this->saveTokens > 0) {
        this->context.metrics.count("pimentosail_cache_save_tokens_total", {}, static_cast<double>(this->saveTokens));
    }
    this->context.metrics.observeSeconds("pimentosail_request_seconds", {{"kind", kind}}, toSeconds(now - this->received));
    if (this->firstEventAt > Time(0)) {
        this->context.metrics.observeSeconds("pimentosail_first_event_seconds", {{"kind", kind}}, toSeconds(this->firstEventAt - this->received));
    }
    this->context.log.write(isGood ? LogLevel::Info : LogLevel::Warning, "request_done",
        {{"id", this->request.id}, {"route", routeName}, {"kind", kind}, {"team", this->team == nullptr ? "" : this->team->name},
            {"status", this->answeredStatus}, {"outcome", this->outcome}, {"reason", this->lastReason}, {"target", this->lastTarget},
            {"arrivals", this->arrivals}, {"unsent", this->unsent},
            {"first_ms", this->firstEventAt > Time(0) ? milliseconds(this->firstEventAt - this->received) : 0.0},
            {"total_ms", milliseconds(now - this->received)}, {"config", this->serving ? this->serving->all().version : 0},
            {"config_age_ms", toMilliseconds(now - this->context.state.servingSince())}, {"weights", this->weightVersion}, {"late", this->isLate},
            {"pending_tokens", this->pendingAtSend}, {"cache_source", this->cacheSource}, {"fetch_expected_ms", milliseconds(this->expectedTransfer)},
            {"fetch_tokens", this->fetchTokens}, {"save_tokens", this->saveTokens}});
}

} // namespace pimentosail
