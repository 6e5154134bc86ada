// Runs a completion: asks the decision core where, runs it there or forwards it to the owner of the target, and
// resumes elsewhere what a target or a peer did not finish.
//
//     Runner runner(context);
//     runner.run(spec, sink);                  // on the home of the prompt or the owner of the target
//     runner.runFromCaller(spec, sink);        // on the entry host: finds the home first
//
// Both return after the closing frame went to the sink and throw `Failure` otherwise. Thread-safe; a run blocks its
// thread.
#pragma once

#include <string>

#include "pimentosail/serve/context.h"
#include "pimentosail/serve/runspec.h"

namespace pimentosail
{

// What a failed run tells its upstream.
struct RunFailure
{
    Error error;
    int deaths = 0;
    std::vector<std::string> avoid;
};

class Runner
{
public:
    explicit Runner(Context &processContext)
        : context(processContext)
    {
    }

    // Runs on this host's targets or forwards to their owners. `spec` tells afterwards how far the answer came and
    // which targets died.
    void run(RunSpec &spec, const AnswerSink &sink);

    // Finds the home of the prompt and runs there; goes elsewhere if the home is lost.
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

    RequestInfo describe(const RunSpec &spec, RequestId id) const;
    Command awaitDecision(CommandQueue &slot, const RunSpec &spec, const AnswerSink &sink);
    Attempt attemptLocally(const Dispatch &dispatch, const RequestInfo &info, CommandQueue &slot, RunSpec &spec, const AnswerSink &sink);
    Attempt streamFromEngine(EngineStream &stream, const Dispatch &dispatch, CommandQueue &slot, RunSpec &spec, const AnswerSink &sink);
    std::optional<Attempt> checkIdle(const Dispatch &dispatch, CommandQueue &slot, const RunSpec &spec, const Progress &progress);
    Attempt forward(const Dispatch &dispatch, RunSpec &spec, const AnswerSink &sink);
    void relay(const std::string &address, const std::string &peer, RunSpec &spec, const AnswerSink &sink);
    Attempt classifyLoss(const Dispatch &dispatch, RunSpec &spec, const Failure &failure);
    void recordDeath(const Dispatch &dispatch, RunSpec &spec);
    void checkQuarantine(const RunSpec &spec);
    bool mayRetry(const RunSpec &spec, int attempt);
    std::string chooseHome(const RunSpec &spec, const std::vector<std::string> &lostHosts, std::string &owner);

    Context &context;
};

} // namespace pimentosail
