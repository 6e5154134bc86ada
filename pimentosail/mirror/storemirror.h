// A copy of the platform's store in this process, kept by one watch, or by following a host that has one. While the
// store cannot be reached, the copy is kept by asking other hosts for theirs, since the store may refuse one host and
// serve the others.
//
//     StoreMirror mirror(clock, log, store, peers, [](const std::set<std::string> &keys) { ... });
//     mirror.start();
//     std::vector<StoredItem> targets = mirror.items("servers/");
//
// A key never goes back to an older revision. Thread-safe; the listener is called by one thread at a time.
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

// Changes as one host passes them to another.
struct MirrorChanges
{
    std::vector<StoreChange> changes;
    int64_t revision = 0;
    // The changes are the whole contents; keys that are absent have been removed.
    bool isSnapshot = false;
    // What the sender knows of the store: whether it reaches it, how long ago the store answered it, and how long ago
    // the last outage ended (negative: there was none).
    bool isReachable = false;
    Duration answerAge{};
    Duration backAge{-1};
};

// Asks another host for its changes after `revision`. Throws `Failure` if it does not answer.
using PeerSource = std::function<MirrorChanges(int64_t revision, Duration wait)>;

// Other hosts as sources.
struct MirrorPeers
{
    // Any other host, for times without the store.
    PeerSource any;
    // The host that this one follows, and how to go on to the next one if it fails or is out of date.
    PeerSource relay;
    std::function<void()> skipRelay;
    // Return true if this host watches the store itself, and if others follow it.
    std::function<bool()> readsFromSource;
    std::function<bool()> hasFollowers;
};

struct MirrorStatus
{
    bool isReachable = false;
    // When the store was reached again after the last outage; zero if there was none.
    Time backSince{};
    // When the store last answered.
    Time lastAnswer{};
    int64_t revision = 0;
};

class StoreMirror
{
public:
    using Listener = std::function<void(const std::set<std::string> &changedKeys)>;

    StoreMirror(Clock &runtimeClock, EventLog &eventLog, PrefixStore platformStore, MirrorPeers otherHosts, Listener changeListener);
    ~StoreMirror();

    void start();
    void stop();

    // Returns the items whose keys start with `prefix`, ordered by key.
    std::vector<StoredItem> items(const std::string &prefix) const;

    MirrorStatus status() const;

    // Returns what changed after `revision`, waiting at most `wait` for something. A revision that is too old or 0
    // gives a snapshot.
    MirrorChanges changesAfter(int64_t revision, Duration wait) const;

    // Merges changes, also those that a caller has from its own writes.
    void merge(const MirrorChanges &changes);

private:
    void runStore();
    void runPeers();
    // Takes changes from the relay. Returns false if the relay failed or is out of date.
    bool follow();
    void setReachable(bool isReachable, const std::string &reason);
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
    // Latest changes, oldest first, for other hosts.
    std::deque<StoreChange> recent;
    // Revisions of removed keys, so that a late change does not bring one back.
    std::map<std::string, int64_t> removedAt;
    int64_t recentSince = 0;
    MirrorStatus state;
    // After a relay has failed, this host watches the store itself until this time.
    Time directUntil{};
    std::atomic<bool> stopping{false};
    DutyThread storeThread;
    DutyThread peerThread;
};

} // namespace pimentosail
