#include "pimentosail/directory/relays.h"

#include <algorithm>
#include <map>

#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

// Largest number of hosts that read from the source. A cache store holds at most twelve polls open, and two are left
// free.
constexpr size_t MaxDirectHosts = 10;
// Number of hosts per relay.
constexpr size_t HostsPerRelay = 12;
// Enough relays are left when one fails together with its zone and another fails at the same time.
constexpr size_t MinRelays = 4;
// Relays that watch the key-value store. They stand in different zones, so that one is left when a zone and another one fail.
constexpr size_t StoreWatchers = 3;

// Returns the relays: the hosts with the most cores of each zone, taken from the zones in rotation.
std::vector<HostEntry> chooseRelays(const std::vector<HostEntry> &hosts)
{
    const size_t relayCount = std::clamp((hosts.size() + HostsPerRelay - 1) / HostsPerRelay, MinRelays, MaxDirectHosts);
    std::map<std::string, std::vector<HostEntry>> byZone;
    for (const HostEntry &host : hosts) {
        byZone[host.zone].push_back(host);
    }
    for (auto &[zone, members] : byZone) {
        std::sort(members.begin(), members.end(),
            [](const HostEntry &a, const HostEntry &b) { return a.cores != b.cores ? a.cores > b.cores : stableHash(a.name) > stableHash(b.name); });
    }
    std::vector<HostEntry> relays;
    for (size_t rank = 0; relays.size() < std::min(relayCount, hosts.size()); ++rank) {
        for (const auto &[zone, members] : byZone) {
            if (rank < members.size() && relays.size() < relayCount) {
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
    if (hosts.size() <= MaxDirectHosts || std::none_of(hosts.begin(), hosts.end(), isOwn)) {
        return plan;
    }
    plan.relays = chooseRelays(hosts);
    plan.readsFromSource = std::any_of(plan.relays.begin(), plan.relays.end(), isOwn);
    const auto inPreference = [&](std::vector<HostEntry> hostsToAsk) {
        std::erase_if(hostsToAsk, isOwn);
        std::sort(hostsToAsk.begin(), hostsToAsk.end(), [&](const HostEntry &a, const HostEntry &b) {
            if ((a.zone == ownZone) != (b.zone == ownZone)) {
                return a.zone == ownZone;
            }
            return combineHashes(stableHash(ownName), stableHash(a.name)) > combineHashes(stableHash(ownName), stableHash(b.name));
        });
        return hostsToAsk;
    };
    plan.relaysByPreference = inPreference(plan.relays);
    const std::vector<HostEntry> watchers(plan.relays.begin(), plan.relays.begin() + static_cast<long>(std::min(StoreWatchers, plan.relays.size())));
    plan.watchesStore = std::any_of(watchers.begin(), watchers.end(), isOwn);
    plan.storeSources = plan.readsFromSource ? inPreference(watchers) : plan.relaysByPreference;
    return plan;
}

} // namespace pimentosail
