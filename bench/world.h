// One experiment of the benchmark: the decision core under virtual time with model engines, links and stores, one
// trace of traffic and a schedule of faults. It measures decisions; it does not simulate a cluster.
//
//     ExperimentResult result = runExperiment(experiment);
#pragma once

#include <map>
#include <string>
#include <vector>

#include "bench/modelengine.h"
#include "bench/traffic.h"
#include "pimentosail/decision/scheduler.h"

namespace pimentosail::bench
{

struct Experiment
{
    Deployment deployment;
    // A policy name of decision/policy.h, or "clairvoyant": the predicted policy with known return times.
    std::string policy = "predicted";
    Scheduler::Options options;
    // Part of the capacity that is offered.
    double load = 0.6;
    uint64_t seed = 1;
    Duration warmUp = std::chrono::minutes(40);
    Duration measured = std::chrono::minutes(30);
    // A zone is out in this interval of the measured time, if `zoneOut` is set.
    bool zoneOut = false;
    Duration zoneOutAt = std::chrono::minutes(5);
    Duration zoneInAt = std::chrono::minutes(15);
    EngineParameters engines;
};

// Measures of one class of requests.
struct ClassResult
{
    long offered = 0;
    long served = 0;
    long refused = 0;
    // Refusals that came later than 50 ms after the arrival.
    long refusedLate = 0;
    // Served with the first token before its limit.
    long inTime = 0;
    std::vector<double> firstTokenSeconds;
};

// What happened within ten seconds.
struct Window
{
    long offered = 0;
    long served = 0;
    std::vector<double> firstTokenSeconds;
};

struct ExperimentResult
{
    std::map<Priority, ClassResult> classes;
    int64_t promptTokens = 0;
    int64_t computedTokens = 0;
    // Busy part of the links, by tier.
    std::array<double, TierCount> linkUse{};
    long lost = 0;
    int64_t coldOverloads = 0;
    long preemptions = 0;
    long imports = 0;
    long exports = 0;
    // Longest wait of an interactive import behind a background copy, in pieces.
    std::vector<Window> interactiveWindows;
    double decisionMicroseconds = 0;
    size_t knownPrompts = 0;
};

// Runs an experiment; the same experiment gives the same result but for the processor time.
ExperimentResult runExperiment(const Experiment &experiment);

// Returns the value below which a part `quantile` of `values` lies; 0 for none.
double quantileOf(std::vector<double> values, double quantile);

} // namespace pimentosail::bench
