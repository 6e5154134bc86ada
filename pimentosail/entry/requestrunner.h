// The way of one request through this host: admission, attempts and the answer (requestrunner.cpp), and the choice of a
// target and what is sent there (requestplanning.cpp).
//
// What ends a request early is thrown as `Failure` with one of the closed list of error kinds; an answer that says
// "not run" is given only if every attempt is known not to have run.
//
//     RequestRunner(context, exchange).run();
//
// Belongs to one thread and lives for one request.
#pragma once

#include <optional>
#include <random>
#include <set>
#include <string>

#include "pimentosail/dispatch/picker.h"
#include "pimentosail/entry/attempt.h"
#include "pimentosail/entry/context.h"
#include "pimentosail/net/httpserver.h"

namespace pimentosail
{

class RequestRunner
{
public:
    RequestRunner(EntryContext &entryContext, HttpExchange &httpExchange);

    // Serves the request; throws only what `HttpServer` expects of a handler.
    void run();

private:
    void admit();
    void checkTeam();
    void readBody();
    void attemptUntilAnswered();
    Choice chooseTarget();
    std::optional<Choice> tryChoose();
    std::vector<Candidate> candidates() const;
    std::string saltFor(int64_t version) const;
    AttemptPlan planFor(const Choice &choice);
    AttemptLimits limitsFor(const TargetState &target) const;
    // Decides whether a prompt is sent in its turn, yields to others, or is refused because it would not be served.
    void judgeLoad(const Choice &choice);
    int64_t expectedReadTokens() const;
    bool forwardEvent(const ReplyFacts &facts, const std::string &event, const std::string &id);
    // Returns true if the request was answered or must not be tried again.
    bool finishAttempt(const Choice &choice, AttemptResult &result);
    void noteLost(const TargetState &target);
    void noteResult(const Choice &choice, const AttemptResult &result);
    bool mayTryAgain(const AttemptResult &result);
    void deliver(const AttemptResult &result);
    void answerFailure(const Failure &failure);
    Failure failureFor(const AttemptResult &result) const;
    void logDone();
    bool isAborted() const
    {
        return this->streaming && !this->streamEnded;
    }

    EntryContext &context;
    HttpExchange &exchange;
    std::mt19937_64 random;
    Time received{};
    Time deadline{};
    CallerRequest request;
    ServingConfigurationPointer serving;
    const Route *route = nullptr;
    const Team *team = nullptr;
    std::string service;
    uint64_t fingerprint = 0;
    // Number of leading prompt parts that other prompts are expected to share.
    size_t sharedParts = 0;
    // How long the caller has been waiting since its first attempt, before this one.
    Duration spentBefore{};
    bool isLate = false;
    double pendingAtSend = 0;
    Duration retryAfter{};
    bool isCached = false;

    // Attempts whose outcome may be a run, and all that reached or may have reached a target.
    int runs = 0;
    int arrivals = 0;
    int unsent = 0;
    bool callerGone = false;
    std::set<std::string> tried;
    std::string cacheSalt;
    // The answer to give if no further attempt is allowed: an answer of a target that reports a failure.
    std::optional<AttemptResult> fallback;

    // A stream whose head was sent to the caller.
    bool streaming = false;
    bool streamEnded = false;
    std::string lastEvent;
    Time firstEventAt{};

    int answeredStatus = 0;
    std::string outcome = "none";
    std::string lastTarget;
    std::string lastReason;
    int64_t weightVersion = 0;
    std::string cacheSource;
    Duration expectedTransfer{};
    int64_t fetchTokens = 0;
    int64_t saveTokens = 0;
};

} // namespace pimentosail
