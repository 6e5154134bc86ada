#include "pimentosail/serve/targetduty.h"

#include <algorithm>

#include "pimentosail/base/statelog.h"
#include "pimentosail/serve/transferduty.h"

namespace pimentosail
{

namespace
{

constexpr Duration FleetInterval = Milliseconds(200);
constexpr Duration HostListInterval = Milliseconds(1000);
constexpr Duration HostListTimeout = Milliseconds(1000);
constexpr Duration ReportTimeout = Milliseconds(400);
constexpr Duration LoadOrderTimeout = Milliseconds(1000);
constexpr size_t PollThreads = 3;
// Longest interval at which a poll thread looks for due targets.
constexpr Duration PollCheckInterval = Milliseconds(100);
// Load reports that are read from a target for each read of its cache events.
constexpr int64_t PollsPerEventRead = 4;

TargetIndex indexOf(Scheduler &scheduler, const std::string &name)
{
    return scheduler.targets().find(name);
}

} // namespace

TargetDuty::TargetDuty(Clock &runtimeClock, const Settings &processSettings)
    : clock(runtimeClock)
    , settings(processSettings)
    , fleetThread("fleet", [this] { this->runFleet(); })
{
    for (size_t worker = 0; worker < PollThreads; ++worker) {
        this->pollThreads.push_back(std::make_unique<DutyThread>("poll", [this, worker] { this->runPoll(worker); }));
    }
}

void TargetDuty::attach(Context &processContext)
{
    this->context = &processContext;
}

void TargetDuty::start()
{
    this->fleetThread.start();
    for (const std::unique_ptr<DutyThread> &thread : this->pollThreads) {
        thread->start();
    }
}

void TargetDuty::stop()
{
    this->stopping.store(true);
    this->fleetThread.join();
    for (const std::unique_ptr<DutyThread> &thread : this->pollThreads) {
        thread->join();
    }
}

void TargetDuty::receiveAuthority(const std::string &host, bool hasAuthority)
{
    const std::lock_guard lock(this->mutex);
    if (hasAuthority) {
        this->unconfirmedHosts.erase(host);
    } else {
        this->unconfirmedHosts.insert(host);
    }
}

bool TargetDuty::isUnconfirmed(const std::string &host) const
{
    const std::lock_guard lock(this->mutex);
    return this->unconfirmedHosts.count(host) != 0;
}

std::optional<std::vector<std::string>> TargetDuty::listedEntryHosts() const
{
    const std::lock_guard lock(this->mutex);
    if (!this->listedHosts) {
        return std::nullopt;
    }
    std::vector<std::string> names;
    for (const FleetHost &host : *this->listedHosts) {
        if (host.kind == HostKind::Entry) {
            names.push_back(host.name);
        }
    }
    return names.empty() ? std::nullopt : std::optional(names);
}

void TargetDuty::readHostList()
{
    try {
        const HttpReply reply = this->context->http.call(this->settings.hostList, {"GET", "/hosts", {}, ""}, HostListTimeout);
        if (reply.status != 200) {
            return;
        }
        std::vector<FleetHost> hosts = parseHostList(reply.body);
        const std::lock_guard lock(this->mutex);
        this->listedHosts = std::move(hosts);
    } catch (const Failure &) {
        // The previous list stays in use.
    }
}

void TargetDuty::runFleet()
{
    Time nextListRead = this->clock.now();
    while (!this->stopping.load()) {
        if (this->clock.now() >= nextListRead) {
            this->readHostList();
            nextListRead = this->clock.now() + HostListInterval;
            this->sendLoadOrders();
        }
        this->publishFleet();
        this->context->allowances.refreshOwnership();
        this->clock.sleepFor(FleetInterval);
    }
}

void TargetDuty::publishFleet()
{
    const ConfigurationPointer configuration = this->context->configuration.current();
    Fleet fleet;
    {
        const std::lock_guard lock(this->mutex);
        if (!configuration || !this->listedHosts) {
            return;
        }
        fleet.hosts = *this->listedHosts;
    }
    applyOutages(fleet.hosts, *configuration);
    for (FleetHost &host : fleet.hosts) {
        if (host.kind == HostKind::Engine) {
            host.owner = this->context->membership.ownerOf(targetRole(host.name));
        } else if (host.kind == HostKind::Store) {
            host.owner = this->context->membership.ownerOf(storeRole(host.name));
        }
    }
    this->context->decisions.updateFleet(this->describeTargets(fleet, *configuration));
    this->context->fleet.publish(std::move(fleet));
}

FleetUpdate TargetDuty::describeTargets(const Fleet &fleet, const Configuration &configuration)
{
    FleetUpdate update;
    update.models = configuration.lists.models;
    for (const CacheStoreSettings &store : configuration.lists.cacheStores) {
        update.stores.push_back(store.name);
    }
    std::vector<FleetHost> toPoll;
    std::map<std::string, TargetDescription> current;
    for (const FleetHost &host : fleet.hosts) {
        const auto model = std::find_if(update.models.begin(), update.models.end(), [&host](const Model &item) { return item.pool == host.pool; });
        if (host.kind != HostKind::Engine || model == update.models.end()) {
            continue;
        }
        const std::string role = targetRole(host.name);
        const bool unconfirmed = this->isUnconfirmed(host.owner);
        TargetDescription description;
        description.name = host.name;
        description.model = model->name;
        description.zone = host.zone;
        description.address = host.address;
        description.owner = host.owner;
        description.availability = host.availability;
        description.warmLimit = model->warmLimit;
        description.usableSlots = this->context->membership.usableLimit(role, model->warmLimit, unconfirmed);
        description.coldLimit = std::min(description.usableSlots, this->context->membership.usableLimit(role, model->coldLimit, unconfirmed));
        description.remote = description.usableSlots <= 0 && host.owner != this->context->membership.self().name;
        if (!description.remote) {
            toPoll.push_back(host);
        }
        current.emplace(host.name, description);
    }
    for (auto &[name, description] : this->describedTargets) {
        if (current.count(name) == 0) {
            description.availability = TargetAvailability::Removed;
            current.emplace(name, description);
        }
    }
    this->describedTargets = current;
    for (const auto &entry : current) {
        update.targets.push_back(entry.second);
    }
    const std::lock_guard lock(this->mutex);
    for (auto next = this->nextPolls.begin(); next != this->nextPolls.end();) {
        const bool isPolled = std::any_of(toPoll.begin(), toPoll.end(), [&next](const FleetHost &host) { return host.name == next->first; });
        next = isPolled ? std::next(next) : this->nextPolls.erase(next);
    }
    this->polledTargets = std::move(toPoll);
    return update;
}

void TargetDuty::runPoll(size_t worker)
{
    while (!this->stopping.load()) {
        for (const FleetHost &host : this->duePolls(worker)) {
            this->poll(host);
        }
        this->clock.sleepFor(std::min(this->settings.loadPollInterval, PollCheckInterval));
    }
}

// Returns the targets of this worker whose report is due. A target that this host has just begun to use is due at once.
std::vector<FleetHost> TargetDuty::duePolls(size_t worker)
{
    std::vector<FleetHost> due;
    const Time now = this->clock.now();
    const std::lock_guard lock(this->mutex);
    for (size_t index = worker; index < this->polledTargets.size(); index += PollThreads) {
        const FleetHost &host = this->polledTargets[index];
        Time &next = this->nextPolls[host.name];
        if (now >= next) {
            next = now + this->settings.loadPollInterval;
            due.push_back(host);
        }
    }
    return due;
}

bool TargetDuty::isEventReadDue(const std::string &target)
{
    const std::lock_guard lock(this->mutex);
    return this->pollCounts[target]++ % PollsPerEventRead == 0;
}

void TargetDuty::poll(const FleetHost &host)
{
    std::optional<TargetReport> report;
    std::vector<uint64_t> evicted;
    try {
        report = this->context->engines.fetchLoadReport(host.address, ReportTimeout);
        if (this->isEventReadDue(host.name)) {
            evicted = this->pollEvictions(host, report->boot);
        }
    } catch (const Failure &) {
        // The target is reported as unreachable below.
    }
    this->context->decisions.withScheduler([name = host.name, report, evicted](Scheduler &scheduler, Time now) -> std::vector<Command> {
        const TargetIndex index = indexOf(scheduler, name);
        if (index == NoTarget) {
            return {};
        }
        for (const uint64_t block : evicted) {
            scheduler.handle(BlockEvicted{index, block}, now);
        }
        return report ? scheduler.handle(TargetReported{index, *report}, now) : scheduler.handle(TargetUnreachable{index}, now);
    });
}

std::vector<uint64_t> TargetDuty::pollEvictions(const FleetHost &host, const std::string &boot)
{
    int64_t sequence = 0;
    {
        const std::lock_guard lock(this->mutex);
        auto &[readBoot, readSequence] = this->eventSequences[host.name];
        if (readBoot != boot) {
            readBoot = boot;
            readSequence = 0;
        }
        sequence = readSequence;
    }
    std::vector<uint64_t> evicted = this->context->engines.fetchEvictedBlocks(host.address, sequence, ReportTimeout);
    const std::lock_guard lock(this->mutex);
    this->eventSequences[host.name] = {boot, sequence};
    return evicted;
}

// Sends load orders for each model whose weight loading this host owns, to at most `maxLoading` targets at a time.
void TargetDuty::sendLoadOrders()
{
    const ConfigurationPointer configuration = this->context->configuration.current();
    if (!configuration) {
        return;
    }
    const std::shared_ptr<const Fleet> fleet = this->context->fleet.current();
    for (const Model &model : configuration->lists.models) {
        if (this->context->membership.roleState("weights/" + model.name) != RoleState::Owner) {
            continue;
        }
        int64_t loading = 0;
        std::vector<const FleetHost *> missing;
        for (const FleetHost &host : fleet->hosts) {
            if (host.kind != HostKind::Engine || host.pool != model.pool || host.availability != TargetAvailability::Live) {
                continue;
            }
            try {
                const TargetReport report = this->context->engines.fetchLoadReport(host.address, ReportTimeout);
                loading += report.loading ? 1 : 0;
                if (!report.loading && report.version != model.version) {
                    missing.push_back(&host);
                }
            } catch (const Failure &) {
                // A target that does not answer may be loading, so it counts against the limit.
                ++loading;
            }
        }
        for (const FleetHost *host : missing) {
            if (loading >= model.maxLoading || this->context->membership.roleState("weights/" + model.name) != RoleState::Owner) {
                break;
            }
            try {
                const int64_t generation = this->context->membership.view().generation;
                this->context->engines.sendLoadOrder(host->address, {model.name, model.version, generation}, LoadOrderTimeout);
                logStateChange(
                    "weights_ordered", {{"target", host->name}, {"version", std::to_string(model.version)}, {"fencing", std::to_string(generation)}});
                ++loading;
            } catch (const Failure &failure) {
                logStateChange("weights_refused", {{"target", host->name}, {"reason", failure.what()}});
            }
        }
    }
}

} // namespace pimentosail
