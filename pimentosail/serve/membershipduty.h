// Keeps this host's lease and the ownership view with the key-value service, and exchanges heartbeats with the other
// entry hosts. Answers which roles this host may act in at this moment.
//
//     MembershipDuty membership(clock, store, self, settings, hooks);
//     membership.start();
//     if (membership.standing("target/w-3") == RoleState::Owner) { ... }
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

// What the duty takes from and gives to the rest of the process.
struct MembershipHooks
{
    // Fills in the configuration revision and the target summaries of a heartbeat.
    std::function<void(Heartbeat &heartbeat)> describe;
    // Takes a received heartbeat and the internal address of its sender, if known.
    std::function<void(const Heartbeat &heartbeat, const std::string &address)> received;
    // Fetches the view from a peer; used while the key-value service cannot be reached.
    std::function<std::optional<View>(const std::string &address)> fetchView;
    // Names of the entry hosts that the platform's host list shows, or nothing if unknown.
    std::function<std::optional<std::vector<std::string>>()> listedHosts;
    // Counts control bytes by message kind.
    std::function<void(const std::string &kind, size_t bytes)> countBytes;
};

class MembershipDuty
{
public:
    MembershipDuty(Clock &runtimeClock, KeyValueStore keyValueStore, Member selfMember, const Settings &processSettings, MembershipHooks processHooks);

    void start();
    void stop();

    // Says in heartbeats that this host takes no new work.
    void setDraining();

    // Writes a view without this host and ends its lease. Call after the last request.
    void leave();

    // See `Membership`; all answers are for this moment.
    RoleState standing(const std::string &role) const;
    int64_t usable(const std::string &role, int64_t limit, bool ownerUnconfirmed = false) const;
    bool hasAuthority() const;
    bool hasLease() const;
    bool isHeard(const std::string &name) const;
    bool isDraining(const std::string &name) const;
    View view() const;

    // Returns the name of the owner of `role`; empty if there is none.
    std::string ownerOf(const std::string &role) const;

    // Returns the internal address of the owner of `role`; empty if there is none. Sets `owner` to its name.
    std::string ownerAddress(const std::string &role, std::string *owner = nullptr) const;

    // Returns the internal addresses of the other members of the view, or of the seed peers before there is one.
    std::vector<std::string> peerAddresses() const;

    // Takes a view learnt from a peer.
    void learnView(const View &view);

    const Member &self() const
    {
        return this->me;
    }

private:
    void runRounds();
    void waitForNextRound(Duration length);
    void followRumour();
    void runSender();
    void runReceiver();
    void round();
    void renewLease();
    View readView();
    void proposeChange(const View &current);
    void sendHeartbeats();
    std::vector<std::string> nextReceivers(const std::vector<Member> &members);
    void receive(const std::string &datagram);
    void noteAuthority();

    Clock &clock;
    KeyValueStore store;
    Member me;
    MembershipTimings timings;
    Duration heartbeatInterval;
    int64_t controlBytesPerSecond;
    std::vector<std::string> seeds;
    MembershipHooks hooks;
    mutable std::mutex mutex;
    Membership membership;
    int64_t lease = 0;
    int64_t viewRevision = 0;
    // Position in the list of receivers after the last interval.
    size_t nextReceiver = 0;
    // Peer that named a newer generation than the known one; empty if none did.
    std::string rumourAddress;
    std::atomic<bool> stopping{false};
    std::atomic<bool> draining{false};
    std::atomic<bool> leaving{false};
    bool hadAuthority = false;
    Poco::Net::DatagramSocket socket;
    DutyThread rounds;
    DutyThread sender;
    DutyThread receiver;
};

} // namespace pimentosail
