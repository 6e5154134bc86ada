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

// A key-value service and a network for several hosts, under full control of the test. Time moves by steps.
class World
{
public:
    explicit World(int hostCount)
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
        // True while the key-value service cannot be reached from it.
        bool cutFromStore;
        // True while no heartbeat reaches or leaves it.
        bool cutFromPeers;
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

    // One round of a host with the key-value service.
    void round(const std::string &name)
    {
        Host &host = this->hosts.at(name);
        if (host.cutFromStore || this->storeDown) {
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
            if (name == from || sender.cutFromPeers || receiver.cutFromPeers || receiver.frozen || !receiver.running) {
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
                this->round(name);
            }
        }
        this->checkOwners();
    }

    void run(Duration duration)
    {
        for (Duration passed{0}; passed < duration; passed += Step) {
            this->step();
        }
    }

    // At no time may the hosts together use more than the limit of a role.
    void checkOwners()
    {
        constexpr int64_t Limit = 7;
        for (int role = 0; role < 8; ++role) {
            const std::string name = "target/" + std::to_string(role);
            int64_t total = 0;
            int owners = 0;
            for (const auto &entry : this->hosts) {
                const Host &host = entry.second;
                // A frozen host checks its standing again before it acts, so only running ones count.
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
            std::string known;
            for (const Member &member : host.membership.view().members) {
                known += " " + member.name + (member.established ? "+" : "");
            }
            for (const RemovedMember &ghost : host.membership.view().removedMembers) {
                known += " ghost:" + ghost.name + "/" + std::to_string(ghost.divisor);
            }
            std::fprintf(stderr, "%s store%d peers%d frozen%d lease%.1f %s usable %ld generation %ld owner %s:%s\n", name.c_str(), !host.cutFromStore,
                !host.cutFromPeers, host.frozen, toSeconds(host.leaseEnd - this->now), roleStateName(host.membership.roleState(role, this->now)),
                static_cast<long>(host.membership.usableLimit(role, limit, false, this->now)), static_cast<long>(host.membership.view().generation),
                host.membership.view().ownerOf(role).c_str(), known.c_str());
        }
    }

    int settledOwners()
    {
        int count = 0;
        for (int role = 0; role < 8; ++role) {
            for (const auto &entry : this->hosts) {
                const bool acts = entry.second.running && !entry.second.frozen;
                count += acts && entry.second.membership.roleState("target/" + std::to_string(role), this->now) == RoleState::Owner ? 1 : 0;
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
    World world(6);
    world.run(Second * 12);
    cr_assert_eq(world.stored.members.size(), 6U);
    cr_assert_eq(world.settledOwners(), 8);
}

Test(membership, a_killed_host_is_replaced)
{
    World world(6);
    world.run(Second * 20);
    world.hosts.at("host-2").running = false;
    world.run(Second * 14);
    cr_assert_eq(world.stored.members.size(), 5U);
    cr_assert_eq(world.settledOwners(), 8);
}

Test(membership, owners_keep_working_through_an_outage_of_the_service)
{
    World world(6);
    world.run(Second * 20);
    world.storeDown = true;
    world.run(Second * 300);
    cr_assert_eq(world.settledOwners(), 8);
    world.storeDown = false;
    world.run(Second * 10);
    cr_assert_eq(world.stored.members.size(), 6U);
    cr_assert_eq(world.settledOwners(), 8);
}

Test(membership, without_service_and_one_host_the_rest_use_their_shares)
{
    World world(6);
    world.run(Second * 20);
    world.storeDown = true;
    world.hosts.at("host-2").running = false;
    world.run(Second * 60);
    cr_assert_eq(world.settledOwners(), 0);
    int64_t total = 0;
    for (const auto &[name, host] : world.hosts) {
        total += host.running ? host.membership.usableLimit("target/1", 60, true, world.now) : 0;
    }
    cr_assert_eq(total, 50);
}

Test(membership, a_frozen_holder_has_no_authority_when_it_wakes)
{
    World world(3);
    world.run(Second * 20);
    World::Host &host = world.hosts.at("host-1");
    host.frozen = true;
    world.run(Second * 30);
    host.frozen = false;
    cr_assert_not(host.membership.hasAuthority(world.now));
    world.checkOwners();
    world.run(Second * 20);
    cr_assert_eq(world.stored.members.size(), 3U);
}

Test(membership, a_cut_off_host_leaves_its_share_free)
{
    World world(6);
    world.run(Second * 20);
    World::Host &cut = world.hosts.at("host-4");
    cut.cutFromPeers = true;
    cut.cutFromStore = true;
    // The others remove it and keep its share free while it goes on with that share.
    world.run(Second * 120);
    cr_assert_eq(world.stored.members.size(), 5U);
    cr_assert_eq(world.stored.removedMembers.size(), 1U);
    cr_assert_gt(cut.membership.usableLimit("target/1", 60, false, world.now), 0);
    cut.cutFromPeers = false;
    cut.cutFromStore = false;
    world.run(Second * 20);
    cr_assert_eq(world.stored.removedMembers.size(), 0U);
    cr_assert_eq(world.settledOwners(), 8);
}

Test(membership, random_failures_never_give_a_role_two_owners)
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        std::mt19937 random(seed);
        World world(2 + static_cast<int>(random() % 6));
        world.run(Second * 15);
        for (int event = 0; event < 40; ++event) {
            World::Host &host = std::next(world.hosts.begin(), static_cast<long>(random() % world.hosts.size()))->second;
            switch (random() % 6) {
            case 0:
                host.cutFromStore = !host.cutFromStore;
                break;
            case 1:
                host.cutFromPeers = !host.cutFromPeers;
                break;
            case 2:
                host.frozen = !host.frozen;
                break;
            case 3:
                world.storeDown = !world.storeDown;
                break;
            default:
                break;
            }
            world.run(Second * (random() % 12));
        }
        world.storeDown = false;
        for (auto &entry : world.hosts) {
            entry.second.cutFromStore = false;
            entry.second.cutFromPeers = false;
            entry.second.frozen = false;
        }
        world.run(Second * 40);
        cr_assert_eq(world.settledOwners(), 8, "seed %u", seed);
    }
}
