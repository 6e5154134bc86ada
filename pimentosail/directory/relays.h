// Selects the relays: the hosts that read shared state from its source and forward it to the other hosts, their
// followers. Relays keep the number of calls to a source independent of the number of hosts. In a small deployment every
// host reads from the source itself. Of the relays, only a few watch the platform's key-value store, whose calls are the dearest; the
// others follow these in turn.
//
//     RelayPlan plan = RelayPlan::make(hosts, "front-3", "z1");
//     if (!plan.readsFromSource) { fetchFrom(plan.relaysByPreference[0]); }
//
// The plan depends only on the list of known hosts. While the lists of two hosts differ, one may ask the other although
// that one is not a relay by its own list; it then answers with the state that it has.
#pragma once

#include <string>
#include <vector>

namespace pimentosail
{

// An entry host.
struct HostEntry
{
    std::string name;
    // Address for calls between hosts.
    std::string address;
    std::string zone;
    // Address for load reports (UDP).
    std::string gossip;
    // CPU share in cores. Relays are selected from the hosts with the most cores.
    double cores = 0;
    // The newest format of load reports that the host reads (`LoadFormat`).
    int loadFormat = 1;
};

struct RelayPlan
{
    // This host reads from the source, because it is a relay, there are few hosts, or it is not in the host list yet.
    bool readsFromSource = true;
    // This host watches the platform's key-value store.
    bool watchesStore = true;
    // All relays; empty if every host reads from the source itself.
    std::vector<HostEntry> relays;
    // The relays except this host, in the order in which this host tries them: those of the local zone first.
    std::vector<HostEntry> relaysByPreference;
    // The hosts that this host asks for changes of the key-value store, in the same order: for a relay the other relays that watch the
    // store, for a follower all relays.
    std::vector<HostEntry> storeSources;

    // Returns the plan of the host `ownName` in `ownZone`.
    static RelayPlan make(const std::vector<HostEntry> &hosts, const std::string &ownName, const std::string &ownZone);
};

} // namespace pimentosail
