// One send of a request to one target, up to the end of its answer.
//
// An attempt tells exactly what is known of the run: nothing was sent, the target states that it did not run, or it
// may have run. Only the first two allow another attempt of a request that is not idempotent.
//
//     Attempt attempt(context, request, plan);
//     AttemptResult result = attempt.run(limits, eventSink);
//
// Belongs to one thread.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "pimentosail/entry/context.h"

namespace pimentosail
{

enum class AttemptEnd {
    // A whole answer was received: `facts` and `body`, or all events were handed on.
    Answered,
    // No byte was sent.
    NotSent,
    // The target states that it did not run the request.
    NotRun,
    // The target may have run the request; its answer is lost or broke off.
    Lost,
    // The target sent nothing for longer than the stall limit; the attempt was given up.
    Stalled,
    // The deadline passed.
    Deadline,
    CallerGone,
};

// Returns the stable name of `end`, used in log lines and metrics.
std::string_view attemptEndName(AttemptEnd end);

struct AttemptLimits
{
    Time deadline{};
    // Longest silence before the attempt is given up; zero waits until the deadline.
    Duration stall{};
    int callerSocket = -1;
    // Longest time for which a reused connection may have been idle.
    Duration maxConnectionIdle{};
};

struct AttemptResult
{
    AttemptEnd end = AttemptEnd::NotSent;
    ReplyFacts facts;
    std::string body;
    // Why the attempt ended as it did, for the log.
    std::string reason;
    bool usedKeptConnection = false;
    // From sending to the first event, or to the whole answer; zero if there was none.
    Duration firstAfter{};
};

// Takes the events of a stream as they arrive. `facts` is the head of the answer; `event` is one whole event with its
// end; `id` is its id, empty if it has none. Returns false if the caller has gone.
using EventSink = std::function<bool(const ReplyFacts &facts, const std::string &event, const std::string &id)>;

class Attempt
{
public:
    Attempt(EntryContext &entryContext, const CallerRequest &callerRequest, const AttemptPlan &attemptPlan)
        : context(entryContext)
        , request(callerRequest)
        , plan(attemptPlan)
    {
    }

    // Runs the attempt. `sink` receives the events of a successful stream; other answers are collected whole.
    AttemptResult run(const AttemptLimits &limits, const EventSink &sink);

private:
    std::unique_ptr<TargetConnection> openConnection(const AttemptLimits &limits, AttemptResult &result);
    bool sendRequest(TargetConnection &connection, const AttemptLimits &limits, AttemptResult &result);
    bool readOwnHead(TargetConnection &connection, const AttemptLimits &limits, AttemptResult &result);
    void readPlainBody(TargetConnection &connection, const AttemptLimits &limits, AttemptResult &result);
    void readEvents(TargetConnection &connection, const AttemptLimits &limits, const EventSink &sink, AttemptResult &result);
    bool fail(ReadStatus status, const char *where, AttemptResult &result);
    ReadStatus readWithStall(const AttemptLimits &limits, const std::function<ReadStatus(const Wait &wait)> &read);
    void noteFirst(AttemptResult &result);

    EntryContext &context;
    const CallerRequest &request;
    const AttemptPlan &plan;
    Time sentAt{};
    bool waitIsStall = false;
};

} // namespace pimentosail
