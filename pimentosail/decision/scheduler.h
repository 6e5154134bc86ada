// The decision core of one entry host: admission, routing, preemption, health and cache placement.
//
// Events go in with the time at which they happened; commands come out. The core does no I/O, reads no clock and
// draws no unseeded randomness, so that the daemon, the benchmark and the randomised tests run the same code.
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

// A recent decision, for dumps: what was predicted and what came.
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
    // Switches of the policy, each with an ablation in the benchmark.
    struct Options
    {
        bool preemption = true;
        // Keeps one slot of each target free of batch work.
        bool batchReserve = true;
        bool earlyRefusal = true;
        // Allows for how late first tokens have lately come.
        bool latenessMargin = true;
        bool exports = true;
        // Exports by expected return; otherwise every finished prompt is exported.
        bool valueExports = true;
        size_t maxQueue = 20'000;
        size_t maxPrompts = 200'000;
    };

    Scheduler(Options schedulerOptions, Policy routingPolicy);

    // Adds or updates a target; returns its index.
    TargetIndex describeTarget(const TargetDescription &description, Time now);

    // Sets the models; requests for others are refused.
    void setModels(std::vector<Model> models);

    // Adds or updates a store's place in the table; returns its index.
    StoreIndex describeStore(const std::string &name);

    // Handles one event.
    std::vector<Command> handle(const Event &event, Time now);

    const TargetTable &targets() const
    {
        return this->table;
    }
    const SchedulerCounts &counts() const
    {
        return this->tally;
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

    // Returns the requests in flight on a target, for suspicion after its death.
    std::vector<RequestId> inFlightOn(TargetIndex target) const;

    // Returns the name of a store.
    const std::string &storeName(StoreIndex store) const
    {
        return this->storeNames.at(static_cast<size_t>(store));
    }

    // Returns the expected seconds saved for each byte of keeping a copy for another `horizon`.
    double copyValue(const std::string &team, Duration age, Duration horizon, std::optional<Duration> knownReturn) const;

private:
    struct Running
    {
        RequestInfo request;
        Choice choice;
        Time dispatchedAt{};
        int64_t pendingTokens = 0;
        bool firstTokenSeen = false;
        // True if no other prompt waited on the target at dispatch.
        bool alone = false;
        bool preempting = false;
    };
    using Commands = std::vector<Command>;

    void on(const RequestArrived &event, Time now, Commands &out);
    void on(const FirstTokenSeen &event, Time now, Commands &out);
    void on(const AttemptEnded &event, Time now, Commands &out);
    void on(const RequestWithdrawn &event, Time now, Commands &out);
    void on(const TargetReported &event, Time now, Commands &out);
    void on(const RemoteTargetReported &event, Time now, Commands &out);
    void on(const PieceEvicted &event, Time now, Commands &out);
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
    void dispatch(const RequestInfo &request, const Choice &choice, Time now, Commands &out);
    void noteImport(const RequestInfo &request, const Choice &choice);
    bool cannotMeetDeadline(const RequestInfo &request, Duration predicted, Time now) const;
    bool preemptFor(const RequestInfo &request, Time now, Commands &out);
    std::optional<Error> refusalFor(const RequestInfo &request, Time now) const;
    void pump(Time now, Commands &out);
    void raiseBatch(Time now);
    bool hasFreeSlot(Time now) const;
    void release(Running &running);
    void noteSlotTime(double seconds);
    void noteLateness(double seconds);
    Duration lateness() const;
    void consider(const Running &finished, Time now, Commands &out);
    void rememberDecision(const DecisionRecord &record);

    Options options;
    Policy policy;
    TargetTable table;
    PromptTable prompts;
    ReturnModel returns;
    std::vector<Model> models;
    std::vector<std::string> storeNames;
    std::vector<std::array<LinkState, TierCount>> links;
    WaitingQueue waiting;
    Time nextRaise{};
    std::unordered_map<RequestId, Running> running;
    std::vector<DecisionRecord> recent;
    size_t nextRecent = 0;
    // Smoothed time that a request holds its slot; 0 until one has ended.
    double slotSeconds = 0;
    // Smoothed time by which first tokens come after their prediction; early ones count as 0.
    double latenessSeconds = 0;
    SchedulerCounts tally;
};

} // namespace pimentosail
