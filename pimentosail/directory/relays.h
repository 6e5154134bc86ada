// Which hosts read shared state at its source and pass it on to the others, so that the calls to a source do not grow
// with the number of hosts. In a small deployment every host reads for itself.
//
//     RelayPlan plan = RelayPlan::make(hosts, "front-3", "z1");
//     if (!plan.readsItself) { ask(plan.order[0]); }
//
// A pure function of the hosts that are known. Hosts whose views differ for a moment ask one that is no relay; it
// answers with what it has.
#pragma once

#include <string>
#include <vector>

namespace pimentosail
{

// Another entry host, or this one.
struct HostEntry
{
    std::string name;
    // Address for calls between hosts.
    std::string address;
    std::string zone;
    // Address for load reports (UDP).
    std::string gossip;
    // Processor share in cores. Relays are taken from the largest hosts.
    double cores = 0;
};

struct RelayPlan
{
    // This host reads at the source: it is a relay, there are few hosts, or the hosts do not know it yet.
    bool readsItself = true;
    // All relays; empty if every host reads for itself.
    std::vector<HostEntry> relays;
    // The relays in the order in which this host asks them: those of its own zone first.
    std::vector<HostEntry> order;

    static RelayPlan make(const std::vector<HostEntry> &hosts, const std::string &ownName, const std::string &ownZone);
};

} // namespace pimentosail
