#include "pimentosail/entry/requestrunner.h"

#include <algorithm>
#include <utility>

#include <Poco/NumberParser.h>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"
#include "pimentosail/base/socketstate.h"

namespace pimentosail
{

namespace
{

// This host answers this long before the caller's timeout, so that the answer reaches the caller in time.
constexpr Duration AnswerMargin = Milliseconds(30);
// A request with less time left is not sent, because no target could start it in time.
constexpr Duration MinTimeLeft = Milliseconds(15);
// Maximum number of attempts that send nothing.
constexpr int MaxUnsent = 6;
// Maximum number of attempts that reach a target.
constexpr int MaxArrivals = 4;
// A target gets no requests for this long after it refused one, or answered that another instance runs at its address.
constexpr Duration RefusalPause = Milliseconds(120);
constexpr Duration OtherInstancePause = Milliseconds(400);
// Retry-After of a refusal without an estimate: a random time between this and twice this, so that callers do not return
// all at once.
constexpr Duration RetryAfterBase = Milliseconds(250);
// Maximum wait for the connection by which a host checks whether a target has ended.
constexpr Duration ReconnectProbe = Milliseconds(200);

// Returns true if the event `id` does not come after `lastId`. IDs that are no numbers can't be compared.
bool isRepeatedEvent(const std::string &id, const std::string &lastId)
{
    Poco::Int64 number = 0;
    Poco::Int64 lastNumber = 0;
    return Poco::NumberParser::tryParse64(id, number) && Poco::NumberParser::tryParse64(lastId, lastNumber) && number <= lastNumber;
}

// The body is held once as received and once in the bytes that are sent.
constexpr int64_t BodyCopies = 2;
// A large body waits this long for memory that others hold, and looks for it in this interval. Callers give a request up that is not read
// for a second.
constexpr Duration MaxBodyMemoryWait = Milliseconds(800);
constexpr Duration BodyMemoryInterval = Milliseconds(20);

double milliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

} // namespace

RequestRunner::RequestRunner(EntryContext &entryContext, HttpExchange &httpExchange)
    : context(entryContext)
    , exchange(httpExchange)
    , random(static_cast<uint64_t>(entryContext.clock.now().count()) ^ reinterpret_cast<uintptr_t>(&httpExchange))
    , queued(timeSinceReceived(httpExchange.callerSocket()))
    , received(entryContext.clock.now() - queued)
{
}

void RequestRunner::run()
{
    try {
        this->admit();
        this->admittedAt = this->context.clock.now();
        this->attemptUntilAnswered();
    } catch (const Failure &failure) {
        this->answerFailure(failure);
    } catch (const std::exception &exception) {
        this->answerFailure(Failure(ErrorKind::Internal, exception.what()));
    }
    this->returnDraw();
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
        throw Failure(ErrorKind::NotReady, "no configuration has been received yet");
    }
    this->route = this->serving->findRoute(this->request.host, this->request.path);
    if (this->route == nullptr) {
        this->refuseAsUnknown(ErrorKind::NotFound, "no route for this host and path");
    }
    this->checkTeam();
    this->service = pickService(*this->route, this->random());
    const std::string teamName = this->team == nullptr ? "" : this->team->name;
    this->fingerprint = combineHashes(stableHash(this->request.method + this->request.requestTarget + "\n" + teamName), stableHash(this->request.body));
    const Duration callerTimeout = this->request.callerTimeout > Duration(0) ? this->request.callerTimeout : this->route->timeout;
    this->elapsedBefore = this->context.forecast.estimateElapsed(this->route->name, callerTimeout);
    if (this->request.prompt && !this->request.prompt->blocks.empty()) {
        const std::vector<PromptBlock> &blocks = this->request.prompt->blocks;
        for (size_t index = 0; index + 1 < blocks.size(); ++index) {
            this->leadingBlocks.push_back(blocks[index].id);
        }
        this->sharedBlocks = blocks.size()
            - (this->context.blockReuse.recordLastBlock(this->route->name, blocks.back().id, this->fingerprint, this->elapsedBefore > Duration(0)) ? 0 : 1);
    }
    this->deadline = this->received + std::min(callerTimeout, this->route->timeout) - AnswerMargin;
    this->checkNotBlocked();
}

// A route or key may be new if this host has not heard of the store for too long.
void RequestRunner::refuseAsUnknown(ErrorKind kind, const std::string &reason) const
{
    const MirrorStatus mirrorStatus = this->context.mirror.status();
    const Time now = this->context.clock.nowWithSuspend();
    const Duration age = now - mirrorStatus.completeAt;
    if (mirrorStatus.completeAt != Time(0) && age < this->context.settings.configurationLimit) {
        if (mirrorStatus.restoredAt != Time(0) && now < mirrorStatus.restoredAt + RewriteTime) {
            throw Failure(ErrorKind::NotReady, reason + ", but the store has come back from an older copy");
        }
        throw Failure(kind, reason);
    }
    throw Failure(ErrorKind::NotReady, reason + ", but the configuration may be " + std::to_string(toMilliseconds(age)) + " ms old");
}

void RequestRunner::checkNotBlocked() const
{
    const bool isRequestBlocked = this->context.quarantine.isBlocked(this->fingerprint);
    if (!isRequestBlocked && !this->context.blockQuarantine.isBlocked(this->leadingBlocks)) {
        return;
    }
    this->context.metrics.count("pimentosail_blocked_requests_total", {{"evidence", isRequestBlocked ? "request" : "prompt_block"}});
    if (this->possibleRuns > 0) {
        throw Failure(Error(ErrorKind::TargetLost, "targets ended while they ran this request, and it is blocked", false));
    }
    throw Failure(ErrorKind::Blocked,
        isRequestBlocked ? "targets ended while they ran this request" : "targets ended while they ran requests with a block of this prompt");
}

void RequestRunner::checkCallerConnected() const
{
    if (this->exchange.isCallerDisconnected()) {
        throw Failure(ErrorKind::Cancelled, "the caller has disconnected");
    }
}

void RequestRunner::recordAnswerBegun()
{
    if (!this->leadingBlocks.empty()) {
        this->context.blockQuarantine.recordAnswer(this->leadingBlocks);
    }
}

void RequestRunner::checkTeam()
{
    if (!this->serving->all().hasTeams) {
        return;
    }
    this->team = this->request.key.empty() ? nullptr : this->serving->findTeam(this->request.key);
    if (this->team == nullptr && !this->route->isPublic) {
        this->refuseAsUnknown(ErrorKind::Unauthorized, "the key is unknown");
    }
}

void RequestRunner::readBody()
{
    const CallerLimits limits = this->serving ? this->serving->all().limits : CallerLimits{};
    this->bodyMemory = std::make_unique<MessageMemory::Share>(this->context.requestMemory);
    this->request.body = this->exchange.readBody(
        limits.bodyBytes, this->context.clock, limits.headerTimeout + limits.idleTimeout, [this](size_t bytes) { this->reserveBodyMemory(bytes); });
}

void RequestRunner::reserveBodyMemory(size_t bytes)
{
    const Time end = this->context.clock.now() + MaxBodyMemoryWait;
    while (!this->bodyMemory->resize(static_cast<int64_t>(bytes) * BodyCopies)) {
        this->checkCallerConnected();
        if (this->context.clock.now() >= end) {
            this->context.metrics.count("pimentosail_bodies_without_memory_total", {});
            throw Failure(ErrorKind::Overloaded, "this host has no memory for the body now");
        }
        this->context.clock.sleepFor(BodyMemoryInterval);
    }
}

bool RequestRunner::forwardEvent(const ReplyHeader &header, const std::string &event, const std::string &id)
{
    if (isRepeatedEvent(id, this->lastEventId.empty() ? this->request.resumeAfter : this->lastEventId)) {
        this->context.metrics.count("pimentosail_repeated_events_total", {});
        return true;
    }
    try {
        if (!this->streaming) {
            if (this->context.state.isDraining.load()) {
                this->exchange.closeAfterAnswer();
            }
            this->exchange.startStreamWithHeaders(header.status, header.headers);
            this->streaming = true;
            this->answeredStatus = header.status;
            this->weightVersion = header.weightVersion.value_or(0);
            this->firstEventAt = this->context.clock.now();
            this->recordAnswerBegun();
        }
        this->exchange.write(event);
    } catch (const std::exception &) {
        // The caller has closed its connection; the attempt ends with `CallerDisconnected`.
        return false;
    }
    if (!id.empty()) {
        this->lastEventId = id;
    }
    return true;
}

// Records a loss against the request if the target is unreachable. A lost connection alone is no evidence that the target
// has ended.
void RequestRunner::recordLostTarget(const TargetState &target, const AttemptResult &result)
{
    const Wait wait{this->context.clock, this->context.clock.now() + ReconnectProbe, this->exchange.callerSocket()};
    const Result<std::unique_ptr<HttpConnection>> connection = HttpConnection::connect(target.address, wait);
    if (connection || connection.error().kind == ErrorKind::Cancelled) {
        return;
    }
    const std::string incarnation = target.id + "/" + std::to_string(target.startedAt);
    const bool hadEvent = result.timeToFirstEvent > Duration(0);
    if (!hadEvent && !this->leadingBlocks.empty()) {
        this->context.blockQuarantine.recordLoss(this->leadingBlocks, incarnation, this->fingerprint);
    }
    if (this->context.quarantine.recordLoss(this->fingerprint, incarnation)) {
        std::string blocks;
        if (this->request.prompt) {
            for (const PromptBlock &block : this->request.prompt->blocks) {
                blocks += (blocks.empty() ? "" : ",") + block.id;
            }
        }
        this->context.log.write(LogLevel::Warning, "target_ended_under_request",
            {{"id", this->request.id}, {"target", target.id}, {"incarnation", incarnation}, {"fingerprint", std::to_string(this->fingerprint)},
                {"losses", this->context.quarantine.lossCount(this->fingerprint)}, {"blocks", blocks}, {"had_event", hadEvent},
                {"suspected", this->context.blockQuarantine.isSuspected(this->leadingBlocks)},
                {"blocked", this->context.blockQuarantine.isBlocked(this->leadingBlocks)}});
    }
}

void RequestRunner::recordResult(const TargetChoice &choice, const AttemptResult &result)
{
    TargetState &target = *choice.target;
    const Time now = this->context.clock.now();
    const bool failedRun
        = result.end == AttemptEnd::Lost || result.end == AttemptEnd::Stalled || (result.end == AttemptEnd::Answered && result.header.status >= 500);
    if (failedRun || result.end == AttemptEnd::Answered) {
        recordOutcome(target, failedRun);
    }
    this->recordVersionOutcome(choice, result, failedRun);
    if (this->request.prompt && result.timeToFirstEvent > Duration(0) && result.header.isEventStream) {
        this->context.cacheStores.recordFirstTokenTime(this->cacheSource, result.timeToFirstEvent);
        if (!this->isLate) {
            this->context.forecast.record(this->route->name, this->pendingAtSend, result.timeToFirstEvent);
        }
    }
    if (result.end == AttemptEnd::NotRun) {
        const Duration pause = result.header.isOtherInstance ? OtherInstancePause : RefusalPause;
        target.avoidUntil.store(std::max(target.avoidUntil.load(), (now + pause).count()));
    }
    if (result.header.coldRemaining && *result.header.coldRemaining > Duration(0)) {
        target.coldUntil.store(std::max(target.coldUntil.load(), (now + *result.header.coldRemaining).count()));
    }
    if (result.end == AttemptEnd::Lost) {
        this->context.connections.closeIdle(target.address);
        this->recordLostTarget(target, result);
    }
    this->context.metrics.count("pimentosail_attempts_total", {{"end", std::string(attemptEndName(result.end))}, {"service", this->service}});
    if (result.header.status >= 400) {
        this->context.metrics.count("pimentosail_failure_answers_total",
            {{"service", this->service}, {"status", std::to_string(result.header.status)}, {"stated", result.header.isNotRun ? "1" : "0"}});
    }
    if (result.end != AttemptEnd::Answered || result.header.status >= 400) {
        this->context.log.write(LogLevel::Warning, "attempt_failed",
            {{"id", this->request.id}, {"target", target.id}, {"zone", target.zone}, {"end", attemptEndName(result.end)}, {"status", result.header.status},
                {"reason", result.reason}, {"kept_connection", result.usedPooledConnection}, {"sent", result.sentAt != Time(0)},
                {"stated", result.header.isNotRun}, {"named", !result.header.requestId.empty()}, {"signed", result.header.isSigned},
                {"arrivals", this->arrivals}, {"possible_runs", this->possibleRuns}, {"version", choice.version},
                {"target_failures_permille", target.failurePermille.load()}, {"age_ms", milliseconds(now - this->received)}});
    }
}

Failure RequestRunner::failureFor(const AttemptResult &result) const
{
    const std::string text = std::string(attemptEndName(result.end)) + ": " + result.reason;
    if (this->possibleRuns > 0) {
        return result.end == AttemptEnd::Deadline ? Failure(Error(ErrorKind::DeadlinePassed, text, false)) : Failure(Error(ErrorKind::TargetLost, text, false));
    }
    return result.end == AttemptEnd::NotRun ? Failure(ErrorKind::TargetFull, text) : Failure(ErrorKind::NoTarget, text);
}

// The configuration may have changed since the request was admitted.
bool RequestRunner::isRepeatable() const
{
    const ServingConfigurationPointer newest = this->context.state.serving();
    const Route *newestRoute = newest ? newest->findRoute(this->request.host, this->request.path) : nullptr;
    return this->route->isIdempotent() && (newestRoute == nullptr || newestRoute->isIdempotent());
}

bool RequestRunner::mayTryAgain(const AttemptResult &result)
{
    if (this->deadline - this->context.clock.now() < MinTimeLeft + AnswerMargin || this->context.state.shutdownEnd.isSet()) {
        return false;
    }
    if (result.end == AttemptEnd::NotSent) {
        return ++this->unsent < MaxUnsent;
    }
    const bool mayHaveRun = result.end != AttemptEnd::NotRun;
    if (mayHaveRun && (!this->isRepeatable() || this->possibleRuns >= this->route->maxAttempts)) {
        return false;
    }
    if (this->arrivals >= MaxArrivals || this->context.quarantine.isBlocked(this->fingerprint)) {
        return false;
    }
    // A stream that has begun proves that its blocks are sound.
    if (!this->streaming && mayHaveRun && this->context.blockQuarantine.isSuspected(this->leadingBlocks)) {
        return false;
    }
    return this->context.retryBudget.tryAcquire(this->service, this->context.state.sharingHostCount());
}

void RequestRunner::deliver(const AttemptResult &result)
{
    if (this->context.state.isDraining.load()) {
        this->exchange.closeAfterAnswer();
    }
    this->answeredStatus = result.header.status;
    this->exchange.sendWithHeaders(result.header.status, result.header.headers, result.body, this->request.method != "HEAD");
}

bool RequestRunner::finishAttempt(const TargetChoice &choice, AttemptResult &result)
{
    this->lastTarget = choice.target->id;
    this->lastReason = result.reason;
    this->outcome = attemptEndName(result.end);
    this->lastSentAt = result.sentAt == Time(0) ? this->lastSentAt : result.sentAt;
    this->triedTargets.insert(choice.target->id);
    if (result.sentAt != Time(0)) {
        ++this->arrivals;
        this->possibleRuns += result.end == AttemptEnd::NotRun ? 0 : 1;
    }
    this->recordResult(choice, result);
    if (result.end == AttemptEnd::CallerDisconnected) {
        this->callerDisconnected = true;
        this->exchange.abort();
        return true;
    }
    if (result.end == AttemptEnd::Answered && result.header.status < 300) {
        this->context.quarantine.recordAnswer(this->fingerprint);
    }
    // An error that answers the resumption of a stream is no end of it, whatever its content type.
    if (result.end == AttemptEnd::Answered && this->streaming && result.header.isEventStream && result.header.status == Poco::Net::HTTPResponse::HTTP_OK) {
        this->streamEnded = true;
        return true;
    }
    // A target that refuses a request states so; then the attempt has not ended as answered.
    const bool isUnstatedRefusal = result.end == AttemptEnd::Answered && promisesNotRun(result.header.status);
    const bool isFailureAnswer = result.end == AttemptEnd::Answered && (result.header.status >= 500 || isUnstatedRefusal);
    if (result.end == AttemptEnd::Answered && !isFailureAnswer && !this->streaming) {
        if (result.header.status < 300) {
            this->recordAnswerBegun();
        }
        this->deliver(result);
        return true;
    }
    if (this->mayTryAgain(result)) {
        if (isFailureAnswer && !isUnstatedRefusal) {
            this->fallback = std::move(result);
        }
        return false;
    }
    if (this->streaming) {
        throw Failure(Error(ErrorKind::Incomplete, "the stream was interrupted: " + result.reason, false));
    }
    if (isFailureAnswer && !isUnstatedRefusal) {
        this->deliver(result);
        return true;
    }
    throw this->failureFor(result);
}

void RequestRunner::attemptUntilAnswered()
{
    while (true) {
        TargetChoice choice;
        try {
            choice = this->chooseTarget();
        } catch (const Failure &failure) {
            if (failure.error.kind == ErrorKind::Cancelled) {
                throw;
            }
            if (this->streaming) {
                throw Failure(Error(ErrorKind::Incomplete, "no target to resume the stream", false));
            }
            if (this->fallback) {
                this->deliver(*this->fallback);
                return;
            }
            if (this->possibleRuns > 0) {
                throw Failure(Error(ErrorKind::TargetLost, "no other target may get the request", false));
            }
            throw;
        }
        if (this->deadline - this->context.clock.now() < MinTimeLeft) {
            throw this->possibleRuns > 0 ? Failure(Error(ErrorKind::DeadlinePassed, "the deadline passed", false))
                                         : Failure(ErrorKind::NoTarget, "too little time is left");
        }
        this->checkNotBlocked();
        if (this->arrivals == 0) {
            // Only before the first send: a request that was sent must not be refused as not run.
            this->evaluateLoad(choice);
        }
        if (!std::exchange(this->isCounted, true)) {
            this->context.retryBudget.recordFirstSend(this->service);
        }
        this->settleDraw(choice);
        const AttemptPlan plan = this->planFor(choice);
        Attempt attempt(this->context, this->request, plan);
        AttemptResult result = attempt.run(this->limitsFor(choice),
            [this](const ReplyHeader &header, const std::string &event, const std::string &id) { return this->forwardEvent(header, event, id); });
        if (this->finishAttempt(choice, result)) {
            return;
        }
    }
}

void RequestRunner::answerFailure(const Failure &reported)
{
    // Whatever failed after the request was sent, callers must not be told that it was not run.
    const bool isPromise = promisesNotRun(answerFor(reported.error.kind).httpStatus);
    const Failure failure = isPromise && this->possibleRuns > 0 ? Failure(Error(ErrorKind::TargetLost, reported.what(), false)) : reported;
    this->outcome = errorName(failure.error.kind);
    this->lastReason = failure.what();
    if (failure.error.kind == ErrorKind::Cancelled) {
        this->callerDisconnected = true;
        this->outcome = attemptEndName(AttemptEnd::CallerDisconnected);
    }
    if (this->callerDisconnected || this->streaming || this->exchange.isHeaderSent()) {
        this->exchange.abort();
        return;
    }
    // A request that was refused by its head has a body that is not read yet.
    const CallerLimits limits = this->serving ? this->serving->all().limits : CallerLimits{};
    this->exchange.skipBody(limits.bodyBytes, this->context.clock, limits.headerTimeout);
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
        this->lastReason += std::string("; the caller has disconnected: ") + exception.what();
    }
}

void RequestRunner::logDone()
{
    const Time now = this->context.clock.now();
    const std::string routeName = this->route == nullptr ? "" : this->route->name;
    const std::string kind = this->route == nullptr ? "none" : std::string(requestKindName(this->route->kind));
    const bool isGood = this->answeredStatus >= 200 && this->answeredStatus < 300 && !this->isAborted() && !this->callerDisconnected;
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
            {"arrivals", this->arrivals}, {"possible_runs", this->possibleRuns}, {"unsent", this->unsent},
            {"first_ms", this->firstEventAt > Time(0) ? milliseconds(this->firstEventAt - this->received) : 0.0},
            {"total_ms", milliseconds(now - this->received)}, {"queued_ms", milliseconds(this->queued)},
            {"admitted_ms", this->admittedAt > Time(0) ? milliseconds(this->admittedAt - this->received) : 0.0},
            {"sent_ms", this->lastSentAt > Time(0) ? milliseconds(this->lastSentAt - this->received) : 0.0},
            {"caller_left", this->callerDisconnected || (!this->isAborted() && this->exchange.isCallerDisconnected())},
            {"config", this->serving ? this->serving->all().version : 0}, {"config_age_ms", toMilliseconds(now - this->context.state.servingSince())},
            {"weights", this->weightVersion}, {"expected_version", this->expectedVersion}, {"wanted_version", this->wantedVersion},
            {"wanted_age_ms", this->wantedVersionAge < Duration(0) ? -1 : toMilliseconds(this->wantedVersionAge)}, {"late", this->isLate},
            {"pending_tokens", this->pendingAtSend}, {"held_share", this->heldShare}, {"cache_source", this->cacheSource},
            {"fetch_expected_ms", milliseconds(this->expectedTransfer)}, {"fetch_tokens", this->fetchTokens}, {"save_tokens", this->saveTokens}});
}

} // namespace pimentosail
