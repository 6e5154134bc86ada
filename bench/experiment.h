// Runs one experiment of the benchmark: the scheduler in virtual time with modelled engines, store links and cache stores,
// one trace of traffic and, if chosen, a zone outage. It measures placement decisions and does not simulate entry hosts or
// the network between them.
//
//     Experiment experiment;
//     experiment.deployment = deploymentOf("winery");
//     ExperimentResult result = runExperiment(experiment);
//
// Several experiments may run in parallel threads.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "bench/modelengine.h"
#include "bench/traffic.h"
#include "pimentosail/decision/scheduler.h"

namespace pimentosail::bench
{

// Parameters of an experiment. The trace covers `warmUp` and then `measured`; requests that arrive in `measured` count.
struct Experiment
{
    Deployment deployment;
    // A policy name of decision/policy.h, or "clairvoyant": the predicted policy with known return times.
    std::string policy = "predicted";
    Scheduler::Options options;
    // Offered load as a fraction of `capacityOf(deployment)`.
    double load = 0.6;
    uint64_t seed = 1;
    Duration warmUp = std::chrono::minutes(40);
    Duration measured = std::chrono::minutes(30);
    // If `zoneOut` is set, the first zone is out of service in this interval, counted from the end of the warm-up.
    bool zoneOut = false;
    Duration zoneOutAt = std::chrono::minutes(5);
    Duration zoneInAt = std::chrono::minutes(15);
    // The prefill rate is taken from the deployment instead.
    EngineParameters engines;
};

// Results of the measured requests of one priority.
struct PriorityResult
{
    long offered = 0;
    long served = 0;
    long refused = 0;
    // Requests refused more than 50 ms after their arrival.
    long refusedLate = 0;
    // Requests whose first token met its limit.
    long inTime = 0;
    std::vector<double> firstTokenSeconds;
};

// Results of the interactive requests that arrived in one interval of 10 s.
struct Window
{
    long offered = 0;
    long served = 0;
    std::vector<double> firstTokenSeconds;
};

struct ExperimentResult
{
    std::map<Priority, PriorityResult> resultsByPriority;
    // Prompt tokens of all attempts that reached their first token, and those of them that were not cached.
    int64_t promptTokens = 0;
    int64_t computedTokens = 0;
    // Fraction of the measured time in which the links were busy, by tier, as the mean over the stores.
    std::array<double, TierCount> linkUse{};
    // Requests that were neither answered nor refused within 10 minutes after the trace.
    long lost = 0;
    int64_t coldOverloads = 0;
    long preemptions = 0;
    long imports = 0;
    long exports = 0;
    // One entry for each 10 s of the measured time.
    std::vector<Window> interactiveWindows;
    // Mean elapsed real time in the scheduler per request.
    double decisionMicroseconds = 0;
    size_t knownPrompts = 0;
};

// Runs an experiment. The result is deterministic, except for `decisionMicroseconds`. `policy` must be one of the names
// above; it is not checked.
ExperimentResult runExperiment(const Experiment &experiment);

// Returns the quantile `quantile` (0 to 1) of `values`, or 0 if there are none.
double quantileOf(std::vector<double> values, double quantile);

} // namespace pimentosail::bench
