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
constexpr int StatusOk = 200;
// Maximum number of attempts that send nothing.
constexpr int MaxUnsent = 6;
// Maximum number of attempts that reach a target.
constexpr int MaxArrivals = 4;
// Retry-After of a refusal without an estimate: a random time between this and twice this, so that callers do not return
// all at once.
constexpr Duration RetryAfterBase = Milliseconds(250);

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
    this->exchange.useBuffers(this->context.callerBuffers);
    try {
        this->admit();
        this->admittedAt = this->context.clock.now();
        this->attemptUntilAnswered();
    } catch (const Failure &failure) {
        this->answerFailure(failure);
    } catch (const std::exception &exception) {
        this->answerFailure(Failure(ErrorKind::Internal, exception.what()));
    }
    this->finishAnswer();
    this->returnDraw();
    this->logDone();
}

void RequestRunner::admit()
{
    this->serving = this->context.state.serving();
    const CallerLimits limits = this->serving ? this->serving->all().limits : CallerLimits{};
    if (this->exchange.headBytes() > static_cast<size_t>(limits.headerBytes)) {
        throw Failure(ErrorKind::HeadTooLarge, "the head is larger than " + std::to_string(limits.headerBytes) + " bytes");
    }
    this->request = this->context.wire.decodeRequest(this->exchange);
    if (this->exchange.mustBeRefused()) {
        this->context.metrics.count("pimentosail_requests_without_thread_total", {});
        throw Failure(ErrorKind::Overloaded, "all threads of this host are busy");
    }
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
        const Time now = this->context.clock.now();
        this->longestPause = this->lastEventAt == Time(0) ? Duration(0) : std::max(this->longestPause, now - this->lastEventAt);
        this->lastEventAt = now;
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
    if (result.end == AttemptEnd::Answered && this->streaming && result.header.isEventStream && result.header.status == StatusOk) {
        this->streamEnded = true;
        this->context.mixedLoad.recordPauses(this->service, this->route->name, this->longestPause > this->route->targetGap);
        this->exchange.endStream();
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
        if (!this->callerDisconnected) {
            // The caller may resume after the last event that it gets.
            this->exchange.finish(this->context.clock, this->context.state.shutdownEnd);
        }
        this->exchange.abort();
        return;
    }
    // A request that was refused by its head has a body that is not read yet.
    const CallerLimits limits = this->serving ? this->serving->all().limits : CallerLimits{};
    if (!this->exchange.mustBeRefused()) {
        this->exchange.skipBody(limits.bodyBytes, this->context.clock, limits.headerTimeout);
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
        this->lastReason += std::string("; the caller has disconnected: ") + exception.what();
    }
}

void RequestRunner::finishAnswer()
{
    // A slow caller's answer is counted in the memory of its buffer only.
    this->fallback.reset();
    std::string().swap(this->request.body);
    this->bodyMemory.reset();
    const bool isWritten = this->exchange.finish(this->context.clock, this->context.state.shutdownEnd);
    if (this->exchange.callerWriter()->wasEnded()) {
        this->callerDisconnected = true;
        this->outcome = "reader_too_slow";
        this->lastReason = "callers that read slowly take too much memory, and this one is the slowest";
    } else if (!isWritten && !this->callerDisconnected) {
        this->callerDisconnected = true;
        this->outcome = attemptEndName(AttemptEnd::CallerDisconnected);
        this->lastReason = "write to the caller";
    }
}

} // namespace pimentosail
