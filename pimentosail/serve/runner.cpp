#include "pimentosail/serve/runner.h"

#include <algorithm>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"
#include "pimentosail/base/statelog.h"
#include "pimentosail/serve/transferduty.h"

namespace pimentosail
{

namespace
{

// Longest wait for a command of the core or for output of a stream before deadlines, silence and keep-alives are checked.
constexpr Duration DecisionWait = Milliseconds(50);
constexpr Duration StreamWait = Milliseconds(50);
constexpr Duration KeepAliveInterval = Milliseconds(500);
constexpr Duration ConnectTimeout = Milliseconds(500);
constexpr Duration ProbeTimeout = Milliseconds(300);
constexpr Duration SuspectCallTimeout = Milliseconds(300);
// An attempt is lost if its first token takes longer than this multiple of the prediction (and than the progress timeout).
constexpr int FirstTokenTimeoutFactor = 6;
constexpr int MaxAttempts = 8;
constexpr size_t MaxPeerErrorBytes = 8192;

RequestId newRequestId()
{
    return stableHash(randomId());
}

std::mt19937_64 &jitterEngine()
{
    thread_local std::mt19937_64 engine{stableHash(randomId())};
    return engine;
}

bool isRetryable(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::PeerLost:
    case ErrorKind::TargetLost:
    case ErrorKind::TargetFull:
    case ErrorKind::NotOwner:
    case ErrorKind::ShuttingDown:
    case ErrorKind::Preempted:
    case ErrorKind::Incomplete:
        return true;
    default:
        return false;
    }
}

// Returns the model. Throws `Failure`: NotReady on a host that has just started and has no configuration yet, else UnknownModel.
const Model *requireModel(const ConfigurationPointer &configuration, const std::string &name)
{
    if (!configuration) {
        throw Failure(ErrorKind::NotReady, "no configuration is in force yet");
    }
    const Model *model = configuration->lists.model(name);
    if (model == nullptr) {
        throw Failure(ErrorKind::UnknownModel, "model '" + name + "' is not configured");
    }
    return model;
}

} // namespace

struct Runner::Progress
{
    Time startedAt{};
    Time lastProgress{};
    bool firstTokenSeen = false;
};

RequestInfo Runner::requestInfoOf(const RunSpec &spec, RequestId id) const
{
    const ConfigurationPointer configuration = this->context.configuration.current();
    const Model *model = requireModel(configuration, spec.model);
    RequestInfo info;
    info.id = id;
    info.team = spec.team;
    info.model = spec.model;
    info.priority = spec.priority;
    info.firstTokenDeadline = spec.firstTokenDeadline;
    info.finishDeadline = spec.finishDeadline;
    info.promptTokens = promptTokens(spec.prompt);
    info.answerTokens = spec.maxTokens;
    info.blocks = promptBlocks(spec.prompt, model->blockTokens, cacheSalt(spec.team, spec.model, model->version));
    info.promptKey = info.blocks.empty() ? fingerprintOf(spec) : info.blocks.front();
    info.resumed = spec.resumeFrom > 0;
    return info;
}

void Runner::checkQuarantine(const RunSpec &spec)
{
    const int deaths = std::max(spec.deaths, this->context.suspects.deaths(fingerprintOf(spec), this->context.clock.now()));
    if (deaths >= QuarantineDeaths) {
        throw Failure(ErrorKind::Quarantined, "this request has crashed " + std::to_string(deaths) + " targets and is not run again");
    }
}

bool Runner::mayRetry(const RunSpec &spec, int attempt)
{
    if (attempt >= MaxAttempts || this->context.clock.now() >= spec.finishDeadline || !this->context.retries.tryRetry()) {
        return false;
    }
    this->context.metrics.count("pimentosail_retries_total", {});
    return true;
}

Command Runner::awaitDecision(CommandQueue &queue, const RunSpec &spec, const AnswerSink &sink)
{
    Time lastKeepAlive = this->context.clock.now();
    while (true) {
        if (std::optional<Command> command = queue.commands.pop(DecisionWait)) {
            return *command;
        }
        const Time now = this->context.clock.now();
        if (now - lastKeepAlive >= KeepAliveInterval) {
            sink(AnswerKeepAlive{});
            lastKeepAlive = now;
        }
        if (now > spec.finishDeadline + std::chrono::seconds(1)) {
            return Refuse{0, Error(ErrorKind::DeadlineUnreachable, "no decision before the deadline", spec.resumeFrom == 0)};
        }
    }
}

void Runner::run(RunSpec &spec, const AnswerSink &sink)
{
    // Removes the request from the decision core when the run ends, also by an exception.
    struct WithdrawOnExit
    {
        WithdrawOnExit(DecisionDuty &decisionDuty, RequestId requestId)
            : decisions(decisionDuty)
            , id(requestId)
        {
        }
        WithdrawOnExit(const WithdrawOnExit &) = delete;
        WithdrawOnExit &operator=(const WithdrawOnExit &) = delete;

        DecisionDuty &decisions;
        RequestId id;

        ~WithdrawOnExit()
        {
            this->decisions.withdraw(this->id);
        }
    };
    this->checkQuarantine(spec);
    RequestInfo info = this->requestInfoOf(spec, newRequestId());
    std::shared_ptr<CommandQueue> queue;
    std::optional<WithdrawOnExit> withdrawal;
    // True while no attempt so far can have run.
    bool notRun = true;
    for (int attempt = 1;; ++attempt) {
        info.suspect = spec.deaths > 0 || this->context.suspects.deaths(fingerprintOf(spec), this->context.clock.now()) > 0;
        info.resumed = spec.resumeFrom > 0;
        const PlacementConstraints constraints{spec.pinnedTarget, spec.excludedTargets};
        if (queue) {
            this->context.decisions.resubmit(info, constraints, queue);
        } else {
            queue = this->context.decisions.submit(info, constraints);
            withdrawal.emplace(this->context.decisions, info.id);
        }
        const Command command = this->awaitDecision(*queue, spec, sink);
        if (const auto *refusal = std::get_if<Refuse>(&command)) {
            throw Failure(Error(refusal->error.kind, refusal->error.message, refusal->error.notRun && notRun));
        }
        const auto *dispatch = std::get_if<Dispatch>(&command);
        if (dispatch == nullptr) {
            continue;
        }
        // Throws if the caller has left while the request waited.
        sink(AnswerKeepAlive{});
        const Attempt result = dispatch->forward ? this->forward(*dispatch, spec, sink) : this->attemptLocally(*dispatch, info, *queue, spec, sink);
        this->context.decisions.post(AttemptEnded{info.id, result.outcome});
        if (result.outcome == AttemptOutcome::Finished) {
            sink(result.end);
            return;
        }
        notRun = notRun && result.error.notRun;
        if (result.outcome == AttemptOutcome::Cancelled) {
            throw Failure(Error(result.error.kind, result.error.message, notRun));
        }
        this->checkQuarantine(spec);
        if (result.outcome == AttemptOutcome::Preempted) {
            ++info.preemptions;
            continue;
        }
        if (result.outcome != AttemptOutcome::TargetRefused) {
            spec.excludedTargets.push_back(dispatch->targetName);
        }
        const bool pinned = !spec.pinnedTarget.empty();
        if (pinned || !isRetryable(result.error.kind) || !this->mayRetry(spec, attempt)) {
            throw Failure(Error(result.error.kind, result.error.message, notRun));
        }
        this->context.clock.sleepFor(retryDelay(attempt, jitterEngine()));
    }
}

Runner::Attempt Runner::attemptLocally(const Dispatch &dispatch, const RequestInfo &info, CommandQueue &queue, RunSpec &spec, const AnswerSink &sink)
{
    if (dispatch.source.kind == SourceKind::StoreImport) {
        this->context.transfers.importCopy(dispatch, info, spec);
    }
    Attempt refused{AttemptOutcome::TargetRefused, Error(ErrorKind::NotOwner, "the permission to use '" + dispatch.targetName + "' has expired"), {}};
    const std::string role = targetRole(dispatch.targetName);
    const std::string owner = this->context.membership.view().ownerOf(role);
    // Checks again right before the call, because the process may have been paused since the decision. The limit of 1000 is
    // nominal: only whether this host may use any of it matters here.
    if (this->context.membership.usableLimit(role, 1000, owner != this->context.membership.self().name) <= 0) {
        return refused;
    }
    EngineCall call;
    call.requestId = spec.requestId;
    call.model = spec.model;
    call.prompt = spec.prompt;
    call.maxTokens = spec.maxTokens;
    call.resumeFrom = spec.resumeFrom;
    call.priority = spec.priority;
    const ConfigurationPointer configuration = this->context.configuration.current();
    const Model *model = configuration->lists.model(spec.model);
    call.salt = cacheSalt(spec.team, spec.model, model == nullptr ? 0 : model->version);
    try {
        const std::unique_ptr<EngineStream> stream = EngineStream::open(dispatch.address, call, ConnectTimeout);
        return this->streamFromEngine(*stream, dispatch, queue, spec, sink);
    } catch (const Failure &failure) {
        if (failure.error.kind != ErrorKind::PeerLost) {
            return {AttemptOutcome::Cancelled, failure.error, {}};
        }
        return this->classifyLoss(dispatch, spec, failure);
    }
}

Runner::Attempt Runner::streamFromEngine(EngineStream &stream, const Dispatch &dispatch, CommandQueue &queue, RunSpec &spec, const AnswerSink &sink)
{
    Progress progress;
    progress.startedAt = this->context.clock.now();
    progress.lastProgress = progress.startedAt;
    Time lastSent = progress.startedAt;
    int64_t cached = -1;
    while (true) {
        const EngineEvent event = stream.next(StreamWait);
        const Time now = this->context.clock.now();
        if (const auto *token = std::get_if<EngineToken>(&event)) {
            cached = token->cachedTokens >= 0 ? token->cachedTokens : cached;
            if (!progress.firstTokenSeen) {
                progress.firstTokenSeen = true;
                this->context.decisions.post(FirstTokenSeen{dispatch.id, cached});
                this->context.metrics.observeSeconds(
                    "pimentosail_target_first_token_seconds", {{"source", sourceName(dispatch.source.kind)}}, toSeconds(now - progress.startedAt));
            }
            progress.lastProgress = now;
            lastSent = now;
            sink(AnswerFrame{token->offset, token->text});
            spec.resumeFrom = token->offset + 1;
        } else if (const auto *end = std::get_if<EngineEnd>(&event)) {
            AnswerEnd answer;
            answer.finishReason = end->finishReason;
            answer.tokenCount = end->tokenCount;
            answer.promptTokens = promptTokens(spec.prompt);
            answer.cachedTokens = std::max<int64_t>(cached, 0);
            answer.target = dispatch.targetName;
            answer.source = sourceName(dispatch.source.kind);
            answer.host = this->context.membership.self().name;
            answer.predictedMilliseconds = toMilliseconds(dispatch.predicted);
            return {AttemptOutcome::Finished, {}, answer};
        } else if (const auto *refused = std::get_if<EngineRefused>(&event)) {
            const std::string message = "'" + dispatch.targetName + "' answered " + std::to_string(refused->status);
            const bool busy = refused->status == 503 || refused->status == 429;
            return {busy ? AttemptOutcome::TargetRefused : AttemptOutcome::TargetFailed, Error(ErrorKind::TargetLost, message, spec.resumeFrom == 0), {}};
        }
        if (now - lastSent >= KeepAliveInterval) {
            sink(AnswerKeepAlive{});
            lastSent = now;
        }
        if (std::optional<Attempt> ended = this->checkInterruption(dispatch, queue, spec, progress)) {
            return *ended;
        }
    }
}

std::optional<Runner::Attempt> Runner::checkInterruption(const Dispatch &dispatch, CommandQueue &queue, const RunSpec &spec, const Progress &progress)
{
    if (std::optional<Command> command = queue.commands.pop(Duration(0))) {
        if (std::holds_alternative<Preempt>(*command)) {
            return Attempt{AttemptOutcome::Preempted, Error(ErrorKind::Preempted, "interrupted for an interactive request"), {}};
        }
    }
    const Time now = this->context.clock.now();
    if (now >= spec.finishDeadline) {
        return Attempt{AttemptOutcome::Cancelled, Error(ErrorKind::Incomplete, "the answer was not finished before its deadline"), {}};
    }
    const Duration timeout = progress.firstTokenSeen ? this->context.settings.progressTimeout
                                                     : std::max(this->context.settings.progressTimeout, dispatch.predicted * FirstTokenTimeoutFactor);
    if (now - progress.lastProgress > timeout) {
        throw Failure(ErrorKind::PeerLost, "'" + dispatch.targetName + "' made no progress in time");
    }
    return std::nullopt;
}

Runner::Attempt Runner::classifyLoss(const Dispatch &dispatch, RunSpec &spec, const Failure &failure)
{
    const bool neverSent = failure.error.notRun;
    const Error lost(ErrorKind::TargetLost, failure.error.message, neverSent && spec.resumeFrom == 0);
    bool died = false;
    try {
        const TargetReport report = this->context.engines.fetchLoadReport(dispatch.address, ProbeTimeout);
        died = !dispatch.boot.empty() && report.boot != dispatch.boot;
    } catch (const Failure &probe) {
        died = true;
    }
    logStateChange(
        "attempt_lost", {{"request", spec.requestId}, {"target", dispatch.targetName}, {"died", died ? "true" : "false"}, {"reason", failure.what()}});
    if (!died) {
        return {AttemptOutcome::TargetFailed, lost, {}};
    }
    if (!neverSent) {
        this->recordTargetDeath(dispatch, spec);
    }
    return {AttemptOutcome::TargetDied, lost, {}};
}

void Runner::recordTargetDeath(const Dispatch &dispatch, RunSpec &spec)
{
    ++spec.deaths;
    const uint64_t fingerprint = fingerprintOf(spec);
    const std::string deadRun = dispatch.targetName + "/" + dispatch.boot;
    this->context.suspects.record(fingerprint, deadRun, this->context.clock.now());
    this->context.metrics.count("pimentosail_suspects_total", {});
    Json::Value arguments;
    arguments["fingerprint"] = std::to_string(fingerprint);
    arguments["dead"] = deadRun;
    // Reports the death to every host before the request runs again, because its caller may send it to another host.
    for (const std::string &address : this->context.membership.peerAddresses()) {
        try {
            this->context.peers.call(address, "suspect", arguments, SuspectCallTimeout);
        } catch (const Failure &) {
            // An unreachable host cannot forward requests of its callers to this host either.
        }
    }
}

void Runner::runOnPeer(const std::string &address, const std::string &peer, RunSpec &spec, const AnswerSink &sink)
{
    const HttpRequest request{
        "POST", "/internal/v1/run", {{"X-Pimentosail-Run", encodeRunHeader(spec, this->context.clock.now())}, {"Content-Type", "text/plain"}}, spec.prompt};
    const std::unique_ptr<HttpStream> stream = HttpStream::open(address, request, ConnectTimeout);
    Time lastReceived = this->context.clock.now();
    const auto checkPeer = [&] {
        const bool silent = this->context.clock.now() - lastReceived > this->context.settings.progressTimeout;
        if (silent || !this->context.membership.hasRecentHeartbeat(peer)) {
            throw Failure(ErrorKind::PeerLost, "entry host '" + peer + "' is silent");
        }
    };
    while (!stream->waitForHeader(StreamWait)) {
        checkPeer();
    }
    if (stream->status() != 200) {
        throw Failure(ErrorKind::PeerLost,
            "entry host '" + peer + "' answered " + std::to_string(stream->status()) + " " + stream->readAll(MaxPeerErrorBytes, ConnectTimeout));
    }
    std::string line;
    while (true) {
        const LineStatus status = stream->readLine(line, StreamWait);
        if (status == LineStatus::End) {
            throw Failure(ErrorKind::PeerLost, "entry host '" + peer + "' ended the answer early");
        }
        if (status == LineStatus::Timeout) {
            checkPeer();
            continue;
        }
        lastReceived = this->context.clock.now();
        const AnswerEvent event = decodeAnswer(line);
        if (const auto *frame = std::get_if<AnswerFrame>(&event)) {
            if (frame->offset != spec.resumeFrom) {
                throw Failure(ErrorKind::Incomplete, "entry host '" + peer + "' skipped or repeated a token");
            }
            sink(event);
            spec.resumeFrom = frame->offset + 1;
        } else if (const auto *end = std::get_if<AnswerEnd>(&event)) {
            if (end->tokenCount != spec.resumeFrom) {
                throw Failure(ErrorKind::Incomplete, "entry host '" + peer + "' reported another number of tokens");
            }
            sink(event);
            return;
        } else if (const auto *failure = std::get_if<AnswerError>(&event)) {
            spec.deaths = std::max(spec.deaths, failure->deaths);
            spec.excludedTargets = failure->excludedTargets;
            throw Failure(failure->error);
        } else {
            sink(event);
        }
    }
}

Runner::Attempt Runner::forward(const Dispatch &dispatch, RunSpec &spec, const AnswerSink &sink)
{
    const View view = this->context.membership.view();
    const Member *owner = view.find(dispatch.owner);
    if (owner == nullptr) {
        return {AttemptOutcome::TargetRefused, Error(ErrorKind::NotOwner, "the owner of '" + dispatch.targetName + "' is not a current member"), {}};
    }
    const std::string pinnedBefore = spec.pinnedTarget;
    spec.pinnedTarget = dispatch.targetName;
    Attempt attempt;
    bool first = true;
    const AnswerSink attemptSink = [&](const AnswerEvent &event) {
        if (const auto *end = std::get_if<AnswerEnd>(&event)) {
            attempt.end = *end;
            return;
        }
        if (first && std::holds_alternative<AnswerFrame>(event)) {
            first = false;
            this->context.decisions.post(FirstTokenSeen{dispatch.id, -1});
        }
        sink(event);
    };
    try {
        this->runOnPeer(owner->address, owner->name, spec, attemptSink);
    } catch (const Failure &failure) {
        const ErrorKind kind = failure.error.kind;
        const bool refused = kind == ErrorKind::TargetFull || kind == ErrorKind::NotOwner || kind == ErrorKind::ShuttingDown || kind == ErrorKind::PeerLost;
        const bool cancelled = !isRetryable(kind);
        attempt.outcome = cancelled ? AttemptOutcome::Cancelled : refused ? AttemptOutcome::TargetRefused : AttemptOutcome::TargetFailed;
        attempt.error = failure.error;
    }
    spec.pinnedTarget = pinnedBefore;
    return attempt;
}

std::string Runner::choosePromptOwner(const RunSpec &spec, const std::vector<std::string> &excludedHosts, std::string &owner)
{
    const ConfigurationPointer configuration = this->context.configuration.current();
    const Model *model = requireModel(configuration, spec.model);
    const std::vector<uint64_t> blocks = promptBlocks(
        spec.prompt.substr(0, static_cast<size_t>(model->blockTokens * BytesPerToken)), model->blockTokens, cacheSalt(spec.team, spec.model, model->version));
    const uint64_t key = blocks.empty() ? fingerprintOf(spec) : blocks.front();
    const std::shared_ptr<const Fleet> fleet = this->context.fleet.current();
    const View view = this->context.membership.view();
    for (const FleetHost *target : fleet->targetsByPreference(model->pool, key)) {
        const Member *member = view.find(target->owner);
        const bool isExcluded = std::find(excludedHosts.begin(), excludedHosts.end(), target->owner) != excludedHosts.end();
        if (member != nullptr && !isExcluded && this->context.membership.hasRecentHeartbeat(member->name)
            && !this->context.membership.isDraining(member->name)) {
            owner = member->name;
            return member->address;
        }
    }
    owner = this->context.membership.self().name;
    return this->context.membership.self().address;
}

void Runner::runFromCaller(RunSpec &spec, const AnswerSink &sink)
{
    this->context.retries.onRequest();
    std::vector<std::string> excludedHosts;
    bool notRun = spec.resumeFrom == 0;
    for (int attempt = 1;; ++attempt) {
        this->checkQuarantine(spec);
        // Throws if the caller has left, as it may have before this host came to read its request.
        sink(AnswerKeepAlive{});
        std::string owner;
        const std::string address = this->choosePromptOwner(spec, excludedHosts, owner);
        const int64_t tokensBefore = spec.resumeFrom;
        try {
            if (owner == this->context.membership.self().name) {
                this->run(spec, sink);
            } else {
                this->runOnPeer(address, owner, spec, sink);
            }
            return;
        } catch (const Failure &failure) {
            const ErrorKind kind = failure.error.kind;
            notRun = notRun && failure.error.notRun;
            if (kind == ErrorKind::PeerLost || kind == ErrorKind::ShuttingDown) {
                excludedHosts.push_back(owner);
                this->context.metrics.count("pimentosail_peers_lost_total", {});
                logStateChange("home_lost", {{"request", spec.requestId}, {"host", owner}, {"reason", failure.what()}});
            }
            // Progress since the last failure resets the attempt count, because further attempts can complete the answer.
            const int countedAttempt = spec.resumeFrom > tokensBefore ? 1 : attempt;
            if (!isRetryable(kind) || !this->mayRetry(spec, countedAttempt)) {
                throw Failure(Error(kind, failure.error.message, notRun));
            }
            this->context.clock.sleepFor(retryDelay(countedAttempt, jitterEngine()));
        }
    }
}

} // namespace pimentosail
