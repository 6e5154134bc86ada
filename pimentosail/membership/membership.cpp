#include "pimentosail/membership/membership.h"

#include <algorithm>

#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

constexpr size_t MaxEpochs = 64;
// Hosts that look for ended leases.
constexpr size_t LeaseWatchers = 3;

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool hasLeaseOf(const std::vector<HostLease> &leases, const Member &member)
{
    return std::any_of(leases.begin(), leases.end(), [&member](const HostLease &lease) { return lease.member.name == member.name; });
}

} // namespace

const char *roleStateName(RoleState standing)
{
    switch (standing) {
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
        // Generations were missed, so that their owners are unknown: every owner may be an old one.
        this->epochs.clear();
    }
    this->current = next;
    this->owners.clear();
    this->epochs.push_back({next.generation, now, next.names()});
    if (this->epochs.size() > MaxEpochs) {
        this->epochs.erase(this->epochs.begin());
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
    this->confirmedAt = std::max(this->confirmedAt, roundStart);
}

void Membership::receiveView(const View &view, Time now)
{
    this->adopt(view, now);
}

void Membership::recordHeartbeat(const MemberReport &report, Time now)
{
    Peer &peer = this->peers[report.from];
    peer.lastHeard = now;
    peer.generation = std::max(peer.generation, report.generation);
    peer.draining = report.draining;
    if (report.echoAge >= Duration(0)) {
        peer.echoAt = std::max(peer.echoAt, now - report.echoAge);
    }
}

bool Membership::hasLease(Time now) const
{
    const bool inView = this->current.find(this->self.name) != nullptr;
    return inView && this->confirmedAt >= Time(0) && now < this->confirmedAt + this->timings.leaseTtl - this->timings.leaseMargin;
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
        const bool heardLately = peer.lastHeard >= Time(0) && now - peer.lastHeard < this->timings.heartbeatMaxAge;
        const bool heardUsLately = peer.echoAt >= Time(0) && now - peer.echoAt < this->timings.heartbeatMaxAge;
        if (!heardLately || !heardUsLately || peer.generation != this->current.generation) {
            return false;
        }
    }
    return true;
}

bool Membership::hasAuthority(Time now) const
{
    return this->hasLease(now) || this->confirmedByPeers(now);
}

bool Membership::oldOwnerStopped(const std::string &owner, const Epoch &epoch, Time now) const
{
    if (owner.empty() || owner == this->self.name) {
        return true;
    }
    const auto found = this->peers.find(owner);
    const bool acknowledged = found != this->peers.end() && found->second.generation >= epoch.generation;
    return acknowledged || now - epoch.seenAt >= this->longestAuthority();
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
    // Members that are no longer in the view had lost their authority before they were removed.
    if (this->allAcknowledged()) {
        return RoleState::Owner;
    }
    // Walks back while this host owned the role: each change of owner must have settled.
    for (size_t index = this->epochs.size(); index-- > 0;) {
        const Epoch &epoch = this->epochs[index];
        if (rendezvousOwner(role, epoch.members) != this->self.name) {
            return RoleState::Owner;
        }
        if (epoch.generation == 1) {
            return RoleState::Owner;
        }
        const bool previousKnown = index > 0;
        if (!previousKnown) {
            return now - epoch.seenAt >= this->longestAuthority() ? RoleState::Owner : RoleState::TakingOver;
        }
        if (!this->oldOwnerStopped(rendezvousOwner(role, this->epochs[index - 1].members), epoch, now)) {
            return RoleState::TakingOver;
        }
    }
    return RoleState::Owner;
}

int64_t Membership::ghostShare(int64_t limit) const
{
    int64_t total = 0;
    for (const RemovedMember &ghost : this->current.removedMembers) {
        total += (limit + ghost.divisor - 1) / ghost.divisor;
    }
    return std::min(total, limit);
}

// A member uses shares of another owner's role only after a long silence between the two, and shares of a role that
// it owned before as long as it has not seen the present generation.
bool Membership::mayUseShares(const Member &member, Time now) const
{
    const auto found = this->peers.find(member.name);
    if (found == this->peers.end()) {
        return true;
    }
    const Peer &peer = found->second;
    const Duration lately = this->longestAuthority() + this->timings.heartbeatMaxAge * (this->intervalsPerHeartbeat() - 1);
    const bool heardUsLately = peer.echoAt >= Time(0) && now - peer.echoAt < lately;
    return peer.generation < this->current.generation || !heardUsLately;
}

int64_t Membership::memberShares(int64_t limit, Time now) const
{
    int64_t total = 0;
    for (const Member &member : this->current.members) {
        if (member.name != this->self.name && this->mayUseShares(member, now)) {
            const int64_t divisor = this->ghostDivisor(member.name);
            total += (limit + divisor - 1) / divisor;
        }
    }
    return total;
}

// A removed host may know any view since the one that it last acknowledged; its shares are largest in the smallest.
int64_t Membership::ghostDivisor(const std::string &name) const
{
    const auto found = this->peers.find(name);
    const int64_t acknowledged = found == this->peers.end() ? 0 : found->second.generation;
    if (this->epochs.empty() || this->epochs.front().generation > acknowledged) {
        return 1;
    }
    size_t smallest = this->current.members.size();
    for (const Epoch &epoch : this->epochs) {
        if (epoch.generation >= acknowledged && contains(epoch.members, name)) {
            smallest = std::min(smallest, epoch.members.size());
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
        return std::max<int64_t>(0, limit - this->ghostShare(limit) - this->memberShares(limit, now));
    case RoleState::Unconfirmed:
        break;
    }
    const std::string &owner = this->ownerOf(role);
    if (owner.empty()) {
        return 0;
    }
    const Duration ownerAge = this->heartbeatAge(owner, now);
    const bool ownerSilent = this->confirmedAt >= Time(0) && now - this->confirmedAt > 2 * this->longestAuthority()
        && (ownerAge < Duration(0) || ownerAge > 2 * this->longestAuthority());
    const bool mayUse = owner == this->self.name || ownerUnconfirmed || ownerSilent;
    return mayUse ? fallbackShare(role, limit - this->ghostShare(limit), this->self.name, this->current.names()) : 0;
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
    std::vector<std::string> heard;
    for (const Member &member : this->current.members) {
        if (member.name == this->self.name || this->hasRecentHeartbeat(member.name, now)) {
            heard.push_back(member.name);
        }
    }
    const std::vector<std::string> order = rendezvousOrder("membership/leases", std::move(heard));
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
    if (found == this->peers.end() || found->second.lastHeard < Time(0)) {
        return Duration(-1);
    }
    return now - found->second.lastHeard;
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
    if (member.name == this->self.name || hasLeaseOf(leases, member)) {
        return false;
    }
    const Member *me = this->current.find(this->self.name);
    if (me == nullptr) {
        return false;
    }
    const Duration age = this->heartbeatAge(member.name, now);
    const Duration silence = age < Duration(0) ? now - this->startedAt : age;
    const bool silent = silence > this->timings.silentBeforeRemoval * this->intervalsPerHeartbeat();
    const bool unlisted = listedHosts && !contains(*listedHosts, member.name);
    return silent && (me->established || unlisted);
}

std::optional<View> Membership::propose(const std::vector<HostLease> &leases, const std::optional<std::vector<std::string>> &listedHosts, Time now) const
{
    View next = this->current;
    bool changed = false;
    const auto mine = std::find_if(next.members.begin(), next.members.end(), [this](const Member &member) { return member.name == this->self.name; });
    if (mine == next.members.end()) {
        Member joining = this->self;
        joining.established = next.members.empty();
        next.members.push_back(joining);
        changed = true;
    } else if (mine->boot != this->self.boot) {
        const bool wasEstablished = mine->established;
        *mine = this->self;
        mine->established = wasEstablished;
        changed = true;
    } else if (!mine->established && this->allAcknowledged()) {
        mine->established = true;
        changed = true;
    }
    for (const Member &member : this->current.members) {
        if (!this->mayRemove(member, leases, listedHosts, now)) {
            continue;
        }
        next.members.erase(std::find_if(next.members.begin(), next.members.end(), [&member](const Member &other) { return other.name == member.name; }));
        next.removedMembers.push_back({member.name, this->ghostDivisor(member.name)});
        changed = true;
    }
    const auto forgotten = std::remove_if(next.removedMembers.begin(), next.removedMembers.end(), [&](const RemovedMember &ghost) {
        const bool returned = next.find(ghost.name) != nullptr;
        return returned || (listedHosts && !contains(*listedHosts, ghost.name));
    });
    if (forgotten != next.removedMembers.end()) {
        next.removedMembers.erase(forgotten, next.removedMembers.end());
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
