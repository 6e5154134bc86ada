#include <algorithm>

#include "pimentosail/base/hash.h"
#include "pimentosail/entry/storeduties.h"

namespace pimentosail
{

namespace
{

constexpr Duration PollWait = Milliseconds(1000);
constexpr Duration FailurePause = Milliseconds(400);
// A listing stalls the store, so events that are missing again soon after one are made up for by the next.
constexpr Duration ListingInterval = std::chrono::seconds(5);
constexpr Duration SuperviseInterval = Milliseconds(500);
// A rank among the hosts is left free: polls of a host that was replaced may still be held open.
constexpr int PollReserve = 2;
constexpr Duration RelayWait = Milliseconds(400);
// Changes of this long are taken together.
constexpr Duration RelayPause = Milliseconds(80);

} // namespace

CacheEventDuty::CacheEventDuty(EntryContext &entryContext, CacheJournal &cacheJournal, CacheRelay relayCall)
    : context(entryContext)
    , journal(cacheJournal)
    , askRelay(std::move(relayCall))
    , thread("cache-events", [this] { this->supervise(); })
    , relayThread("cache-relay", [this] { this->runRelay(); })
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
    this->followers.clear();
}

void CacheEventDuty::supervise()
{
    while (!this->stopping.load()) {
        for (const CacheStore &store : this->context.caches.stores()) {
            if (!this->followers.contains(store.name)) {
                auto follower = std::make_unique<DutyThread>("cache-store", [this, name = store.name] { this->follow(name); });
                follower->start();
                this->followers.emplace(store.name, std::move(follower));
            }
        }
        this->context.clock.sleepFor(SuperviseInterval);
    }
}

// A store holds only so many polls open; with more relays than that, those that hashing ranks first for it follow it.
bool CacheEventDuty::mayFollow(const CacheStore &store) const
{
    if (!this->context.state.readsFromSource()) {
        return false;
    }
    std::vector<std::string> readers;
    const std::vector<HostEntry> relays = this->context.state.relays();
    for (const HostEntry &host : relays.empty() ? this->context.state.hosts() : relays) {
        readers.push_back(host.name);
    }
    const int most = std::max(1, store.maxEventPolls - PollReserve);
    if (store.maxEventPolls == 0 || readers.size() <= static_cast<size_t>(most)) {
        return true;
    }
    const std::vector<std::string> order = rendezvousOrder(store.name, readers);
    return std::find(order.begin(), order.end(), this->context.settings.name) - order.begin() < most;
}

void CacheEventDuty::takeEvents(const std::string &name, const CacheEvents &events)
{
    this->context.caches.apply(name, events);
    this->journal.note(name, events);
}

void CacheEventDuty::takeChanges(const CacheChanges &changes)
{
    if (changes.isSnapshot) {
        this->context.caches.replace(changes.stores, changes.changes);
        this->context.log.write(LogLevel::Info, "cache_contents_copied", {{"stores", changes.stores.size()}, {"parts", changes.changes.size()}});
        return;
    }
    std::map<std::string, CacheEvents> byStore;
    for (const CacheStoreStatus &status : changes.stores) {
        byStore[status.store].epoch = status.epoch;
        this->context.caches.setReachable(status.store, status.isReachable);
    }
    for (const CacheChange &change : changes.changes) {
        CacheEvents &events = byStore[change.store];
        if (events.epoch == change.epoch) {
            events.events.push_back(change.event);
        }
    }
    for (const auto &[name, events] : byStore) {
        if (events.epoch != 0) {
            this->context.caches.apply(name, events);
        }
    }
}

void CacheEventDuty::runRelay()
{
    std::string known;
    int64_t position = 0;
    bool wasReachable = true;
    while (!this->stopping.load()) {
        const std::optional<HostEntry> relay = this->context.state.relay();
        if (this->context.state.readsFromSource() || !relay) {
            known.clear();
            this->context.clock.sleepFor(SuperviseInterval);
            continue;
        }
        try {
            const CacheChanges changes = this->askRelay(*relay, known, position, RelayWait);
            this->takeChanges(changes);
            known = changes.journal;
            position = changes.next;
            if (!wasReachable) {
                wasReachable = true;
                this->context.log.write(LogLevel::Info, "dependency_regained", {{"dependency", "cache relay " + relay->name}});
            }
            this->context.clock.sleepFor(RelayPause);
        } catch (const Failure &failure) {
            // What the stores hold may change unseen: nothing is read from them until a relay answers.
            for (const CacheStore &store : this->context.caches.stores()) {
                this->context.caches.setReachable(store.name, false);
            }
            if (wasReachable) {
                wasReachable = false;
                this->context.log.write(LogLevel::Warning, "dependency_lost", {{"dependency", "cache relay " + relay->name}, {"reason", failure.what()}});
            }
            this->context.state.skipRelay(relay->name);
            known.clear();
            this->context.clock.sleepFor(RelayPause);
        }
    }
}

void CacheEventDuty::follow(const std::string &name)
{
    int64_t next = 0;
    int64_t epoch = 0;
    bool wasReachable = true;
    Time nextListing{};
    while (!this->stopping.load()) {
        const std::vector<CacheStore> stores = this->context.caches.stores();
        const auto store = std::find_if(stores.begin(), stores.end(), [&name](const CacheStore &candidate) { return candidate.name == name; });
        if (store == stores.end() || !this->mayFollow(*store)) {
            // What is learnt elsewhere meanwhile makes this position meaningless.
            next = 0;
            epoch = 0;
            this->context.clock.sleepFor(SuperviseInterval);
            continue;
        }
        try {
            // The first poll is not held open: nothing is saved in a store before it is known.
            const CacheEvents events = this->context.wire.pollCacheStore(store->address, next, epoch == 0 ? Duration(0) : PollWait);
            if (epoch != 0 && events.epoch != epoch) {
                this->context.log.write(LogLevel::Warning, "cache_store_restarted", {{"store", name}, {"epoch", events.epoch}});
                this->takeEvents(name, {events.epoch, 0, false, {}});
                epoch = events.epoch;
                next = 0;
                continue;
            }
            epoch = events.epoch;
            next = events.next;
            this->takeEvents(name, events);
            if (events.hasGap && this->context.clock.now() >= nextListing) {
                nextListing = this->context.clock.now() + ListingInterval;
                const CacheEvents listing = this->context.wire.listCacheStore(store->address);
                this->takeEvents(name, listing);
                this->context.log.write(LogLevel::Info, "cache_store_listed", {{"store", name}, {"parts", listing.events.size()}, {"epoch", listing.epoch}});
            }
            if (!wasReachable) {
                wasReachable = true;
                this->context.caches.setReachable(name, true);
                this->context.log.write(LogLevel::Info, "dependency_regained", {{"dependency", "cache store " + name}});
            }
        } catch (const Failure &failure) {
            if (wasReachable) {
                wasReachable = false;
                this->context.caches.setReachable(name, false);
                this->context.log.write(LogLevel::Warning, "dependency_lost", {{"dependency", "cache store " + name}, {"reason", failure.what()}});
            }
            this->context.clock.sleepFor(FailurePause);
        }
    }
}

} // namespace pimentosail
