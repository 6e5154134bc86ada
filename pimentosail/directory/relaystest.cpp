// Tests which hosts read shared state from its source and which relay the others ask.
#include <algorithm>
#include <map>
#include <set>

#include <criterion/criterion.h>

#include "pimentosail/directory/relays.h"

using namespace pimentosail;

namespace
{

std::vector<HostEntry> makeHosts(size_t count, size_t zones, size_t large)
{
    std::vector<HostEntry> hosts;
    for (size_t index = 0; index < count; ++index) {
        const std::string name = "host-" + std::to_string(index);
        hosts.push_back({name, name + ":1", "z" + std::to_string(index % zones), name + ":2", index < large ? 0.5 : 0.12});
    }
    return hosts;
}

} // namespace

Test(relays, few_hosts_all_read_from_the_source)
{
    const std::vector<HostEntry> hosts = makeHosts(7, 3, 0);
    for (const HostEntry &host : hosts) {
        const RelayPlan plan = RelayPlan::make(hosts, host.name, host.zone);
        cr_assert(plan.readsFromSource);
        cr_assert(plan.relaysByPreference.empty());
    }
}

Test(relays, a_host_that_is_not_in_the_host_list_reads_from_the_source)
{
    cr_assert(RelayPlan::make(makeHosts(70, 4, 8), "newcomer", "z1").readsFromSource);
}

Test(relays, a_bounded_number_of_large_hosts_in_all_zones_reads_from_the_source)
{
    for (const size_t count : {11UL, 30UL, 75UL, 410UL}) {
        const std::vector<HostEntry> hosts = makeHosts(count, 4, 12);
        size_t readers = 0;
        std::set<std::string> zones;
        std::map<std::string, size_t> followers;
        for (const HostEntry &host : hosts) {
            const RelayPlan plan = RelayPlan::make(hosts, host.name, host.zone);
            readers += plan.readsFromSource ? 1 : 0;
            cr_assert(plan.relaysByPreference.front().zone == host.zone || plan.readsFromSource, "the first relay of a follower is in its own zone");
            cr_assert_geq(plan.relaysByPreference.size(), 3, "other relays are left when one fails");
            if (!plan.readsFromSource) {
                ++followers[plan.relaysByPreference.front().name];
            }
            for (const HostEntry &relay : plan.relays) {
                zones.insert(relay.zone);
                cr_assert_eq(relay.cores, 0.5);
            }
        }
        cr_assert_leq(readers, 10, "%zu of %zu hosts read from the source", readers, count);
        cr_assert_eq(zones.size(), 4);
        for (const auto &[name, load] : followers) {
            cr_assert_leq(load, 3 * count / readers, "%s serves %zu hosts", name.c_str(), load);
        }
    }
}

// Guards against store calls that grow with the number of relays: of ten relays, three in different zones watch the store, and the
// others ask these.
Test(relays, few_relays_watch_the_key_value_store)
{
    for (const size_t count : {11UL, 75UL, 295UL}) {
        const std::vector<HostEntry> hosts = makeHosts(count, 4, 12);
        std::set<std::string> watchers;
        std::set<std::string> zones;
        for (const HostEntry &host : hosts) {
            const RelayPlan plan = RelayPlan::make(hosts, host.name, host.zone);
            if (plan.watchesStore) {
                cr_assert(plan.readsFromSource, "a watcher is a relay");
                watchers.insert(host.name);
                zones.insert(host.zone);
            }
        }
        cr_assert_eq(watchers.size(), 3);
        cr_assert_eq(zones.size(), 3);
        for (const HostEntry &host : hosts) {
            const RelayPlan plan = RelayPlan::make(hosts, host.name, host.zone);
            cr_assert_geq(plan.storeSources.size(), 2, "another source is left when one fails");
            for (const HostEntry &source : plan.storeSources) {
                cr_assert_neq(source.name, host.name);
                cr_assert(!plan.readsFromSource || watchers.contains(source.name), "a relay asks watchers only, so that no two ask each other");
            }
        }
    }
    const RelayPlan small = RelayPlan::make(makeHosts(7, 3, 0), "host-1", "z1");
    cr_assert(small.watchesStore && small.storeSources.empty());
}
