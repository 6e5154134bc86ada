#include "pimentosail/directory/relays.h"

#include <algorithm>
#include <map>

#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

// Up to this many hosts each read for themselves: a cache store holds twelve polls open, and two are left free.
constexpr size_t MostDirectHosts = 10;
// Hosts that one relay serves.
constexpr size_t HostsPerRelay = 12;
// A relay can be lost with its zone, and another beside it.
constexpr size_t FewestRelays = 4;

// Returns the relays: the largest hosts, spread over the zones.
std::vector<HostEntry> chooseRelays(const std::vector<HostEntry> &hosts)
{
    const size_t wanted = std::clamp((hosts.size() + HostsPerRelay - 1) / HostsPerRelay, FewestRelays, MostDirectHosts);
    std::map<std::string, std::vector<HostEntry>> byZone;
    for (const HostEntry &host : hosts) {
        byZone[host.zone].push_back(host);
    }
    for (auto &[zone, members] : byZone) {
        std::sort(members.begin(), members.end(),
            [](const HostEntry &a, const HostEntry &b) { return a.cores != b.cores ? a.cores > b.cores : stableHash(a.name) > stableHash(b.name); });
    }
    std::vector<HostEntry> relays;
    for (size_t rank = 0; relays.size() < std::min(wanted, hosts.size()); ++rank) {
        for (const auto &[zone, members] : byZone) {
            if (rank < members.size() && relays.size() < wanted) {
                relays.push_back(members[rank]);
            }
        }
    }
    return relays;
}

} // namespace

RelayPlan RelayPlan::make(const std::vector<HostEntry> &hosts, const std::string &ownName, const std::string &ownZone)
{
    RelayPlan plan;
    const auto isOwn = [&ownName](const HostEntry &host) {
        return host.name == ownName;
    };
    if (hosts.size() <= MostDirectHosts || std::none_of(hosts.begin(), hosts.end(), isOwn)) {
        return plan;
    }
    plan.relays = chooseRelays(hosts);
    plan.readsItself = std::any_of(plan.relays.begin(), plan.relays.end(), isOwn);
    plan.order = plan.relays;
    std::erase_if(plan.order, isOwn);
    std::sort(plan.order.begin(), plan.order.end(), [&](const HostEntry &a, const HostEntry &b) {
        if ((a.zone == ownZone) != (b.zone == ownZone)) {
            return a.zone == ownZone;
        }
        return combineHashes(stableHash(ownName), stableHash(a.name)) > combineHashes(stableHash(ownName), stableHash(b.name));
    });
    return plan;
}

} // namespace pimentosail
