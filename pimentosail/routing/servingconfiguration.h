// The operators' configuration of routes, services, cache stores and teams. There is one immutable value for each
// version of the configuration. A platform adapter builds it, and all requests that began under the version share it.
//
//     Result<ServingConfigurationPointer> serving = ServingConfiguration::create(std::move(decodedConfiguration));
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

// Says whether a request may be executed again.
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
    // Maximum time that a caller waits for the answer.
    Duration timeout{};
    // An answer (of a stream: its first event) is on time if it arrives within this time.
    Duration targetLatency{};
    // Maximum pause between two events of a stream that is on time.
    Duration targetGap{};
    // 0 is the highest priority.
    int priority = 0;
    std::vector<WeightedService> services;
    // Maximum number of targets on which one attempt of a caller may run.
    int maxAttempts = 1;
    bool isPublic = false;
    bool isResumable = false;

    // Returns true if a request that may have been executed may be executed again.
    bool isIdempotent() const
    {
        return this->kind == RequestKind::Safe || (this->kind == RequestKind::Streaming && this->isResumable);
    }
};

// The model engine behind a service.
struct EngineProfile
{
    // Requests that a target runs concurrently.
    int slots = 0;
    int64_t cacheTokens = 0;
    int64_t bytesPerToken = 0;
    double linkMbps = 0;
    std::vector<std::string> models;
};

struct ServiceSettings
{
    std::string name;
    std::string healthPath;
    // Connections that one target accepts from all hosts together.
    int64_t connectionLimit = 0;
    // How long a target stays cold after a start, and the requests per second that it tolerates while cold from all hosts
    // together.
    Duration coldDuration{};
    double coldRequestsPerSecond = 0;
    std::optional<EngineProfile> engine;
};

// A cache store: a host that stores KV-cache blocks of prompts.
struct CacheStore
{
    std::string name;
    std::string address;
    std::string zone;
    int64_t capacityTokens = 0;
    double linkMbps = 0;
    // Latency added to each transfer.
    Duration firstByteDelay{};
    // Maximum number of long polls for change events that the cache store keeps open, from all hosts together.
    int maxEventPolls = 0;
    // True if the cache store keeps its blocks until a host asks it to free them.
    bool isManaged = false;
};

struct TeamSettings
{
    std::string name;
    // Overrides the route's priority.
    std::optional<int> priority;
    // True if the team shares no cached blocks with other teams.
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

// The content of a configuration as decoded by a platform adapter.
struct DecodedConfiguration
{
    int64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSettings> services;
    std::vector<CacheStore> stores;
    std::vector<TeamSettings> teams;
    // Team names by API key.
    std::map<std::string, std::string, std::less<>> keys;
    bool hasTeams = false;
    CallerLimits limits;
};

// Returns the longest timeout of the routes to services with an engine, or zero if there are none.
Duration longestPromptTimeout(const DecodedConfiguration &configuration);

class ServingConfiguration;
using ServingConfigurationPointer = std::shared_ptr<const ServingConfiguration>;

class ServingConfiguration
{
public:
    // Validates the decoded configuration. Returns an `InvalidConfiguration` error that names the route and the invalid value.
    static Result<ServingConfigurationPointer> create(DecodedConfiguration decodedConfiguration);

    // Returns the route of `host` with the longest prefix that matches `path`, or nullptr.
    const Route *findRoute(std::string_view host, std::string_view path) const;

    // Returns the service called `name`, or nullptr.
    const ServiceSettings *findService(std::string_view name) const;

    // Returns the team to which the API key `key` belongs, or nullptr.
    const TeamSettings *findTeam(std::string_view key) const;

    const DecodedConfiguration &all() const
    {
        return this->decoded;
    }

private:
    explicit ServingConfiguration(DecodedConfiguration decodedConfiguration);

    DecodedConfiguration decoded;
    std::map<std::string, std::vector<const Route *>, std::less<>> routesByHost;
    std::map<std::string, const ServiceSettings *, std::less<>> servicesByName;
    std::map<std::string, const TeamSettings *, std::less<>> teamsByKey;
};

// Selects a service of `route` at random by weight. `draw` is a uniform random number over the full range of the type.
const std::string &pickService(const Route &route, uint64_t draw);

} // namespace pimentosail
