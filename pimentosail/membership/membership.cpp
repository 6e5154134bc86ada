#include "pimentosail/membership/membership.h"

#include <algorithm>

#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

constexpr size_t MaxViewHistory = 64;
// Number of hosts that look for ended leases.
constexpr size_t LeaseWatchers = 3;

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool hasLiveLease(const std::vector<HostLease> &leases, const Member &member)
{
    return std::any_of(leases.begin(), leases.end(), [&member](const HostLease &lease) { return lease.member.name == member.name; });
}

} // namespace

const char *roleStateName(RoleState state)
{
    switch (state) {
    case RoleState::NotOwner:
        return "not_owner";
    case RoleState::TakingOver:
        return "settling";
    case RoleState::Owner:
        return "owner";
    case RoleState::Unconfirmed:
        return "share";
    }
    return "unknown";
}

Membership::Membership(Member selfMember, MembershipTimings memberTimings)
    : self(std::move(selfMember))
    , timings(memberTimings)
{
}

Duration Membership::longestAuthority() const
{
    return this->timings.leaseTtl + 2 * this->timings.heartbeatMaxAge;
}

int64_t Membership::intervalsPerHeartbeat() const
{
    const size_t members = std::max<size_t>(this->current.members.size(), 2);
    return static_cast<int64_t>((members - 2) / this->timings.peersPerInterval + 1);
}

void Membership::adopt(const View &next, Time now)
{
    if (next.generation <= this->current.generation) {
        return;
    }
    const bool contiguous = next.generation == this->current.generation + 1;
    if (!contiguous) {
        // The owners of the missed generations are unknown: any member may have owned any role.
        this->viewHistory.clear();
    }
    this->current = next;
    this->owners.clear();
    this->viewHistory.push_back({next.generation, now, next.names()});
    if (this->viewHistory.size() > MaxViewHistory) {
        this->viewHistory.erase(this->viewHistory.begin());
    }
}

void Membership::recordLeaseRenewal(Time roundStart, const View &view, Time now)
{
    if (view.generation < this->current.generation) {
        return;
    }
    if (this->startedAt < Time(0)) {
        this->startedAt = now;
    }
    this->adopt(view, now);
    this->leaseConfirmedAt = std::max(this->leaseConfirmedAt, roundStart);
}

void Membership::receiveView(const View &view, Time now)
{
    this->adopt(view, now);
}

void Membership::recordHeartbeat(const MemberReport &report, Time now)
{
    Peer &peer = this->peers[report.from];
    peer.lastHeartbeat = now;
    peer.generation = std::max(peer.generation, report.generation);
    peer.draining = report.draining;
    if (report.echoAge >= Duration(0)) {
        peer.echoAt = std::max(peer.echoAt, now - report.echoAge);
    }
}

bool Membership::hasLease(Time now) const
{
    const bool inView = this->current.find(this->self.name) != nullptr;
    return inView && this->leaseConfirmedAt >= Time(0) && now < this->leaseConfirmedAt + this->timings.leaseTtl - this->timings.leaseMargin;
}

bool Membership::confirmedByPeers(Time now) const
{
    if (this->current.members.size() < 2 || this->intervalsPerHeartbeat() > 1 || this->current.find(this->self.name) == nullptr) {
        return false;
    }
    for (const Member &member : this->current.members) {
        if (member.name == this->self.name) {
            continue;
        }
        const auto found = this->peers.find(member.name);
        if (found == this->peers.end()) {
            return false;
        }
        const Peer &peer = found->second;
        const bool isHeartbeatRecent = peer.lastHeartbeat >= Time(0) && now - peer.lastHeartbeat < this->timings.heartbeatMaxAge;
        const bool isEchoRecent = peer.echoAt >= Time(0) && now - peer.echoAt < this->timings.heartbeatMaxAge;
        if (!isHeartbeatRecent || !isEchoRecent || peer.generation != this->current.generation) {
            return false;
        }
    }
    return true;
}

bool Membership::hasAuthority(Time now) const
{
    return this->hasLease(now) || this->confirmedByPeers(now);
}

bool Membership::previousOwnerStopped(const std::string &owner, const KnownView &known, Time now) const
{
    if (owner.empty() || owner == this->self.name) {
        return true;
    }
    const auto found = this->peers.find(owner);
    const bool acknowledged = found != this->peers.end() && found->second.generation >= known.generation;
    return acknowledged || now - known.seenAt >= this->longestAuthority();
}

RoleState Membership::roleState(const std::string &role, Time now) const
{
    const bool authority = this->hasAuthority(now);
    if (this->ownerOf(role) != this->self.name) {
        return authority ? RoleState::NotOwner : RoleState::Unconfirmed;
    }
    if (!authority) {
        return RoleState::Unconfirmed;
    }
    // Members that are no longer in the view lost their authority before they were removed.
    if (this->allAcknowledged()) {
        return RoleState::Owner;
    }
    // Walks back through the generations in which this host owned the role: in each, the previous owner must have stopped.
    for (size_t index = this->viewHistory.size(); index-- > 0;) {
        const KnownView &known = this->viewHistory[index];
        if (rendezvousOwner(role, known.members) != this->self.name) {
            return RoleState::Owner;
        }
        if (known.generation == 1) {
            return RoleState::Owner;
        }
        const bool isPreviousKnown = index > 0;
        if (!isPreviousKnown) {
            return now - known.seenAt >= this->longestAuthority() ? RoleState::Owner : RoleState::TakingOver;
        }
        if (!this->previousOwnerStopped(rendezvousOwner(role, this->viewHistory[index - 1].members), known, now)) {
            return RoleState::TakingOver;
        }
    }
    return RoleState::Owner;
}

int64_t Membership::removedMembersShare(int64_t limit) const
{
    int64_t total = 0;
    for (const RemovedMember &removed : this->current.removedMembers) {
        total += (limit + removed.divisor - 1) / removed.divisor;
    }
    return std::min(total, limit);
}

// A member may use its fallback share of a role that another host owns only if the two have not exchanged heartbeats for
// long. It may use its share of a role that it owned before until it has seen the present generation.
bool Membership::mayUseFallbackShare(const Member &member, Time now) const
{
    const auto found = this->peers.find(member.name);
    if (found == this->peers.end()) {
        return true;
    }
    const Peer &peer = found->second;
    const Duration maxEchoAge = this->longestAuthority() + this->timings.heartbeatMaxAge * (this->intervalsPerHeartbeat() - 1);
    const bool isEchoRecent = peer.echoAt >= Time(0) && now - peer.echoAt < maxEchoAge;
    return peer.generation < this->current.generation || !isEchoRecent;
}

int64_t Membership::memberFallbackShares(int64_t limit, Time now) const
{
    int64_t total = 0;
    for (const Member &member : this->current.members) {
        if (member.name != this->self.name && this->mayUseFallbackShare(member, now)) {
            const int64_t divisor = this->fallbackDivisor(member.name);
            total += (limit + divisor - 1) / divisor;
        }
    }
    return total;
}

// A host may act on any view since the last generation that it acknowledged. Its fallback shares are largest in the view
// with the fewest members, so the divisor is the size of that view.
int64_t Membership::fallbackDivisor(const std::string &name) const
{
    const auto found = this->peers.find(name);
    const int64_t acknowledged = found == this->peers.end() ? 0 : found->second.generation;
    if (this->viewHistory.empty() || this->viewHistory.front().generation > acknowledged) {
        return 1;
    }
    size_t smallest = this->current.members.size();
    for (const KnownView &known : this->viewHistory) {
        if (known.generation >= acknowledged && contains(known.members, name)) {
            smallest = std::min(smallest, known.members.size());
        }
    }
    return static_cast<int64_t>(std::max<size_t>(1, smallest));
}

int64_t Membership::usableLimit(const std::string &role, int64_t limit, bool ownerUnconfirmed, Time now) const
{
    switch (this->roleState(role, now)) {
    case RoleState::NotOwner:
    case RoleState::TakingOver:
        return 0;
    case RoleState::Owner:
        return std::max<int64_t>(0, limit - this->removedMembersShare(limit) - this->memberFallbackShares(limit, now));
    case RoleState::Unconfirmed:
        break;
    }
    const std::string &owner = this->ownerOf(role);
    if (owner.empty()) {
        return 0;
    }
    const Duration ownerAge = this->heartbeatAge(owner, now);
    const bool isOwnerSilent = this->leaseConfirmedAt >= Time(0) && now - this->leaseConfirmedAt > 2 * this->longestAuthority()
        && (ownerAge < Duration(0) || ownerAge > 2 * this->longestAuthority());
    const bool mayUse = owner == this->self.name || ownerUnconfirmed || isOwnerSilent;
    return mayUse ? fallbackShare(role, limit - this->removedMembersShare(limit), this->self.name, this->current.names()) : 0;
}

const std::string &Membership::ownerOf(const std::string &role) const
{
    const auto found = this->owners.find(role);
    if (found != this->owners.end()) {
        return found->second;
    }
    return this->owners.emplace(role, this->current.ownerOf(role)).first->second;
}

bool Membership::watchesLeases(Time now) const
{
    std::vector<std::string> present;
    for (const Member &member : this->current.members) {
        if (member.name == this->self.name || this->hasRecentHeartbeat(member.name, now)) {
            present.push_back(member.name);
        }
    }
    const std::vector<std::string> order = rendezvousOrder("membership/leases", std::move(present));
    const auto end = order.begin() + static_cast<ptrdiff_t>(std::min(LeaseWatchers, order.size()));
    return std::find(order.begin(), end, this->self.name) != end;
}

bool Membership::hasRecentHeartbeat(const std::string &name, Time now) const
{
    const Duration age = this->heartbeatAge(name, now);
    return age >= Duration(0) && age < this->timings.heartbeatMaxAge * this->intervalsPerHeartbeat();
}

bool Membership::isDraining(const std::string &name) const
{
    const auto found = this->peers.find(name);
    return found != this->peers.end() && found->second.draining;
}

Duration Membership::heartbeatAge(const std::string &name, Time now) const
{
    if (name == this->self.name) {
        return Duration(0);
    }
    const auto found = this->peers.find(name);
    if (found == this->peers.end() || found->second.lastHeartbeat < Time(0)) {
        return Duration(-1);
    }
    return now - found->second.lastHeartbeat;
}

bool Membership::allAcknowledged() const
{
    return std::all_of(this->current.members.begin(), this->current.members.end(), [this](const Member &member) {
        const auto found = this->peers.find(member.name);
        return member.name == this->self.name || (found != this->peers.end() && found->second.generation >= this->current.generation);
    });
}

bool Membership::mayRemove(
    const Member &member, const std::vector<HostLease> &leases, const std::optional<std::vector<std::string>> &listedHosts, Time now) const
{
    if (member.name == this->self.name || hasLiveLease(leases, member)) {
        return false;
    }
    const Member *ownMember = this->current.find(this->self.name);
    if (ownMember == nullptr) {
        return false;
    }
    const Duration age = this->heartbeatAge(member.name, now);
    const Duration silence = age < Duration(0) ? now - this->startedAt : age;
    const bool silent = silence > this->timings.silentBeforeRemoval * this->intervalsPerHeartbeat();
    const bool unlisted = listedHosts && !contains(*listedHosts, member.name);
    return silent && (ownMember->established || unlisted);
}

std::optional<View> Membership::propose(const std::vector<HostLease> &leases, const std::optional<std::vector<std::string>> &listedHosts, Time now) const
{
    View next = this->current;
    bool changed = false;
    const auto ownEntry = std::find_if(next.members.begin(), next.members.end(), [this](const Member &member) { return member.name == this->self.name; });
    if (ownEntry == next.members.end()) {
        Member joining = this->self;
        joining.established = next.members.empty();
        next.members.push_back(joining);
        changed = true;
    } else if (ownEntry->boot != this->self.boot) {
        const bool wasEstablished = ownEntry->established;
        *ownEntry = this->self;
        ownEntry->established = wasEstablished;
        changed = true;
    } else if (!ownEntry->established && this->allAcknowledged()) {
        ownEntry->established = true;
        changed = true;
    }
    for (const Member &member : this->current.members) {
        if (!this->mayRemove(member, leases, listedHosts, now)) {
            continue;
        }
        next.members.erase(std::find_if(next.members.begin(), next.members.end(), [&member](const Member &other) { return other.name == member.name; }));
        next.removedMembers.push_back({member.name, this->fallbackDivisor(member.name)});
        changed = true;
    }
    const auto firstDropped = std::remove_if(next.removedMembers.begin(), next.removedMembers.end(), [&](const RemovedMember &removed) {
        const bool returned = next.find(removed.name) != nullptr;
        return returned || (listedHosts && !contains(*listedHosts, removed.name));
    });
    if (firstDropped != next.removedMembers.end()) {
        next.removedMembers.erase(firstDropped, next.removedMembers.end());
        changed = true;
    }
    if (!changed) {
        return std::nullopt;
    }
    next.generation = this->current.generation + 1;
    next.nonce = randomId();
    return next;
}

View Membership::withoutSelf() const
{
    View next = this->current;
    next.generation = this->current.generation + 1;
    next.nonce = randomId();
    next.members.erase(
        std::remove_if(next.members.begin(), next.members.end(), [this](const Member &member) { return member.name == this->self.name; }), next.members.end());
    return next;
}

} // namespace pimentosail
