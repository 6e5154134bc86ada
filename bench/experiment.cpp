#include "bench/experiment.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include "pimentosail/base/hash.h"
#include "pimentosail/decision/linkscheduler.h"
#include "pimentosail/decision/storecontents.h"

namespace pimentosail::bench
{

namespace
{

// Engines report their load at this interval; the scheduler receives a report after `ReportLag`.
constexpr Duration ReportInterval = Milliseconds(250);
constexpr Duration ReportLag = Milliseconds(250);
constexpr Duration LinkReportInterval = Milliseconds(500);
constexpr Duration TickInterval = Milliseconds(20);
// Delay of an engine's cache events.
constexpr Duration EventLag = Milliseconds(700);
// One of this many cache events is dropped, as the scheduler must tolerate lost events.
constexpr uint64_t LostEventPeriod = 10;
// Time for a command to reach an engine, or for its result to return.
constexpr Duration HopTime = Milliseconds(2);
constexpr Duration WindowLength = std::chrono::seconds(10);
// A refusal that comes later counts as late.
constexpr Duration RefusalLimit = Milliseconds(50);

// Delivers arrivals and scheduled events in the order of virtual time and executes the commands of the scheduler on the
// modelled engines and stores.
class ExperimentRunner
{
public:
    explicit ExperimentRunner(const Experiment &requested)
        : experiment(requested)
        , isClairvoyant(requested.policy == "clairvoyant")
        , usesValues(optionsOf(requested).valueExports)
        , scheduler(optionsOf(requested), *policyFromName(this->isClairvoyant ? "predicted" : requested.policy))
        , end(requested.warmUp + requested.measured)
    {
        this->createTargets();
        this->createStores();
    }

    ExperimentResult run()
    {
        const double rate = this->experiment.load * capacityOf(this->experiment.deployment);
        const std::vector<Arrival> arrivals = makeTraffic(this->experiment.deployment, rate, this->end, this->experiment.seed);
        this->result.interactiveWindows.resize(static_cast<size_t>(this->experiment.measured / WindowLength) + 1);
        size_t next = 0;
        this->schedule(Time(0), [this] { this->tick(); });
        this->schedule(Time(0), [this] { this->reportTargets(); });
        this->schedule(Time(0), [this] { this->reportLinks(); });
        this->scheduleZoneOutage();
        // Runs past the end of the trace until the last request is answered or refused, for at most 10 minutes.
        const Time limit = this->end + std::chrono::minutes(10);
        while (this->now < limit) {
            const bool arrivalFirst = next < arrivals.size() && (this->events.empty() || arrivals[next].at <= this->events.top().time);
            if (arrivalFirst) {
                this->now = arrivals[next].at;
                this->arrive(arrivals[next++]);
            } else {
                ScheduledEvent event = std::move(const_cast<ScheduledEvent &>(this->events.top()));
                this->events.pop();
                this->now = event.time;
                event.action();
            }
            if (next >= arrivals.size() && this->openRequests.empty() && this->now > this->end) {
                break;
            }
        }
        this->collectResult();
        return std::move(this->result);
    }

private:
    struct ScheduledEvent
    {
        Time time;
        uint64_t order;
        std::function<void()> action;

        bool operator<(const ScheduledEvent &other) const
        {
            return this->time != other.time ? this->time > other.time : this->order > other.order;
        }
    };
    struct OpenRequest
    {
        Arrival arrival;
        RequestInfo info;
        Time arrivedAt{};
        // True once the first token of any attempt was produced.
        bool answered = false;
        // Answer tokens produced by preempted attempts.
        int64_t progress = 0;
        TargetIndex target = NoTarget;
        // Incremented by each dispatch and preemption, so that actions scheduled for an earlier attempt are ignored.
        int attempt = 0;
    };
    struct PendingTransfer
    {
        uint64_t id = 0;
        std::function<void()> whenDone;
    };
    struct Link
    {
        explicit Link(double rate)
            : scheduler(rate)
        {
        }
        LinkScheduler scheduler;
        std::map<uint64_t, std::function<void()>> transfers;
        double busySeconds = 0;
    };
    struct StoreModel
    {
        StoreModel(const Deployment &deployment)
            : contents(static_cast<int64_t>(deployment.storeMemoryBytes), static_cast<int64_t>(deployment.storeDiskBytes))
            , links{Link(deployment.memoryLinkBytesPerSecond), Link(deployment.diskLinkBytesPerSecond)}
        {
        }
        StoreContents contents;
        std::array<Link, TierCount> links;
    };

    static Scheduler::Options optionsOf(const Experiment &requested)
    {
        Scheduler::Options options = requested.options;
        const bool usesStores = requested.policy == "predicted" || requested.policy == "clairvoyant" || requested.policy == "always_import";
        options.exports = options.exports && usesStores;
        if (requested.policy == "always_import") {
            options.valueExports = false;
        }
        if (requested.policy != "predicted" && requested.policy != "clairvoyant") {
            // Baselines only choose targets and sources. These mechanisms are off, so that admission is the same for all of them.
            options.batchReserve = false;
            options.latenessMargin = false;
        }
        return options;
    }

    void schedule(Time time, std::function<void()> action)
    {
        this->events.push(ScheduledEvent{time, ++this->nextOrder, std::move(action)});
    }

    bool isMeasured(Time time) const
    {
        return time >= this->experiment.warmUp && time < this->end;
    }

    void createTargets()
    {
        const Deployment &deployment = this->experiment.deployment;
        std::vector<Model> models;
        for (const Deployment::Pool &pool : deployment.pools) {
            Model model;
            model.name = pool.model;
            model.pool = pool.model;
            model.blockTokens = deployment.blockTokens;
            model.cacheBytesPerToken = static_cast<int64_t>(deployment.cacheBytesPerToken);
            models.push_back(model);
            for (int index = 0; index < pool.workers; ++index) {
                TargetDescription description;
                description.name = pool.model + "-" + std::to_string(index + 1);
                description.model = pool.model;
                description.zone = deployment.zones[static_cast<size_t>(index) % deployment.zones.size()];
                description.usableSlots = description.warmLimit;
                description.coldLimit = this->experiment.engines.coldLimit;
                const TargetIndex target = this->scheduler.describeTarget(description, this->now);
                this->descriptions.push_back(description);
                EngineParameters parameters = this->experiment.engines;
                parameters.prefillTokensPerSecond = deployment.prefillTokensPerSecond;
                this->engines.push_back(std::make_unique<ModelEngine>(
                    parameters, [this](Time time, std::function<void()> action) { this->schedule(time, std::move(action)); },
                    [this](uint64_t id, int64_t cached) { this->onFirstToken(id, cached); }, [this](uint64_t id) { this->onEnded(id); },
                    [this, target](uint64_t key) { this->onEvicted(target, key); }));
            }
        }
        this->scheduler.setModels(models);
    }

    void createStores()
    {
        for (const std::string &name : this->experiment.deployment.stores) {
            this->scheduler.describeStore(name);
            this->stores.push_back(std::make_unique<StoreModel>(this->experiment.deployment));
        }
        this->reportLinks();
    }

    void handleEvent(const Event &event)
    {
        const Time start = this->wallClock.now();
        const std::vector<Command> commands = this->scheduler.handle(event, this->now);
        this->decisionTime += toSeconds(this->wallClock.now() - start);
        for (const Command &command : commands) {
            std::visit([this](const auto &typed) { this->execute(typed); }, command);
        }
    }

    void arrive(const Arrival &arrival)
    {
        OpenRequest openRequest;
        openRequest.arrival = arrival;
        openRequest.arrivedAt = this->now;
        RequestInfo &info = openRequest.info;
        info.id = ++this->nextRequest;
        info.team = arrival.team;
        info.model = arrival.model;
        info.priority = arrival.priority;
        info.firstTokenDeadline = this->now + arrival.firstTokenLimit;
        info.finishDeadline = this->now + arrival.finishLimit;
        info.promptTokens = arrival.promptTokens;
        info.answerTokens = arrival.answerTokens;
        info.promptKey = arrival.promptKey;
        for (int64_t block = 0; block < arrival.promptTokens / this->experiment.deployment.blockTokens; ++block) {
            info.blocks.push_back(arrival.promptKey + static_cast<uint64_t>(block));
        }
        if (this->isClairvoyant) {
            info.knownReturn = arrival.returnsIn ? *arrival.returnsIn : Duration(std::chrono::hours(24 * 365));
        }
        if (this->isMeasured(this->now)) {
            ++this->result.resultsByPriority[arrival.priority].offered;
            if (arrival.priority == Priority::Interactive) {
                ++this->windowAt(this->now).offered;
            }
        }
        const RequestInfo request = info;
        this->openRequests.emplace(info.id, std::move(openRequest));
        ++this->requests;
        this->handleEvent(RequestArrived{request});
    }

    Window &windowAt(Time time)
    {
        return this->result.interactiveWindows.at(static_cast<size_t>((time - this->experiment.warmUp) / WindowLength));
    }

    void execute(const Dispatch &dispatch)
    {
        OpenRequest &openRequest = this->openRequests.at(dispatch.id);
        openRequest.target = dispatch.target;
        const int attempt = ++openRequest.attempt;
        if (dispatch.source.kind != SourceKind::StoreImport) {
            this->schedule(this->now + HopTime, [this, id = dispatch.id, attempt] { this->startRun(id, attempt); });
            return;
        }
        StoreModel &store = *this->stores.at(static_cast<size_t>(dispatch.source.store));
        const StoredCopy *copy = store.contents.find(openRequest.info.promptKey);
        if (copy == nullptr) {
            this->handleEvent(StoreCopyChanged{openRequest.info.promptKey, dispatch.source.store, dispatch.source.tier, 0});
            this->schedule(this->now + HopTime, [this, id = dispatch.id, attempt] { this->startRun(id, attempt); });
            return;
        }
        store.contents.markUsed(openRequest.info.promptKey, this->now);
        const TransferClass priority = openRequest.info.priority == Priority::Interactive ? TransferClass::UrgentImport : TransferClass::Import;
        const int64_t tokens = std::min(copy->tokens, dispatch.source.tokens);
        this->startTransfer(store, copy->tier, tokens, priority, [this, id = dispatch.id, target = dispatch.target, tokens, attempt] {
            const auto found = this->openRequests.find(id);
            if (found != this->openRequests.end() && found->second.attempt == attempt) {
                this->engines.at(static_cast<size_t>(target))->insert(found->second.info.promptKey, tokens);
                this->startRun(id, attempt);
            }
        });
    }

    void startRun(RequestId id, int attempt)
    {
        const auto found = this->openRequests.find(id);
        if (found == this->openRequests.end() || found->second.attempt != attempt) {
            return;
        }
        const OpenRequest &openRequest = found->second;
        EngineRun run;
        run.id = id;
        run.promptKey = openRequest.info.promptKey;
        run.promptTokens = openRequest.info.promptTokens;
        run.cacheableTokens = static_cast<int64_t>(openRequest.info.blocks.size()) * this->experiment.deployment.blockTokens;
        run.answerTokens = openRequest.info.answerTokens;
        run.priority = static_cast<int>(openRequest.info.priority);
        run.resumeFrom = openRequest.progress;
        this->engines.at(static_cast<size_t>(openRequest.target))->start(run, this->now);
    }

    void execute(const Refuse &refusal)
    {
        const auto found = this->openRequests.find(refusal.id);
        const OpenRequest &openRequest = found->second;
        if (this->isMeasured(openRequest.arrivedAt)) {
            PriorityResult &priorityResult = this->result.resultsByPriority[openRequest.arrival.priority];
            ++priorityResult.refused;
            priorityResult.refusedLate += this->now - openRequest.arrivedAt > RefusalLimit ? 1 : 0;
        }
        this->openRequests.erase(found);
    }

    void execute(const Preempt &preempt)
    {
        OpenRequest &openRequest = this->openRequests.at(preempt.id);
        ModelEngine &engine = *this->engines.at(static_cast<size_t>(openRequest.target));
        openRequest.progress = std::min(engine.progress(preempt.id, this->now), openRequest.info.answerTokens - 1);
        engine.cancel(preempt.id);
        ++openRequest.attempt;
        this->schedule(this->now + HopTime, [this, id = preempt.id] {
            this->handleEvent(AttemptEnded{id, AttemptOutcome::Preempted});
            OpenRequest &preempted = this->openRequests.at(id);
            preempted.info.resumed = preempted.answered;
            ++preempted.info.preemptions;
            this->handleEvent(RequestArrived{preempted.info});
        });
    }

    void execute(const Export &command)
    {
        StoreModel &store = *this->stores.at(static_cast<size_t>(command.store));
        StoredCopy copy;
        copy.promptKey = command.promptKey;
        copy.team = command.team;
        copy.tokens = command.tokens;
        copy.bytes = static_cast<int64_t>(static_cast<double>(command.tokens) * this->experiment.deployment.cacheBytesPerToken);
        copy.tier = command.tier;
        copy.lastUsed = this->now;
        if (this->isClairvoyant) {
            copy.knownReturn = this->now + this->returnDelays[command.promptKey];
        }
        if (!this->admit(store, command.store, copy)) {
            // A copy that memory does not admit may be stored on disk instead, unless disk already has one that is as long.
            const StoredCopy *diskCopy = store.contents.find(command.promptKey, Tier::Disk);
            if (diskCopy != nullptr && diskCopy->tokens >= command.tokens) {
                this->handleEvent(StoreCopyChanged{command.promptKey, command.store, Tier::Disk, diskCopy->tokens});
                return;
            }
            if (this->demote(store, command.store, copy)) {
                return;
            }
            this->handleEvent(StoreCopyChanged{command.promptKey, command.store, command.tier, 0});
            return;
        }
        this->startTransfer(store, command.tier, command.tokens, TransferClass::Background, [this, command] {
            this->handleEvent(StoreCopyChanged{command.promptKey, command.store, command.tier, command.tokens});
        });
    }

    // Admits a copy to its tier. Copies evicted from memory move to disk if `demote` accepts them.
    // Returns false if the copy was not admitted.
    bool admit(StoreModel &store, StoreIndex index, const StoredCopy &copy)
    {
        const StoreAdmission admission
            = store.contents.admit(copy, this->now, [this](const StoredCopy &candidate, Time time) { return this->valueOf(candidate, time); });
        for (const StoredCopy &evicted : admission.evicted) {
            const StoredCopy *diskCopy = evicted.tier == Tier::Memory ? store.contents.find(evicted.promptKey, Tier::Disk) : nullptr;
            if (diskCopy != nullptr) {
                this->handleEvent(StoreCopyChanged{evicted.promptKey, index, Tier::Disk, diskCopy->tokens});
            } else if (!this->demote(store, index, evicted)) {
                this->handleEvent(StoreCopyChanged{evicted.promptKey, index, evicted.tier, 0});
            }
        }
        return admission.admitted;
    }

    // Moves a copy from memory to disk if its value exceeds the cost of the transfer and the disk link is not congested.
    // Returns false if the copy was not moved.
    bool demote(StoreModel &store, StoreIndex index, StoredCopy copy)
    {
        Link &disk = store.links.at(static_cast<size_t>(Tier::Disk));
        const bool isBeneficial = this->isClairvoyant
            ? *copy.knownReturn > this->now && *copy.knownReturn < this->now + std::chrono::hours(2)
            : !this->usesValues || shouldDemote(this->valueOf(copy, this->now), disk.scheduler.expectedWait(TransferClass::Background));
        if (copy.tier != Tier::Memory || !isBeneficial || disk.scheduler.expectedWait(TransferClass::Background) > MaxDemotionWait) {
            return false;
        }
        copy.tier = Tier::Disk;
        if (!this->admit(store, index, copy)) {
            return false;
        }
        this->startTransfer(store, Tier::Disk, copy.tokens, TransferClass::Background, [this, index, copy] {
            this->handleEvent(StoreCopyChanged{copy.promptKey, index, Tier::Disk, copy.tokens});
        });
        return true;
    }

    // Returns the value by which the stores rank copies for eviction. With known return times, the copy that returns first
    // has the highest value; without `usesValues`, the copy used last.
    double valueOf(const StoredCopy &copy, Time time)
    {
        if (copy.knownReturn) {
            return *copy.knownReturn <= time ? -1 : 1 / toSeconds(*copy.knownReturn - time);
        }
        if (!this->usesValues) {
            return -toSeconds(time - copy.lastUsed);
        }
        return this->scheduler.returnProbability(copy.team, time - copy.lastUsed, returnHorizon(copy.tier), std::nullopt);
    }

    // Submits a transfer of at least one block to the link of a tier.
    void startTransfer(StoreModel &store, Tier tier, int64_t tokens, TransferClass priority, std::function<void()> whenDone)
    {
        Link &link = store.links.at(static_cast<size_t>(tier));
        const int64_t blockTokens = this->experiment.deployment.blockTokens;
        const uint64_t id = ++this->nextTransfer;
        link.transfers.emplace(id, std::move(whenDone));
        link.scheduler.submit({id, std::max<int64_t>(1, tokens / blockTokens),
            static_cast<int64_t>(static_cast<double>(blockTokens) * this->experiment.deployment.cacheBytesPerToken), priority});
        this->startNextBlock(link);
    }

    void startNextBlock(Link &link)
    {
        const std::optional<Transfer> transfer = link.scheduler.start();
        if (!transfer) {
            return;
        }
        const Duration duration = fromSeconds(static_cast<double>(transfer->blockBytes) / link.scheduler.bytesPerSecond());
        if (this->isMeasured(this->now)) {
            link.busySeconds += toSeconds(duration);
        }
        this->schedule(this->now + duration, [this, &link] {
            if (const std::optional<uint64_t> done = link.scheduler.finishBlock()) {
                const std::function<void()> whenDone = std::move(link.transfers.at(*done));
                link.transfers.erase(*done);
                whenDone();
            }
            this->startNextBlock(link);
        });
    }

    void onFirstToken(RequestId id, int64_t cached)
    {
        const auto found = this->openRequests.find(id);
        if (found == this->openRequests.end()) {
            return;
        }
        OpenRequest &openRequest = found->second;
        if (this->isMeasured(openRequest.arrivedAt)) {
            this->result.promptTokens += openRequest.info.promptTokens;
            this->result.computedTokens += openRequest.info.promptTokens - std::min(cached, openRequest.info.promptTokens);
            if (!openRequest.answered) {
                const double seconds = toSeconds(this->now - openRequest.arrivedAt);
                PriorityResult &priorityResult = this->result.resultsByPriority[openRequest.arrival.priority];
                priorityResult.firstTokenSeconds.push_back(seconds);
                priorityResult.inTime += this->now <= openRequest.info.firstTokenDeadline ? 1 : 0;
                if (openRequest.arrival.priority == Priority::Interactive) {
                    this->windowAt(openRequest.arrivedAt).firstTokenSeconds.push_back(seconds);
                }
            }
        }
        openRequest.answered = true;
        if (this->isClairvoyant) {
            const Duration untilReturn = openRequest.arrivedAt + *openRequest.info.knownReturn - this->now;
            this->returnDelays[openRequest.info.promptKey] = std::max(untilReturn, Duration(0));
            for (const std::unique_ptr<StoreModel> &store : this->stores) {
                store->contents.setKnownReturn(openRequest.info.promptKey, this->now + untilReturn);
            }
        }
        this->handleEvent(FirstTokenSeen{id, cached});
    }

    void onEnded(RequestId id)
    {
        const auto found = this->openRequests.find(id);
        if (found == this->openRequests.end()) {
            return;
        }
        if (this->isMeasured(found->second.arrivedAt)) {
            ++this->result.resultsByPriority[found->second.arrival.priority].served;
            if (found->second.arrival.priority == Priority::Interactive) {
                ++this->windowAt(found->second.arrivedAt).served;
            }
        }
        this->openRequests.erase(found);
        this->handleEvent(AttemptEnded{id, AttemptOutcome::Finished});
    }

    void onEvicted(TargetIndex target, uint64_t promptKey)
    {
        if (++this->cacheEvents % LostEventPeriod == 0) {
            return;
        }
        this->schedule(this->now + EventLag, [this, target, promptKey] {
            // The event reports the last block of the prompt that the scheduler assumes to be cached.
            const PromptRecord *record = this->scheduler.prompt(promptKey);
            const int64_t tokens = record == nullptr ? 0 : this->tokensAt(*record, target);
            if (tokens > 0) {
                const auto last = static_cast<uint64_t>(tokens / this->experiment.deployment.blockTokens - 1);
                this->handleEvent(BlockEvicted{target, promptKey + last});
            }
        });
    }

    int64_t tokensAt(const PromptRecord &record, TargetIndex target) const
    {
        for (const CacheLocation &location : record.locations) {
            if (location.target == target) {
                return location.tokens;
            }
        }
        return 0;
    }

    void tick()
    {
        this->handleEvent(ClockTicked{});
        this->schedule(this->now + TickInterval, [this] { this->tick(); });
    }

    void reportTargets()
    {
        for (size_t index = 0; index < this->engines.size(); ++index) {
            const ModelEngine &engine = *this->engines[index];
            TargetReport report;
            report.boot = engine.boot();
            report.cold = engine.isCold(this->now);
            report.running = engine.running();
            report.queuedTokens = engine.queuedTokens();
            report.prefillTokensPerSecond = this->experiment.deployment.prefillTokensPerSecond;
            this->schedule(this->now + (this->now == Time(0) ? Duration(0) : ReportLag), [this, index, report] {
                this->handleEvent(TargetReported{static_cast<TargetIndex>(index), report});
            });
        }
        this->schedule(this->now + ReportInterval, [this] { this->reportTargets(); });
    }

    void reportLinks()
    {
        for (size_t index = 0; index < this->stores.size(); ++index) {
            for (size_t tier = 0; tier < TierCount; ++tier) {
                LinkReported event;
                event.store = static_cast<StoreIndex>(index);
                event.tier = static_cast<Tier>(tier);
                event.wait = this->stores[index]->links.at(tier).scheduler.expectedWait(TransferClass::Import);
                event.bytesPerSecond = this->stores[index]->links.at(tier).scheduler.bytesPerSecond();
                event.evictionAge = this->stores[index]->contents.evictionAge(event.tier);
                this->handleEvent(event);
            }
        }
        this->schedule(this->now + LinkReportInterval, [this] { this->reportLinks(); });
    }

    void scheduleZoneOutage()
    {
        if (!this->experiment.zoneOut) {
            return;
        }
        const Time start = this->experiment.warmUp;
        this->schedule(start + this->experiment.zoneOutAt, [this] { this->setZoneAvailability(TargetAvailability::Leaving); });
        this->schedule(start + this->experiment.zoneInAt, [this] { this->setZoneAvailability(TargetAvailability::Live); });
    }

    void setZoneAvailability(TargetAvailability availability)
    {
        for (size_t index = 0; index < this->descriptions.size(); ++index) {
            TargetDescription &description = this->descriptions[index];
            if (description.zone != this->experiment.deployment.zones.front()) {
                continue;
            }
            description.availability = availability;
            this->scheduler.describeTarget(description, this->now);
            if (availability == TargetAvailability::Live) {
                // The engines of a returning zone are cold and have empty caches.
                this->engines[index]->restart(this->now);
                TargetReport report;
                report.boot = this->engines[index]->boot();
                report.cold = true;
                this->handleEvent(TargetReported{static_cast<TargetIndex>(index), report});
            }
        }
    }

    void collectResult()
    {
        this->result.lost = static_cast<long>(this->openRequests.size());
        for (const std::unique_ptr<ModelEngine> &engine : this->engines) {
            this->result.coldOverloads += engine->coldOverloads();
        }
        for (size_t tier = 0; tier < TierCount; ++tier) {
            double busy = 0;
            for (const std::unique_ptr<StoreModel> &store : this->stores) {
                busy += store->links.at(tier).busySeconds;
            }
            this->result.linkUse.at(tier) = busy / (toSeconds(this->experiment.measured) * static_cast<double>(this->stores.size()));
        }
        this->result.preemptions = this->scheduler.counts().preempted;
        this->result.imports = this->scheduler.counts().imports;
        this->result.exports = this->scheduler.counts().exports;
        this->result.decisionMicroseconds = 1e6 * this->decisionTime / static_cast<double>(std::max<long>(1, this->requests));
        this->result.knownPrompts = this->scheduler.promptCount();
    }

    const Experiment &experiment;
    bool isClairvoyant;
    // False if stores evict copies by age alone.
    bool usesValues;
    Scheduler scheduler;
    Time end;
    Time now{0};
    std::priority_queue<ScheduledEvent> events;
    uint64_t nextOrder = 0;
    uint64_t nextRequest = 0;
    uint64_t nextTransfer = 0;
    uint64_t cacheEvents = 0;
    long requests = 0;
    // Real time, only to measure the cost of decisions.
    Clock wallClock;
    double decisionTime = 0;
    std::vector<TargetDescription> descriptions;
    std::vector<std::unique_ptr<ModelEngine>> engines;
    std::vector<std::unique_ptr<StoreModel>> stores;
    std::unordered_map<RequestId, OpenRequest> openRequests;
    // Clairvoyant policy: time from a prompt's last first token until its next use, by prompt key.
    std::unordered_map<uint64_t, Duration> returnDelays;
    ExperimentResult result;
};

} // namespace

ExperimentResult runExperiment(const Experiment &experiment)
{
    return ExperimentRunner(experiment).run();
}

double quantileOf(std::vector<double> values, double quantile)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<size_t>(quantile * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<ptrdiff_t>(index), values.end());
    return values[index];
}

} // namespace pimentosail::bench
