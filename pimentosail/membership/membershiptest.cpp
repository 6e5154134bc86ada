#include <deque>
#include <map>
#include <random>

#include <criterion/criterion.h>

#include "pimentosail/base/hash.h"
#include "pimentosail/membership/membership.h"

using namespace pimentosail;

namespace
{

constexpr Duration Second = std::chrono::seconds(1);
constexpr Duration Step = Milliseconds(100);

Member memberOf(const std::string &name)
{
    return {name, "zone", "127.0.0.1:1", "boot-" + name, false};
}

// Simulates several hosts, their key-value store and their network. Time advances in steps.
class FleetSimulation
{
public:
    explicit FleetSimulation(int hostCount)
    {
        for (int index = 0; index < hostCount; ++index) {
            const std::string name = "host-" + std::to_string(index);
            this->hosts.emplace(name, Host{Membership(memberOf(name), MembershipTimings{}), Time(-1), false, false, false, true});
        }
    }

    struct Host
    {
        Membership membership;
        Time leaseEnd;
        // True while the host cannot reach the key-value store.
        bool disconnectedFromStore;
        // True while the host can neither send nor receive heartbeats.
        bool disconnectedFromPeers;
        bool frozen;
        bool running;
    };

    std::vector<HostLease> leases() const
    {
        std::vector<HostLease> result;
        for (const auto &[name, host] : this->hosts) {
            if (host.leaseEnd > this->now) {
                result.push_back({memberOf(name)});
            }
        }
        return result;
    }

    // Renews the lease of a host, reads the view and writes the view that the host proposes.
    void renewLease(const std::string &name)
    {
        Host &host = this->hosts.at(name);
        if (host.disconnectedFromStore || this->storeDown) {
            return;
        }
        host.leaseEnd = this->now + MembershipTimings{}.leaseTtl;
        host.membership.recordLeaseRenewal(this->now, this->stored, this->now);
        if (host.membership.view().generation != this->stored.generation) {
            return;
        }
        if (const std::optional<View> next = host.membership.propose(this->leases(), std::nullopt, this->now)) {
            this->stored = *next;
            host.membership.recordLeaseRenewal(this->now, this->stored, this->now);
        }
    }

    void heartbeat(const std::string &from)
    {
        Host &sender = this->hosts.at(from);
        for (auto &[name, receiver] : this->hosts) {
            if (name == from || sender.disconnectedFromPeers || receiver.disconnectedFromPeers || receiver.frozen || !receiver.running) {
                continue;
            }
            receiver.membership.recordHeartbeat({from, sender.membership.view().generation, sender.membership.heartbeatAge(name, this->now), false}, this->now);
        }
    }

    void step()
    {
        this->now += Step;
        ++this->steps;
        int index = 0;
        for (auto &[name, host] : this->hosts) {
            ++index;
            if (host.frozen || !host.running) {
                continue;
            }
            if (this->steps % 5 == index % 5) {
                this->heartbeat(name);
            }
            if (this->steps % 15 == index % 15) {
                this->renewLease(name);
            }
        }
        this->checkOwnership();
    }

    void run(Duration duration)
    {
        for (Duration elapsed{0}; elapsed < duration; elapsed += Step) {
            this->step();
        }
    }

    // Checks that a role has at most one owner and that the hosts together never use more than its limit.
    void checkOwnership()
    {
        constexpr int64_t Limit = 7;
        for (int role = 0; role < 8; ++role) {
            const std::string name = "target/" + std::to_string(role);
            int64_t total = 0;
            int owners = 0;
            for (const auto &entry : this->hosts) {
                const Host &host = entry.second;
                // A frozen host checks its role state again before it acts, so only running hosts count.
                if (host.running && !host.frozen) {
                    total += host.membership.usableLimit(name, Limit, false, this->now);
                    owners += host.membership.roleState(name, this->now) == RoleState::Owner ? 1 : 0;
                }
            }
            if (owners > 1 || total > Limit) {
                this->print(name, Limit);
            }
            cr_assert_leq(owners, 1, "%d owners of %s at step %d", owners, name.c_str(), this->steps);
            cr_assert_leq(total, Limit, "%d slots of %s in use at step %d", static_cast<int>(total), name.c_str(), this->steps);
        }
    }

    void print(const std::string &role, int64_t limit)
    {
        std::fprintf(stderr, "time %.1f, stored generation %ld\n", toSeconds(this->now), static_cast<long>(this->stored.generation));
        for (const auto &[name, host] : this->hosts) {
            std::string viewText;
            for (const Member &member : host.membership.view().members) {
                viewText += " " + member.name + (member.established ? "+" : "");
            }
            for (const RemovedMember &removed : host.membership.view().removedMembers) {
                viewText += " removed:" + removed.name + "/" + std::to_string(removed.divisor);
            }
            std::fprintf(stderr, "%s store%d peers%d frozen%d lease%.1f %s usable %ld generation %ld owner %s:%s\n", name.c_str(), !host.disconnectedFromStore,
                !host.disconnectedFromPeers, host.frozen, toSeconds(host.leaseEnd - this->now), roleStateName(host.membership.roleState(role, this->now)),
                static_cast<long>(host.membership.usableLimit(role, limit, false, this->now)), static_cast<long>(host.membership.view().generation),
                host.membership.view().ownerOf(role).c_str(), viewText.c_str());
        }
    }

    int countOwners()
    {
        int count = 0;
        for (int role = 0; role < 8; ++role) {
            for (const auto &entry : this->hosts) {
                const bool isActive = entry.second.running && !entry.second.frozen;
                count += isActive && entry.second.membership.roleState("target/" + std::to_string(role), this->now) == RoleState::Owner ? 1 : 0;
            }
        }
        return count;
    }

    Time now{Second * 100};
    int steps = 0;
    bool storeDown = false;
    View stored;
    std::map<std::string, Host> hosts;
};

} // namespace

Test(view, fallback_shares_add_up_to_the_limit)
{
    const std::vector<std::string> members{"a", "b", "c", "d", "e", "f"};
    for (int64_t limit = 0; limit < 20; ++limit) {
        int64_t total = 0;
        for (const std::string &member : members) {
            total += fallbackShare("target/x", limit, member, members);
        }
        cr_assert_eq(total, limit);
    }
}

Test(view, a_document_survives_a_round_trip)
{
    View view;
    view.generation = 5;
    view.members = {memberOf("a"), memberOf("b")};
    view.removedMembers = {{"c", 3}};
    const Result<View> read = View::fromDocument(view.toDocument());
    cr_assert(read.has_value());
    cr_assert_eq(read->generation, 5);
    cr_assert_eq(read->removedMembers[0].divisor, 3);
    cr_assert_not(View::fromDocument("[").has_value());
}

Test(membership, every_role_has_an_owner_soon_after_a_start)
{
    FleetSimulation fleet(6);
    fleet.run(Second * 12);
    cr_assert_eq(fleet.stored.members.size(), 6U);
    cr_assert_eq(fleet.countOwners(), 8);
}

Test(membership, a_killed_host_is_replaced)
{
    FleetSimulation fleet(6);
    fleet.run(Second * 20);
    fleet.hosts.at("host-2").running = false;
    fleet.run(Second * 14);
    cr_assert_eq(fleet.stored.members.size(), 5U);
    cr_assert_eq(fleet.countOwners(), 8);
}

Test(membership, owners_keep_working_through_an_outage_of_the_key_value_store)
{
    FleetSimulation fleet(6);
    fleet.run(Second * 20);
    fleet.storeDown = true;
    fleet.run(Second * 300);
    cr_assert_eq(fleet.countOwners(), 8);
    fleet.storeDown = false;
    fleet.run(Second * 10);
    cr_assert_eq(fleet.stored.members.size(), 6U);
    cr_assert_eq(fleet.countOwners(), 8);
}

Test(membership, without_the_key_value_store_and_one_host_the_others_use_their_shares)
{
    FleetSimulation fleet(6);
    fleet.run(Second * 20);
    fleet.storeDown = true;
    fleet.hosts.at("host-2").running = false;
    fleet.run(Second * 60);
    cr_assert_eq(fleet.countOwners(), 0);
    int64_t total = 0;
    for (const auto &[name, host] : fleet.hosts) {
        total += host.running ? host.membership.usableLimit("target/1", 60, true, fleet.now) : 0;
    }
    cr_assert_eq(total, 50);
}

Test(membership, a_frozen_owner_has_no_authority_when_it_resumes)
{
    FleetSimulation fleet(3);
    fleet.run(Second * 20);
    FleetSimulation::Host &host = fleet.hosts.at("host-1");
    host.frozen = true;
    fleet.run(Second * 30);
    host.frozen = false;
    cr_assert_not(host.membership.hasAuthority(fleet.now));
    fleet.checkOwnership();
    fleet.run(Second * 20);
    cr_assert_eq(fleet.stored.members.size(), 3U);
}

Test(membership, the_share_of_a_disconnected_host_stays_reserved)
{
    FleetSimulation fleet(6);
    fleet.run(Second * 20);
    FleetSimulation::Host &isolated = fleet.hosts.at("host-4");
    isolated.disconnectedFromPeers = true;
    isolated.disconnectedFromStore = true;
    // The others remove the host and reserve its share, because it may still use that share.
    fleet.run(Second * 120);
    cr_assert_eq(fleet.stored.members.size(), 5U);
    cr_assert_eq(fleet.stored.removedMembers.size(), 1U);
    cr_assert_gt(isolated.membership.usableLimit("target/1", 60, false, fleet.now), 0);
    isolated.disconnectedFromPeers = false;
    isolated.disconnectedFromStore = false;
    fleet.run(Second * 20);
    cr_assert_eq(fleet.stored.removedMembers.size(), 0U);
    cr_assert_eq(fleet.countOwners(), 8);
}

Test(membership, random_failures_never_give_a_role_two_owners)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        std::mt19937 random(seed);
        FleetSimulation fleet(2 + static_cast<int>(random() % 6));
        fleet.run(Second * 15);
        for (int event = 0; event < 40; ++event) {
            FleetSimulation::Host &host = std::next(fleet.hosts.begin(), static_cast<long>(random() % fleet.hosts.size()))->second;
            switch (random() % 6) {
            case 0:
                host.disconnectedFromStore = !host.disconnectedFromStore;
                break;
            case 1:
                host.disconnectedFromPeers = !host.disconnectedFromPeers;
                break;
            case 2:
                host.frozen = !host.frozen;
                break;
            case 3:
                fleet.storeDown = !fleet.storeDown;
                break;
            default:
                break;
            }
            fleet.run(Second * (random() % 12));
        }
        fleet.storeDown = false;
        for (auto &entry : fleet.hosts) {
            entry.second.disconnectedFromStore = false;
            entry.second.disconnectedFromPeers = false;
            entry.second.frozen = false;
        }
        fleet.run(Second * 40);
        cr_assert_eq(fleet.countOwners(), 8, "seed %u", seed);
    }
}
