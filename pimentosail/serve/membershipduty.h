// Renews this host's lease in the key-value store, keeps the membership view current there, and exchanges heartbeats
// with the other entry hosts. Reports which roles this host may act in now.
//
//     MembershipDuty membership(clock, kvStore, self, settings, hooks);
//     membership.start();
//     if (membership.roleState("target/w-3") == RoleState::Owner) { ... }
//     membership.leave();   // graceful: writes a view without this host
//
// Thread-safe.
#pragma once

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <Poco/Net/DatagramSocket.h>

#include "pimentosail/base/duty.h"
#include "pimentosail/config/settings.h"
#include "pimentosail/kv/keyvaluestore.h"
#include "pimentosail/membership/membership.h"
#include "pimentosail/peer/heartbeat.h"

namespace pimentosail
{

// Functions of the rest of the process that the duty calls.
struct MembershipHooks
{
    // Fills in the configuration revision and the target summaries of a heartbeat.
    std::function<void(Heartbeat &heartbeat)> fillHeartbeat;
    // Called with each received heartbeat and the internal address of its sender; the address is empty if the view does
    // not contain the sender.
    std::function<void(const Heartbeat &heartbeat, const std::string &address)> onHeartbeat;
    // Fetches the view from a peer; used when a peer reports a newer one and while the key-value store cannot be reached.
    std::function<std::optional<View>(const std::string &address)> fetchView;
    // Returns the names of the entry hosts on the platform's host list, or nothing if they are unknown.
    std::function<std::optional<std::vector<std::string>>()> listedEntryHosts;
    // Counts bytes of control traffic by message kind.
    std::function<void(const std::string &kind, size_t bytes)> countControlBytes;
};

class MembershipDuty
{
public:
    MembershipDuty(Clock &runtimeClock, KeyValueStore keyValueStore, Member selfMember, const Settings &processSettings, MembershipHooks processHooks);

    void start();
    void stop();

    // Makes heartbeats report that this host is draining, that is, takes no new work.
    void setDraining();

    // Writes a view without this host and ends its lease. Call after the last request.
    void leave();

    // Same as the functions of `Membership`, evaluated at the current time. `usableLimit` returns 0 once this host leaves.
    RoleState roleState(const std::string &role) const;
    int64_t usableLimit(const std::string &role, int64_t limit, bool ownerUnconfirmed = false) const;
    bool hasAuthority() const;
    bool hasLease() const;
    bool hasRecentHeartbeat(const std::string &name) const;
    bool isDraining(const std::string &name) const;
    View view() const;

    // Returns the name of the owner of `role`; empty if there is none.
    std::string ownerOf(const std::string &role) const;

    // Returns the internal address of the owner of `role`; empty if there is none. Sets `owner`, if given, to its name.
    std::string ownerAddress(const std::string &role, std::string *owner = nullptr) const;

    // Returns the internal addresses of the other members of the view, or of the seed peers before there is one.
    std::vector<std::string> peerAddresses() const;

    // Adopts a view from a peer if it is newer; this does not confirm authority.
    void receiveView(const View &view);

    const Member &self() const
    {
        return this->localMember;
    }

private:
    void runRefresh();
    void waitForNextRefresh(Duration length);
    void fetchReportedView();
    void runSender();
    void runReceiver();
    void refresh();
    void renewLease();
    View readView();
    void proposeChange(const View &current);
    void sendHeartbeats();
    std::vector<std::string> nextReceivers(const std::vector<Member> &members);
    void receive(const std::string &datagram);
    void logAuthorityChange();

    Clock &clock;
    KeyValueStore kvStore;
    Member localMember;
    MembershipTimings timings;
    Duration heartbeatInterval;
    int64_t controlBytesPerSecond;
    std::vector<std::string> seeds;
    MembershipHooks hooks;
    mutable std::mutex mutex;
    Membership membership;
    int64_t lease = 0;
    int64_t viewRevision = 0;
    // Round-robin position in the list of heartbeat receivers; it only grows.
    size_t nextReceiver = 0;
    // Internal address of a peer that reported a newer generation than the view has; empty if none did.
    std::string newerViewAddress;
    std::atomic<bool> stopping{false};
    std::atomic<bool> draining{false};
    std::atomic<bool> leaving{false};
    // Authority as it was last logged.
    bool hadAuthority = false;
    Poco::Net::DatagramSocket socket;
    DutyThread refresher;
    DutyThread sender;
    DutyThread receiver;
};

} // namespace pimentosail
