#include "pimentosail/serve/fleet.h"

#include <algorithm>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"

namespace pimentosail
{

namespace
{

HostKind kindFromName(const std::string &name)
{
    if (name == "engine") {
        return HostKind::Engine;
    }
    if (name == "service") {
        return HostKind::Service;
    }
    return name == "store" ? HostKind::Store : HostKind::Entry;
}

} // namespace

std::vector<const FleetHost *> Fleet::targetsByPreference(const std::string &pool, uint64_t promptKey) const
{
    std::vector<const FleetHost *> targets;
    for (const FleetHost &host : this->hosts) {
        if (host.kind == HostKind::Engine && host.pool == pool && host.availability == TargetAvailability::Live) {
            targets.push_back(&host);
        }
    }
    std::sort(targets.begin(), targets.end(),
        [promptKey](const FleetHost *left, const FleetHost *right) { return stableHash(left->name, promptKey) > stableHash(right->name, promptKey); });
    return targets;
}

const FleetHost *Fleet::preferredTarget(const std::string &pool, uint64_t promptKey) const
{
    const std::vector<const FleetHost *> targets = this->targetsByPreference(pool, promptKey);
    return targets.empty() ? nullptr : targets.front();
}

std::vector<const FleetHost *> Fleet::servicesOf(const std::string &pool) const
{
    std::vector<const FleetHost *> result;
    for (const FleetHost &host : this->hosts) {
        if (host.kind == HostKind::Service && host.pool == pool && host.availability == TargetAvailability::Live) {
            result.push_back(&host);
        }
    }
    return result;
}

const FleetHost *Fleet::find(const std::string &name) const
{
    for (const FleetHost &host : this->hosts) {
        if (host.name == name) {
            return &host;
        }
    }
    return nullptr;
}

std::vector<FleetHost> parseHostList(const std::string &text)
{
    std::vector<FleetHost> hosts;
    const Json::Value document = parseJson(text);
    for (const Json::Value &item : document["hosts"]) {
        FleetHost host;
        host.name = jsonString(item, "name");
        host.kind = kindFromName(jsonString(item, "kind"));
        host.pool = jsonString(item, "pool");
        host.zone = jsonString(item, "zone");
        host.address = jsonString(item, "address");
        host.availability = jsonString(item, "state", "live") == "live" ? TargetAvailability::Live : TargetAvailability::Leaving;
        hosts.push_back(std::move(host));
    }
    return hosts;
}

void applyOutages(std::vector<FleetHost> &hosts, const Configuration &configuration)
{
    for (FleetHost &host : hosts) {
        const bool out = configuration.zonesOut.count(host.zone) != 0 || configuration.hostsOut.count(host.name) != 0;
        if (out && host.availability == TargetAvailability::Live) {
            host.availability = TargetAvailability::Leaving;
        }
    }
}

} // namespace pimentosail
