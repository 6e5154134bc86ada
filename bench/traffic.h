// The traffic of both deployments for the benchmark: prompts that return after heavy-tailed gaps, a few large teams,
// frost-night bursts, slow questions and overnight drafts. Seeded; the same seed gives the same traffic to every policy.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/config/lists.h"

namespace pimentosail::bench
{

// One request of the trace.
struct Arrival
{
    Time at{};
    std::string team;
    std::string model;
    Priority priority = Priority::Standard;
    uint64_t promptKey = 0;
    int64_t promptTokens = 0;
    int64_t answerTokens = 0;
    Duration firstTokenLimit{};
    Duration finishLimit{};
    // Time until the prompt returns, if it does within the trace.
    std::optional<Duration> returnsIn;
};

// One class of requests of a deployment.
struct TrafficClass
{
    std::string name;
    std::vector<std::string> teams;
    std::string model;
    Priority priority = Priority::Standard;
    // Part of the requests of the deployment.
    double share = 0;
    int64_t minPromptTokens = 0;
    int64_t maxPromptTokens = 0;
    int64_t answerTokens = 1;
    Duration medianGap{};
    double gapSpread = 1.2;
    double returnProbability = 0.85;
    Duration firstTokenLimit{};
    Duration finishLimit{};
};

// A deployment: its pools, stores and classes.
struct Deployment
{
    std::string name;
    std::vector<std::string> zones;
    struct Pool
    {
        std::string model;
        int workers = 0;
    };
    std::vector<Pool> pools;
    std::vector<std::string> stores;
    std::vector<TrafficClass> classes;
    double storeMemoryBytes = 1e12;
    double storeDiskBytes = 8e12;
    double memoryLinkBytesPerSecond = 8e9;
    double diskLinkBytesPerSecond = 2e9;
    double cacheBytesPerToken = 20'000;
    double prefillTokensPerSecond = 20'000;
    int64_t pieceTokens = 4000;
};

// Returns the deployment called `name` (winery or krathong).
Deployment deploymentOf(const std::string &name);

// Returns the arrival rate, in requests a second, called the capacity: half of the rate at which recomputing and
// importing together are exhausted in the main pool (the prefill rate and the link rates, each over the mean prompt).
double capacityOf(const Deployment &deployment);

// Returns the trace of `length` at `rate` requests a second, ordered by time.
std::vector<Arrival> makeTraffic(const Deployment &deployment, double rate, Duration length, uint64_t seed);

} // namespace pimentosail::bench
