// Runs the decision core on a thread of its own. Other threads send it messages through a bounded ring and get the
// commands for their request through a ring of the request.
//
//     std::shared_ptr<RequestSlot> slot = decisions.submit(request);   // throws Failure(Overloaded)
//     std::optional<Command> command = slot->commands.pop(Milliseconds(50));
//     decisions.post(AttemptEnded{request.id, AttemptOutcome::Finished});
//
// Thread-safe.
#pragma once

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <unordered_map>

#include "pimentosail/base/boundedring.h"
#include "pimentosail/base/duty.h"
#include "pimentosail/decision/scheduler.h"
#include "pimentosail/peer/heartbeat.h"

namespace pimentosail
{

// The commands for one request.
struct RequestSlot
{
    BoundedRing<Command> commands{16};
};

// Targets named by a request; the decision thread looks them up.
struct PlacementNames
{
    // Target chosen by an upstream host; empty lets the core choose.
    std::string pinned;
    std::vector<std::string> avoid;
};

// The targets, models and stores as configured and listed now.
struct FleetUpdate
{
    std::vector<TargetDescription> targets;
    std::vector<Model> models;
    std::vector<std::string> stores;
};

class DecisionDuty
{
public:
    // Told about background copies that the core asks for.
    using ExportHandler = std::function<void(const Export &)>;

    DecisionDuty(Clock &runtimeClock, Scheduler::Options options, Policy policy, ExportHandler exportHandler);

    void start();
    void stop();

    // Gives a new request to the core. Throws `Failure` (Overloaded) if the ring is full.
    std::shared_ptr<RequestSlot> submit(const RequestInfo &request, const PlacementNames &names);

    // Gives a request back to the core for another attempt; its commands come through the same slot.
    void resubmit(const RequestInfo &request, const PlacementNames &names, const std::shared_ptr<RequestSlot> &slot);

    // Ends a request's use of its slot.
    void retire(RequestId id);

    // Gives an event to the core.
    void post(const Event &event);

    // Runs `action` on the decision thread, without waiting, and carries out the commands that it returns.
    void withScheduler(std::function<std::vector<Command>(Scheduler &scheduler, Time now)> action);

    // Gives the core a new description of the fleet.
    void describe(FleetUpdate update);

    // Gives the core the target summaries of the host `from`.
    void remoteSummaries(const std::string &from, std::vector<TargetSummary> summaries);

    // Calls `visit` on the decision thread and waits for it, at most two seconds.
    void inspect(const std::function<void(Scheduler &scheduler)> &visit);

    // Returns the summaries of the targets that this host owns, for heartbeats.
    std::vector<TargetSummary> ownSummaries() const;

private:
    struct Submitted
    {
        RequestInfo request;
        PlacementNames names;
        std::shared_ptr<RequestSlot> slot;
    };
    struct Retired
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
    using Message = std::variant<Submitted, Retired, Event, FleetUpdate, RemoteSummaries, Inspection, Action>;

    void run();
    void on(const Submitted &message, Time now);
    void on(const Retired &message, Time now);
    void on(const Event &message, Time now);
    void on(const FleetUpdate &message, Time now);
    void on(const RemoteSummaries &message, Time now);
    void on(const Inspection &message, Time now);
    void on(const Action &message, Time now);
    void deliver(const std::vector<Command> &commands);
    void publishSummaries(Time now);

    Clock &clock;
    Scheduler scheduler;
    ExportHandler onExport;
    BoundedRing<Message> ring;
    std::unordered_map<RequestId, std::shared_ptr<RequestSlot>> slots;
    std::unordered_map<uint32_t, TargetIndex> byNameHash;
    mutable std::mutex summariesMutex;
    std::vector<TargetSummary> summaries;
    std::atomic<bool> stopping{false};
    DutyThread thread;
};

} // namespace pimentosail
