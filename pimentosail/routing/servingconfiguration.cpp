#include "pimentosail/routing/servingconfiguration.h"

#include <algorithm>
#include <set>

namespace pimentosail
{

std::string_view requestKindName(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Safe:
        return "safe";
    case RequestKind::Unsafe:
        return "unsafe";
    case RequestKind::Streaming:
        return "streaming";
    }
    return "unsafe";
}

ServingConfiguration::ServingConfiguration(DecodedConfiguration decodedConfiguration)
    : decoded(std::move(decodedConfiguration))
{
    for (const Route &route : this->decoded.routes) {
        this->routesByHost[route.host].push_back(&route);
    }
    for (auto &[host, routes] : this->routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *a, const Route *b) { return a->pathPrefix.size() > b->pathPrefix.size(); });
    }
    for (const ServiceSettings &service : this->decoded.services) {
        this->servicesByName[service.name] = &service;
    }
    std::map<std::string, const TeamSettings *, std::less<>> teamsByName;
    for (const TeamSettings &team : this->decoded.teams) {
        teamsByName[team.name] = &team;
    }
    for (const auto &[key, teamName] : this->decoded.keys) {
        const auto found = teamsByName.find(teamName);
        if (found != teamsByName.end()) {
            this->teamsByKey[key] = found->second;
        }
    }
}

Result<ServingConfigurationPointer> ServingConfiguration::create(DecodedConfiguration decodedConfiguration)
{
    for (const Route &route : decodedConfiguration.routes) {
        if (route.pathPrefix.empty() || route.pathPrefix.front() != '/' || route.pathPrefix.back() != '/') {
            return failed(ErrorKind::InvalidConfiguration, "route " + route.name + ": the path prefix must begin and end with a slash");
        }
        if (route.services.empty()) {
            return failed(ErrorKind::InvalidConfiguration, "route " + route.name + ": it names no service");
        }
        if (route.timeout <= Duration(0)) {
            return failed(ErrorKind::InvalidConfiguration, "route " + route.name + ": the timeout must be positive");
        }
        for (const WeightedService &weighted : route.services) {
            const bool isKnown = std::any_of(decodedConfiguration.services.begin(), decodedConfiguration.services.end(),
                [&weighted](const ServiceSettings &service) { return service.name == weighted.service; });
            if (!isKnown || weighted.weight < 0) {
                return failed(
                    ErrorKind::InvalidConfiguration, "route " + route.name + ": service " + weighted.service + " is unknown or has a negative weight");
            }
        }
    }
    return ServingConfigurationPointer(new ServingConfiguration(std::move(decodedConfiguration)));
}

const Route *ServingConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = this->routesByHost.find(host);
    if (found == this->routesByHost.end()) {
        return nullptr;
    }
    for (const Route *route : found->second) {
        if (path.substr(0, route->pathPrefix.size()) == route->pathPrefix) {
            return route;
        }
    }
    return nullptr;
}

const ServiceSettings *ServingConfiguration::findService(std::string_view name) const
{
    const auto found = this->servicesByName.find(name);
    return found == this->servicesByName.end() ? nullptr : found->second;
}

const TeamSettings *ServingConfiguration::findTeam(std::string_view key) const
{
    const auto found = this->teamsByKey.find(key);
    return found == this->teamsByKey.end() ? nullptr : found->second;
}

Duration longestPromptTimeout(const DecodedConfiguration &configuration)
{
    std::set<std::string> engines;
    for (const ServiceSettings &service : configuration.services) {
        if (service.engine) {
            engines.insert(service.name);
        }
    }
    Duration longest{};
    for (const Route &route : configuration.routes) {
        const bool hasPrompts
            = std::any_of(route.services.begin(), route.services.end(), [&engines](const WeightedService &entry) { return engines.contains(entry.service); });
        longest = hasPrompts ? std::max(longest, route.timeout) : longest;
    }
    return longest;
}

const std::string &pickService(const Route &route, uint64_t draw)
{
    int64_t total = 0;
    for (const WeightedService &candidate : route.services) {
        total += candidate.weight;
    }
    if (total <= 0) {
        return route.services.front().service;
    }
    auto position = static_cast<int64_t>(draw % static_cast<uint64_t>(total));
    for (const WeightedService &candidate : route.services) {
        position -= candidate.weight;
        if (position < 0) {
            return candidate.service;
        }
    }
    return route.services.back().service;
}

} // namespace pimentosail
