#include "pimentosail/serve/decisionduty.h"

#include <algorithm>
#include <numeric>

namespace pimentosail
{

namespace
{

constexpr size_t RingCapacity = 20'000;
constexpr Duration TickInterval = Milliseconds(20);
constexpr auto InspectTimeout = std::chrono::seconds(2);

} // namespace

DecisionDuty::DecisionDuty(Clock &runtimeClock, Scheduler::Options options, Policy policy, ExportHandler exportHandler)
    : clock(runtimeClock)
    , scheduler(options, std::move(policy))
    , onExport(std::move(exportHandler))
    , ring(RingCapacity)
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
    this->ring.close();
    this->thread.join();
}

std::shared_ptr<RequestSlot> DecisionDuty::submit(const RequestInfo &request, const PlacementNames &names)
{
    auto slot = std::make_shared<RequestSlot>();
    if (!this->ring.tryPush(Submitted{request, names, slot})) {
        throw Failure(ErrorKind::Overloaded, "too many requests wait for a decision");
    }
    return slot;
}

void DecisionDuty::resubmit(const RequestInfo &request, const PlacementNames &names, const std::shared_ptr<RequestSlot> &slot)
{
    this->ring.push(Submitted{request, names, slot});
}

void DecisionDuty::retire(RequestId id)
{
    this->ring.push(Retired{id});
}

void DecisionDuty::post(const Event &event)
{
    this->ring.push(event);
}

void DecisionDuty::describe(FleetUpdate update)
{
    this->ring.push(std::move(update));
}

void DecisionDuty::remoteSummaries(const std::string &from, std::vector<TargetSummary> received)
{
    this->ring.push(RemoteSummaries{from, std::move(received)});
}

void DecisionDuty::inspect(const std::function<void(Scheduler &)> &visit)
{
    auto done = std::make_shared<std::promise<void>>();
    std::future<void> finished = done->get_future();
    // The visit is copied into the message; it must not refer to this frame after a timeout, so wait for its end.
    if (this->ring.push(Inspection{visit, done})) {
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
        const std::optional<Message> message = this->ring.pop(TickInterval);
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
    request.pinned = message.names.pinned.empty() ? NoTarget : this->scheduler.targets().find(message.names.pinned);
    request.avoid.clear();
    for (const std::string &name : message.names.avoid) {
        request.avoid.push_back(this->scheduler.targets().find(name));
    }
    this->slots[request.id] = message.slot;
    if (!message.names.pinned.empty() && request.pinned == NoTarget) {
        message.slot->commands.tryPush(Refuse{request.id, Error(ErrorKind::NotOwner, "target '" + message.names.pinned + "' is not known here")});
        return;
    }
    this->deliver(this->scheduler.handle(RequestArrived{std::move(request)}, now));
}

void DecisionDuty::on(const Retired &message, Time now)
{
    this->deliver(this->scheduler.handle(RequestWithdrawn{message.id}, now));
    this->slots.erase(message.id);
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
        this->byNameHash[targetNameHash(description.name)] = index;
    }
}

void DecisionDuty::on(const RemoteSummaries &message, Time now)
{
    for (const TargetSummary &summary : message.summaries) {
        const auto found = this->byNameHash.find(summary.nameHash);
        if (found == this->byNameHash.end()) {
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
        event.urgentTokens = summary.interactiveTokens;
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
    this->ring.push(Action{std::move(action)});
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

        void toSlot(RequestId id) const
        {
            const auto found = this->duty.slots.find(id);
            if (found != this->duty.slots.end()) {
                found->second->commands.tryPush(this->command);
            }
        }
        void operator()(const Dispatch &dispatch) const
        {
            this->toSlot(dispatch.id);
        }
        void operator()(const Refuse &refuse) const
        {
            this->toSlot(refuse.id);
        }
        void operator()(const Preempt &preempt) const
        {
            this->toSlot(preempt.id);
        }
        void operator()(const Export &copy) const
        {
            this->duty.onExport(copy);
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
        const bool usable = targets.why(target, 0, now) == TargetState::Usable;
        summary.usableSlots = static_cast<uint16_t>(usable ? targets.limit(target, now) : 0);
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
