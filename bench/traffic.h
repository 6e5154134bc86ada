// Generates the traffic of the two benchmark deployments: prompts that return after log-normally distributed gaps, a few
// large teams, an oscillating rate, and interactive, standard and batch classes. The same seed gives the same traffic for
// every policy.
//
//     Deployment deployment = deploymentOf("winery");
//     std::vector<Arrival> trace = makeTraffic(deployment, 0.6 * capacityOf(deployment), std::chrono::minutes(70), seed);
//
// Functions report no errors and are thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/config/lists.h"

namespace pimentosail::bench
{

// One request of the trace. The limits count from its arrival.
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
    // Time until the prompt is used again, possibly after the end of the trace; empty if it isn't.
    std::optional<Duration> returnsIn;
};

// One class of requests of a deployment.
struct TrafficClass
{
    std::string name;
    std::vector<std::string> teams;
    std::string model;
    Priority priority = Priority::Standard;
    // Fraction of the requests of the deployment; the shares of its classes add up to 1.
    double share = 0;
    int64_t minPromptTokens = 0;
    int64_t maxPromptTokens = 0;
    int64_t answerTokens = 1;
    // Median of the log-normal time between two uses of a prompt, and its standard deviation in the logarithm.
    Duration medianGap{};
    double gapSpread = 1.2;
    // Probability that a prompt is used again after each use.
    double returnProbability = 0.85;
    Duration firstTokenLimit{};
    Duration finishLimit{};
};

// A deployment: its zones, engine pools, cache stores and traffic classes. The first pool is the main pool.
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
    // Names of the cache stores.
    std::vector<std::string> stores;
    std::vector<TrafficClass> classes;
    // Capacity of each cache store and rates of its links, by tier.
    double storeMemoryBytes = 1e12;
    double storeDiskBytes = 8e12;
    double memoryLinkBytesPerSecond = 8e9;
    double diskLinkBytesPerSecond = 2e9;
    double cacheBytesPerToken = 20'000;
    double prefillTokensPerSecond = 20'000;
    int64_t blockTokens = 4000;
};

// Returns the deployment called `name`: krathong, or winery for any other name.
Deployment deploymentOf(const std::string &name);

// Returns the arrival rate, in requests per second, that loads are relative to: half of what the main pool can prefill and
// the store links can import together, counted in mean prompts of the main pool. Requests to other pools are added by
// their share.
double capacityOf(const Deployment &deployment);

// Returns the trace of `length` at a mean of `rate` requests per second, ordered by time.
std::vector<Arrival> makeTraffic(const Deployment &deployment, double rate, Duration length, uint64_t seed);

} // namespace pimentosail::bench
