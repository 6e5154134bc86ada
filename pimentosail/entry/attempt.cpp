#include "pimentosail/entry/attempt.h"

#include <algorithm>

#include "pimentosail/base/socketstate.h"
#include "pimentosail/entry/eventtext.h"

namespace pimentosail
{

namespace
{

// Within the deployment, a connection is opened in less than 5 ms. TCP sends a lost SYN packet again only after a second,
// so a somewhat longer timeout would not help.
constexpr Duration ConnectTimeout = Milliseconds(400);
// Maximum size of one event of a stream, which is held until its end has arrived; events have up to some KB.
constexpr size_t MaxEventBytes = 256 * 1024;
// Number of stall limits for which an attempt waits for a target that answers other requests meanwhile.
constexpr int MaxStallRounds = 3;
// Maximum number of answers to earlier requests that are skipped on one connection.
constexpr int MaxStrayAnswers = 2;
// Maximum size of such an answer; answers have some KB.
constexpr size_t MaxSkippedBytes = 256 * 1024;
// How long a target gets no requests that refuses one for a time that cannot be read.
constexpr Duration UnreadableRest = std::chrono::seconds(1);

// Adds an attempt to the load counters of its target for the lifetime of the object.
class TargetLoadGuard
{
public:
    TargetLoadGuard(TargetState &targetState, int64_t prefillTokens, int64_t heldTokens, bool isLate)
        : target(targetState)
        , pending(isLate ? targetState.lateTokens : targetState.pendingTokens)
        , tokens(prefillTokens)
        , held(heldTokens)
    {
        this->target.inFlight.fetch_add(1);
        this->target.heldTokens.fetch_add(this->held);
        this->pending.fetch_add(this->tokens);
    }
    ~TargetLoadGuard()
    {
        this->releasePrompt();
        this->target.inFlight.fetch_sub(1);
        this->target.heldTokens.fetch_sub(this->held);
    }
    TargetLoadGuard(const TargetLoadGuard &) = delete;
    TargetLoadGuard &operator=(const TargetLoadGuard &) = delete;

    // Removes the prompt from the pending tokens. Called at the first token: the target has processed the prompt.
    void releasePrompt()
    {
        this->pending.fetch_sub(this->tokens);
        this->tokens = 0;
    }

private:
    TargetState &target;
    std::atomic<int64_t> &pending;
    int64_t tokens;
    int64_t held;
};

} // namespace

std::string_view attemptEndName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::NotSent:
        return "not_sent";
    case AttemptEnd::NotRun:
        return "not_run";
    case AttemptEnd::Lost:
        return "lost";
    case AttemptEnd::Stalled:
        return "stalled";
    case AttemptEnd::Deadline:
        return "deadline";
    case AttemptEnd::CallerDisconnected:
        return "caller_gone";
    }
    return "lost";
}

// Reads with the stall limit. A target that has answered other requests since this one was sent is busy and not stuck, so
// the attempt waits for up to `MaxStallRounds` stall limits.
ReadStatus Attempt::readWithStall(const AttemptLimits &limits, const std::function<ReadStatus(const Wait &wait)> &read)
{
    this->isStallTimeout = false;
    for (int round = 1;; ++round) {
        const Time stallEnd = limits.stallTimeout > Duration(0) ? this->context.clock.now() + limits.stallTimeout : limits.deadline;
        const bool mustBegin = limits.answerBeginsBy != Time(0) && !this->hasBegun && limits.answerBeginsBy < std::min(stallEnd, limits.deadline);
        const Wait wait{this->context.clock, mustBegin ? limits.answerBeginsBy : std::min(stallEnd, limits.deadline), limits.callerSocket, limits.interrupt,
            limits.callerWriter};
        const ReadStatus status = read(wait);
        if (status != ReadStatus::Timeout || wait.end >= limits.deadline || limits.interrupt->isSet()) {
            return status;
        }
        if (mustBegin || round >= MaxStallRounds || this->plan.target->lastResponse.load() <= this->sentAt.count()) {
            this->isStallTimeout = true;
            return status;
        }
    }
}

// Sets the end of the attempt from the status of a failed read. Always returns false, so that a function can return its
// result.
bool Attempt::fail(ReadStatus status, const char *reason, AttemptResult &result)
{
    result.reason = reason;
    switch (status) {
    case ReadStatus::CallerDisconnected:
        result.end = AttemptEnd::CallerDisconnected;
        break;
    case ReadStatus::Timeout:
        result.end = this->isStallTimeout ? AttemptEnd::Stalled : AttemptEnd::Deadline;
        break;
    default:
        result.end = AttemptEnd::Lost;
        break;
    }
    return false;
}

bool Attempt::failRead(const HttpConnection &connection, ReadStatus status, const char *reason, AttemptResult &result)
{
    this->fail(status, reason, result);
    if (status == ReadStatus::Broken && connection.fault() != AnswerFault::None) {
        result.reason += ": " + std::string(answerFaultText(connection.fault()));
        this->context.metrics.count(
            "pimentosail_faulty_answers_total", {{"service", this->plan.target->service}, {"fault", std::string(answerFaultText(connection.fault()))}});
    }
    return false;
}

void Attempt::recordFirstResponse(AttemptResult &result)
{
    this->hasBegun = true;
    result.timeToFirstEvent = std::max(Duration(1), this->context.clock.now() - this->sentAt);
    recordResponseTime(*this->plan.target, result.timeToFirstEvent);
    this->plan.target->lastResponse.store(this->context.clock.now().count());
}

void Attempt::recordRateLimit(const ReplyHeader &header)
{
    const TargetState &target = *this->plan.target;
    if (header.hasUnreadableRateLimit) {
        this->context.metrics.count("pimentosail_unreadable_limits_total", {{"service", target.service}});
        if (!header.rateLimit) {
            return;
        }
    }
    if (this->context.rateLimits.recordAnswer({target.id, target.startedAt, header.rateLimit, this->context.clock.now()})) {
        this->context.log.write(
            LogLevel::Info, "target_limit_changed", {{"target", target.id}, {"limit", header.rateLimit.value_or(-1)}, {"source", "answer"}});
    }
}

void Attempt::recordNotice(NoticeKind kind, Duration rest)
{
    const TargetState &target = *this->plan.target;
    if (this->context.notices.recordAnswer({target.id, target.startedAt, kind, this->context.clock.now(), rest})) {
        this->context.log.write(LogLevel::Info, "target_notice",
            {{"target", target.id}, {"incarnation", target.startedAt}, {"kind", noticeKindName(kind)}, {"rest_ms", toMilliseconds(rest)}, {"source", "answer"},
                {"id", this->request.id}});
    }
}

void Attempt::recordLeaving(const ReplyHeader &header)
{
    // Another instance at the target's address speaks of itself.
    if (header.isLeaving && !header.isOtherInstance) {
        this->recordNotice(NoticeKind::Leaving, Duration(0));
    }
}

void Attempt::recordRest(const ReplyHeader &header)
{
    if (header.hasUnreadableRest) {
        this->context.metrics.count("pimentosail_unreadable_rests_total", {{"service", this->plan.target->service}});
    }
    if (header.isOtherInstance || (!header.rest && !header.hasUnreadableRest)) {
        return;
    }
    const Duration rest = header.rest.value_or(UnreadableRest);
    if (rest > TargetNoticeTable::MaxRest) {
        this->context.metrics.count("pimentosail_shortened_rests_total", {{"service", this->plan.target->service}});
    }
    if (rest > Duration(0)) {
        this->recordNotice(NoticeKind::Resting, rest);
    }
}

// Whether an answer has a body depends on the method of its request, so that the answers to HEAD and to other methods cannot be told apart
// on one connection.
bool Attempt::mayShareConnection() const
{
    return this->request.method != "HEAD";
}

std::unique_ptr<HttpConnection> Attempt::openConnection(const AttemptLimits &limits, AttemptResult &result)
{
    std::unique_ptr<HttpConnection> pooled
        = this->mayShareConnection() ? this->context.connections.take(this->plan.target->address, this->request.id, limits.maxConnectionIdle) : nullptr;
    if (pooled) {
        result.usedPooledConnection = true;
        return pooled;
    }
    const Time now = this->context.clock.now();
    if (now >= limits.deadline) {
        result.end = AttemptEnd::Deadline;
        return nullptr;
    }
    const Wait wait{this->context.clock, std::min(limits.deadline, now + ConnectTimeout), limits.callerSocket, limits.interrupt, limits.callerWriter};
    Result<std::unique_ptr<HttpConnection>> connection = HttpConnection::connect(this->plan.target->address, wait);
    if (!connection && connection.error().kind == ErrorKind::Cancelled) {
        result.end = AttemptEnd::CallerDisconnected;
        result.reason = "connect";
        return nullptr;
    }
    if (!connection) {
        result.end = AttemptEnd::NotSent;
        result.reason = "connect: " + connection.error().message;
        this->context.connections.closeIdle(this->plan.target->address);
        this->context.directory.recordUnreachable(*this->plan.target);
        return nullptr;
    }
    this->plan.target->connectFailures.store(0);
    return std::move(*connection);
}

// Returns the bytes of the request. The cache plan may have expired since the target was chosen, for example while this host stood still.
std::string Attempt::encode(AttemptResult &result) const
{
    result.hasExpiredCachePlan = this->plan.cache.hasExpired(this->context.clock.nowWithSuspend());
    if (!result.hasExpiredCachePlan) {
        return this->context.wire.encodeAttempt(this->request, this->plan);
    }
    this->context.metrics.count("pimentosail_expired_cache_plans_total", {{"service", this->plan.target->service}});
    AttemptPlan uncached = this->plan;
    uncached.cache = {};
    if (this->plan.cache.saves) {
        this->plan.cache.saves->end();
    }
    return this->context.wire.encodeAttempt(this->request, uncached);
}

bool Attempt::sendRequest(HttpConnection &connection, const AttemptLimits &limits, AttemptResult &result)
{
    bool anySent = false;
    this->sentAt = this->context.clock.now();
    if (this->plan.cache.saves) {
        this->plan.cache.saves->recordSent(this->context.clock.nowWithSuspend() + this->plan.timeLeft + CacheStores::MaxTransit);
    }
    const Wait wait{this->context.clock, limits.deadline, limits.callerSocket, limits.interrupt, limits.callerWriter};
    const SendStatus status = connection.sendNamed(this->encode(result), this->request.id, wait, anySent);
    result.sentAt = anySent ? this->sentAt : Time(0);
    switch (status) {
    case SendStatus::Sent:
    case SendStatus::AnsweredEarly:
        return true;
    case SendStatus::IdRepeated:
        result.end = AttemptEnd::NotSent;
        result.reason = "the connection has carried this id";
        return false;
    case SendStatus::Broken:
        result.end = anySent ? AttemptEnd::Lost : AttemptEnd::NotSent;
        break;
    case SendStatus::Timeout:
        result.end = anySent ? AttemptEnd::Deadline : AttemptEnd::NotSent;
        break;
    case SendStatus::CallerDisconnected:
        result.end = AttemptEnd::CallerDisconnected;
        break;
    }
    result.reason = "send";
    return false;
}

// Reads answer headers until one belongs to this request. Answers to earlier requests on the same connection are skipped.
bool Attempt::readMatchingHeader(HttpConnection &connection, const AttemptLimits &limits, AttemptResult &result)
{
    for (int stray = 0; stray <= MaxStrayAnswers; ++stray) {
        AnswerHead header;
        const ReadStatus status
            = this->readWithStall(limits, [&](const Wait &wait) { return connection.readHeader(header, this->request.method != "HEAD", wait); });
        if (status != ReadStatus::Data) {
            return this->failRead(connection, status, "head", result);
        }
        ReplyHeader decoded;
        try {
            decoded = this->context.wire.decodeReplyHeader(header);
        } catch (const Failure &failure) {
            return this->fail(ReadStatus::Broken, failure.what(), result);
        }
        const bool isSuccess = decoded.status < 300;
        const bool isUnnamed = decoded.requestId.empty();
        if (isUnnamed && !this->request.id.empty() && result.usedPooledConnection) {
            // It may repeat the answer to an earlier request on this connection, so it says nothing of this one.
            this->context.metrics.count("pimentosail_unnamed_answers_total", {});
            return this->fail(ReadStatus::Broken, "an answer on a kept connection that names no request", result);
        }
        const bool isMatching = isUnnamed ? !isSuccess : decoded.requestId == this->request.id;
        if (isMatching) {
            result.header = std::move(decoded);
            this->recordRateLimit(result.header);
            this->recordLeaving(result.header);
        }
        if (isMatching && isSuccess && !result.header.isSigned) {
            return this->fail(ReadStatus::Broken, "a success without the target's signature", result);
        }
        if (isMatching && isSuccess && result.header.contradictsItself) {
            return this->fail(ReadStatus::Broken, "a success that states that the request was not run", result);
        }
        if (isMatching) {
            this->recordRest(result.header);
            return true;
        }
        this->context.metrics.count("pimentosail_stray_answers_total", {});
        size_t skippedBytes = 0;
        ReadStatus body = ReadStatus::Data;
        while (body == ReadStatus::Data) {
            std::string skipped;
            body = this->readWithStall(limits, [&](const Wait &wait) { return connection.readBody(skipped, wait); });
            skippedBytes += skipped.size();
            if (skippedBytes > MaxSkippedBytes) {
                return this->fail(ReadStatus::Broken, "the answer to another request is too large", result);
            }
        }
        if (body != ReadStatus::End) {
            return this->failRead(connection, body, "answer to another request", result);
        }
    }
    return this->fail(ReadStatus::Broken, "too many answers to other requests", result);
}

// Counts the memory that `received` takes. Returns false and ends the attempt if the answers that this host receives take too
// much.
bool Attempt::holdMemory(const std::string &received, AttemptResult &result)
{
    if (result.memory->resize(static_cast<int64_t>(received.capacity()))) {
        return true;
    }
    return this->fail(ReadStatus::Broken, "this host has no more memory for answers", result);
}

void Attempt::readBody(HttpConnection &connection, const AttemptLimits &limits, AttemptResult &result)
{
    while (static_cast<int64_t>(result.body.size()) <= this->context.answerMemory.maxMessageBytes()) {
        const ReadStatus status = this->readWithStall(limits, [&](const Wait &wait) { return connection.readBody(result.body, wait); });
        if (status == ReadStatus::End) {
            this->recordFirstResponse(result);
            result.end = result.header.isNotRun || result.header.isOtherInstance ? AttemptEnd::NotRun : AttemptEnd::Answered;
            return;
        }
        if (status != ReadStatus::Data) {
            this->failRead(connection, status, "body", result);
            return;
        }
        if (!this->holdMemory(result.body, result)) {
            return;
        }
    }
    this->fail(ReadStatus::Broken, "the answer is too large", result);
}

void Attempt::readEvents(HttpConnection &connection, const AttemptLimits &limits, const EventSink &sink, AttemptResult &result)
{
    std::string data;
    Time progressAt = this->context.clock.now();
    while (true) {
        const size_t searched = data.size();
        const ReadStatus status = this->readWithStall(limits, [&](const Wait &wait) { return connection.readBody(data, wait); });
        if (status == ReadStatus::Data) {
            size_t start = 0;
            for (size_t length = eventLength(data, searched); length > 0; length = eventLength(std::string_view(data).substr(start), 0)) {
                const std::string event = data.substr(start, length);
                start += length;
                if (result.timeToFirstEvent == Duration(0)) {
                    this->recordFirstResponse(result);
                }
                progressAt = isComment(event) ? progressAt : this->context.clock.now();
                if (!sink(result.header, event, eventId(event))) {
                    result.end = AttemptEnd::CallerDisconnected;
                    result.reason = "write to the caller";
                    return;
                }
            }
            data.erase(0, start);
            if (data.size() > MaxEventBytes) {
                this->fail(ReadStatus::Broken, "the event is too large", result);
                return;
            }
            if (!this->holdMemory(data, result)) {
                return;
            }
            // A target that sends parts of an event, or comments, sends no answer.
            if (limits.stallTimeout > Duration(0) && this->context.clock.now() > progressAt + MaxStallRounds * limits.stallTimeout) {
                this->isStallTimeout = true;
                this->fail(ReadStatus::Timeout, "no complete event", result);
                return;
            }
            continue;
        }
        if (status == ReadStatus::End && data.empty() && result.timeToFirstEvent == Duration(0) && connection.wasAnswerEndedByClose()) {
            // A target that ends after its head closes its connection too.
            this->fail(ReadStatus::Broken, "the stream ended before its first event", result);
            return;
        }
        if (status == ReadStatus::End && data.empty()) {
            result.end = AttemptEnd::Answered;
            return;
        }
        // An incomplete event is dropped, even if the HTTP framing says that the body is complete.
        this->failRead(connection, status == ReadStatus::End ? ReadStatus::Broken : status, "events", result);
        return;
    }
}

void Attempt::endSaves(const AttemptResult &result) const
{
    const bool mayBegin = result.sentAt != Time(0) && result.end != AttemptEnd::Answered && result.end != AttemptEnd::NotRun;
    if (this->plan.cache.saves && mayBegin) {
        this->plan.cache.saves->abandon();
    } else if (this->plan.cache.saves) {
        this->plan.cache.saves->end();
    }
}

AttemptResult Attempt::run(const AttemptLimits &limits, const EventSink &sink)
{
    AttemptResult result = this->exchange(limits, sink);
    this->endSaves(result);
    return result;
}

AttemptResult Attempt::exchange(const AttemptLimits &limits, const EventSink &sink)
{
    AttemptResult result;
    TargetLoadGuard load(*this->plan.target, this->plan.prefillTokens, this->plan.heldTokens, this->plan.isLate);
    std::unique_ptr<HttpConnection> opened = this->openConnection(limits, result);
    if (!opened) {
        return result;
    }
    // The target may have started to leave or to rest while the connection was opened.
    const SendDecision decision = this->context.gate.check(*this->plan.target, SendKind::Request);
    if (!decision.isAllowed()) {
        result.end = AttemptEnd::NotSent;
        result.reason = "the target may get no requests: " + std::string(sendObstacleName(decision.obstacle));
        this->context.connections.putUnused(this->plan.target->address, std::move(opened));
        return result;
    }
    // The caller may have left before this host came to read its request.
    if (isPeerClosed(limits.callerSocket)) {
        result.end = AttemptEnd::CallerDisconnected;
        result.reason = "before sending";
        this->context.connections.putUnused(this->plan.target->address, std::move(opened));
        return result;
    }
    result.memory = std::make_unique<MessageMemory::Share>(this->context.answerMemory);
    if (!this->sendRequest(*opened, limits, result) || !this->readMatchingHeader(*opened, limits, result)) {
        return result;
    }
    if (result.header.status == 200 && result.header.isEventStream) {
        bool isFirstEvent = true;
        const EventSink trackingSink = [this, &load, &isFirstEvent, &sink](const ReplyHeader &header, const std::string &event, const std::string &id) {
            if (isFirstEvent) {
                load.releasePrompt();
                if (this->plan.cache.saves) {
                    this->plan.cache.saves->end();
                }
                isFirstEvent = false;
            }
            return sink(header, event, id);
        };
        this->readEvents(*opened, limits, trackingSink, result);
    } else {
        this->readBody(*opened, limits, result);
    }
    if (this->mayShareConnection() && (result.end == AttemptEnd::Answered || result.end == AttemptEnd::NotRun)) {
        opened->targetIdleTimeout = result.header.keepAlive;
        this->context.connections.put(this->plan.target->address, std::move(opened));
    }
    return result;
}

} // namespace pimentosail
