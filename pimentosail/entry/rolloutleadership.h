// The rollout leadership: the right to order targets to load weights, which one host has at a time.
//
//     RolloutLeadership leadership(context, store, mirror);
//     leadership.maintain();   // again and again; acquires the leadership if no other host has it
//     if (leadership.mayOrder() && leadership.announce(announcement)) { ... }
//
// The leader is the host that has written the leadership key under its lease. A leader relies on the key only for the
// lease time after the start of its last renewal, on a clock that includes time in suspension, and only in the era of the store in
// which it wrote the key. `mayOrder` and `isAnnounced` are to be called right before each load order. These and `token` may be called by any
// thread while the others are not called; the others are called by one thread. `holding` may be called by any thread at any time.
#pragma once

#include <mutex>
#include <optional>
#include <string>

#include "pimentosail/entry/context.h"
#include "pimentosail/mirror/storemirror.h"

namespace pimentosail
{

class RolloutLeadership
{
public:
    RolloutLeadership(EntryContext &entryContext, PrefixStore platformStore, const StoreMirror &storeMirror);

    // Acquires or renews the leadership when it is time to.
    void maintain();

    // Gives up the leadership for good.
    void stop();

    // Returns the fencing token of this host's leadership, or 0 if it is not the leader.
    int64_t token() const
    {
        return this->ownToken;
    }

    // Returns the condition that the leadership key is still the one that this host wrote, or nothing if this host is not the leader. A write
    // under this condition needs no other protection from a host that has lost the leadership.
    std::optional<StoreCondition> holding() const;

    // Returns true if this host may send load orders now.
    bool mayOrder() const;

    // Publishes an encoded announcement, which permits load orders for a short time. Returns false if it is not certain that the store has it; then
    // no load order that depends on it may be sent.
    bool announce(const std::string &announcement);

    // Returns true if the last announcement permits load orders until `later` from now.
    bool isAnnounced(Duration later = Duration(0)) const;

private:
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
    // Value of the leadership key while this host is the leader. No other process writes it.
    std::string keyValue;
    StoreLease lease;
    // Position of the write by which this host became the leader, and the fencing token made of it; 0 if it is not the leader.
    StorePosition leaderSince;
    int64_t ownToken = 0;
    mutable std::mutex holdingMutex;
    // Guarded by `holdingMutex`.
    std::optional<StoreCondition> heldCondition;
    // The leadership is certain until this time. This and the next three times are on the clock that includes suspension.
    Time trustedUntil{};
    // Load orders are sent only from this time on, and within a short time after their announcement.
    Time mayOrderFrom{};
    Time announcedAt{};
    Time nextRenewal{};
    // Time at which no host was first found to be the leader; zero if there is one.
    Time vacantSince{};
};

} // namespace pimentosail
