#include "bench/world.h"

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

constexpr Duration ReportInterval = Milliseconds(250);
constexpr Duration ReportLag = Milliseconds(250);
constexpr Duration LinkReportInterval = Milliseconds(500);
constexpr Duration TickInterval = Milliseconds(20);
constexpr Duration EventLag = Milliseconds(700);
// One in this many cache events is lost.
constexpr uint64_t LostEventPeriod = 10;
constexpr Duration HopTime = Milliseconds(2);
constexpr Duration WindowLength = std::chrono::seconds(10);
constexpr Duration RefusalLimit = Milliseconds(50);

class World
{
public:
    explicit World(const Experiment &plan)
        : experiment(plan)
        , isClairvoyant(plan.policy == "clairvoyant")
        , usesValues(optionsOf(plan).valueExports)
        , scheduler(optionsOf(plan), *policyFromName(this->isClairvoyant ? "predicted" : plan.policy))
        , end(plan.warmUp + plan.measured)
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
        this->at(Time(0), [this] { this->tick(); });
        this->at(Time(0), [this] { this->report(); });
        this->at(Time(0), [this] { this->reportLinks(); });
        this->scheduleZone();
        // Runs past the end until the last request is answered or refused.
        const Time limit = this->end + std::chrono::minutes(10);
        while (this->now < limit) {
            const bool arrivalFirst = next < arrivals.size() && (this->events.empty() || arrivals[next].at <= this->events.top().time);
            if (arrivalFirst) {
                this->now = arrivals[next].at;
                this->arrive(arrivals[next++]);
            } else {
                Entry entry = std::move(const_cast<Entry &>(this->events.top()));
                this->events.pop();
                this->now = entry.time;
                entry.action();
            }
            if (next >= arrivals.size() && this->open.empty() && this->now > this->end) {
                break;
            }
        }
        this->finish();
        return std::move(this->result);
    }

private:
    struct Entry
    {
        Time time;
        uint64_t order;
        std::function<void()> action;

        bool operator<(const Entry &other) const
        {
            return this->time != other.time ? this->time > other.time : this->order > other.order;
        }
    };
    struct Open
    {
        Arrival arrival;
        RequestInfo info;
        Time arrivedAt{};
        bool answered = false;
        int64_t progress = 0;
        TargetIndex target = NoTarget;
        // Rises with each dispatch, so that what an ended attempt left behind is ignored.
        int attempt = 0;
    };
    struct Moving
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

    static Scheduler::Options optionsOf(const Experiment &plan)
    {
        Scheduler::Options options = plan.options;
        const bool usesStores = plan.policy == "predicted" || plan.policy == "clairvoyant" || plan.policy == "always_import";
        options.exports = options.exports && usesStores;
        if (plan.policy == "always_import") {
            options.valueExports = false;
        }
        if (plan.policy != "predicted" && plan.policy != "clairvoyant") {
            // The baselines choose targets and sources; admission is the same for all.
            options.batchReserve = false;
            options.latenessMargin = false;
        }
        return options;
    }

    void at(Time time, std::function<void()> action)
    {
        this->events.push(Entry{time, ++this->nextOrder, std::move(action)});
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
            model.blockTokens = deployment.pieceTokens;
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
                    parameters, [this](Time time, std::function<void()> action) { this->at(time, std::move(action)); },
                    [this](uint64_t id, int64_t cached) { this->firstToken(id, cached); }, [this](uint64_t id) { this->ended(id); },
                    [this, target](uint64_t key) { this->evicted(target, key); }));
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

    void give(const Event &event)
    {
        const Time start = this->processorClock.now();
        const std::vector<Command> commands = this->scheduler.handle(event, this->now);
        this->decisionTime += toSeconds(this->processorClock.now() - start);
        for (const Command &command : commands) {
            std::visit([this](const auto &typed) { this->on(typed); }, command);
        }
    }

    void arrive(const Arrival &arrival)
    {
        Open entry;
        entry.arrival = arrival;
        entry.arrivedAt = this->now;
        RequestInfo &info = entry.info;
        info.id = ++this->nextRequest;
        info.team = arrival.team;
        info.model = arrival.model;
        info.priority = arrival.priority;
        info.firstTokenDeadline = this->now + arrival.firstTokenLimit;
        info.finishDeadline = this->now + arrival.finishLimit;
        info.promptTokens = arrival.promptTokens;
        info.answerTokens = arrival.answerTokens;
        info.promptKey = arrival.promptKey;
        for (int64_t piece = 0; piece < arrival.promptTokens / this->experiment.deployment.pieceTokens; ++piece) {
            info.blocks.push_back(arrival.promptKey + static_cast<uint64_t>(piece));
        }
        if (this->isClairvoyant) {
            info.knownReturn = arrival.returnsIn ? *arrival.returnsIn : Duration(std::chrono::hours(24 * 365));
        }
        if (this->isMeasured(this->now)) {
            ++this->result.classes[arrival.priority].offered;
            if (arrival.priority == Priority::Interactive) {
                ++this->window(this->now).offered;
            }
        }
        const RequestInfo request = info;
        this->open.emplace(info.id, std::move(entry));
        ++this->requests;
        this->give(RequestArrived{request});
    }

    Window &window(Time time)
    {
        return this->result.interactiveWindows.at(static_cast<size_t>((time - this->experiment.warmUp) / WindowLength));
    }

    void on(const Dispatch &dispatch)
    {
        Open &entry = this->open.at(dispatch.id);
        entry.target = dispatch.target;
        const int attempt = ++entry.attempt;
        if (dispatch.source.kind != SourceKind::StoreImport) {
            this->at(this->now + HopTime, [this, id = dispatch.id, attempt] { this->startRun(id, attempt); });
            return;
        }
        StoreModel &store = *this->stores.at(static_cast<size_t>(dispatch.source.store));
        const StoredCopy *copy = store.contents.find(entry.info.promptKey);
        if (copy == nullptr) {
            this->give(StoreCopyChanged{entry.info.promptKey, dispatch.source.store, dispatch.source.tier, 0});
            this->at(this->now + HopTime, [this, id = dispatch.id, attempt] { this->startRun(id, attempt); });
            return;
        }
        store.contents.markUsed(entry.info.promptKey, this->now);
        const TransferClass priority = entry.info.priority == Priority::Interactive ? TransferClass::UrgentImport : TransferClass::Import;
        const int64_t tokens = std::min(copy->tokens, dispatch.source.tokens);
        this->transfer(store, copy->tier, tokens, priority, [this, id = dispatch.id, target = dispatch.target, tokens, attempt] {
            const auto found = this->open.find(id);
            if (found != this->open.end() && found->second.attempt == attempt) {
                this->engines.at(static_cast<size_t>(target))->insert(found->second.info.promptKey, tokens);
                this->startRun(id, attempt);
            }
        });
    }

    void startRun(RequestId id, int attempt)
    {
        const auto found = this->open.find(id);
        if (found == this->open.end() || found->second.attempt != attempt) {
            return;
        }
        const Open &entry = found->second;
        EngineRun run;
        run.id = id;
        run.promptKey = entry.info.promptKey;
        run.promptTokens = entry.info.promptTokens;
        run.cacheableTokens = static_cast<int64_t>(entry.info.blocks.size()) * this->experiment.deployment.pieceTokens;
        run.answerTokens = entry.info.answerTokens;
        run.priority = static_cast<int>(entry.info.priority);
        run.resumeFrom = entry.progress;
        this->engines.at(static_cast<size_t>(entry.target))->start(run, this->now);
    }

    void on(const Refuse &refusal)
    {
        const auto found = this->open.find(refusal.id);
        const Open &entry = found->second;
        if (this->isMeasured(entry.arrivedAt)) {
            ClassResult &measures = this->result.classes[entry.arrival.priority];
            ++measures.refused;
            measures.refusedLate += this->now - entry.arrivedAt > RefusalLimit ? 1 : 0;
        }
        this->open.erase(found);
    }

    void on(const Preempt &preempt)
    {
        Open &entry = this->open.at(preempt.id);
        ModelEngine &engine = *this->engines.at(static_cast<size_t>(entry.target));
        entry.progress = std::min(engine.progress(preempt.id, this->now), entry.info.answerTokens - 1);
        engine.cancel(preempt.id);
        ++entry.attempt;
        this->at(this->now + HopTime, [this, id = preempt.id] {
            this->give(AttemptEnded{id, AttemptOutcome::Preempted});
            Open &again = this->open.at(id);
            again.info.resumed = again.answered;
            ++again.info.preemptions;
            this->give(RequestArrived{again.info});
        });
    }

    void on(const Export &command)
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
            copy.knownReturn = this->now + this->lastReturns[command.promptKey];
        }
        if (!this->admit(store, command.store, copy)) {
            // What is not worth a place in memory may be worth one on disk, if it is not there already.
            const StoredCopy *below = store.contents.find(command.promptKey, Tier::Disk);
            if (below != nullptr && below->tokens >= command.tokens) {
                this->give(StoreCopyChanged{command.promptKey, command.store, Tier::Disk, below->tokens});
                return;
            }
            if (this->demote(store, command.store, copy)) {
                return;
            }
            this->give(StoreCopyChanged{command.promptKey, command.store, command.tier, 0});
            return;
        }
        this->transfer(store, command.tier, command.tokens, TransferClass::Background, [this, command] {
            this->give(StoreCopyChanged{command.promptKey, command.store, command.tier, command.tokens});
        });
    }

    // Admits a copy; what gives way in the memory tier moves to the disk tier if that is worth it.
    bool admit(StoreModel &store, StoreIndex index, const StoredCopy &copy)
    {
        const StoreAdmission admission = store.contents.admit(copy, this->now, [this](const StoredCopy &kept, Time time) { return this->valueOf(kept, time); });
        for (const StoredCopy &evicted : admission.evicted) {
            const StoredCopy *below = evicted.tier == Tier::Memory ? store.contents.find(evicted.promptKey, Tier::Disk) : nullptr;
            if (below != nullptr) {
                this->give(StoreCopyChanged{evicted.promptKey, index, Tier::Disk, below->tokens});
            } else if (!this->demote(store, index, evicted)) {
                this->give(StoreCopyChanged{evicted.promptKey, index, evicted.tier, 0});
            }
        }
        return admission.admitted;
    }

    bool demote(StoreModel &store, StoreIndex index, StoredCopy copy)
    {
        Link &disk = store.links.at(static_cast<size_t>(Tier::Disk));
        const bool isWorthIt = this->isClairvoyant
            ? *copy.knownReturn > this->now && *copy.knownReturn < this->now + std::chrono::hours(2)
            : !this->usesValues || shouldDemote(this->valueOf(copy, this->now), disk.scheduler.expectedWait(TransferClass::Background));
        if (copy.tier != Tier::Memory || !isWorthIt || disk.scheduler.expectedWait(TransferClass::Background) > MaxDemotionWait) {
            return false;
        }
        copy.tier = Tier::Disk;
        if (!this->admit(store, index, copy)) {
            return false;
        }
        this->transfer(store, Tier::Disk, copy.tokens, TransferClass::Background, [this, index, copy] {
            this->give(StoreCopyChanged{copy.promptKey, index, Tier::Disk, copy.tokens});
        });
        return true;
    }

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

    void transfer(StoreModel &store, Tier tier, int64_t tokens, TransferClass priority, std::function<void()> whenDone)
    {
        Link &link = store.links.at(static_cast<size_t>(tier));
        const int64_t pieceTokens = this->experiment.deployment.pieceTokens;
        const uint64_t id = ++this->nextTransfer;
        link.transfers.emplace(id, std::move(whenDone));
        link.scheduler.submit({id, std::max<int64_t>(1, tokens / pieceTokens),
            static_cast<int64_t>(static_cast<double>(pieceTokens) * this->experiment.deployment.cacheBytesPerToken), priority});
        this->pumpLink(link);
    }

    void pumpLink(Link &link)
    {
        const std::optional<Transfer> piece = link.scheduler.start();
        if (!piece) {
            return;
        }
        const Duration length = fromSeconds(static_cast<double>(piece->blockBytes) / link.scheduler.bytesPerSecond());
        if (this->isMeasured(this->now)) {
            link.busySeconds += toSeconds(length);
        }
        this->at(this->now + length, [this, &link] {
            if (const std::optional<uint64_t> done = link.scheduler.finishBlock()) {
                const std::function<void()> whenDone = std::move(link.transfers.at(*done));
                link.transfers.erase(*done);
                whenDone();
            }
            this->pumpLink(link);
        });
    }

    void firstToken(RequestId id, int64_t cached)
    {
        const auto found = this->open.find(id);
        if (found == this->open.end()) {
            return;
        }
        Open &entry = found->second;
        if (this->isMeasured(entry.arrivedAt)) {
            this->result.promptTokens += entry.info.promptTokens;
            this->result.computedTokens += entry.info.promptTokens - std::min(cached, entry.info.promptTokens);
            if (!entry.answered) {
                const double seconds = toSeconds(this->now - entry.arrivedAt);
                ClassResult &measures = this->result.classes[entry.arrival.priority];
                measures.firstTokenSeconds.push_back(seconds);
                measures.inTime += this->now <= entry.info.firstTokenDeadline ? 1 : 0;
                if (entry.arrival.priority == Priority::Interactive) {
                    this->window(entry.arrivedAt).firstTokenSeconds.push_back(seconds);
                }
            }
        }
        entry.answered = true;
        if (this->isClairvoyant) {
            const Duration until = entry.arrivedAt + *entry.info.knownReturn - this->now;
            this->lastReturns[entry.info.promptKey] = std::max(until, Duration(0));
            for (const std::unique_ptr<StoreModel> &store : this->stores) {
                store->contents.setKnownReturn(entry.info.promptKey, this->now + until);
            }
        }
        this->give(FirstTokenSeen{id, cached});
    }

    void ended(RequestId id)
    {
        const auto found = this->open.find(id);
        if (found == this->open.end()) {
            return;
        }
        if (this->isMeasured(found->second.arrivedAt)) {
            ++this->result.classes[found->second.arrival.priority].served;
            if (found->second.arrival.priority == Priority::Interactive) {
                ++this->window(found->second.arrivedAt).served;
            }
        }
        this->open.erase(found);
        this->give(AttemptEnded{id, AttemptOutcome::Finished});
    }

    void evicted(TargetIndex target, uint64_t promptKey)
    {
        if (++this->cacheEvents % LostEventPeriod == 0) {
            return;
        }
        this->at(this->now + EventLag, [this, target, promptKey] {
            // The event names the last piece of the prompt.
            const PromptRecord *record = this->scheduler.prompt(promptKey);
            const int64_t tokens = record == nullptr ? 0 : this->tokensAt(*record, target);
            if (tokens > 0) {
                const auto last = static_cast<uint64_t>(tokens / this->experiment.deployment.pieceTokens - 1);
                this->give(BlockEvicted{target, promptKey + last});
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
        this->give(ClockTicked{});
        this->at(this->now + TickInterval, [this] { this->tick(); });
    }

    void report()
    {
        for (size_t index = 0; index < this->engines.size(); ++index) {
            const ModelEngine &engine = *this->engines[index];
            TargetReport report;
            report.boot = engine.boot();
            report.cold = engine.isCold(this->now);
            report.running = engine.running();
            report.queuedTokens = engine.queuedTokens();
            report.prefillTokensPerSecond = this->experiment.deployment.prefillTokensPerSecond;
            this->at(this->now + (this->now == Time(0) ? Duration(0) : ReportLag), [this, index, report] {
                this->give(TargetReported{static_cast<TargetIndex>(index), report});
            });
        }
        this->at(this->now + ReportInterval, [this] { this->report(); });
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
                this->give(event);
            }
        }
        this->at(this->now + LinkReportInterval, [this] { this->reportLinks(); });
    }

    void scheduleZone()
    {
        if (!this->experiment.zoneOut) {
            return;
        }
        const Time start = this->experiment.warmUp;
        this->at(start + this->experiment.zoneOutAt, [this] { this->moveZone(TargetAvailability::Leaving); });
        this->at(start + this->experiment.zoneInAt, [this] { this->moveZone(TargetAvailability::Live); });
    }

    void moveZone(TargetAvailability availability)
    {
        for (size_t index = 0; index < this->descriptions.size(); ++index) {
            TargetDescription &description = this->descriptions[index];
            if (description.zone != this->experiment.deployment.zones.front()) {
                continue;
            }
            description.availability = availability;
            this->scheduler.describeTarget(description, this->now);
            if (availability == TargetAvailability::Live) {
                // The zone comes back with empty caches and cold.
                this->engines[index]->restart(this->now);
                TargetReport report;
                report.boot = this->engines[index]->boot();
                report.cold = true;
                this->give(TargetReported{static_cast<TargetIndex>(index), report});
            }
        }
    }

    void finish()
    {
        this->result.lost = static_cast<long>(this->open.size());
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
    // False if copies are kept by age alone.
    bool usesValues;
    Scheduler scheduler;
    Time end;
    Time now{0};
    std::priority_queue<Entry> events;
    uint64_t nextOrder = 0;
    uint64_t nextRequest = 0;
    uint64_t nextTransfer = 0;
    uint64_t cacheEvents = 0;
    long requests = 0;
    // Real time, for the cost of decisions only.
    Clock processorClock;
    double decisionTime = 0;
    std::vector<TargetDescription> descriptions;
    std::vector<std::unique_ptr<ModelEngine>> engines;
    std::vector<std::unique_ptr<StoreModel>> stores;
    std::unordered_map<RequestId, Open> open;
    std::unordered_map<uint64_t, Duration> lastReturns;
    ExperimentResult result;
};

} // namespace

ExperimentResult runExperiment(const Experiment &experiment)
{
    return World(experiment).run();
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
