// Serves one request of a caller: admission, attempts and the answer (requestrunner.cpp), the choice of a target and the
// plan of what is sent there (requestplanning.cpp), the delivery of new versions (requestdelivery.cpp), and what is recorded
// of it (requestrecords.cpp).
//
// A request that cannot be served ends with a `Failure`, whose error kind determines the answer. An answer that states
// that the request was not run is sent only if no attempt can have run it.
//
//     RequestRunner(context, exchange).run();
//
// Not thread-safe. One object serves one request on one thread.
#pragma once

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "pimentosail/dispatch/picker.h"
#include "pimentosail/entry/attempt.h"
#include "pimentosail/entry/context.h"
#include "pimentosail/net/httpserver.h"
#include "pimentosail/rollout/versionmargin.h"

namespace pimentosail
{

class RequestRunner
{
public:
    RequestRunner(EntryContext &entryContext, HttpExchange &httpExchange);

    // Serves the request up to the end of its answer. Throws only what `HttpServer` accepts from a handler.
    void run();

private:
    // A candidate with this host's shares of it.
    struct GatedCandidate
    {
        Candidate candidate;
        TargetShares shares;
        // The target wants no requests of some other host.
        bool isAvoided = false;
        // The target has a version that is being watched, and the request is one of its share.
        bool isPreferred = false;
    };
    // What the shares of all targets of a service depend on, computed when a target has a limit.
    struct ShareContext
    {
        std::vector<std::string> sharingHosts;
        std::optional<RateShares> rateShares;
    };

    void admit();
    void checkTeam();
    // Throws `Failure` of `kind`, or NotReady if the configuration of this host may be out of date.
    [[noreturn]] void refuseAsUnknown(ErrorKind kind, const std::string &reason) const;
    // Throws `Failure` if the request, or a block of its prompt, ended too many targets.
    void checkNotBlocked() const;
    // Throws `Failure` (Cancelled) if the caller has closed its connection.
    void checkCallerConnected() const;
    void readBody();
    // Counts the memory of the body, and waits for it for a short time. Throws `Failure` (Overloaded, Cancelled).
    void reserveBodyMemory(size_t bytes);
    void attemptUntilAnswered();
    TargetChoice chooseTarget();
    std::optional<TargetChoice> tryChoose();
    // Returns false if the prompt is to wait for memory of a target. Throws `Failure` (Overloaded) if it has waited too long.
    bool admitToMemory(const TargetChoice &choice);
    std::vector<GatedCandidate> candidates();
    // Returns the targets that `delivery` allows; all if it is nullptr.
    std::vector<GatedCandidate> candidatesUnder(const DeliveryView *delivery) const;
    // Returns true if targets are in service whose version is allowed without a draw.
    bool hasOldTargets(const DeliveryView &view) const;
    // Returns what decides which versions of the service's software may get the request now; nullptr if there is no delivery. Draws once whether the
    // request is one of a watched version's share.
    std::shared_ptr<const DeliveryView> deliveryView();
    // Uses the draw up if the request goes to the watched version, and gives it back if not.
    void settleDraw(const TargetChoice &choice);
    void returnDraw();
    void recordVersionOutcome(const TargetChoice &choice, const AttemptResult &result, bool failedRun);
    TargetShares sharesOf(const TargetState &target, ShareContext &shareContext) const;
    std::optional<TargetChoice> pickAndAcquire(const PickQuery &query, const std::vector<GatedCandidate> &gated, bool usesAvoided);
    std::string saltFor(int64_t version) const;
    void waitForWindow();
    std::optional<int64_t> fetchEnd(const TargetChoice &choice, const CachePlan &cache) const;
    AttemptPlan planFor(const TargetChoice &choice);
    AttemptLimits limitsFor(const TargetChoice &choice) const;
    // Decides by the predicted time to first token whether a prompt is sent normally, is sent as late (it then runs after
    // all other prompts), or is refused because it could not be served before its deadline. Throws `Failure`
    // (Overloaded) in the last case.
    void evaluateLoad(const TargetChoice &choice);
    int64_t expectedPrefillTokens() const;
    // Return the priority of the team or else of the route, and the engine's priority for the prompt under mixed load.
    int configuredPriority() const;
    int mixedPriority() const;
    int64_t oldestUsableVersion(const PickQuery &query, const std::vector<GatedCandidate> &gated) const;
    WeightsOffer offerOf(const TargetChoice &choice) const;
    bool forwardEvent(const ReplyHeader &header, const std::string &event, const std::string &id);
    // Processes the result of an attempt. Returns true if the request was answered or the caller disconnected, and false
    // if another attempt is to be made. Throws `Failure` if the request ends without an answer of a target.
    bool finishAttempt(const TargetChoice &choice, AttemptResult &result);
    void recordLostTarget(const TargetState &target, const AttemptResult &result);
    void recordAnswerBegun();
    void recordResult(const TargetChoice &choice, const AttemptResult &result);
    // Returns true if the request may run again, by the configuration at its admission and by the newest one.
    bool isRepeatable() const;
    bool mayTryAgain(const AttemptResult &result);
    void deliver(const AttemptResult &result);
    void answerFailure(const Failure &reported);
    // Waits until a caller that reads slowly has taken the answer.
    void finishAnswer();
    Failure failureFor(const AttemptResult &result) const;
    void logDone();
    bool isAborted() const
    {
        return this->streaming && !this->streamEnded;
    }

    EntryContext &context;
    HttpExchange &exchange;
    std::mt19937_64 random;
    // Time for which the request had waited in the caller's socket when this host came to read it.
    Duration queued{};
    // When the request arrived at this host. The caller's timeout counts from then.
    Time received{};
    Time deadline{};
    CallerRequest request;
    // Memory counted for the body and its copy in the bytes that are sent; null before it is read.
    std::unique_ptr<MessageMemory::Share> bodyMemory;
    ServingConfigurationPointer serving;
    const Route *route = nullptr;
    const TeamSettings *team = nullptr;
    std::string service;
    uint64_t fingerprint = 0;
    // Ids of the prompt's blocks but the last.
    std::vector<std::string> leadingBlocks;
    // Number of leading prompt blocks that other prompts are expected to share.
    size_t sharedBlocks = 0;
    // Estimate of how long the caller has waited in earlier attempts, before it sent this request.
    Duration elapsedBefore{};
    // The prompt is expected to miss its target latency.
    bool isLate = false;
    // Share of the last target's cache memory that its runs held at the choice; 0 if unknown.
    double heldShare = 0;
    // Prompt tokens that the chosen target had to process at the first send, this prompt's included.
    double pendingAtSend = 0;
    // When each of the service's targets may get requests of this host again, if none might at the last choice; else empty.
    std::vector<Time> limitEnds;
    // Retry-After of a refusal; zero if there is no estimate.
    Duration retryAfter{};
    // When the last event was passed on, and the longest time between two.
    Time lastEventAt{};
    Duration longestPause{};
    // The last choice of a target was made for mixed load.
    bool isMixed = false;
    // The last choice was among targets that are open to this host for a short time.
    bool usesWindow = false;
    // Time, in ms, in which a target reads a token; 0 unless the load is mixed.
    double readTime = 0;
    // Time that the last target takes for its work, as a multiple of what is usual; 1 if the load is not mixed.
    double targetSpeed = 1;
    // Number of preferred targets of the prompt; 0 before the first choice.
    size_t preferredTargets = 0;
    // The priority that the last target got.
    int enginePriority = 0;
    // The request has been counted for the share of a watched version, and it is one of that share and has not been sent.
    bool hasDrawn = false;
    bool isDrawn = false;
    // A cache store holds the last shared block of the prompt.
    bool isCached = false;

    // Number of attempts that may have run the request, of attempts that reached or may have reached a target, and of
    // attempts that sent nothing.
    int possibleRuns = 0;
    int arrivals = 0;
    int unsent = 0;
    // The request is counted in the retry budget.
    bool isCounted = false;
    bool callerDisconnected = false;
    std::set<std::string> triedTargets;
    std::string cacheSalt;
    // A failure answer (status 500 or higher) of a target, which is passed on if no other attempt succeeds.
    std::optional<AttemptResult> fallback;

    // The header of a streamed answer was sent to the caller.
    bool streaming = false;
    bool streamEnded = false;
    // ID of the last event that was sent to the caller; empty if no event had one.
    std::string lastEventId;
    Time firstEventAt{};

    // For the log line and the metrics of the request: when it was admitted and last sent to a target, zero if it was not.
    Time admittedAt{};
    Time lastSentAt{};
    int answeredStatus = 0;
    std::string outcome = "none";
    std::string lastTarget;
    std::string lastReason;
    int64_t weightVersion = 0;
    // The version that the last target was expected to have, the newest wanted version, and the age of the latter at that
    // time as this host knows it; negative if it is not known.
    int64_t expectedVersion = 0;
    int64_t wantedVersion = 0;
    Duration wantedVersionAge{};
    std::string cacheSource;
    Duration expectedTransfer{};
    int64_t fetchTokens = 0;
    int64_t saveTokens = 0;
};

} // namespace pimentosail
