// The decision core of one entry host: admission, routing, preemption, health and cache placement.
//
// The caller passes in events with the time at which they happened and executes the commands that `handle` returns. The core
// does no I/O, reads no clock and uses only seeded randomness, so that the daemon, the benchmark and the randomised tests run
// the same code and runs can be repeated. Refused requests are reported as `Refuse` commands, not by exceptions.
//
//     Scheduler scheduler(Scheduler::Options{}, *policyFromName("predicted"));
//     scheduler.describeTarget(description, now);
//     std::vector<Command> commands = scheduler.handle(RequestArrived{request}, now);
//
// Not thread-safe: one thread owns it.
#pragma once

#include <functional>
#include <map>
#include <unordered_map>

#include "pimentosail/decision/policy.h"
#include "pimentosail/decision/returnmodel.h"
#include "pimentosail/decision/waitingqueue.h"

namespace pimentosail
{

// A recent decision, for dumps: the predicted and the actual time to first token.
struct DecisionRecord
{
    RequestId id = 0;
    std::string target;
    SourceKind source = SourceKind::Recompute;
    Duration predicted{};
    Duration actual{-1};
};

// Counts of decisions since the start.
struct SchedulerCounts
{
    long dispatched = 0;
    long forwarded = 0;
    long refusedDeadline = 0;
    long refusedNoTarget = 0;
    long refusedFull = 0;
    long preempted = 0;
    long exports = 0;
    long imports = 0;
    int64_t promptTokens = 0;
    int64_t computedTokens = 0;
};

class Scheduler
{
public:
    // Switches of single mechanisms, each with an ablation in the benchmark, and limits.
    struct Options
    {
        // Preempts batch requests for interactive ones that find no free slot.
        bool preemption = true;
        // Keeps one slot of each target free of batch work.
        bool batchReserve = true;
        // Refuses requests as soon as they are predicted to miss their first-token deadline.
        bool earlyRefusal = true;
        // Adds a margin to predictions for first tokens that have recently arrived late.
        bool latenessMargin = true;
        bool exports = true;
        // Exports only prompts whose expected saving is worth the transfer; otherwise every finished prompt is exported.
        bool valueExports = true;
        // Waiting requests; more are refused as overloaded.
        size_t maxQueue = 20'000;
        // Prompts whose cache locations are recorded.
        size_t maxPrompts = 200'000;
    };

    Scheduler(Options schedulerOptions, Policy routingPolicy);

    // Adds or updates a target; returns its index.
    TargetIndex describeTarget(const TargetDescription &description, Time now);

    // Sets the configured models; requests for other models are refused.
    void setModels(std::vector<Model> models);

    // Adds a cache store if it is new; returns its index.
    StoreIndex describeStore(const std::string &name);

    // Handles one event and returns the commands to execute, in order.
    std::vector<Command> handle(const Event &event, Time now);

    const TargetTable &targets() const
    {
        return this->table;
    }
    const SchedulerCounts &counts() const
    {
        return this->counters;
    }
    const std::vector<DecisionRecord> &recentDecisions() const
    {
        return this->recent;
    }
    size_t waitingCount() const
    {
        return this->waiting.size();
    }
    size_t runningCount() const
    {
        return this->running.size();
    }
    size_t promptCount() const
    {
        return this->prompts.size();
    }
    const PromptRecord *prompt(uint64_t key)
    {
        return this->prompts.find(key);
    }

    // Returns the requests in flight on a target; they become suspects if it dies.
    std::vector<RequestId> inFlightOn(TargetIndex target) const;

    // Returns the name of a store.
    const std::string &storeName(StoreIndex store) const
    {
        return this->storeNames.at(static_cast<size_t>(store));
    }

    // Returns the probability that a prompt of `team`, last used `age` ago, is used again within the next `horizon`: from
    // `knownReturn` if it is given (benchmarks only), otherwise estimated from the team's earlier prompts.
    double returnProbability(const std::string &team, Duration age, Duration horizon, std::optional<Duration> knownReturn) const;

private:
    struct RunningRequest
    {
        RequestInfo request;
        PlacementChoice choice;
        Time dispatchedAt{};
        int64_t pendingTokens = 0;
        bool firstTokenSeen = false;
        // True if no other prompt waited for prefill on the target at dispatch.
        bool queueWasEmpty = false;
        bool preempting = false;
    };
    using Commands = std::vector<Command>;

    void on(const RequestArrived &event, Time now, Commands &out);
    void on(const FirstTokenSeen &event, Time now, Commands &out);
    void on(const AttemptEnded &event, Time now, Commands &out);
    void on(const RequestWithdrawn &event, Time now, Commands &out);
    void on(const TargetReported &event, Time now, Commands &out);
    void on(const RemoteTargetReported &event, Time now, Commands &out);
    void on(const BlockEvicted &event, Time now, Commands &out);
    void on(const TargetUnreachable &event, Time now, Commands &out);
    void on(const StoreCopyChanged &event, Time now, Commands &out);
    void on(const LinkReported &event, Time now, Commands &out);
    void on(const ClockTicked &event, Time now, Commands &out);

    const Model *findModel(const std::string &name) const;
    Priority effectivePriority(const RequestInfo &request, Time now) const;
    bool hasSlot(TargetIndex target, const RequestInfo &request, Priority priority, Time now) const;
    std::vector<TargetIndex> candidatesFor(const RequestInfo &request, Time now) const;
    std::vector<TargetIndex> consideredTargets(const RequestInfo &request, const std::vector<TargetIndex> &serving) const;
    bool tryDispatch(const RequestInfo &request, Time now, Commands &out);
    void dispatch(const RequestInfo &request, const PlacementChoice &choice, Time now, Commands &out);
    void recordImport(const RequestInfo &request, const PlacementChoice &choice);
    bool cannotMeetDeadline(const RequestInfo &request, Duration predicted, Time now) const;
    bool preemptFor(const RequestInfo &request, Time now, Commands &out);
    std::optional<Error> refusalFor(const RequestInfo &request, Time now) const;
    void dispatchWaiting(Time now, Commands &out);
    void promoteBatch(Time now);
    bool hasFreeSlot(Time now) const;
    void release(RunningRequest &running);
    void updateSlotSeconds(double seconds);
    void updateLateness(double seconds);
    Duration lateness() const;
    void recordAndExport(const RunningRequest &finished, Time now, Commands &out);
    void recordDecision(const DecisionRecord &record);

    Options options;
    Policy policy;
    TargetTable table;
    PromptTable prompts;
    ReturnModel returns;
    std::vector<Model> models;
    std::vector<std::string> storeNames;
    std::vector<std::array<LinkState, TierCount>> links;
    WaitingQueue waiting;
    Time nextPromotion{};
    std::unordered_map<RequestId, RunningRequest> running;
    std::vector<DecisionRecord> recent;
    size_t nextRecentSlot = 0;
    // Smoothed time that a request occupies its slot; 0 until one has finished.
    double slotSeconds = 0;
    // Smoothed time by which first tokens of interactive requests are later than predicted; early ones count as 0.
    double latenessSeconds = 0;
    SchedulerCounts counters;
};

} // namespace pimentosail
