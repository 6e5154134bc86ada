// Duties (threads) that use the platform's key-value store and the cache stores: they keep this host's entry alive and
// publish its observations, roll out new weights, and follow the change events of the cache stores.
//
//     HostDuty duty(context, store, mirror);
//     duty.start();
//     duty.stop();
//
// Failures of a store are counted or logged, and the duty tries again. `start` and `stop` are called by one thread.
#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <json/value.h>

#include "pimentosail/base/duty.h"
#include "pimentosail/entry/context.h"
#include "pimentosail/entry/rolloutleadership.h"
#include "pimentosail/kvcache/cachejournal.h"
#include "pimentosail/mirror/storemirror.h"
#include "pimentosail/rollout/announcement.h"
#include "pimentosail/rollout/loadtime.h"
#include "pimentosail/rollout/rollout.h"
#include "pimentosail/rollout/versionage.h"

namespace pimentosail
{

// Keeps this host's entry in the store alive under a lease, and publishes its observations and when versions were set.
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
    // Compares this host's entry with the mirror's. Returns false if the store has lost or replaced it; it is then to be written under a new
    // lease. If the store came back from a copy that has it, takes its lease over into the new era.
    bool checkEntry();
    void renew();
    Json::Value observations() const;
    bool hasLostObservations();
    bool publishObservations();
    uint64_t observationChanges() const;
    void publishVersionTimes();
    // Writes the age marks of a version. `name` is MODEL/VERSION.
    void publishVersionTime(const std::string &name, const TimeBounds &setTime);
    // Corrects the records of versions whose age marks are removed late, if this host knows better when the versions were set.
    void correctVersionTimes();
    void correctVersionTime(const StoredItem &item, const AgeRecord &corrected);
    // Publishes in which epochs cache stores are open for saves, for hosts that start later.
    void publishCacheEpochs();
    void publishCacheEpoch(const std::string &cacheStore, int64_t epoch);

    EntryContext &context;
    PrefixStore store;
    const StoreMirror &mirror;
    StoreLease lease;
    // The store has accepted the entry, as `entryValue`; `entryPosition` is the position of that write.
    bool isWritten = false;
    StorePosition entryPosition;
    std::string entryValue;
    // The store refused the last renewal, and the mirror has not shown why.
    bool isLeaseRefused = false;
    uint64_t publishedChanges = 0;
    // Era of the store in which it is known whether the store has the observations, and whether it has lost them.
    int64_t observationsEra = 0;
    bool areObservationsLost = false;
    // Times of `Clock::nowWithSuspend`.
    Time nextVersionRecord{};
    // Since when this host has seen that age marks are late, by MODEL/VERSION.
    std::map<std::string, Time> lateMarksSince;
    // Since when this host has seen that the record of a cache store's open epoch is missing, and when it may write one again.
    std::map<std::string, Time> missingEpochsSince;
    Time nextEpochRecord{};
    std::atomic<bool> stopping{false};
    DutyThread thread;
};

// Orders targets to load the wanted weight versions while this host has the rollout leadership.
class RolloutDuty
{
public:
    RolloutDuty(EntryContext &entryContext, PrefixStore platformStore, const StoreMirror &storeMirror);
    ~RolloutDuty();

    void start();

    // Ends the duty and gives up the leadership.
    void stop();

    const RolloutLeadership &rolloutLeadership() const
    {
        return this->leadership;
    }

private:
    enum class TargetCallKind {
        // Fetches the target's report and sends a load order if the target needs it.
        Order,
        // Fetches the target's report.
        Report
    };

    // A call to a target, in a thread of its own so that a target that does not answer delays no other.
    struct TargetCall
    {
        explicit TargetCall(TargetCallKind callKind)
            : kind(callKind)
        {
        }

        const TargetCallKind kind;
        std::atomic<bool> hasEnded{false};
        std::unique_ptr<DutyThread> thread;
    };

    // A load that is prepared (announced to the other hosts) or ordered, and whose end is not known yet. While `call` is set, only its thread
    // uses the members up to `report`, apart from those that the call does not change.
    struct PendingLoad
    {
        bool isInCall() const
        {
            return this->call != nullptr;
        }

        // Returns true if the load counts among those that load in time.
        bool occupiesPlace() const
        {
            return this->isInCall() || (this->isOrdered && !this->isLate);
        }

        TargetPointer target;
        std::string model;
        int64_t version = 0;
        int64_t orderCount = 0;
        Time preparedAt{};
        Time orderedAt{};
        Time nextReport{};
        bool isOrdered = false;
        OrderOutcome outcome = OrderOutcome::Unknown;
        int64_t ordersSent = 0;
        // The last call sent an order.
        bool sentOrder = false;
        // Time of the last status query, and the number of answered ones.
        Time queriedAt{};
        int64_t queries = 0;
        // The load's first order was accepted, so the time until its end shows how long a load takes; its first query may be a probe.
        bool isTimed = false;
        bool isProbe = false;
        // The order was not answered, and the target's report does not show it: it may be carried out later. Until then the
        // target serves requests and is not announced as loading.
        bool isOutstanding = false;
        // The order is or was outstanding: its load counts against the bound of unfinished loads only.
        bool isLate = false;
        // The last report, or empty with the reason in `reportError`.
        std::optional<TargetWeightsReport> report;
        std::string reportError;
        // Set from the start of a call until its result is evaluated. Destroyed first, which waits for the end of the call.
        std::unique_ptr<TargetCall> call;
    };

    void run();
    bool mayOrder() const;
    void advance();
    void checkPendingLoads();
    void freeOutdatedBlocks();
    std::vector<TargetView> targetsOf(const std::string &model) const;
    int64_t oldestInUse(const std::string &model) const;
    void prepareLoads(const std::string &model, int64_t version);
    void sendDueOrders();
    bool isOrderDue(const PendingLoad &load, Time now, int64_t occupied, int64_t maxLoads) const;
    void sendOrder(PendingLoad &load);
    void fetchReport(PendingLoad &load);
    void startCall(PendingLoad &load, TargetCallKind kind);
    size_t freeCalls() const;
    void collectCalls();
    // Evaluates an ended call that was to send a load order.
    void evaluateOrder(PendingLoad &load);
    bool isReportDue(const PendingLoad &load, Time now);
    void recordQuery(PendingLoad &load, bool isDone);
    // Evaluates the last report of a load. Returns false if the load has ended.
    bool evaluateReport(PendingLoad &load, Time now);
    void endTiming(PendingLoad &load);
    void finishLoad(PendingLoad &load, Time now, const char *reasonGivenUp);
    // Announces the pending and finished loads to the other hosts. Returns false if it is not certain that the store has
    // the announcement; then no load order that depends on it may be sent.
    bool publishAnnouncement();
    RolloutAnnouncement announcement() const;
    std::vector<std::string> pendingTargets() const;

    EntryContext &context;
    RolloutLeadership leadership;
    // By target id.
    std::map<std::string, PendingLoad> pendingLoads;
    std::deque<FinishedLoad> finished;
    std::vector<std::string> released;
    std::map<std::string, Time> excludedUntil;
    // By model.
    std::map<std::string, LoadTime> loadTimes;
    // The announcement is to change.
    bool hasNews = false;
    Time nextPlanning{};
    Time nextFreeing{};
    // Time since which no request may start on the weights that a cache salt belongs to, by salt.
    std::map<std::string, Time> unusedSince;
    std::atomic<bool> stopping{false};
    DutyThread thread;
};

// Fetches changes of the cache stores from a relay. Throws `Failure` (PeerLost).
using CacheRelayCall = std::function<CacheChanges(const HostEntry &relay, const JournalPosition &position, Duration wait)>;

// Keeps track of the contents of the cache stores. A host that reads from the source polls the change events of each
// cache store in a thread of its own; a follower polls a relay and has no such threads.
class CacheEventDuty
{
public:
    CacheEventDuty(EntryContext &entryContext, CacheJournal &cacheJournal, CacheRelayCall relayCall);
    ~CacheEventDuty();

    void start();
    void stop();

private:
    // The thread that polls one cache store while this host is to poll it.
    struct PollThread
    {
        std::atomic<bool> hasEnded{false};
        std::unique_ptr<DutyThread> thread;
    };

    void supervise();
    void superviseStore(const CacheStore &store);
    void pollEvents(const std::string &name);
    void applyEvents(const std::string &name, const CacheEvents &events);
    void pollRelay();
    void applyChanges(const CacheChanges &changes);
    bool shouldPoll(const CacheStore &store) const;

    EntryContext &context;
    CacheJournal &journal;
    CacheRelayCall fetchChanges;
    std::atomic<bool> stopping{false};
    // By cache store. Used by the supervising thread, and by `stop` after it has ended.
    std::map<std::string, std::unique_ptr<PollThread>> pollThreads;
    DutyThread thread;
    DutyThread relayThread;
};

} // namespace pimentosail
