// Decides which roles this host may act in. A state machine without I/O: the caller feeds it the answers of the
// key-value service and the heartbeats of peers, each with the time it happened.
//
// A host may act as the owner of a role while its authority is confirmed, in one of two ways:
//  - by the key-value service: its lease was renewed and the view read less than the lease time ago;
//  - by peers: every other member of its view has lately sent a heartbeat that names the same generation and that
//    has lately heard this host. This keeps owners working through an outage of the key-value service. It needs all
//    members to exchange heartbeats in each interval, so only fleets up to `peersPerInterval` + 1 hosts have it.
// A new owner first waits until each member that may have owned the role before has acknowledged the new
// generation, or until that member's authority must have ended.
//
//     Membership membership("entry-1", boot, timings);
//     membership.confirmedByStore(roundStart, view);
//     if (membership.standing("target/w-3", now) == RoleState::Owner) { ... }
//
// Not thread-safe; `MembershipDuty` guards it.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/membership/view.h"

namespace pimentosail
{

// Time limits of the protocol.
struct MembershipTimings
{
    Duration leaseTtl = Milliseconds(6000);
    // Subtracted from the lease time by the holder.
    Duration leaseMargin = Milliseconds(1000);
    // Longest age of a heartbeat, and of the echo in it, that confirms authority.
    Duration heartbeatMaxAge = Milliseconds(1600);
    // Silence after which an established member may remove another one whose lease has ended.
    Duration silentBeforeRemoval = Milliseconds(5000);
    // Peers that a host sends a heartbeat to in each interval. In a larger fleet each peer hears it less often, and a
    // heartbeat counts as fresh for as much longer.
    size_t peersPerInterval = 7;
};

// How a host stands towards a role.
enum class RoleState {
    // Another member owns the role.
    NotOwner,
    // This host is the new owner and waits until the old one must have stopped.
    TakingOver,
    // This host is the only one that acts.
    Owner,
    // Authority is not confirmed; the host may use its fallback share.
    Unconfirmed,
};

// Returns the name of `standing` for dumps.
const char *roleStateName(RoleState standing);

// What a heartbeat says about membership.
struct MemberReport
{
    std::string from;
    int64_t generation = 0;
    // Age of the newest heartbeat that the sender had from this host; negative if there was none.
    Duration echoAge{-1};
    bool draining = false;
};

// A live host lease found in the key-value service.
struct HostLease
{
    Member member;
};

class Membership
{
public:
    Membership(Member selfMember, MembershipTimings memberTimings);

    // Takes the outcome of a round with the key-value service that began at `roundStart`: the lease was renewed
    // and `current` was read. Generations below the known one are ignored.
    void recordLeaseRenewal(Time roundStart, const View &current, Time now);

    // Takes a view learnt from a peer; confirms nothing.
    void receiveView(const View &current, Time now);

    // Takes a peer's heartbeat.
    void recordHeartbeat(const MemberReport &report, Time now);

    // Returns true while this host's authority is confirmed.
    bool hasAuthority(Time now) const;

    // Returns true while the key-value service confirms this host's lease.
    bool hasLease(Time now) const;

    // Returns how this host stands towards `role`.
    RoleState roleState(const std::string &role, Time now) const;

    // Returns how much of `limit` this host may use of `role`: all of it, less what ghosts may use, as the owner;
    // its fallback share if authority is not confirmed; otherwise 0. `ownerUnconfirmed` says that the owner has
    // itself answered that its authority is not confirmed.
    int64_t usableLimit(const std::string &role, int64_t limit, bool ownerUnconfirmed, Time now) const;

    // Returns the next view to write, if one is due: this host joins, removes members that are gone, becomes
    // established or forgets ghosts. `leases` are the live host leases; `listedHosts` are the entry hosts that the
    // platform's host list shows, or nothing if it is not known.
    std::optional<View> propose(const std::vector<HostLease> &leases, const std::optional<std::vector<std::string>> &listedHosts, Time now) const;

    // Returns the view without this host, to be written at a graceful shutdown.
    View withoutSelf() const;

    // Returns the present view.
    const View &view() const
    {
        return this->current;
    }

    // Returns the owner of `role` in the present view; remembered until the view changes.
    const std::string &ownerOf(const std::string &role) const;

    // Returns true if this host is one of the few that look for ended leases, so that reading them all does not grow with
    // the square of the fleet.
    bool watchesLeases(Time now) const;

    // Returns true if `name` was heard within the heartbeat limit.
    bool hasRecentHeartbeat(const std::string &name, Time now) const;

    // Returns true if the last heartbeat of `name` said that it is draining.
    bool isDraining(const std::string &name) const;

    // Returns the age of the newest heartbeat of `name`, or a negative value.
    Duration heartbeatAge(const std::string &name, Time now) const;

    // Returns true if every other member of the view has acknowledged its generation.
    bool allAcknowledged() const;

private:
    struct Peer
    {
        Time lastHeard{-1};
        int64_t generation = 0;
        Time echoAt{-1};
        bool draining = false;
    };

    // The owners of one generation, kept until a later generation has settled.
    struct Epoch
    {
        int64_t generation = 0;
        Time seenAt{};
        std::vector<std::string> members;
    };

    void adopt(const View &next, Time now);
    bool confirmedByPeers(Time now) const;
    bool oldOwnerStopped(const std::string &owner, const Epoch &epoch, Time now) const;
    int64_t ghostShare(int64_t limit) const;
    int64_t memberShares(int64_t limit, Time now) const;
    bool mayUseShares(const Member &member, Time now) const;
    int64_t ghostDivisor(const std::string &name) const;
    Duration longestAuthority() const;
    int64_t intervalsPerHeartbeat() const;
    bool mayRemove(const Member &member, const std::vector<HostLease> &leases, const std::optional<std::vector<std::string>> &listedHosts, Time now) const;

    Member self;
    MembershipTimings timings;
    View current;
    Time confirmedAt{-1};
    Time startedAt{-1};
    std::map<std::string, Peer> peers;
    std::vector<Epoch> epochs;
    mutable std::unordered_map<std::string, std::string> owners;
};

} // namespace pimentosail
