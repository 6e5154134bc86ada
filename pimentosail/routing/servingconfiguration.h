// What the operators have configured: routes, services, cache stores and teams. One immutable value for each version
// of the configuration, built by an adapter and shared by all requests that began under it.
//
//     Result<ServingPointer> serving = Serving::create(std::move(parts));
//     const Route *route = (*serving)->findRoute("cards.example", "/orders/7");
//
// Immutable, so thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/base/error.h"

namespace pimentosail
{

// What may be repeated.
enum class RequestKind {
    // Idempotent: may run any number of times.
    Safe,
    // Runs at most once.
    Unsafe,
    // A stream of events; idempotent only if its route is resumable.
    Streaming,
};

// Returns the stable lower-case name of `kind`.
std::string_view requestKindName(RequestKind kind);

struct WeightedService
{
    std::string service;
    int64_t weight = 1;
};

struct Route
{
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::Unsafe;
    // Longest time a caller is kept waiting.
    Duration timeout{};
    // Time within which an answer (of a stream: its first event) is on time.
    Duration targetLatency{};
    // Longest pause between events of a stream that is on time.
    Duration targetGap{};
    // 0 is the most urgent.
    int priority = 0;
    std::vector<WeightedService> services;
    // Most targets that one attempt of a caller may run on.
    int maxAttempts = 1;
    bool isPublic = false;
    bool isResumable = false;

    // Returns true if a request may run again after it may have run.
    bool isIdempotent() const
    {
        return this->kind == RequestKind::Safe || (this->kind == RequestKind::Streaming && this->isResumable);
    }
};

// The model engine behind a service.
struct EngineProfile
{
    // Requests that a target runs at once.
    int slots = 0;
    int64_t cacheTokens = 0;
    int64_t bytesPerToken = 0;
    double linkMbps = 0;
    std::vector<std::string> models;
};

struct Service
{
    std::string name;
    std::string healthPath;
    // Connections that one target accepts from all hosts together.
    int64_t connectionLimit = 0;
    // How long a target stays cold after a start, and the requests a second it bears meanwhile from all hosts together.
    Duration coldDuration{};
    double coldRequestsPerSecond = 0;
    std::optional<EngineProfile> engine;
};

// A store of cached prompt parts.
struct CacheStore
{
    std::string name;
    std::string address;
    std::string zone;
    int64_t capacityTokens = 0;
    double linkMbps = 0;
    // Added to each transfer.
    Duration firstByteDelay{};
    // Polls for changes that the store holds open at once, from all hosts together.
    int maxEventPolls = 0;
    // Keeps what it has until it is told to free it.
    bool isManaged = false;
};

struct Team
{
    std::string name;
    // Goes before the route's priority.
    std::optional<int> priority;
    // Shares no cached part with another team.
    bool isIsolated = false;
};

// Limits on what a caller may send.
struct CallerLimits
{
    int64_t bodyBytes = 4 * 1024 * 1024;
    int64_t headerBytes = 16 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

// The parts of a configuration, as an adapter decoded them.
struct ServingSettings
{
    int64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<CacheStore> stores;
    std::vector<Team> teams;
    // Key to team name.
    std::map<std::string, std::string, std::less<>> keys;
    bool hasTeams = false;
    CallerLimits limits;
};

class ServingConfiguration;
using ServingConfigurationPointer = std::shared_ptr<const ServingConfiguration>;

class ServingConfiguration
{
public:
    // Checks the parts against each other. The error names the field at fault.
    static Result<ServingConfigurationPointer> create(ServingSettings parts);

    // Returns the route of `host` with the longest prefix of `path`, or nullptr.
    const Route *findRoute(std::string_view host, std::string_view path) const;

    // Returns the service called `name`, or nullptr.
    const Service *findService(std::string_view name) const;

    // Returns the team that holds `key`, or nullptr.
    const Team *findTeam(std::string_view key) const;

    const ServingSettings &all() const
    {
        return this->settings;
    }

private:
    explicit ServingConfiguration(ServingSettings servingParts);

    ServingSettings settings;
    std::map<std::string, std::vector<const Route *>, std::less<>> routesByHost;
    std::map<std::string, const Service *, std::less<>> servicesByName;
    std::map<std::string, const Team *, std::less<>> teamsByKey;
};

// Picks a service of `route` by weight; `draw` is uniform over all integers.
const std::string &pickService(const Route &route, uint64_t draw);

} // namespace pimentosail
