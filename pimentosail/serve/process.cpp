#include "pimentosail/serve/process.h"

#include <algorithm>
#include <functional>

#include <Poco/Exception.h>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"
#include "pimentosail/base/statelog.h"
#include "pimentosail/serve/callerapi.h"
#include "pimentosail/serve/internalapi.h"
#include "pimentosail/serve/targetduty.h"

namespace pimentosail
{

namespace
{

constexpr Duration KeyValueTimeout = Milliseconds(1000);
constexpr Duration PeerTimeout = Milliseconds(500);
constexpr Duration FlushInterval = Milliseconds(200);
// Time within which the load balancer sees /readyz fail and stops sending callers.
constexpr Duration LoadBalancerDelay = Milliseconds(1000);
constexpr Duration DrainPollInterval = Milliseconds(50);
// Number of hosts that watch the configuration in the key-value store; the others read it from time to time.
constexpr size_t WatcherCount = 3;
// A run may use two internal connections: one to the owner of its prompt and one to the owner of its target. Hence the
// internal address accepts twice as many connections as the one for callers.
constexpr int64_t InternalConnectionFactor = 2;

Policy policyOf(const Settings &settings)
{
    return *policyFromName(settings.policy);
}

} // namespace

class Process::Implementation
{
public:
    Implementation(const Settings &processSettings, Clock &runtimeClock);
    ~Implementation();

    void start();
    long shutDown(const std::function<bool()> &endNow);

private:
    MembershipHooks membershipHooks();
    ConfigurationHooks configurationHooks();
    void fillHeartbeat(Heartbeat &heartbeat);
    void processHeartbeat(const Heartbeat &heartbeat, const std::string &address);
    std::optional<View> fetchView(const std::string &address);
    bool isReady();
    bool waitUntilIdle(HttpServer &server, Time deadline, const std::function<bool()> &endNow);
    void runFlush();

    Settings settings;
    Clock &clock;
    Metrics metrics;
    HttpClient http;
    PeerClient peers;
    EngineClient engines;
    KeyValueStore kvStore;
    FleetRegistry fleet;
    SuspectTable suspects;
    RetryBudget retries;
    std::atomic<bool> draining{false};
    std::atomic<bool> stopping{false};
    TransferDuty transfers;
    TargetDuty targets;
    MembershipDuty membership;
    ConfigurationDuty configuration;
    DecisionDuty decisions;
    AllowanceDuty allowances;
    IdempotencyRecords records;
    Context context;
    Runner runner;
    ServiceCalls services;
    CallerApi callerApi;
    InternalApi internalApi;
    HttpServer callerServer;
    HttpServer internalServer;
    DutyThread flushThread;
};

Process::Implementation::Implementation(const Settings &processSettings, Clock &runtimeClock)
    : settings(processSettings)
    , clock(runtimeClock)
    , peers(this->http,
          [this](const std::string &method, size_t bytes) {
              this->metrics.count("pimentosail_control_bytes_total", {{"kind", "rpc_" + method}}, static_cast<double>(bytes));
          })
    , engines(this->http,
          [this](const std::string &kind, size_t bytes) {
              this->metrics.count("pimentosail_control_bytes_total", {{"kind", kind}}, static_cast<double>(bytes));
          })
    , kvStore(KeyValueStore::overHttp(this->settings.keyValue, KeyValueTimeout))
    , transfers(runtimeClock)
    , targets(runtimeClock, this->settings)
    , membership(runtimeClock, this->kvStore, Member{this->settings.name, this->settings.zone, this->settings.internal, randomId(), false}, this->settings,
          this->membershipHooks())
    , configuration(runtimeClock, this->kvStore, this->configurationHooks())
    , decisions(runtimeClock, Scheduler::Options{}, policyOf(this->settings), [this](const Export &command) { this->transfers.exportCopy(command); })
    , allowances(runtimeClock, this->membership, this->peers, [this] { return this->configuration.current(); })
    , records(this->kvStore, this->settings.name, runtimeClock, this->settings.recordRetention,
          [this](int shard) { return this->membership.hasLease() && this->membership.roleState(recordRole(shard)) == RoleState::Owner; })
    , context{this->clock, this->settings, this->http, this->peers, this->engines, this->membership, this->configuration, this->decisions, this->allowances,
          this->records, this->transfers, this->fleet, this->suspects, this->metrics, this->retries}
    , runner(this->context)
    , services(this->context)
    , callerApi(this->context, this->runner, this->services)
    , internalApi(this->context, this->runner, this->services, [this] { return this->isReady(); })
    , callerServer(this->settings.listen, this->settings.maxConnections, [this](HttpExchange &exchange) { this->callerApi.handle(exchange); })
    , internalServer(this->settings.internal, this->settings.maxConnections * InternalConnectionFactor,
          [this](HttpExchange &exchange) { this->internalApi.handle(exchange); })
    , flushThread("flush", [this] { this->runFlush(); })
{
    this->transfers.attach(this->context);
    this->targets.attach(this->context);
}

Process::Implementation::~Implementation()
{
    this->stopping.store(true);
}

MembershipHooks Process::Implementation::membershipHooks()
{
    MembershipHooks hooks;
    hooks.fillHeartbeat = [this](Heartbeat &heartbeat) {
        this->fillHeartbeat(heartbeat);
    };
    hooks.onHeartbeat = [this](const Heartbeat &heartbeat, const std::string &address) {
        this->processHeartbeat(heartbeat, address);
    };
    hooks.fetchView = [this](const std::string &address) {
        return this->fetchView(address);
    };
    hooks.listedEntryHosts = [this] {
        return this->targets.listedEntryHosts();
    };
    hooks.countControlBytes = [this](const std::string &kind, size_t bytes) {
        this->metrics.count("pimentosail_control_bytes_total", {{"kind", kind}}, static_cast<double>(bytes));
    };
    return hooks;
}

ConfigurationHooks Process::Implementation::configurationHooks()
{
    ConfigurationHooks hooks;
    hooks.isWatcher = [this] {
        const std::vector<std::string> order = rendezvousOrder("configuration", this->membership.view().names());
        const auto end = order.begin() + static_cast<ptrdiff_t>(std::min(WatcherCount, order.size()));
        return std::find(order.begin(), end, this->settings.name) != end;
    };
    hooks.fetchDocument = [this](const std::string &address) {
        return jsonString(this->peers.call(address, "configuration", Json::Value(), PeerTimeout), "document");
    };
    hooks.peerAddresses = [this] {
        return this->membership.peerAddresses();
    };
    hooks.onConfigurationChange = [this](const ConfigurationPointer &inForce) {
        this->metrics.set("pimentosail_configuration_revision", {}, static_cast<double>(inForce->revision));
        this->transfers.configure(inForce->lists.cacheStores);
    };
    return hooks;
}

void Process::Implementation::fillHeartbeat(Heartbeat &heartbeat)
{
    const ConfigurationPointer inForce = this->configuration.current();
    heartbeat.configRevision = inForce ? inForce->revision : 0;
    heartbeat.targets = this->decisions.ownSummaries();
    heartbeat.links = this->transfers.ownLinks();
    this->processHeartbeat(heartbeat, "");
}

void Process::Implementation::processHeartbeat(const Heartbeat &heartbeat, const std::string &address)
{
    const bool isOwn = heartbeat.from == this->settings.name;
    if (!isOwn) {
        this->configuration.receivePeerRevision(address, heartbeat.configRevision);
        this->targets.receiveAuthority(heartbeat.from, heartbeat.hasAuthority);
        this->decisions.receiveSummaries(heartbeat.from, heartbeat.targets);
    }
    const ConfigurationPointer inForce = this->configuration.current();
    if (!inForce || heartbeat.links.empty()) {
        return;
    }
    for (const LinkSummary &link : heartbeat.links) {
        for (const CacheStoreSettings &cacheStore : inForce->lists.cacheStores) {
            if (targetNameHash(cacheStore.name) != link.storeHash) {
                continue;
            }
            LinkReported event;
            event.tier = static_cast<Tier>(link.tier);
            event.wait = Milliseconds(link.waitMilliseconds);
            event.evictionAge = std::chrono::seconds(link.evictionAgeSeconds);
            event.usable = link.usable;
            event.bytesPerSecond = static_cast<double>(event.tier == Tier::Memory ? cacheStore.memoryLinkBytesPerSecond : cacheStore.diskLinkBytesPerSecond);
            this->decisions.withScheduler([event, name = cacheStore.name](Scheduler &scheduler, Time now) {
                LinkReported indexed = event;
                indexed.store = scheduler.describeStore(name);
                return scheduler.handle(indexed, now);
            });
        }
    }
}

std::optional<View> Process::Implementation::fetchView(const std::string &address)
{
    try {
        const Result<View> view = View::fromDocument(jsonString(this->peers.call(address, "view", Json::Value(), PeerTimeout), "document"));
        return view ? std::optional(*view) : std::nullopt;
    } catch (const Failure &) {
        return std::nullopt;
    }
}

bool Process::Implementation::isReady()
{
    return !this->draining.load() && this->configuration.current() && !this->fleet.current()->hosts.empty() && !this->membership.view().members.empty();
}

void Process::Implementation::runFlush()
{
    while (!this->stopping.load()) {
        this->records.flush();
        this->clock.sleepFor(FlushInterval);
    }
}

void Process::Implementation::start()
{
    this->decisions.start();
    this->transfers.start();
    this->configuration.start();
    this->targets.start();
    this->internalServer.start();
    this->membership.start();
    this->flushThread.start();
    this->callerServer.start();
    logStateChange("started", {{"name", this->settings.name}, {"zone", this->settings.zone}, {"listen", this->settings.listen}});
}

bool Process::Implementation::waitUntilIdle(HttpServer &server, Time deadline, const std::function<bool()> &endNow)
{
    while (server.running() > 0) {
        if (this->clock.now() > deadline || endNow()) {
            return false;
        }
        this->clock.sleepFor(DrainPollInterval);
    }
    return true;
}

long Process::Implementation::shutDown(const std::function<bool()> &endNow)
{
    logStateChange("draining", {{"requests", std::to_string(this->callerServer.running())}, {"runs", std::to_string(this->internalServer.running())}});
    const Time deadline = this->clock.now() + this->settings.shutdownDeadline;
    this->draining.store(true);
    this->membership.setDraining();
    const Time balancerDeadline = this->clock.now() + LoadBalancerDelay;
    while (this->clock.now() < balancerDeadline && !endNow()) {
        this->clock.sleepFor(DrainPollInterval);
    }
    this->callerApi.refuseNew();
    this->waitUntilIdle(this->callerServer, deadline, endNow);
    this->membership.leave();
    this->waitUntilIdle(this->internalServer, deadline, endNow);
    const long interrupted = this->callerServer.running() + this->internalServer.running();
    logStateChange("stopped", {{"cut", std::to_string(interrupted)}});
    if (interrupted > 0) {
        return interrupted;
    }
    this->stopping.store(true);
    this->clock.interrupt();
    this->callerServer.stop();
    this->internalServer.stop();
    this->flushThread.join();
    this->membership.stop();
    this->targets.stop();
    this->configuration.stop();
    this->transfers.stop();
    this->decisions.stop();
    return 0;
}

Process::Process(std::unique_ptr<Implementation> processImplementation)
    : implementation(std::move(processImplementation))
{
}

Process::~Process() = default;

Result<std::unique_ptr<Process>> Process::create(const Settings &settings, Clock &clock)
{
    try {
        return std::unique_ptr<Process>(new Process(std::make_unique<Implementation>(settings, clock)));
    } catch (const Poco::Exception &exception) {
        return failed(ErrorKind::Internal, "cannot bind " + settings.listen + " or " + settings.internal + ": " + exception.displayText());
    }
}

void Process::start()
{
    this->implementation->start();
}

long Process::shutDown(const std::function<bool()> &endNow)
{
    return this->implementation->shutDown(endNow);
}

} // namespace pimentosail
