#include "pimentosail/mirror/storemirror.h"

#include <algorithm>

#include "pimentosail/base/error.h"

namespace pimentosail
{

namespace
{

// A watch call ends after this time and is repeated, so that a silent connection is detected soon: a change of the
// configuration must be in force within about two seconds.
constexpr Duration WatchWait = Milliseconds(1500);
// While the store is unreachable, watch calls with a short wait probe it.
constexpr Duration ProbeWait = Milliseconds(200);
constexpr Duration ProbePause = Milliseconds(250);
// How long a call to another host waits for changes, and the pause after a failed call.
constexpr Duration PeerWait = Milliseconds(400);
constexpr Duration PeerPause = Milliseconds(150);
// Interval at which the peer thread checks whether the store is still reachable.
constexpr Duration IdlePause = Milliseconds(250);
// A relay uses a shorter wait, so that its followers detect soon that it has lost the store.
constexpr Duration RelayWatchWait = Milliseconds(600);
// How long a follower's call to its relay waits for changes.
constexpr Duration FollowWait = Milliseconds(500);
// In a deployment with relays, a host pauses this long after the store has sent it changes, and a follower after each call, so that one
// call transfers several changes.
constexpr Duration BatchPause = Milliseconds(60);
// If the store's last answer to a relay is older than this, the relay may have lost the store.
constexpr Duration MaxAnswerAge = Milliseconds(1200);
// Relays that fail one after the other before a follower watches the store itself, and for how long it then does so. All followers of
// a relay that fails would otherwise call the store at once.
constexpr int MaxRelayFailures = 2;
constexpr Duration DirectWatchTime = std::chrono::seconds(3);
// Longer than `ProbePause`, because many followers may lose the store and their relays at the same time.
constexpr Duration FollowerProbePause = Milliseconds(1000);
// Changes kept for other hosts.
constexpr size_t MaxRecentChanges = 4096;

// Returns up to which time changes from another host, which was called at `calledAt`, are complete; zero if that is not
// known. The time of the answer can't be used, since this host may have been suspended before it read the answer.
Time peerCompleteAt(const MirrorChanges &changes, Time calledAt)
{
    return changes.completeAge < Duration(0) ? Time(0) : calledAt - changes.completeAge;
}

} // namespace

StoreMirror::StoreMirror(Clock &runtimeClock, EventLog &eventLog, PrefixStore platformStore, MirrorPeers otherHosts, Listener changeListener)
    : clock(runtimeClock)
    , log(eventLog)
    , store(std::move(platformStore))
    , peers(std::move(otherHosts))
    , listener(std::move(changeListener))
    , storeThread("mirror", [this] { this->runStore(); })
    , peerThread("mirror-peers", [this] { this->runPeers(); })
{
}

StoreMirror::~StoreMirror()
{
    this->stop();
}

void StoreMirror::start()
{
    this->storeThread.start();
    this->peerThread.start();
}

void StoreMirror::stop()
{
    this->stopping.store(true);
    this->storeThread.join();
    this->peerThread.join();
}

std::vector<StoredItem> StoreMirror::items(const std::string &prefix) const
{
    return this->itemsOfEra(prefix).items;
}

MirrorItems StoreMirror::itemsOfEra(const std::string &prefix) const
{
    const std::lock_guard lock(this->mutex);
    MirrorItems result;
    result.era = this->state.era;
    for (auto entry = this->contents.lower_bound(prefix); entry != this->contents.end() && entry->first.starts_with(prefix); ++entry) {
        result.items.push_back(entry->second);
    }
    return result;
}

MirrorStatus StoreMirror::status() const
{
    const std::lock_guard lock(this->mutex);
    return this->state;
}

MirrorChanges StoreMirror::changesAfter(const StorePosition &position, Duration wait) const
{
    std::unique_lock lock(this->mutex);
    if (this->state.position() <= position) {
        this->changed.wait_for(lock, wait, [this, &position] { return this->state.position() > position || this->stopping.load(); });
    }
    MirrorChanges result;
    const Time now = this->clock.now();
    result.completeAge = this->state.completeAt == Time(0) ? Duration(-1) : this->clock.nowWithSuspend() - this->state.completeAt;
    result.revision = this->state.revision;
    result.era = this->state.era;
    result.isReachable = this->state.isReachable;
    result.answerAge = now - this->state.lastAnswer;
    result.recoveryAge = this->state.recoveredAt == Time(0) ? Duration(-1) : now - this->state.recoveredAt;
    if (this->state.position() < position) {
        return result;
    }
    result.isSnapshot = position.revision == 0 || position.era != this->state.era || position.revision < this->recentAfterRevision;
    if (result.isSnapshot) {
        for (const auto &[key, item] : this->contents) {
            result.changes.push_back({item, false});
        }
        return result;
    }
    for (const StoreChange &change : this->recent) {
        if (change.item.revision > position.revision) {
            result.changes.push_back(change);
        }
    }
    return result;
}

std::set<std::string> StoreMirror::replaceContents(const MirrorChanges &snapshot)
{
    std::set<std::string> changedKeys;
    std::map<std::string, StoredItem> next;
    for (const StoreChange &change : snapshot.changes) {
        const auto known = this->contents.find(change.item.key);
        // The same revision may stand for another write in another era.
        const bool isKnown = known != this->contents.end() && known->second.revision == change.item.revision
            && (known->second.era == snapshot.era || known->second.value == change.item.value);
        if (isKnown) {
            next.insert(*known);
            continue;
        }
        StoredItem &item = next[change.item.key] = change.item;
        item.era = snapshot.era;
        changedKeys.insert(item.key);
    }
    for (const auto &[key, item] : this->contents) {
        if (!next.contains(key)) {
            changedKeys.insert(key);
        }
    }
    this->contents = std::move(next);
    // What was removed between the two revisions is not known.
    this->recent.clear();
    this->recentAfterRevision = snapshot.revision;
    return changedKeys;
}

std::set<std::string> StoreMirror::applyChanges(const MirrorChanges &batch)
{
    std::set<std::string> changedKeys;
    for (const StoreChange &change : batch.changes) {
        // The contents have all changes up to their revision: an older item that they lack has been removed since.
        if (change.item.revision <= this->state.revision) {
            continue;
        }
        if (change.isRemoval) {
            this->contents.erase(change.item.key);
        } else {
            StoredItem &item = this->contents[change.item.key] = change.item;
            item.era = batch.era;
        }
        this->recent.push_back(change);
        changedKeys.insert(change.item.key);
    }
    while (this->recent.size() > MaxRecentChanges) {
        this->recentAfterRevision = std::max(this->recentAfterRevision, this->recent.front().item.revision);
        this->recent.pop_front();
    }
    return changedKeys;
}

size_t StoreMirror::merge(const MirrorChanges &batch, Time completeAt)
{
    // Also held while the listener runs, so that it receives the changes in order.
    const std::lock_guard listenerLock(this->listenerMutex);
    std::set<std::string> changedKeys;
    {
        const std::lock_guard lock(this->mutex);
        const bool isNews = batch.position() > this->state.position();
        if (!batch.isSnapshot && batch.era != this->state.era) {
            return 0;
        }
        if (!batch.isSnapshot) {
            changedKeys = this->applyChanges(batch);
        } else if (isNews) {
            changedKeys = this->replaceContents(batch);
        }
        if (batch.position() >= this->state.position()) {
            this->state.completeBefore = this->state.completeAt;
            this->state.completeAt = std::max(this->state.completeAt, completeAt);
        }
        if (isNews) {
            this->enter(batch.position());
        }
        this->changed.notify_all();
    }
    if (!changedKeys.empty()) {
        this->listener(changedKeys);
    }
    return changedKeys.size();
}

void StoreMirror::enter(const StorePosition &position)
{
    if (position.era != this->state.era && this->state.revision != 0) {
        // The store was away, also if this host did not notice it.
        this->state.recoveredAt = this->clock.now();
        this->state.restoredAt = this->clock.nowWithSuspend();
        this->log.write(LogLevel::Warning, "store_restored",
            {{"era", position.era}, {"revision", position.revision}, {"former_era", this->state.era}, {"former_revision", this->state.revision}});
    }
    if (position.era != this->state.era || this->state.eraSince == Time(0)) {
        this->state.eraSince = this->clock.nowWithSuspend();
    }
    this->state.era = position.era;
    this->state.revision = position.revision;
}

void StoreMirror::mergeFromHost(const MirrorChanges &changes, Time calledAt)
{
    const StorePosition before = this->status().position();
    const size_t applied = this->merge(changes, peerCompleteAt(changes, calledAt));
    // Changes of a reachable store arrive all the time at followers, and are not logged.
    if (!changes.changes.empty() && (changes.isSnapshot || !changes.isReachable || changes.position() < before)) {
        this->log.write(LogLevel::Info, "store_state_from_host",
            {{"from", changes.sender}, {"era", changes.era}, {"revision", changes.revision}, {"own_era", before.era}, {"own_revision", before.revision},
                {"snapshot", changes.isSnapshot}, {"reachable", changes.isReachable}, {"changes", changes.changes.size()}, {"applied", applied}});
    }
}

void StoreMirror::setReachable(bool isReachable, const std::string &reason)
{
    bool changedState = false;
    int64_t age = 0;
    {
        const std::lock_guard lock(this->mutex);
        const Time now = this->clock.now();
        changedState = this->state.isReachable != isReachable;
        age = this->state.lastAnswer == Time(0) ? 0 : toMilliseconds(now - this->state.lastAnswer);
        if (isReachable) {
            if (changedState && this->state.lastAnswer != Time(0)) {
                this->state.recoveredAt = now;
            }
            this->state.lastAnswer = now;
        }
        this->state.isReachable = isReachable;
    }
    if (changedState) {
        this->log.write(isReachable ? LogLevel::Info : LogLevel::Warning, isReachable ? "dependency_regained" : "dependency_lost",
            {{"dependency", "store"}, {"reason", reason}, {"last_answer_age_ms", age}});
    }
}

void StoreMirror::listAll()
{
    const Time calledAt = this->clock.nowWithSuspend();
    const StoreListing listing = listAtOneRevision(this->store);
    MirrorChanges changes;
    changes.revision = listing.revision;
    changes.era = listing.era;
    changes.isSnapshot = true;
    for (const StoredItem &item : listing.items) {
        changes.changes.push_back({item, false});
    }
    this->log.write(LogLevel::Info, "store_listed", {{"items", listing.items.size()}, {"era", listing.era}, {"revision", listing.revision}});
    this->setReachable(true, "listed");
    this->merge(changes, calledAt);
}

bool StoreMirror::follow()
{
    try {
        const Time calledAt = this->clock.nowWithSuspend();
        // After a failure, the next relay answers at once and shows whether it has the store.
        const Duration wait = this->relayFailures == 0 ? FollowWait : Duration(0);
        const MirrorChanges changes = this->peers.fetchFromRelay(this->status().position(), wait);
        this->mergeFromHost(changes, calledAt);
        if (changes.era < this->status().era) {
            throw Failure(ErrorKind::PeerLost, "the relay does not know that the store was restored");
        }
        if (!changes.isReachable || changes.answerAge > MaxAnswerAge) {
            throw Failure(ErrorKind::PeerLost, "the last answer of the store to the relay is " + std::to_string(toMilliseconds(changes.answerAge)) + " ms old");
        }
        this->setReachable(true, "relay answered");
        const std::lock_guard lock(this->mutex);
        const Time now = this->clock.now();
        this->state.lastAnswer = now - changes.answerAge;
        this->state.recoveredAt = changes.recoveryAge < Duration(0) ? this->state.recoveredAt : std::max(this->state.recoveredAt, now - changes.recoveryAge);
        return true;
    } catch (const Failure &failure) {
        this->log.write(LogLevel::Warning, "relay_skipped", {{"reason", failure.what()}});
        this->peers.skipRelay();
        return false;
    }
}

void StoreMirror::runStore()
{
    while (!this->stopping.load()) {
        const bool watchesStore = this->peers.watchesStore();
        if (!watchesStore && this->clock.now() >= this->watchDirectlyUntil) {
            this->relayFailures = this->follow() ? 0 : this->relayFailures + 1;
            if (this->relayFailures >= MaxRelayFailures) {
                this->relayFailures = 0;
                this->watchDirectlyUntil = this->clock.now() + DirectWatchTime;
            }
            this->clock.sleepFor(BatchPause);
            continue;
        }
        try {
            const MirrorStatus before = this->status();
            if (before.revision == 0) {
                this->listAll();
                continue;
            }
            const bool isRelay = watchesStore && this->peers.hasFollowers();
            const Duration wait = isRelay ? RelayWatchWait : WatchWait;
            const Duration callWait = before.isReachable ? wait : ProbeWait;
            const Time calledAt = this->clock.nowWithSuspend();
            const StoreChanges changes = this->store.watch("", before.revision, callWait);
            this->setReachable(true, "watch answered");
            const int64_t presentEra = this->status().era;
            if (changes.era < presentEra) {
                throw Failure(ErrorKind::KeyValueUnavailable,
                    "the store is in era " + std::to_string(changes.era) + ", the contents are of era " + std::to_string(presentEra));
            }
            if (presentEra != before.era) {
                // Another host has sent the new contents meanwhile.
                continue;
            }
            if (changes.isCompacted || changes.era != before.era) {
                this->log.write(LogLevel::Info, "store_history_lost", {{"era", before.era}, {"revision", before.revision}, {"new_era", changes.era}});
                this->listAll();
                continue;
            }
            // The store answers without a change only at the end of the wait.
            const bool isWaitOver = changes.changes.empty() && this->clock.nowWithSuspend() >= calledAt + callWait;
            this->merge({changes.changes, changes.revision, false, changes.era}, isWaitOver ? calledAt + callWait : calledAt);
            if (this->peers.hasFollowers() && !changes.changes.empty()) {
                this->clock.sleepFor(BatchPause);
            }
        } catch (const Failure &failure) {
            this->setReachable(false, failure.what());
            this->clock.sleepFor(watchesStore ? ProbePause : FollowerProbePause);
        }
    }
}

void StoreMirror::runPeers()
{
    while (!this->stopping.load()) {
        const MirrorStatus before = this->status();
        const bool isOverdue = this->clock.now() > before.lastAnswer + WatchWait + ProbePause;
        if (before.isReachable && !isOverdue) {
            this->clock.sleepFor(IdlePause);
            continue;
        }
        try {
            const Time calledAt = this->clock.nowWithSuspend();
            const MirrorChanges changes = this->peers.fetchFromAny(before.position(), PeerWait);
            this->mergeFromHost(changes, calledAt);
        } catch (const Failure &) {
            // The peer client counts the failure; the next call asks another host.
            this->clock.sleepFor(PeerPause);
        }
    }
}

} // namespace pimentosail
