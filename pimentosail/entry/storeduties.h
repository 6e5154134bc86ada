// Duties towards the platform's store and the cache stores: this host's entry and its observations, the weights
// rollout, and the cache stores' change events.
#pragma once

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "pimentosail/base/duty.h"
#include "pimentosail/entry/context.h"
#include "pimentosail/kvcache/cachejournal.h"
#include "pimentosail/mirror/storemirror.h"
#include "pimentosail/rollout/announcement.h"
#include "pimentosail/rollout/rollout.h"

namespace pimentosail
{

// Keeps this host's entry alive under a lease and publishes its observations.
class HostDuty
{
public:
    HostDuty(EntryContext &entryContext, PrefixStore platformStore, const StoreMirror &storeMirror);
    ~HostDuty();

    void start();

    // Ends the duty and removes this host's entry.
    void stop();

private:
    void run();
    void renew();
    void publishObservations();
    void publishVersionTimes();

    EntryContext &context;
    PrefixStore store;
    const StoreMirror &mirror;
    int64_t lease = 0;
    bool isWritten = false;
    size_t publishedLosses = 0;
    std::atomic<bool> stopping{false};
    DutyThread thread;
};

// Holds the right to give orders, if this host can get it, and brings targets to the wanted versions.
//
// The right is a key under a lease. It is trusted only for the lease's life after the start of the last renewal, on a
// clock that counts suspension, and checked again right before each order.
class RolloutDuty
{
public:
    RolloutDuty(EntryContext &entryContext, PrefixStore platformStore, const StoreMirror &storeMirror);
    ~RolloutDuty();

    void start();

    // Ends the duty and gives the right up.
    void stop();

private:
    // A target that was ordered to load.
    struct Loading
    {
        TargetPointer target;
        std::string model;
        int64_t version = 0;
        int64_t orderCount = 0;
        Time preparedAt{};
        Time orderedAt{};
        Time nextReport{};
        bool isOrdered = false;
        bool isAnswered = false;
    };

    void run();
    void keepRight();
    void tryTakeRight();
    void dropRight(const char *reason);
    void settleRight();
    bool mayOrder() const;
    void advance();
    void checkLoading();
    void freeOldParts();
    std::vector<TargetView> targetsOf(const std::string &model) const;
    int64_t oldestInUse(const std::string &model, Time now) const;
    void startLoads(const std::string &model, int64_t version);
    void orderPrepared();
    void orderOne(Loading &loading);
    // Announces which targets load, before they are ordered. Returns false if that is not certain.
    bool publish();

    EntryContext &context;
    PrefixStore store;
    const StoreMirror &mirror;
    std::string nonce;
    int64_t lease = 0;
    int64_t fence = 0;
    // On the clock that counts suspension.
    Time trustedUntil{};
    // Orders are given only from this time, and within a short time of their announcement.
    Time mayOrderFrom{};
    Time announcedAt{};
    Time nextRenewal{};
    // When nobody was first seen to hold the right; zero if somebody holds it.
    Time vacantSince{};
    std::map<std::string, Loading> loading;
    std::deque<FinishedLoad> finished;
    std::vector<std::string> released;
    std::map<std::string, Time> excludedUntil;
    Time nextFreeing{};
    // Since when no work may begin on the weights that a salt of cached parts belongs to.
    std::map<std::string, Time> unusedSince;
    std::atomic<bool> stopping{false};
    DutyThread thread;
};

// Asks a relay for changes of the cache stores. Throws `Failure` (PeerLost).
using CacheRelay = std::function<CacheChanges(const HostEntry &relay, const std::string &journal, int64_t position, Duration wait)>;

// Follows the change events of every cache store, one thread for each, or those of a relay.
class CacheEventDuty
{
public:
    CacheEventDuty(EntryContext &entryContext, CacheJournal &cacheJournal, CacheRelay relayCall);
    ~CacheEventDuty();

    void start();
    void stop();

private:
    void supervise();
    void follow(const std::string &name);
    void takeEvents(const std::string &name, const CacheEvents &events);
    void runRelay();
    void takeChanges(const CacheChanges &changes);
    bool mayFollow(const CacheStore &store) const;

    EntryContext &context;
    CacheJournal &journal;
    CacheRelay askRelay;
    std::atomic<bool> stopping{false};
    std::map<std::string, std::unique_ptr<DutyThread>> followers;
    DutyThread thread;
    DutyThread relayThread;
};

} // namespace pimentosail
