// Runs a completion: asks the decision core for a target, runs the completion there or forwards it to the entry host that
// owns the target, and resumes it elsewhere if a target or a peer fails.
//
//     Runner runner(context);
//     runner.run(spec, sink);                  // on the owner of the prompt or the owner of the target
//     runner.runFromCaller(spec, sink);        // on the entry host of the caller: finds the prompt owner first
//
// Both return after the sink has received the closing frame and throw `Failure` otherwise. Thread-safe; a run blocks its
// thread.
#pragma once

#include <string>

#include "pimentosail/serve/context.h"
#include "pimentosail/serve/runspec.h"

namespace pimentosail
{

// The state of a failed run that is reported upstream.
struct RunFailure
{
    Error error;
    int deaths = 0;
    std::vector<std::string> excludedTargets;
};

class Runner
{
public:
    explicit Runner(Context &processContext)
        : context(processContext)
    {
    }

    // Runs on this host's targets or forwards to their owners. Afterwards `spec` contains how many tokens were sent, how
    // many targets died, and which targets are excluded.
    void run(RunSpec &spec, const AnswerSink &sink);

    // Finds the owner of the prompt and runs there. Chooses another host if the prompt owner is unreachable or shuts down.
    void runFromCaller(RunSpec &spec, const AnswerSink &sink);

private:
    // How one attempt on a target ended.
    struct Attempt
    {
        AttemptOutcome outcome = AttemptOutcome::Finished;
        Error error;
        AnswerEnd end;
    };
    struct Progress;

    RequestInfo requestInfoOf(const RunSpec &spec, RequestId id) const;
    Command awaitDecision(CommandQueue &queue, const RunSpec &spec, const AnswerSink &sink);
    Attempt attemptLocally(const Dispatch &dispatch, const RequestInfo &info, CommandQueue &queue, RunSpec &spec, const AnswerSink &sink);
    Attempt streamFromEngine(EngineStream &stream, const Dispatch &dispatch, CommandQueue &queue, RunSpec &spec, const AnswerSink &sink);
    std::optional<Attempt> checkInterruption(const Dispatch &dispatch, CommandQueue &queue, const RunSpec &spec, const Progress &progress);
    Attempt forward(const Dispatch &dispatch, RunSpec &spec, const AnswerSink &sink);
    void runOnPeer(const std::string &address, const std::string &peer, RunSpec &spec, const AnswerSink &sink);
    Attempt classifyLoss(const Dispatch &dispatch, RunSpec &spec, const Failure &failure);
    void recordTargetDeath(const Dispatch &dispatch, RunSpec &spec);
    void checkQuarantine(const RunSpec &spec);
    bool mayRetry(const RunSpec &spec, int attempt);
    std::string choosePromptOwner(const RunSpec &spec, const std::vector<std::string> &excludedHosts, std::string &owner);

    Context &context;
};

} // namespace pimentosail
