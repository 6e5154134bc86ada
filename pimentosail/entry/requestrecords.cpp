// What `RequestRunner` records of its attempts and of the request as a whole.
#include <algorithm>
#include <string>

#include "pimentosail/entry/requestrunner.h"

namespace pimentosail
{

namespace
{

// A target gets no requests for this long after it refused one, or answered that another instance runs at its address.
constexpr Duration RefusalPause = Milliseconds(120);
constexpr Duration OtherInstancePause = Milliseconds(400);
// Maximum wait for the connection by which a host checks whether a target has ended.
constexpr Duration ReconnectProbe = Milliseconds(200);

double milliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000;
}

} // namespace

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
        this->context.cacheStores.recordFirstTokenTime(result.hasExpiredCachePlan ? "" : this->cacheSource, result.timeToFirstEvent);
        if (!this->isLate) {
            if (this->isMixed) {
                this->context.targetSpeeds.record(target.id, this->context.forecast.predict(this->route->name, this->pendingAtSend), result.timeToFirstEvent);
            }
            this->context.forecast.record(this->route->name, this->pendingAtSend, result.timeToFirstEvent);
            this->context.mixedLoad.recordFirstToken(this->service, this->route->name, this->pendingAtSend, result.timeToFirstEvent);
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
            {"pending_tokens", this->pendingAtSend}, {"held_share", this->heldShare}, {"mixed", this->isMixed}, {"target_speed", this->targetSpeed},
            {"engine_priority", this->enginePriority}, {"preferred_targets", static_cast<int64_t>(this->preferredTargets)}, {"cache_source", this->cacheSource},
            {"fetch_expected_ms", milliseconds(this->expectedTransfer)}, {"fetch_tokens", this->fetchTokens}, {"save_tokens", this->saveTokens}});
}

} // namespace pimentosail
