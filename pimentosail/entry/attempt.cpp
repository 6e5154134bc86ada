#include "pimentosail/entry/attempt.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

// A connection in the own deployment takes under 5 ms; a lost opening packet is sent again after a second.
constexpr Duration ConnectTimeout = Milliseconds(400);
// Largest plain answer that is collected.
constexpr size_t MaxAnswerBytes = 64 * 1024 * 1024;
// Stall limits for which a request waits at a target that answers others.
constexpr int MaxStallRounds = 3;
// Answers to earlier requests that are skipped on a connection before it is given up.
constexpr int MaxStrayAnswers = 2;

// Counts an attempt at its target for as long as it lives.
class LoadMark
{
public:
    LoadMark(TargetState &targetState, int64_t readTokens, int64_t heldTokens, bool isLate)
        : target(targetState)
        , pending(isLate ? targetState.lateTokens : targetState.pendingTokens)
        , tokens(readTokens)
        , held(heldTokens)
    {
        this->target.inFlight.fetch_add(1);
        this->target.heldTokens.fetch_add(this->held);
        this->pending.fetch_add(this->tokens);
    }
    ~LoadMark()
    {
        this->promptRead();
        this->target.inFlight.fetch_sub(1);
        this->target.heldTokens.fetch_sub(this->held);
    }
    LoadMark(const LoadMark &) = delete;
    LoadMark &operator=(const LoadMark &) = delete;

    // The prompt has been read: its first token is there.
    void promptRead()
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

// Returns the length of the first whole event in `data` with its end, or 0.
size_t eventLength(const std::string &data)
{
    const size_t plain = data.find("\n\n");
    const size_t carriage = data.find("\r\n\r\n");
    if (carriage != std::string::npos && (plain == std::string::npos || carriage < plain)) {
        return carriage + 4;
    }
    return plain == std::string::npos ? 0 : plain + 2;
}

// Returns the value of the event's id line, or an empty string.
std::string eventId(const std::string &event)
{
    size_t start = 0;
    while (start < event.size()) {
        const size_t end = std::min(event.find('\n', start), event.size());
        if (event.compare(start, 3, "id:") == 0) {
            size_t first = start + 3;
            while (first < end && event[first] == ' ') {
                ++first;
            }
            size_t last = end;
            while (last > first && (event[last - 1] == '\r' || event[last - 1] == ' ')) {
                --last;
            }
            return event.substr(first, last - first);
        }
        start = end + 1;
    }
    return {};
}

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
    case AttemptEnd::CallerGone:
        return "caller_gone";
    }
    return "lost";
}

// Reads with the stall limit. A target that has answered others since the request was sent is busy rather than stuck,
// so the request waits on there for some rounds.
ReadStatus Attempt::readWithStall(const AttemptLimits &limits, const std::function<ReadStatus(const Wait &wait)> &read)
{
    this->waitIsStall = false;
    for (int round = 1;; ++round) {
        const Time stallEnd = limits.stall > Duration(0) ? this->context.clock.now() + limits.stall : limits.deadline;
        const Wait wait{this->context.clock, std::min(stallEnd, limits.deadline), limits.callerSocket};
        const ReadStatus status = read(wait);
        if (status != ReadStatus::Timeout || wait.end >= limits.deadline) {
            return status;
        }
        if (round >= MaxStallRounds || this->plan.target->lastResponse.load() <= this->sentAt.count()) {
            this->waitIsStall = true;
            return status;
        }
    }
}

// Turns the status of a failed read into the end of the attempt. Returns false for the caller's convenience.
bool Attempt::fail(ReadStatus status, const char *where, AttemptResult &result)
{
    result.reason = where;
    switch (status) {
    case ReadStatus::CallerDisconnected:
        result.end = AttemptEnd::CallerGone;
        break;
    case ReadStatus::Timeout:
        result.end = this->waitIsStall ? AttemptEnd::Stalled : AttemptEnd::Deadline;
        break;
    default:
        result.end = AttemptEnd::Lost;
        break;
    }
    return false;
}

void Attempt::noteFirst(AttemptResult &result)
{
    result.firstAfter = std::max(Duration(1), this->context.clock.now() - this->sentAt);
    recordResponseTime(*this->plan.target, result.firstAfter);
    this->plan.target->lastResponse.store(this->context.clock.now().count());
}

std::unique_ptr<TargetConnection> Attempt::openConnection(const AttemptLimits &limits, AttemptResult &result)
{
    std::unique_ptr<TargetConnection> kept = this->context.connections.take(this->plan.target->address, limits.maxConnectionIdle);
    if (kept) {
        result.usedKeptConnection = true;
        return kept;
    }
    const Duration timeout = std::min(ConnectTimeout, limits.deadline - this->context.clock.now());
    if (timeout <= Duration(0)) {
        result.end = AttemptEnd::Deadline;
        return nullptr;
    }
    Result<std::unique_ptr<TargetConnection>> connection = TargetConnection::connect(this->plan.target->address, timeout);
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

bool Attempt::sendRequest(TargetConnection &connection, const AttemptLimits &limits, AttemptResult &result)
{
    bool anySent = false;
    this->sentAt = this->context.clock.now();
    const Wait wait{this->context.clock, limits.deadline, limits.callerSocket};
    switch (connection.send(this->context.wire.encodeAttempt(this->request, this->plan), wait, anySent)) {
    case SendStatus::Sent:
    case SendStatus::AnsweredEarly:
        return true;
    case SendStatus::Broken:
        result.end = anySent ? AttemptEnd::Lost : AttemptEnd::NotSent;
        break;
    case SendStatus::Timeout:
        result.end = anySent ? AttemptEnd::Deadline : AttemptEnd::NotSent;
        break;
    case SendStatus::CallerDisconnected:
        result.end = AttemptEnd::CallerGone;
        break;
    }
    result.reason = "send";
    return false;
}

// Reads heads until one belongs to this request; answers to earlier requests are skipped.
bool Attempt::readOwnHead(TargetConnection &connection, const AttemptLimits &limits, AttemptResult &result)
{
    for (int stray = 0; stray <= MaxStrayAnswers; ++stray) {
        Poco::Net::HTTPResponse head;
        const ReadStatus status
            = this->readWithStall(limits, [&](const Wait &wait) { return connection.readHeader(head, this->request.method != "HEAD", wait); });
        if (status != ReadStatus::Data) {
            return this->fail(status, "head", result);
        }
        try {
            result.facts = this->context.wire.decodeReply(head);
        } catch (const Failure &failure) {
            return this->fail(ReadStatus::Broken, failure.what(), result);
        }
        const bool isSuccess = result.facts.status < 300;
        const bool isOwn = result.facts.requestId.empty() ? !isSuccess : result.facts.requestId == this->request.id;
        if (isOwn && isSuccess && !result.facts.isSigned) {
            return this->fail(ReadStatus::Broken, "a success without the target's signature", result);
        }
        if (isOwn) {
            return true;
        }
        this->context.metrics.count("pimentosail_stray_answers_total", {});
        std::string skipped;
        ReadStatus body = ReadStatus::Data;
        while (body == ReadStatus::Data && skipped.size() < MaxAnswerBytes) {
            skipped.clear();
            body = connection.readBody(skipped, {this->context.clock, limits.deadline, limits.callerSocket});
        }
        if (body != ReadStatus::End) {
            return this->fail(body, "answer to another request", result);
        }
    }
    return this->fail(ReadStatus::Broken, "answers to other requests", result);
}

void Attempt::readPlainBody(TargetConnection &connection, const AttemptLimits &limits, AttemptResult &result)
{
    while (result.body.size() <= MaxAnswerBytes) {
        const ReadStatus status = this->readWithStall(limits, [&](const Wait &wait) { return connection.readBody(result.body, wait); });
        if (status == ReadStatus::End) {
            this->noteFirst(result);
            result.end = result.facts.isNotRun || result.facts.isOtherInstance ? AttemptEnd::NotRun : AttemptEnd::Answered;
            return;
        }
        if (status != ReadStatus::Data) {
            this->fail(status, "body", result);
            return;
        }
    }
    this->fail(ReadStatus::Broken, "the answer is too large", result);
}

void Attempt::readEvents(TargetConnection &connection, const AttemptLimits &limits, const EventSink &sink, AttemptResult &result)
{
    std::string data;
    while (true) {
        const ReadStatus status = this->readWithStall(limits, [&](const Wait &wait) { return connection.readBody(data, wait); });
        if (status == ReadStatus::Data) {
            for (size_t length = eventLength(data); length > 0; length = eventLength(data)) {
                const std::string event = data.substr(0, length);
                data.erase(0, length);
                if (result.firstAfter == Duration(0)) {
                    this->noteFirst(result);
                }
                if (!sink(result.facts, event, eventId(event))) {
                    result.end = AttemptEnd::CallerGone;
                    result.reason = "write to the caller";
                    return;
                }
            }
            continue;
        }
        if (status == ReadStatus::End && data.empty()) {
            result.end = AttemptEnd::Answered;
            return;
        }
        // An event that was cut in the middle is dropped, whatever the framing says.
        this->fail(status == ReadStatus::End ? ReadStatus::Broken : status, "events", result);
        return;
    }
}

AttemptResult Attempt::run(const AttemptLimits &limits, const EventSink &sink)
{
    AttemptResult result;
    LoadMark load(*this->plan.target, this->plan.readTokens, this->plan.heldTokens, this->plan.isLate);
    std::unique_ptr<TargetConnection> opened = this->openConnection(limits, result);
    if (!opened) {
        return result;
    }
    // The target may have begun to leave while the connection was made.
    if (!this->context.directory.mayReceive(*this->plan.target)) {
        result.end = AttemptEnd::NotSent;
        result.reason = "the target is leaving";
        return result;
    }
    if (!this->sendRequest(*opened, limits, result) || !this->readOwnHead(*opened, limits, result)) {
        return result;
    }
    if (result.facts.status == 200 && result.facts.isEventStream) {
        bool isFirst = true;
        const EventSink counted = [&load, &isFirst, &sink](const ReplyFacts &facts, const std::string &event, const std::string &id) {
            if (isFirst) {
                load.promptRead();
                isFirst = false;
            }
            return sink(facts, event, id);
        };
        this->readEvents(*opened, limits, counted, result);
    } else {
        this->readPlainBody(*opened, limits, result);
    }
    if (result.end == AttemptEnd::Answered || result.end == AttemptEnd::NotRun) {
        opened->targetIdleTimeout = result.facts.keepAlive;
        this->context.connections.put(this->plan.target->address, std::move(opened));
    }
    return result;
}

} // namespace pimentosail
