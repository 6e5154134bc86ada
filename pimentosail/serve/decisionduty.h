// Runs the decision core (`Scheduler`) on a thread of its own. Other threads send it messages through a bounded queue,
// and each request receives its commands through a queue of its own.
//
//     std::shared_ptr<CommandQueue> queue = decisions.submit(request, constraints);   // throws Failure(Overloaded)
//     std::optional<Command> command = queue->commands.pop(Milliseconds(50));
//     decisions.post(AttemptEnded{request.id, AttemptOutcome::Finished});
//
// Thread-safe.
#pragma once

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <unordered_map>

#include "pimentosail/base/boundedqueue.h"
#include "pimentosail/base/duty.h"
#include "pimentosail/decision/scheduler.h"
#include "pimentosail/peer/heartbeat.h"

namespace pimentosail
{

// The commands for one request.
struct CommandQueue
{
    BoundedQueue<Command> commands{16};
};

// Limits on the placement of a request, by target name; the decision thread looks the targets up.
struct PlacementConstraints
{
    // Target that the forwarding host has chosen; empty lets the core choose.
    std::string pinnedTarget;
    // Targets that the request is not to be placed on.
    std::vector<std::string> excludedTargets;
};

// The targets, models and cache stores that the configuration and the host list name now.
struct FleetUpdate
{
    std::vector<TargetDescription> targets;
    std::vector<Model> models;
    std::vector<std::string> stores;
};

class DecisionDuty
{
public:
    // Called on the decision thread with each background copy that the core commands.
    using ExportHandler = std::function<void(const Export &)>;

    DecisionDuty(Clock &runtimeClock, Scheduler::Options options, Policy policy, ExportHandler onExport);

    void start();
    void stop();

    // Gives a new request to the core and returns the queue of its commands. Throws `Failure` (Overloaded) if the message
    // queue is full.
    std::shared_ptr<CommandQueue> submit(const RequestInfo &request, const PlacementConstraints &constraints);

    // Gives a request to the core for another attempt; its commands come through the same queue.
    void resubmit(const RequestInfo &request, const PlacementConstraints &constraints, const std::shared_ptr<CommandQueue> &queue);

    // Withdraws a request from the core and removes its command queue.
    void withdraw(RequestId id);

    // Gives an event to the core.
    void post(const Event &event);

    // Runs `action` on the decision thread, without waiting for it, and delivers the commands that it returns.
    void withScheduler(std::function<std::vector<Command>(Scheduler &scheduler, Time now)> action);

    // Gives the core the current description of the fleet.
    void updateFleet(FleetUpdate update);

    // Gives the core the target summaries that the host `from` sent. Those of targets that `from` does not own are ignored.
    void receiveSummaries(const std::string &from, std::vector<TargetSummary> received);

    // Calls `visit` on the decision thread and waits for it, at most two seconds. After that it may still be called, so
    // that it must keep alive whatever it refers to.
    void inspect(const std::function<void(Scheduler &scheduler)> &visit);

    // Returns the summaries of the targets that this host owns, for heartbeats.
    std::vector<TargetSummary> ownSummaries() const;

private:
    struct Submitted
    {
        RequestInfo request;
        PlacementConstraints constraints;
        std::shared_ptr<CommandQueue> queue;
    };
    struct Withdrawn
    {
        RequestId id = 0;
    };
    struct RemoteSummaries
    {
        std::string from;
        std::vector<TargetSummary> summaries;
    };
    struct Action
    {
        std::function<std::vector<Command>(Scheduler &, Time)> body;
    };
    struct Inspection
    {
        std::function<void(Scheduler &)> visit;
        std::shared_ptr<std::promise<void>> done;
    };
    using Message = std::variant<Submitted, Withdrawn, Event, FleetUpdate, RemoteSummaries, Inspection, Action>;

    void run();
    void on(const Submitted &message, Time now);
    void on(const Withdrawn &message, Time now);
    void on(const Event &message, Time now);
    void on(const FleetUpdate &message, Time now);
    void on(const RemoteSummaries &message, Time now);
    void on(const Inspection &message, Time now);
    void on(const Action &message, Time now);
    void deliver(const std::vector<Command> &commands);
    void publishSummaries(Time now);

    Clock &clock;
    Scheduler scheduler;
    ExportHandler exportHandler;
    BoundedQueue<Message> messages;
    std::unordered_map<RequestId, std::shared_ptr<CommandQueue>> queues;
    std::unordered_map<uint32_t, TargetIndex> targetsByNameHash;
    mutable std::mutex summariesMutex;
    std::vector<TargetSummary> summaries;
    std::atomic<bool> stopping{false};
    DutyThread thread;
};

} // namespace pimentosail
