#include "pimentosail/mirror/storemirror.h"

#include <algorithm>

#include "pimentosail/base/error.h"

namespace pimentosail
{

namespace
{

// A watch is asked again after this time, so that a connection that went silent is noticed in time for a change of
// the configuration, which must be in force within about two seconds.
constexpr Duration WatchWait = Milliseconds(1500);
// While the store is out of reach its watch is tried with a short wait.
constexpr Duration ProbeWait = Milliseconds(200);
constexpr Duration ProbePause = Milliseconds(250);
constexpr Duration PeerWait = Milliseconds(400);
constexpr Duration PeerPause = Milliseconds(150);
constexpr Duration IdlePause = Milliseconds(100);
constexpr size_t RecentChanges = 4096;
constexpr size_t RemovedKeys = 8192;

} // namespace

StoreMirror::StoreMirror(Clock &runtimeClock, EventLog &eventLog, PrefixStore platformStore, PeerSource peerSource, Listener changeListener)
    : clock(runtimeClock)
    , log(eventLog)
    , store(std::move(platformStore))
    , peers(std::move(peerSource))
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
    const std::lock_guard lock(this->mutex);
    std::vector<StoredItem> result;
    for (auto entry = this->contents.lower_bound(prefix); entry != this->contents.end() && entry->first.starts_with(prefix); ++entry) {
        result.push_back(entry->second);
    }
    return result;
}

MirrorStatus StoreMirror::status() const
{
    const std::lock_guard lock(this->mutex);
    return this->state;
}

MirrorChanges StoreMirror::changesAfter(int64_t revision, Duration wait) const
{
    std::unique_lock lock(this->mutex);
    if (this->state.revision <= revision) {
        this->changed.wait_for(lock, wait, [this, revision] { return this->state.revision > revision || this->stopping.load(); });
    }
    MirrorChanges result;
    result.revision = this->state.revision;
    result.isSnapshot = revision == 0 || revision < this->recentSince;
    if (result.isSnapshot) {
        for (const auto &[key, item] : this->contents) {
            result.changes.push_back({item, false});
        }
        return result;
    }
    for (const StoreChange &change : this->recent) {
        if (change.item.revision > revision) {
            result.changes.push_back(change);
        }
    }
    return result;
}

void StoreMirror::merge(const MirrorChanges &batch)
{
    // Held over the listener's call too, so that listeners see the changes in order.
    const std::lock_guard listenerLock(this->listenerMutex);
    std::set<std::string> changedKeys;
    {
        const std::lock_guard lock(this->mutex);
        std::set<std::string> present;
        auto record = [this, &changedKeys](const StoreChange &change) {
            this->recent.push_back(change);
            changedKeys.insert(change.item.key);
        };
        for (const StoreChange &change : batch.changes) {
            const std::string &key = change.item.key;
            present.insert(key);
            const auto known = this->contents.find(key);
            const int64_t knownRevision = known == this->contents.end() ? 0 : known->second.revision;
            const auto removal = this->removedAt.find(key);
            if (change.item.revision <= knownRevision || (removal != this->removedAt.end() && change.item.revision <= removal->second)) {
                continue;
            }
            if (change.isRemoval) {
                this->removedAt[key] = change.item.revision;
                if (known != this->contents.end()) {
                    this->contents.erase(known);
                    record(change);
                }
                continue;
            }
            this->contents[key] = change.item;
            record(change);
        }
        if (batch.isSnapshot && batch.revision >= this->state.revision) {
            for (auto entry = this->contents.begin(); entry != this->contents.end();) {
                if (present.contains(entry->first) || entry->second.revision > batch.revision) {
                    ++entry;
                    continue;
                }
                record({{entry->first, "", batch.revision}, true});
                this->removedAt[entry->first] = batch.revision;
                entry = this->contents.erase(entry);
            }
        }
        this->state.revision = std::max(this->state.revision, batch.revision);
        while (this->recent.size() > RecentChanges) {
            this->recentSince = std::max(this->recentSince, this->recent.front().item.revision);
            this->recent.pop_front();
        }
        while (this->removedAt.size() > RemovedKeys) {
            this->removedAt.erase(
                std::min_element(this->removedAt.begin(), this->removedAt.end(), [](const auto &a, const auto &b) { return a.second < b.second; }));
        }
        this->changed.notify_all();
    }
    if (!changedKeys.empty()) {
        this->listener(changedKeys);
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
                this->state.backSince = now;
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
    const StoreListing listing = this->store.list("");
    MirrorChanges changes;
    changes.revision = listing.revision;
    changes.isSnapshot = true;
    for (const StoredItem &item : listing.items) {
        changes.changes.push_back({item, false});
    }
    this->log.write(LogLevel::Info, "store_listed", {{"items", listing.items.size()}, {"revision", listing.revision}});
    this->setReachable(true, "listed");
    this->merge(changes);
}

void StoreMirror::runStore()
{
    bool isListed = false;
    while (!this->stopping.load()) {
        try {
            if (!isListed) {
                this->listAll();
                isListed = true;
            }
            const MirrorStatus before = this->status();
            const StoreChanges changes = this->store.watch("", before.revision, before.isReachable ? WatchWait : ProbeWait);
            this->setReachable(true, "watch answered");
            if (changes.isCompacted) {
                this->log.write(LogLevel::Info, "store_history_lost", {{"revision", before.revision}});
                isListed = false;
                continue;
            }
            this->merge({changes.changes, changes.revision, false});
        } catch (const Failure &failure) {
            this->setReachable(false, failure.what());
            this->clock.sleepFor(ProbePause);
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
            this->merge(this->peers(before.revision, PeerWait));
        } catch (const Failure &) {
            // Counted by the peer client; another host is asked next time.
            this->clock.sleepFor(PeerPause);
        }
    }
}

} // namespace pimentosail
