#include "pimentosail/serve/membershipduty.h"

#include <algorithm>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include "pimentosail/base/error.h"
#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"
#include "pimentosail/base/statelog.h"

namespace pimentosail
{

namespace
{

constexpr const char *ViewKey = "membership/view";
constexpr const char *HostLeasePrefix = "membership/hosts/";
// Lease renewals per lease time in a small fleet.
constexpr int RefreshesPerLease = 4;
// Largest rate of lease renewals of all entry hosts together. With many members each host therefore renews its lease less
// often, and `lease_ttl_ms` must be long enough for the longer interval.
constexpr double MaxRenewalsPerSecond = 100;
constexpr int MaxDatagramBytes = 60'000;
// Interval at which a wait checks whether a peer reported a newer view.
constexpr Duration ReportedViewCheckInterval = Milliseconds(20);
// Longest wait for a datagram before the thread checks whether it must stop.
constexpr Duration ReceiveWait = Milliseconds(100);
// UDP and IP header bytes of a datagram, counted as control traffic.
constexpr size_t DatagramOverhead = 28;

MembershipTimings timingsFor(const Settings &settings)
{
    MembershipTimings timings;
    timings.leaseTtl = settings.leaseTtl;
    timings.leaseMargin = settings.leaseTtl / 5;
    timings.heartbeatMaxAge = settings.heartbeatInterval * 3 + Milliseconds(100);
    timings.silentBeforeRemoval = timings.heartbeatMaxAge * 2 + settings.heartbeatInterval;
    return timings;
}

Json::Value toJson(const Member &member)
{
    Json::Value value;
    value["name"] = member.name;
    value["zone"] = member.zone;
    value["address"] = member.address;
    value["boot"] = member.boot;
    return value;
}

Member memberFromJson(const Json::Value &value)
{
    return {jsonString(value, "name"), jsonString(value, "zone"), jsonString(value, "address"), jsonString(value, "boot"), false};
}

} // namespace

MembershipDuty::MembershipDuty(Clock &runtimeClock, KeyValueStore keyValueStore, Member selfMember, const Settings &settings, MembershipHooks processHooks)
    : clock(runtimeClock)
    , kvStore(std::move(keyValueStore))
    , localMember(selfMember)
    , timings(timingsFor(settings))
    , heartbeatInterval(settings.heartbeatInterval)
    , controlBytesPerSecond(settings.controlBytesPerSecond)
    , seeds(settings.peers)
    , hooks(std::move(processHooks))
    , membership(std::move(selfMember), this->timings)
    , socket(Poco::Net::SocketAddress(settings.internal), true)
    , refresher("membership", [this] { this->runRefresh(); })
    , sender("heartbeat-send", [this] { this->runSender(); })
    , receiver("heartbeat-receive", [this] { this->runReceiver(); })
{
}

void MembershipDuty::start()
{
    this->receiver.start();
    this->sender.start();
    this->refresher.start();
}

void MembershipDuty::stop()
{
    this->stopping.store(true);
    this->refresher.join();
    this->sender.join();
    this->receiver.join();
}

void MembershipDuty::setDraining()
{
    this->draining.store(true);
}

void MembershipDuty::runRefresh()
{
    while (!this->stopping.load()) {
        if (!this->leaving.load()) {
            this->refresh();
        }
        size_t members = 0;
        {
            const std::lock_guard lock(this->mutex);
            members = this->membership.view().members.size();
        }
        const Duration byLease = this->timings.leaseTtl / RefreshesPerLease;
        const Duration byFleet = fromSeconds(static_cast<double>(members) / MaxRenewalsPerSecond);
        this->waitForNextRefresh(std::max(byLease, byFleet));
    }
}

// Waits for `length`, and meanwhile fetches newer views from the peers that report them.
void MembershipDuty::waitForNextRefresh(Duration length)
{
    const Time end = this->clock.now() + length;
    while (!this->stopping.load() && this->clock.now() < end) {
        this->clock.sleepFor(std::min(ReportedViewCheckInterval, end - this->clock.now()));
        this->fetchReportedView();
    }
}

void MembershipDuty::fetchReportedView()
{
    std::string address;
    {
        const std::lock_guard lock(this->mutex);
        address = std::exchange(this->newerViewAddress, std::string());
    }
    if (address.empty()) {
        return;
    }
    if (const std::optional<View> view = this->hooks.fetchView(address)) {
        this->receiveView(*view);
        // Acknowledges the generation to the other members at once, so that new owners need not wait for the next heartbeat.
        this->sendHeartbeats();
    }
}

void MembershipDuty::renewLease()
{
    if (this->lease != 0 && this->kvStore.keepAlive(this->lease)) {
        return;
    }
    this->lease = this->kvStore.grantLease(this->timings.leaseTtl);
    const std::string key = HostLeasePrefix + this->localMember.name;
    const std::optional<KeyValue> old = this->kvStore.get(key);
    Json::Value value = toJson(this->localMember);
    value["nonce"] = randomId();
    const SwapOutcome outcome = compareAndSwapWithRetry(this->kvStore, key, old ? old->modRevision : 0, printJson(value), this->lease);
    if (!outcome.swapped) {
        this->lease = 0;
        throw Failure(ErrorKind::KeyValueUnavailable, "another writer changed the lease key of this host");
    }
}

View MembershipDuty::readView()
{
    const std::optional<KeyValue> stored = this->kvStore.get(ViewKey);
    if (!stored) {
        this->viewRevision = 0;
        return View();
    }
    Result<View> view = View::fromDocument(stored->value);
    if (!view) {
        throw Failure(view.error());
    }
    this->viewRevision = stored->modRevision;
    return *view;
}

void MembershipDuty::refresh()
{
    try {
        const Time start = this->clock.now();
        this->renewLease();
        const View current = this->readView();
        {
            const std::lock_guard lock(this->mutex);
            this->membership.recordLeaseRenewal(start, current, this->clock.now());
        }
        this->proposeChange(current);
    } catch (const Failure &) {
        // A view from a peer confirms no authority, but a newer one stops this host from acting on an outdated one.
        for (const std::string &address : this->peerAddresses()) {
            if (const std::optional<View> view = this->hooks.fetchView(address)) {
                this->receiveView(*view);
                break;
            }
        }
    }
    this->logAuthorityChange();
}

void MembershipDuty::proposeChange(const View &current)
{
    bool watchesLeases = false;
    {
        const std::lock_guard lock(this->mutex);
        if (this->membership.view().generation != current.generation) {
            return;
        }
        watchesLeases = this->membership.watchesLeases(this->clock.now());
    }
    std::vector<HostLease> leases;
    if (watchesLeases) {
        for (const KeyValue &entry : this->kvStore.list(HostLeasePrefix)) {
            leases.push_back({memberFromJson(parseJson(entry.value))});
        }
    } else {
        // This host does not read the leases, so it treats all members as live.
        for (const Member &member : current.members) {
            leases.push_back({member});
        }
    }
    const std::optional<std::vector<std::string>> listed = this->hooks.listedEntryHosts();
    std::optional<View> next;
    {
        const std::lock_guard lock(this->mutex);
        next = this->membership.propose(leases, listed, this->clock.now());
    }
    if (!next || this->leaving.load()) {
        return;
    }
    const Time start = this->clock.now();
    const SwapOutcome outcome = compareAndSwapWithRetry(this->kvStore, ViewKey, this->viewRevision, next->toDocument(), 0);
    if (outcome.swapped) {
        logStateChange("view_written", {{"generation", std::to_string(next->generation)}, {"members", std::to_string(next->members.size())}});
        {
            const std::lock_guard lock(this->mutex);
            this->membership.recordLeaseRenewal(start, *next, this->clock.now());
        }
        this->sendHeartbeats();
    }
}

void MembershipDuty::logAuthorityChange()
{
    const bool authority = this->hasAuthority();
    if (authority != this->hadAuthority) {
        logStateChange("authority", {{"confirmed", authority ? "true" : "false"}});
        this->hadAuthority = authority;
    }
}

void MembershipDuty::leave()
{
    this->leaving.store(true);
    constexpr int Attempts = 5;
    for (int attempt = 0; attempt < Attempts; ++attempt) {
        try {
            const View current = this->readView();
            View next;
            {
                const std::lock_guard lock(this->mutex);
                this->membership.receiveView(current, this->clock.now());
                if (this->membership.view().find(this->localMember.name) == nullptr) {
                    break;
                }
                next = this->membership.withoutSelf();
            }
            if (compareAndSwapWithRetry(this->kvStore, ViewKey, this->viewRevision, next.toDocument(), 0).swapped) {
                this->receiveView(next);
                this->sendHeartbeats();
                break;
            }
        } catch (const Failure &failure) {
            logStateChange("leave_failed", {{"reason", failure.what()}});
        }
    }
    try {
        if (this->lease != 0) {
            this->kvStore.revokeLease(this->lease);
        }
    } catch (const Failure &) {
        // The lease expires by itself.
    }
}

void MembershipDuty::runSender()
{
    while (!this->stopping.load()) {
        this->sendHeartbeats();
        this->clock.sleepFor(this->heartbeatInterval);
    }
}

// Returns the addresses of the next `peersPerInterval` peers in round-robin order, so that the traffic per interval does
// not grow with the number of entry hosts.
std::vector<std::string> MembershipDuty::nextReceivers(const std::vector<Member> &members)
{
    std::vector<std::string> all;
    for (const Member &member : members) {
        if (member.address != this->localMember.address) {
            all.push_back(member.address);
        }
    }
    for (const std::string &seed : this->seeds) {
        if (seed != this->localMember.address && std::find(all.begin(), all.end(), seed) == all.end()) {
            all.push_back(seed);
        }
    }
    if (all.size() <= this->timings.peersPerInterval) {
        return all;
    }
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> chosen;
    for (size_t index = 0; index < this->timings.peersPerInterval; ++index) {
        chosen.push_back(all[this->nextReceiver++ % all.size()]);
    }
    return chosen;
}

void MembershipDuty::sendHeartbeats()
{
    Heartbeat heartbeat;
    heartbeat.from = this->localMember.name;
    heartbeat.boot = this->localMember.boot;
    heartbeat.draining = this->draining.load();
    this->hooks.fillHeartbeat(heartbeat);
    std::vector<Member> members;
    {
        const std::lock_guard lock(this->mutex);
        heartbeat.generation = this->membership.view().generation;
        heartbeat.hasAuthority = this->membership.hasAuthority(this->clock.now());
        members = this->membership.view().members;
    }
    for (const std::string &address : this->nextReceivers(members)) {
        const auto recipient = std::find_if(members.begin(), members.end(), [&address](const Member &member) { return member.address == address; });
        heartbeat.echoAgeMilliseconds = -1;
        if (recipient != members.end()) {
            const std::lock_guard lock(this->mutex);
            const Duration age = this->membership.heartbeatAge(recipient->name, this->clock.now());
            heartbeat.echoAgeMilliseconds = age < Duration(0) ? -1 : toMilliseconds(age);
        }
        const std::string datagram = encodeHeartbeat(heartbeat);
        try {
            this->socket.sendTo(datagram.data(), static_cast<int>(datagram.size()), Poco::Net::SocketAddress(address));
            this->hooks.countControlBytes("heartbeat", datagram.size() + DatagramOverhead);
        } catch (const Poco::Exception &) {
            // The receiver detects missing heartbeats.
        }
    }
}

void MembershipDuty::runReceiver()
{
    std::string buffer(MaxDatagramBytes, '\0');
    while (!this->stopping.load()) {
        try {
            if (!this->socket.poll(Poco::Timespan(ReceiveWait.count()), Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            Poco::Net::SocketAddress from;
            const int size = this->socket.receiveFrom(buffer.data(), MaxDatagramBytes, from);
            this->receive(buffer.substr(0, static_cast<size_t>(std::max(size, 0))));
        } catch (const Poco::Exception &) {
            // An ICMP error for an earlier datagram. It needs no handling: an unreachable peer sends no heartbeats.
        }
    }
}

void MembershipDuty::receive(const std::string &datagram)
{
    const std::optional<Heartbeat> heartbeat = decodeHeartbeat(datagram);
    if (!heartbeat || heartbeat->from == this->localMember.name) {
        return;
    }
    std::string address;
    {
        const std::lock_guard lock(this->mutex);
        const Time now = this->clock.now();
        this->membership.recordHeartbeat({heartbeat->from, heartbeat->generation, Milliseconds(heartbeat->echoAgeMilliseconds), heartbeat->draining}, now);
        if (const Member *member = this->membership.view().find(heartbeat->from)) {
            address = member->address;
        }
        if (heartbeat->generation > this->membership.view().generation && !address.empty()) {
            this->newerViewAddress = address;
        }
    }
    this->hooks.onHeartbeat(*heartbeat, address);
}

RoleState MembershipDuty::roleState(const std::string &role) const
{
    const std::lock_guard lock(this->mutex);
    return this->membership.roleState(role, this->clock.now());
}

int64_t MembershipDuty::usableLimit(const std::string &role, int64_t limit, bool ownerUnconfirmed) const
{
    if (this->leaving.load()) {
        return 0;
    }
    const std::lock_guard lock(this->mutex);
    return this->membership.usableLimit(role, limit, ownerUnconfirmed, this->clock.now());
}

bool MembershipDuty::hasAuthority() const
{
    const std::lock_guard lock(this->mutex);
    return this->membership.hasAuthority(this->clock.now());
}

bool MembershipDuty::hasLease() const
{
    const std::lock_guard lock(this->mutex);
    return this->membership.hasLease(this->clock.now());
}

bool MembershipDuty::hasRecentHeartbeat(const std::string &name) const
{
    if (name == this->localMember.name) {
        return true;
    }
    const std::lock_guard lock(this->mutex);
    return this->membership.hasRecentHeartbeat(name, this->clock.now());
}

bool MembershipDuty::isDraining(const std::string &name) const
{
    const std::lock_guard lock(this->mutex);
    return this->membership.isDraining(name);
}

View MembershipDuty::view() const
{
    const std::lock_guard lock(this->mutex);
    return this->membership.view();
}

std::string MembershipDuty::ownerOf(const std::string &role) const
{
    const std::lock_guard lock(this->mutex);
    return this->membership.ownerOf(role);
}

std::string MembershipDuty::ownerAddress(const std::string &role, std::string *owner) const
{
    const std::lock_guard lock(this->mutex);
    const std::string name = this->membership.ownerOf(role);
    if (owner != nullptr) {
        *owner = name;
    }
    const Member *member = this->membership.view().find(name);
    return member == nullptr ? std::string() : member->address;
}

std::vector<std::string> MembershipDuty::peerAddresses() const
{
    std::vector<std::string> addresses;
    {
        const std::lock_guard lock(this->mutex);
        for (const Member &member : this->membership.view().members) {
            if (member.name != this->localMember.name) {
                addresses.push_back(member.address);
            }
        }
    }
    if (addresses.empty()) {
        for (const std::string &seed : this->seeds) {
            if (seed != this->localMember.address) {
                addresses.push_back(seed);
            }
        }
    }
    return addresses;
}

void MembershipDuty::receiveView(const View &view)
{
    const std::lock_guard lock(this->mutex);
    this->membership.receiveView(view, this->clock.now());
}

} // namespace pimentosail
