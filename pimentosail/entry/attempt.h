// One attempt to run a request on a target, from opening the connection to the end of the answer.
//
// The result states whether the request can have run: nothing was sent, the target states that it did not run the
// request, or it may have run. Only in the first two cases may a request that is not idempotent be sent again.
//
//     Attempt attempt(context, request, plan);
//     AttemptResult result = attempt.run(limits, eventSink);
//
// Not thread-safe.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "pimentosail/entry/context.h"

namespace pimentosail
{

enum class AttemptEnd {
    // The complete answer was received: it is in `header` and `body`, or all of its events were passed to the sink.
    Answered,
    // No byte was sent.
    NotSent,
    // The target states that it did not run the request.
    NotRun,
    // The target may have run the request; its answer is lost or incomplete.
    Lost,
    // The target sent nothing for longer than the stall limit, and the attempt was given up. It may have run the request.
    Stalled,
    // The deadline passed.
    Deadline,
    // The caller closed its connection.
    CallerDisconnected,
};

// Returns the name of `end` in log lines and metrics.
std::string_view attemptEndName(AttemptEnd end);

struct AttemptLimits
{
    Time deadline{};
    // Maximum time for which the target may send nothing before the attempt is given up; zero for no limit but the
    // deadline.
    Duration stallTimeout{};
    // The attempt is given up if the answer has not begun by this time; zero for no limit.
    Time answerBeginsBy{};
    // Socket of the caller's connection, which is watched for its end.
    int callerSocket = -1;
    // Writes what waits for the caller while the attempt waits for the target; null for nothing.
    CallerWriter *callerWriter = nullptr;
    // Ends the attempt as its deadline would.
    const Interrupt *interrupt = nullptr;
    // Maximum idle time of a connection that is reused.
    Duration maxConnectionIdle{};
};

struct AttemptResult
{
    AttemptEnd end = AttemptEnd::NotSent;
    ReplyHeader header;
    std::string body;
    // Memory counted for `body`, or for the events of a stream; null if nothing was received.
    std::unique_ptr<MessageMemory::Share> memory;
    // Reason of the end, for the log.
    std::string reason;
    // When the first byte of the request may have reached the target; zero if none can have.
    Time sentAt{};
    // The request was sent on a connection of the pool.
    bool usedPooledConnection = false;
    // The request was sent without its cache plan, which had expired.
    bool hasExpiredCachePlan = false;
    // Time from sending the request to the first event, or to the end of an answer without events; zero if there was
    // neither.
    Duration timeToFirstEvent{};
};

// Receives the events of a stream as they arrive. `header` is the header of the answer; `event` is one complete event with
// its terminating empty line; `id` is the event's ID, empty if it has none. Returns false if the caller disconnected.
using EventSink = std::function<bool(const ReplyHeader &header, const std::string &event, const std::string &id)>;

class Attempt
{
public:
    Attempt(EntryContext &entryContext, const CallerRequest &callerRequest, const AttemptPlan &attemptPlan)
        : context(entryContext)
        , request(callerRequest)
        , plan(attemptPlan)
    {
    }

    // Runs the attempt. `sink` receives the events of a successful stream; other answers are returned in the result.
    AttemptResult run(const AttemptLimits &limits, const EventSink &sink);

private:
    bool mayShareConnection() const;
    std::unique_ptr<HttpConnection> openConnection(const AttemptLimits &limits, AttemptResult &result);
    std::string encode(AttemptResult &result) const;
    // Ends the saves of the prompt, or leaves them under way if the prompt may still begin after the attempt.
    void endSaves(const AttemptResult &result) const;
    AttemptResult exchange(const AttemptLimits &limits, const EventSink &sink);
    bool sendRequest(HttpConnection &connection, const AttemptLimits &limits, AttemptResult &result);
    bool readMatchingHeader(HttpConnection &connection, const AttemptLimits &limits, AttemptResult &result);
    void readBody(HttpConnection &connection, const AttemptLimits &limits, AttemptResult &result);
    void readEvents(HttpConnection &connection, const AttemptLimits &limits, const EventSink &sink, AttemptResult &result);
    bool holdMemory(const std::string &received, AttemptResult &result);
    bool fail(ReadStatus status, const char *reason, AttemptResult &result);
    // The same for a read of `connection`, which may know more of the reason.
    bool failRead(const HttpConnection &connection, ReadStatus status, const char *reason, AttemptResult &result);
    ReadStatus readWithStall(const AttemptLimits &limits, const std::function<ReadStatus(const Wait &wait)> &read);
    void recordFirstResponse(AttemptResult &result);
    // Record what the target says of itself in its answers: in each, and in the one to this request.
    void recordRateLimit(const ReplyHeader &header);
    void recordLeaving(const ReplyHeader &header);
    void recordRest(const ReplyHeader &header);
    void recordNotice(NoticeKind kind, Duration rest);

    EntryContext &context;
    const CallerRequest &request;
    const AttemptPlan &plan;
    Time sentAt{};
    bool isStallTimeout = false;
    // The first event, or the header of an answer without events, has arrived.
    bool hasBegun = false;
};

} // namespace pimentosail
