// The rollout leadership: the right to order targets to load weights, which one host has at a time.
//
//     RolloutLeadership leadership(context, store, mirror);
//     leadership.maintain();   // again and again; acquires the leadership if no other host has it
//     if (leadership.mayOrder() && leadership.announce(announcement, targetsWithPendingLoads)) { ... }
//
// The leader is the host that has written the leadership key under its lease. A leader relies on the key only for the
// lease time after the start of its last renewal, on a clock that includes time in suspension, and only in the era of the store in
// which it wrote the key. `orderToken` is to be called right before each load order. All functions but `stop` may be called by any thread; they
// wait for each other, also for the calls to the store that `maintain` and `announce` make, except `holding`, which does not wait.
#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "pimentosail/entry/context.h"
#include "pimentosail/mirror/storemirror.h"
#include "pimentosail/rollout/announcement.h"
#include "pimentosail/rollout/handover.h"

namespace pimentosail
{

class RolloutLeadership
{
public:
    RolloutLeadership(EntryContext &entryContext, PrefixStore platformStore, const StoreMirror &storeMirror);

    // Acquires or renews the leadership when it is time to.
    void maintain();

    // Gives up the leadership for good. The announcement tells the other hosts that they may take it at once.
    void stop(RolloutAnnouncement announcement, const std::vector<std::string> &pending);

    // Returns the fencing token of this host's leadership, or 0 if it is not the leader.
    int64_t token() const
    {
        const std::lock_guard lock(this->mutex);
        return this->ownToken;
    }

    // Returns the fencing token for a load order that is sent now, or nothing if this host may send none or has not announced it.
    std::optional<int64_t> orderToken(const std::string &target) const;

    // Returns which targets may get no load order yet because of orders of the former leader.
    HandOver handOver() const;

    // Records that this host may have sent the target a load order until now.
    void recordOrder(const std::string &target);
    // Returns the condition that the leadership key is still the one that this host wrote, or nothing if this host is not the leader. A write
    // under this condition needs no other protection from a host that has lost the leadership.
    std::optional<StoreCondition> holding() const;

    // Returns true if this host may send load orders now.
    bool mayOrder() const;

    // Publishes an announcement, which permits load orders to the targets `pending` for a short time; this completes it with the fencing token and
    // the targets that may have got an order. Returns false if it is not certain that the store has it; then no load order that depends on it may
    // be sent.
    bool announce(RolloutAnnouncement announcement, const std::vector<std::string> &pending);

    // Returns true if the last announcement permits load orders until `later` from now.
    bool isAnnounced(Duration later = Duration(0)) const;

private:
    bool mayOrderLocked() const;
    bool isAnnouncedLocked(Duration later) const;
    // Returns true if the last leader has given up the leadership as planned, and this host has not tried to take it since.
    bool isHandedOver() const;
    std::string complete(RolloutAnnouncement &announcement, const std::vector<std::string> &pending);
    std::vector<StoreCondition> announcementConditions() const;
    void tryAcquire();
    void renew(Time now);
    void lose(const char *reason);
    void setHolding(std::optional<StoreCondition> condition);
    // Returns true if the store began another era after this host became the leader.
    bool isOfEarlierEra() const;
    // Sets from when a new leader may send load orders.
    void finishTakeover();

    EntryContext &context;
    PrefixStore store;
    const StoreMirror &mirror;
    mutable std::mutex mutex;
    // Value of the leadership key while this host is the leader. No other process writes it.
    std::string keyValue;
    StoreLease lease;
    // Position of the write by which this host became the leader, and the fencing token made of it; 0 if it is not the leader.
    StorePosition leaderSince;
    int64_t ownToken = 0;
    mutable std::mutex holdingMutex;
    // Guarded by `holdingMutex`.
    std::optional<StoreCondition> heldCondition;
    // The targets that may have got a load order of this host or of its predecessor.
    RecentOrders recentOrders;
    // Which targets may get load orders; empty until that is known.
    std::optional<HandOver> takenOver;
    // Revision of the last announcement; empty while the outcome of a write is not known.
    std::optional<int64_t> announcementRevision;
    // Position of the announcement with which a leader gave up the leadership that this host has tried to take.
    StorePosition triedHandOver;
    // The leadership is certain until this time. This and the next two times are on the clock that includes suspension. Load orders are sent only
    // within a short time after their announcement.
    Time trustedUntil{};
    Time announcedAt{};
    Time nextRenewal{};
    // Time at which no host was first found to be the leader; zero if there is one.
    Time vacantSince{};
};

} // namespace pimentosail
