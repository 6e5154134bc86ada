// Decides which roles this host may act in. A state machine without I/O: the caller passes in the results of rounds
// with the key-value store and the heartbeats of peers, each with the time at which it happened.
//
// A host may act as the owner of a role while its authority is confirmed, in one of two ways:
//  - by the key-value store: the host renewed its lease and read the view less than the lease time, minus a margin, ago;
//  - by peers: every other member of its view has recently sent a heartbeat that names the same generation and reports
//    a recent heartbeat from this host. This keeps owners working through an outage of the key-value store. It requires
//    all members to exchange heartbeats in each interval, so it applies only to fleets of up to `peersPerInterval` + 1
//    entry hosts.
// A new owner first waits until each member that may have owned the role before has acknowledged the new
// generation, or until that member's authority must have expired.
//
//     Membership membership(self, timings);
//     membership.recordLeaseRenewal(roundStart, view, now);
//     if (membership.roleState("target/w-3", now) == RoleState::Owner) { ... }
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
    // Time before the end of its lease at which a host stops relying on it.
    Duration leaseMargin = Milliseconds(1000);
    // Maximum age of a heartbeat, and of the echo in it, that confirms authority.
    Duration heartbeatMaxAge = Milliseconds(1600);
    // Time without a heartbeat after which an established member may remove another one whose lease has ended.
    Duration silentBeforeRemoval = Milliseconds(5000);
    // Number of peers to which a host sends a heartbeat in each interval. In a larger fleet each peer receives heartbeats
    // less often, and the age limits for presence and removal grow by the same factor.
    size_t peersPerInterval = 7;
};

// The state of a role on this host.
enum class RoleState {
    // Another member owns the role.
    NotOwner,
    // This host is the new owner and waits until the previous owner must have stopped.
    TakingOver,
    // This host owns the role and no other host acts in it.
    Owner,
    // This host's authority is not confirmed; it may use its fallback share of the role's limit.
    Unconfirmed,
};

// Returns the name of `state` as written in state dumps.
const char *roleStateName(RoleState state);

// The membership fields of a heartbeat.
struct MemberReport
{
    std::string from;
    int64_t generation = 0;
    // Age of the newest heartbeat that the sender has received from this host; negative if there was none.
    Duration echoAge{-1};
    bool draining = false;
};

// A live host lease found in the key-value store.
struct HostLease
{
    Member member;
};

class Membership
{
public:
    Membership(Member selfMember, MembershipTimings memberTimings);

    // Records a round with the key-value store that began at `roundStart`, renewed the lease and read `view`.
    // Ignores generations below the present one.
    void recordLeaseRenewal(Time roundStart, const View &view, Time now);

    // Adopts a view received from a peer if it is newer than the present one. Does not confirm authority.
    void receiveView(const View &view, Time now);

    // Records a heartbeat received from a peer.
    void recordHeartbeat(const MemberReport &report, Time now);

    // Returns true while this host's authority is confirmed.
    bool hasAuthority(Time now) const;

    // Returns true while the lease renewed in the key-value store confirms this host's authority.
    bool hasLease(Time now) const;

    // Returns the state of `role` on this host.
    RoleState roleState(const std::string &role, Time now) const;

    // Returns how much of the limit `limit` of `role` this host may use. The owner may use all of it except what removed
    // members and members that may use fallback shares can use. A host whose authority is not confirmed may use its
    // fallback share if it is the owner itself, if the owner has replied that the owner's authority is not confirmed
    // (`ownerUnconfirmed`), or if the owner and the key-value store have been silent for long. Otherwise 0.
    int64_t usableLimit(const std::string &role, int64_t limit, bool ownerUnconfirmed, Time now) const;

    // Returns the next view to write, if one is due: this host joins, removes unreachable members, becomes established,
    // or drops removed members that have returned or are no longer listed. `leases` are the live host leases;
    // `listedHosts` are the entry hosts in the platform's host list, or nothing if the list is not known.
    std::optional<View> propose(const std::vector<HostLease> &leases, const std::optional<std::vector<std::string>> &listedHosts, Time now) const;

    // Returns the next view without this host, to be written at a graceful shutdown.
    View withoutSelf() const;

    // Returns the present view.
    const View &view() const
    {
        return this->current;
    }

    // Returns the owner of `role` in the present view. The result is cached until the view changes.
    const std::string &ownerOf(const std::string &role) const;

    // Returns true if this host is one of the few that read all leases to find ended ones. If every host did, the reads
    // would grow with the square of the fleet size.
    bool watchesLeases(Time now) const;

    // Returns true if a heartbeat of `name` was received within the maximum heartbeat age for this fleet size.
    bool hasRecentHeartbeat(const std::string &name, Time now) const;

    // Returns true if the last heartbeat of `name` reported that the host is draining.
    bool isDraining(const std::string &name) const;

    // Returns the age of the newest heartbeat of `name`: 0 for this host itself, negative if there was none.
    Duration heartbeatAge(const std::string &name, Time now) const;

    // Returns true if every other member of the view has acknowledged its generation.
    bool allAcknowledged() const;

private:
    struct Peer
    {
        Time lastHeartbeat{-1};
        int64_t generation = 0;
        Time echoAt{-1};
        bool draining = false;
    };

    // The members of one generation and the time at which this host adopted it. Owners of roles follow from the members.
    struct KnownView
    {
        int64_t generation = 0;
        Time seenAt{};
        std::vector<std::string> members;
    };

    void adopt(const View &next, Time now);
    bool confirmedByPeers(Time now) const;
    bool previousOwnerStopped(const std::string &owner, const KnownView &known, Time now) const;
    int64_t removedMembersShare(int64_t limit) const;
    int64_t memberFallbackShares(int64_t limit, Time now) const;
    bool mayUseFallbackShare(const Member &member, Time now) const;
    int64_t fallbackDivisor(const std::string &name) const;
    Duration longestAuthority() const;
    int64_t intervalsPerHeartbeat() const;
    bool mayRemove(const Member &member, const std::vector<HostLease> &leases, const std::optional<std::vector<std::string>> &listedHosts, Time now) const;

    Member self;
    MembershipTimings timings;
    View current;
    Time leaseConfirmedAt{-1};
    Time startedAt{-1};
    std::map<std::string, Peer> peers;
    std::vector<KnownView> viewHistory;
    mutable std::unordered_map<std::string, std::string> owners;
};

} // namespace pimentosail
