// A copy of the platform's key-value store in this process. It is updated by a watch on the store, or by a relay: a
// host that watches the store and passes the changes on to its followers. While the store is unreachable, the mirror
// asks other hosts for their changes, because the store may refuse one host and serve the others.
//
//     StoreMirror mirror(clock, log, store, peers, [](const std::set<std::string> &keys) { ... });
//     mirror.start();
//     std::vector<StoredItem> targets = mirror.items("servers/");
//
// The contents are those that the store had at their position, whichever source they came from, and that position never goes back. So
// within an era a removed key returns only when it is written anew. When the store comes back from an older copy, which begins an era, the
// contents become those of the new history, also where its revisions are lower; nothing of the lost history is merged afterwards. Thread-safe; the listener is
// called by one thread at a time, and in the order of the changes.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "pimentosail/base/duty.h"
#include "pimentosail/eventlog/eventlog.h"
#include "pimentosail/kv/prefixstore.h"

namespace pimentosail
{

// Changes of the key-value store, as one host passes them to another.
struct MirrorChanges
{
    std::vector<StoreChange> changes;
    int64_t revision = 0;
    // If true, `changes` lists the complete contents, and keys that are absent from it have been removed.
    bool isSnapshot = false;
    // Era of the revisions.
    int64_t era = 0;
    // The sender's connection to the store: whether the store is reachable, how long ago it last answered, and how long
    // ago its last outage ended (negative: there was none).
    bool isReachable = false;
    Duration answerAge{};
    Duration recoveryAge{-1};
    // How long ago the contents up to `revision` were certainly complete; negative if that is not known.
    Duration completeAge{-1};
    // Address of the host that sent the changes. It is not part of the message.
    std::string sender;

    StorePosition position() const
    {
        return {this->era, this->revision};
    }
};

// Asks another host for its changes after `position` and waits at most about `wait` for one. Throws `Failure` if the
// host does not answer.
using PeerSource = std::function<MirrorChanges(const StorePosition &position, Duration wait)>;

// How a mirror gets changes from other hosts.
struct MirrorPeers
{
    // Asks any other host; used while the store is unreachable.
    PeerSource fetchFromAny;
    // Asks the relay that this host follows, and selects the next relay if this one fails or has lost the store.
    PeerSource fetchFromRelay;
    std::function<void()> skipRelay;
    // Return whether this host watches the store itself, and whether other hosts follow it.
    std::function<bool()> watchesStore;
    std::function<bool()> hasFollowers;
};

// State of the mirror's connection to the store. A follower takes the times from its relay.
struct MirrorStatus
{
    bool isReachable = false;
    // When the store was reached again after the last outage; zero if there was none.
    Time recoveredAt{};
    // When the store last answered.
    Time lastAnswer{};
    // Latest revision of the store that was merged, 0 before the first one, and its era.
    int64_t revision = 0;
    int64_t era = 0;
    // When this host first had contents of the era; a time of `Clock::nowWithSuspend`.
    Time eraSince{};
    // The same if this host had contents of an earlier era before; zero if it has seen no restore of the store.
    Time restoredAt{};
    // The contents had all changes up to this time, and up to the second one before the last merge: what the last merge
    // added was written after it. Times of `Clock::nowWithSuspend`; zero if there is none.
    Time completeAt{};
    Time completeBefore{};

    StorePosition position() const
    {
        return {this->era, this->revision};
    }
};

// Items of the contents, which are of one era.
struct MirrorItems
{
    std::vector<StoredItem> items;
    int64_t era = 0;
};

class StoreMirror
{
public:
    // Called with the keys that have changed or been removed.
    using Listener = std::function<void(const std::set<std::string> &changedKeys)>;

    StoreMirror(Clock &runtimeClock, EventLog &eventLog, PrefixStore platformStore, MirrorPeers otherHosts, Listener changeListener);
    ~StoreMirror();

    void start();
    void stop();

    // Returns the items whose keys start with `prefix`, ordered by key.
    std::vector<StoredItem> items(const std::string &prefix) const;

    // The same with the era of the contents.
    MirrorItems itemsOfEra(const std::string &prefix) const;

    MirrorStatus status() const;

    // Returns the changes after `position`, and waits at most `wait` if there are none yet. Returns a snapshot if the position has revision 0, is
    // of an earlier era, or is older than the changes that are kept, which begin anew with each snapshot that this mirror has merged itself.
    MirrorChanges changesAfter(const StorePosition &position, Duration wait) const;

    // Merges changes from any source. Changes that are older than the contents, or that are no snapshot and of another era, are ignored. `completeAt`: the
    // contents with these changes are complete up to this time; zero if that is not known. Returns the number of keys that have changed.
    size_t merge(const MirrorChanges &changes, Time completeAt = Time(0));

private:
    void runStore();
    void runPeers();
    // Both return the keys that have changed; for the caller that holds `mutex`. The snapshot must be newer than the contents.
    std::set<std::string> replaceContents(const MirrorChanges &snapshot);
    std::set<std::string> applyChanges(const MirrorChanges &batch);
    // Takes over the position of merged changes; for the caller that holds `mutex`.
    void enter(const StorePosition &position);
    // Merges changes of another host, which was called at `calledAt`, and logs them.
    void mergeFromHost(const MirrorChanges &changes, Time calledAt);
    // Merges changes from the relay. Returns false if the relay failed or has lost the store.
    bool follow();
    // Records the result of a call to the store, and logs a change of its reachability.
    void setReachable(bool isReachable, const std::string &reason);
    // Merges a listing of the complete store.
    void listAll();

    Clock &clock;
    EventLog &log;
    PrefixStore store;
    MirrorPeers peers;
    Listener listener;
    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    std::mutex listenerMutex;
    std::map<std::string, StoredItem> contents;
    // All changes after `recentAfterRevision`, for other hosts.
    std::deque<StoreChange> recent;
    // Changes up to this revision may be missing from `recent`.
    int64_t recentAfterRevision = 0;
    MirrorStatus state;
    // After relays have failed in a row, this host watches the store itself until this time. Used by the store thread only.
    int relayFailures = 0;
    Time watchDirectlyUntil{};
    std::atomic<bool> stopping{false};
    DutyThread storeThread;
    DutyThread peerThread;
};

} // namespace pimentosail
