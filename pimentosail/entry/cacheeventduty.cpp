#include <algorithm>

#include "pimentosail/base/hash.h"
#include "pimentosail/entry/storeduties.h"

namespace pimentosail
{

namespace
{

constexpr Duration PollWait = Milliseconds(1000);
constexpr Duration FailurePause = Milliseconds(400);
// Minimum time between two listings of a cache store, because a listing stalls the store. Events that are missed soon
// after a listing are recovered by the next one.
constexpr Duration ListingInterval = std::chrono::seconds(5);
constexpr Duration SuperviseInterval = Milliseconds(500);
// The thread of a cache store that this host no longer polls ends after this time. Roles may change several times while hosts start.
constexpr Duration IdlePollTime = std::chrono::seconds(5);
// Polls that are left free at each cache store, because polls of a host that was replaced may still be open.
constexpr int ReservedPolls = 2;
constexpr Duration RelayWait = Milliseconds(400);
// Pause between two polls of a relay, so that the changes of this time arrive together.
constexpr Duration RelayPause = Milliseconds(250);

} // namespace

CacheEventDuty::CacheEventDuty(EntryContext &entryContext, CacheJournal &cacheJournal, CacheRelayCall relayCall)
    : context(entryContext)
    , journal(cacheJournal)
    , fetchChanges(std::move(relayCall))
    , thread("cache-events", [this] { this->supervise(); })
    , relayThread("cache-relay", [this] { this->pollRelay(); })
{
}

CacheEventDuty::~CacheEventDuty()
{
    this->stop();
}

void CacheEventDuty::start()
{
    this->thread.start();
    this->relayThread.start();
}

void CacheEventDuty::stop()
{
    this->stopping.store(true);
    this->thread.join();
    this->relayThread.join();
    this->pollThreads.clear();
}

void CacheEventDuty::supervise()
{
    while (!this->stopping.load()) {
        for (const CacheStore &store : this->context.cacheStores.stores()) {
            this->superviseStore(store);
        }
        std::erase_if(this->pollThreads, [](const auto &entry) { return entry.second->hasEnded.load(); });
        this->context.clock.sleepFor(SuperviseInterval);
    }
}

void CacheEventDuty::superviseStore(const CacheStore &store)
{
    if (this->pollThreads.contains(store.name) || !this->shouldPoll(store)) {
        return;
    }
    auto poll = std::make_unique<PollThread>();
    poll->thread = std::make_unique<DutyThread>("cache-store", [this, name = store.name, ended = &poll->hasEnded] {
        this->pollEvents(name);
        ended->store(true);
    });
    poll->thread->start();
    this->pollThreads.emplace(store.name, std::move(poll));
}

// Returns true if this host polls `store`. A cache store limits the number of open polls. If more hosts than that read from
// the source, only those poll it that rendezvous hashing ranks first for this store.
bool CacheEventDuty::shouldPoll(const CacheStore &store) const
{
    if (!this->context.state.readsFromSource()) {
        return false;
    }
    std::vector<std::string> readers;
    const std::vector<HostEntry> relays = this->context.state.relays();
    for (const HostEntry &host : relays.empty() ? this->context.state.hosts() : relays) {
        readers.push_back(host.name);
    }
    const int maxReaders = std::max(1, store.maxEventPolls - ReservedPolls);
    if (store.maxEventPolls == 0 || readers.size() <= static_cast<size_t>(maxReaders)) {
        return true;
    }
    const std::vector<std::string> order = rendezvousOrder(store.name, readers);
    return std::find(order.begin(), order.end(), this->context.settings.name) - order.begin() < maxReaders;
}

void CacheEventDuty::applyEvents(const std::string &name, const CacheEvents &events)
{
    this->context.cacheStores.apply(name, events);
    this->journal.record(name, events);
}

void CacheEventDuty::applyChanges(const CacheChanges &changes)
{
    if (changes.isSnapshot) {
        this->context.cacheStores.replace(changes.stores, changes.changes);
        this->context.log.write(LogLevel::Info, "cache_contents_copied", {{"stores", changes.stores.size()}, {"parts", changes.changes.size()}});
        return;
    }
    std::map<std::string, CacheEvents> byStore;
    for (const CacheStoreStatus &status : changes.stores) {
        byStore[status.store].epoch = status.epoch;
        this->context.cacheStores.setReachable(status.store, status.isReachable);
    }
    for (const CacheChange &change : changes.changes) {
        CacheEvents &events = byStore[change.store];
        if (events.epoch == change.epoch) {
            events.events.push_back(change.event);
        }
    }
    for (const auto &[name, events] : byStore) {
        if (events.epoch != 0) {
            this->context.cacheStores.apply(name, events);
        }
    }
}

void CacheEventDuty::pollRelay()
{
    JournalPosition position;
    bool wasReachable = true;
    while (!this->stopping.load()) {
        const std::optional<HostEntry> relay = this->context.state.relay();
        if (this->context.state.readsFromSource() || !relay) {
            position = {};
            this->context.clock.sleepFor(SuperviseInterval);
            continue;
        }
        try {
            const Time askedAt = this->context.clock.nowWithSuspend();
            const CacheChanges changes = this->fetchChanges(*relay, position, RelayWait);
            this->applyChanges(changes);
            for (const CacheStoreConfirmation &confirmation : changes.confirmations) {
                this->context.cacheStores.confirm(confirmation.store, confirmation.epoch, askedAt - confirmation.age);
            }
            position = {changes.journal, changes.next, changes.statusPosition};
            if (!wasReachable) {
                wasReachable = true;
                this->context.log.write(LogLevel::Info, "dependency_regained", {{"dependency", "cache relay " + relay->name}});
            }
            this->context.clock.sleepFor(RelayPause);
        } catch (const Failure &failure) {
            // The contents of the stores may change unnoticed, so no blocks are fetched from them until a relay answers.
            for (const CacheStore &store : this->context.cacheStores.stores()) {
                this->context.cacheStores.setReachable(store.name, false);
            }
            if (wasReachable) {
                wasReachable = false;
                this->context.log.write(LogLevel::Warning, "dependency_lost", {{"dependency", "cache relay " + relay->name}, {"reason", failure.what()}});
            }
            this->context.state.skipRelay(relay->name);
            position = {};
            this->context.clock.sleepFor(RelayPause);
        }
    }
}

void CacheEventDuty::pollEvents(const std::string &name)
{
    int64_t next = 0;
    int64_t epoch = 0;
    bool wasReachable = true;
    Time nextListing{};
    Time lastUse = this->context.clock.now();
    while (!this->stopping.load()) {
        const std::vector<CacheStore> stores = this->context.cacheStores.stores();
        const auto store = std::find_if(stores.begin(), stores.end(), [&name](const CacheStore &candidate) { return candidate.name == name; });
        if (store == stores.end() || !this->shouldPoll(*store)) {
            // The contents are updated from another source meanwhile, so the position is no longer valid.
            next = 0;
            epoch = 0;
            if (this->context.clock.now() > lastUse + IdlePollTime) {
                return;
            }
            this->context.clock.sleepFor(SuperviseInterval);
            continue;
        }
        lastUse = this->context.clock.now();
        try {
            const Time askedAt = this->context.clock.nowWithSuspend();
            // The first poll returns at once, because no blocks are saved in a store before its epoch is known.
            const CacheEvents events = this->context.wire.pollCacheStore(store->address, epoch, next, epoch == 0 ? Duration(0) : PollWait);
            if (events.clockTime) {
                this->context.cacheStores.targetClock().record(*events.clockTime, this->context.clock.nowWithSuspend());
            }
            if (epoch != 0 && events.epoch != epoch) {
                this->applyEvents(name, {events.epoch, 0, false, {}});
                this->context.log.write(LogLevel::Warning, "cache_store_restarted",
                    {{"store", name}, {"epoch", events.epoch}, {"save_delay_ms", toMilliseconds(this->context.cacheStores.saveDelay(name))}});
                this->context.cacheStores.confirm(name, events.epoch, askedAt);
                epoch = events.epoch;
                next = 0;
                continue;
            }
            epoch = events.epoch;
            next = events.next;
            this->applyEvents(name, events);
            this->context.cacheStores.confirm(name, events.epoch, askedAt);
            if (events.hasGap && this->context.clock.now() >= nextListing) {
                nextListing = this->context.clock.now() + ListingInterval;
                const CacheEvents listing = this->context.wire.listCacheStore(store->address);
                this->applyEvents(name, listing);
                this->context.log.write(LogLevel::Info, "cache_store_listed", {{"store", name}, {"parts", listing.events.size()}, {"epoch", listing.epoch}});
            }
            if (!wasReachable) {
                wasReachable = true;
                this->context.cacheStores.setReachable(name, true);
                this->context.log.write(LogLevel::Info, "dependency_regained", {{"dependency", "cache store " + name}});
            }
        } catch (const Failure &failure) {
            if (wasReachable) {
                wasReachable = false;
                this->context.cacheStores.setReachable(name, false);
                this->context.log.write(LogLevel::Warning, "dependency_lost", {{"dependency", "cache store " + name}, {"reason", failure.what()}});
            }
            this->context.clock.sleepFor(FailurePause);
        }
    }
}

} // namespace pimentosail
