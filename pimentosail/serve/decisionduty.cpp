#include "pimentosail/serve/decisionduty.h"

#include <algorithm>
#include <numeric>

namespace pimentosail
{

namespace
{

constexpr size_t MessageCapacity = 20'000;
constexpr Duration TickInterval = Milliseconds(20);
constexpr auto InspectTimeout = std::chrono::seconds(2);

} // namespace

DecisionDuty::DecisionDuty(Clock &runtimeClock, Scheduler::Options options, Policy policy, ExportHandler onExport)
    : clock(runtimeClock)
    , scheduler(options, std::move(policy))
    , exportHandler(std::move(onExport))
    , messages(MessageCapacity)
    , thread("decision", [this] { this->run(); })
{
}

void DecisionDuty::start()
{
    this->thread.start();
}

void DecisionDuty::stop()
{
    this->stopping.store(true);
    this->messages.close();
    this->thread.join();
}

std::shared_ptr<CommandQueue> DecisionDuty::submit(const RequestInfo &request, const PlacementConstraints &constraints)
{
    auto queue = std::make_shared<CommandQueue>();
    if (!this->messages.tryPush(Submitted{request, constraints, queue})) {
        throw Failure(ErrorKind::Overloaded, "too many requests wait for a decision");
    }
    return queue;
}

void DecisionDuty::resubmit(const RequestInfo &request, const PlacementConstraints &constraints, const std::shared_ptr<CommandQueue> &queue)
{
    this->messages.push(Submitted{request, constraints, queue});
}

void DecisionDuty::withdraw(RequestId id)
{
    this->messages.push(Withdrawn{id});
}

void DecisionDuty::post(const Event &event)
{
    this->messages.push(event);
}

void DecisionDuty::updateFleet(FleetUpdate update)
{
    this->messages.push(std::move(update));
}

void DecisionDuty::receiveSummaries(const std::string &from, std::vector<TargetSummary> received)
{
    this->messages.push(RemoteSummaries{from, std::move(received)});
}

void DecisionDuty::inspect(const std::function<void(Scheduler &)> &visit)
{
    auto done = std::make_shared<std::promise<void>>();
    std::future<void> finished = done->get_future();
    // The message holds copies of `visit` and `done`, so that the decision thread may use them after a timeout here.
    if (this->messages.push(Inspection{visit, done})) {
        finished.wait_for(InspectTimeout);
    }
}

std::vector<TargetSummary> DecisionDuty::ownSummaries() const
{
    const std::lock_guard lock(this->summariesMutex);
    return this->summaries;
}

void DecisionDuty::run()
{
    Time nextTick = this->clock.now();
    while (!this->stopping.load()) {
        const std::optional<Message> message = this->messages.pop(TickInterval);
        const Time now = this->clock.now();
        if (message) {
            std::visit([&](const auto &typed) { this->on(typed, now); }, *message);
        }
        if (now >= nextTick) {
            this->deliver(this->scheduler.handle(ClockTicked{}, now));
            this->publishSummaries(now);
            nextTick = now + TickInterval;
        }
    }
}

void DecisionDuty::on(const Submitted &message, Time now)
{
    RequestInfo request = message.request;
    request.pinnedTarget = message.constraints.pinnedTarget.empty() ? NoTarget : this->scheduler.targets().find(message.constraints.pinnedTarget);
    request.excludedTargets.clear();
    for (const std::string &name : message.constraints.excludedTargets) {
        request.excludedTargets.push_back(this->scheduler.targets().find(name));
    }
    this->queues[request.id] = message.queue;
    if (!message.constraints.pinnedTarget.empty() && request.pinnedTarget == NoTarget) {
        message.queue->commands.tryPush(Refuse{request.id, Error(ErrorKind::NotOwner, "target '" + message.constraints.pinnedTarget + "' is not known here")});
        return;
    }
    this->deliver(this->scheduler.handle(RequestArrived{std::move(request)}, now));
}

void DecisionDuty::on(const Withdrawn &message, Time now)
{
    this->deliver(this->scheduler.handle(RequestWithdrawn{message.id}, now));
    this->queues.erase(message.id);
}

void DecisionDuty::on(const Event &message, Time now)
{
    this->deliver(this->scheduler.handle(message, now));
}

void DecisionDuty::on(const FleetUpdate &message, Time now)
{
    this->scheduler.setModels(message.models);
    for (const std::string &store : message.stores) {
        this->scheduler.describeStore(store);
    }
    for (const TargetDescription &description : message.targets) {
        const TargetIndex index = this->scheduler.describeTarget(description, now);
        this->targetsByNameHash[targetNameHash(description.name)] = index;
    }
}

void DecisionDuty::on(const RemoteSummaries &message, Time now)
{
    for (const TargetSummary &summary : message.summaries) {
        const auto found = this->targetsByNameHash.find(summary.nameHash);
        if (found == this->targetsByNameHash.end()) {
            continue;
        }
        const TargetDescription &description = this->scheduler.targets().at(found->second).description;
        if (!description.remote || description.owner != message.from) {
            continue;
        }
        RemoteTargetReported event;
        event.target = found->second;
        event.inFlight = summary.inFlight;
        event.usableSlots = summary.usableSlots;
        event.queuedTokens = summary.queuedTokens;
        event.interactiveTokens = summary.interactiveTokens;
        event.cold = summary.cold;
        event.evictionAge = std::chrono::seconds(summary.evictionAgeSeconds);
        event.prefillTokensPerSecond = summary.prefillRate;
        this->deliver(this->scheduler.handle(event, now));
    }
}

void DecisionDuty::on(const Inspection &message, Time /*now*/)
{
    message.visit(this->scheduler);
    message.done->set_value();
}

void DecisionDuty::withScheduler(std::function<std::vector<Command>(Scheduler &, Time)> action)
{
    this->messages.push(Action{std::move(action)});
}

void DecisionDuty::on(const Action &message, Time now)
{
    this->deliver(message.body(this->scheduler, now));
}

void DecisionDuty::deliver(const std::vector<Command> &commands)
{
    struct Delivery
    {
        DecisionDuty &duty;
        const Command &command;

        void toQueue(RequestId id) const
        {
            const auto found = this->duty.queues.find(id);
            if (found != this->duty.queues.end()) {
                found->second->commands.tryPush(this->command);
            }
        }
        void operator()(const Dispatch &dispatch) const
        {
            this->toQueue(dispatch.id);
        }
        void operator()(const Refuse &refuse) const
        {
            this->toQueue(refuse.id);
        }
        void operator()(const Preempt &preempt) const
        {
            this->toQueue(preempt.id);
        }
        void operator()(const Export &copy) const
        {
            this->duty.exportHandler(copy);
        }
    };
    for (const Command &command : commands) {
        std::visit(Delivery{*this, command}, command);
    }
}

void DecisionDuty::publishSummaries(Time now)
{
    std::vector<TargetSummary> current;
    const TargetTable &targets = this->scheduler.targets();
    for (size_t index = 0; index < targets.size(); ++index) {
        const auto target = static_cast<TargetIndex>(index);
        const Target &state = targets.at(target);
        if (state.description.remote) {
            continue;
        }
        TargetSummary summary;
        summary.nameHash = targetNameHash(state.description.name);
        summary.inFlight = static_cast<uint16_t>(targets.inFlight(target, now));
        const bool isUsable = targets.usabilityOf(target, 0, now) == TargetUsability::Usable;
        summary.usableSlots = static_cast<uint16_t>(isUsable ? targets.limit(target, now) : 0);
        summary.queuedTokens = static_cast<uint32_t>(std::accumulate(state.pendingTokens.begin(), state.pendingTokens.end(), int64_t{0}));
        summary.interactiveTokens = static_cast<uint32_t>(state.pendingTokens.at(static_cast<size_t>(Priority::Interactive)));
        summary.cold = state.report.cold || state.coldByEvidence;
        summary.evictionAgeSeconds = state.evictedBefore < Time(0) ? -1 : static_cast<int32_t>(toSeconds(now - state.evictedBefore));
        summary.prefillRate = static_cast<uint32_t>(targets.prefillRate(target));
        current.push_back(summary);
    }
    const std::lock_guard lock(this->summariesMutex);
    this->summaries = std::move(current);
}

} // namespace pimentosail
