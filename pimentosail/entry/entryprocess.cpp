#include "pimentosail/entry/entryprocess.h"

#include <algorithm>
#include <random>
#include <set>

#include <malloc.h>

#include <Poco/Exception.h>
#include <Poco/NumberParser.h>

#include "pimentosail/base/json.h"
#include "pimentosail/entry/callerlimits.h"
#include "pimentosail/entry/deliveryduty.h"
#include "pimentosail/entry/loadduty.h"
#include "pimentosail/entry/peermessages.h"
#include "pimentosail/entry/requestrunner.h"
#include "pimentosail/entry/stateupdater.h"
#include "pimentosail/entry/storeduties.h"
#include "pimentosail/mirror/storemirror.h"
#include "pimentosail/peer/peerclient.h"
#include "pimentosail/peer/rpcserver.h"

namespace pimentosail
{

namespace
{

// Connections of other hosts. Each follower of a relay keeps two long polls open.
constexpr int64_t PeerConnections = 160;
constexpr int64_t ReadyConnections = 16;
// What waits for slow readers may take one part in this of the memory of the process, as the answers and the bodies of requests may.
constexpr int64_t HostMemoryPerCallerBuffers = 8;
// Time from reporting not ready until the load balancer sends no new requests: it probes once a second and removes a host
// after two failed probes. A request that is accepted more than three seconds after SIGTERM must be completed, which a
// long stream could not be.
constexpr Duration BalancerRemovalTime = Milliseconds(2600);
// The process exits this long before the end of the grace period, at which it would be killed.
constexpr Duration ShutdownMargin = Milliseconds(500);
// Maximum time for the answers to requests that still run at the end of the grace period; part of the margin.
constexpr Duration LastAnswerTime = Milliseconds(200);
// The process exits after this time without requests, since a request may have been read but not counted yet.
constexpr Duration IdleTime = Milliseconds(300);
constexpr Duration ShutdownStep = Milliseconds(20);
// Larger allocations are returned to the system when they are freed. By default, the allocator raises this size with each one that is
// freed, and the heaps of many threads would keep the memory of large bodies.
constexpr int LargeAllocationBytes = 256 * 1024;
// Each arena of the allocator keeps what its threads have freed, and the default number grows with the cores of the machine.
constexpr int MaxAllocatorArenas = 4;
constexpr Duration RefreshInterval = Milliseconds(500);
// Maximum time for which a long poll of another host is held open.
constexpr Duration MaxPeerWait = Milliseconds(1000);
// Time that a call to another host may take beyond the wait that it asks for.
constexpr Duration PeerCallMargin = Milliseconds(500);

// How long a snapshot of the cache stores' contents is given out. Changes since then follow by the journal.
constexpr Duration SnapshotLifetime = Milliseconds(500);
constexpr const char *CacheChangesPath = "/cache/changes";
// Time (Unix ms) on the targets' clock, as a relay knows it when it answers.
constexpr const char *TargetClockHeader = "Target-Clock";

int64_t parseQueryNumber(const HttpExchange &exchange, const char *name)
{
    Poco::Int64 value = 0;
    if (!Poco::NumberParser::tryParse64(exchange.query(name), value)) {
        throw Failure(ErrorKind::BadRequest, std::string(name) + " is not a number");
    }
    return value;
}

} // namespace

class EntryProcess::Impl
{
public:
    Impl(const EntrySettings &entrySettings, Clock &runtimeClock, EventLog &eventLog, const Wire &entryWire, const PrefixStore &store);

    ~Impl();

    void start();
    long shutDown();

private:
    void serveReady(HttpExchange &exchange);
    void servePeer(HttpExchange &exchange);
    // Logs changes of mixed load and sets its metric.
    void reportMixedLoad();
    void serveMetrics(HttpExchange &exchange);
    void updateGauges();
    MirrorPeers mirrorPeers();
    std::string answerCacheChanges(const HttpExchange &exchange);
    CacheChanges fetchCacheChanges(const HostEntry &relay, const JournalPosition &position, Duration wait);
    MirrorChanges fetchStoreChangesFromAnyHost(const StorePosition &position, Duration wait);
    MirrorChanges fetchStoreChanges(const std::string &address, const StorePosition &position, Duration wait);
    Json::Value dumpState();
    bool isReady();
    void logBlocked();
    void dropOldNotices();
    void runRefresh();

    EntrySettings settings;
    Clock &clock;
    EventLog &log;
    Wire wire;
    Metrics metrics;
    EntryState state;
    TargetDirectory directory;
    LoadTable loads;
    ConnectionPool connections;
    RateLimitTable rateLimits;
    TargetNoticeTable notices;
    SharedRetryBudget retryBudget;
    TargetSendLimiter sendLimiter;
    SendGate gate;
    Quarantine quarantine;
    BlockQuarantine blockQuarantine;
    CacheStores cacheStores;
    CacheJournal cacheJournal;
    BlockReuse blockReuse;
    FirstTokenForecast forecast;
    WorkMix workMix;
    MixedLoad mixedLoad;
    BlockShares blockShares;
    TargetSpeeds targetSpeeds;
    MessageMemory answerMemory;
    MessageMemory requestMemory;
    CallerBuffers callerBuffers;
    Deliveries deliveries;
    EntryContext context;
    StateUpdater updater;
    std::mutex updaterMutex;
    HttpClient peerHttp;
    PeerClient peers;
    StoreMirror mirror;
    RpcServer rpc;
    HostDuty hostDuty;
    RolloutDuty rolloutDuty;
    DeliveryDuty deliveryDuty;
    CacheEventDuty cacheDuty;
    LoadDuty loadDuty;
    std::mutex snapshotMutex;
    // The contents of the cache stores in binary form, for followers whose position this host does not know, and when it was made.
    std::string snapshot;
    Time snapshotAt{};
    std::atomic<bool> stopping{false};
    // Groups of blocked blocks that were logged. Used by the refresh thread only.
    std::set<std::vector<std::string>> loggedBlocked;
    // Services whose mixed load was logged. Used by the refresh thread only.
    std::set<std::string> loggedMixed;
    DutyThread refreshThread;
    HttpServer callerServer;
    HttpServer readyServer;
    HttpServer peerServer;
    HttpServer metricsServer;
};

EntryProcess::Impl::Impl(const EntrySettings &entrySettings, Clock &runtimeClock, EventLog &eventLog, const Wire &entryWire, const PrefixStore &store)
    : settings(entrySettings)
    , clock(runtimeClock)
    , log(eventLog)
    , wire(entryWire)
    , directory(clock)
    , connections(clock)
    , retryBudget(clock, settings.retryBounds)
    , sendLimiter(clock)
    , gate(clock, directory, notices, sendLimiter)
    , quarantine(clock)
    , cacheStores(clock, settings.isFirstStart)
    , cacheJournal(cacheStores)
    , mixedLoad(clock)
    , targetSpeeds(clock)
    , answerMemory(settings.memoryBytes)
    , requestMemory(settings.memoryBytes)
    , callerBuffers(clock, settings.memoryBytes / HostMemoryPerCallerBuffers)
    , deliveries(clock, log, metrics, settings.exposureShare.has_value())
    , context{clock, log, metrics, settings, wire, state, directory, loads, connections, rateLimits, notices, retryBudget, gate, quarantine, blockQuarantine,
          cacheStores, blockReuse, forecast, workMix, mixedLoad, blockShares, targetSpeeds, answerMemory, requestMemory, callerBuffers, deliveries, mirror}
    , updater(context)
    , peers(peerHttp,
          [this](const std::string &method, size_t bytes) {
              this->metrics.count("pimentosail_peer_bytes_total", {{"method", method}}, static_cast<double>(bytes));
          })
    , mirror(clock, log, store, this->mirrorPeers(),
          [this](const std::set<std::string> &keys) {
              const std::lock_guard lock(this->updaterMutex);
              this->updater.update(this->mirror, keys);
          })
    , rpc({{"store_changes",
               [this](const Json::Value &arguments) {
                   const Duration wait = std::min<Duration>(Milliseconds(jsonInteger(arguments, "wait_ms")), MaxPeerWait);
                   // A host of an earlier version names no era.
                   const int64_t era = jsonInteger(arguments, "era", this->mirror.status().era);
                   return encodeStoreChanges(this->mirror.changesAfter({era, jsonInteger(arguments, "after")}, wait));
               }},
          {"cache_changes",
              [this](const Json::Value &arguments) {
                  const Duration wait = std::min<Duration>(Milliseconds(jsonInteger(arguments, "wait_ms")), MaxPeerWait);
                  // A host of an earlier version names no status.
                  const JournalPosition position{jsonString(arguments, "journal"), jsonInteger(arguments, "after"), jsonInteger(arguments, "status_after", -1)};
                  return encodeCacheChanges(this->cacheJournal.changesAfter(position, wait));
              }},
          {"state",
              [this](const Json::Value & /*arguments*/) {
                  return this->dumpState();
              }}})
    , hostDuty(context, store, mirror)
    , rolloutDuty(context, store, mirror)
    , deliveryDuty(context, store, mirror, rolloutDuty.rolloutLeadership())
    , cacheDuty(context, cacheJournal,
          [this](const HostEntry &relay, const JournalPosition &position, Duration wait) { return this->fetchCacheChanges(relay, position, wait); })
    , loadDuty(context)
    , refreshThread("refresh", [this] { this->runRefresh(); })
    , callerServer(
          settings.listen, callerLimits(settings), [this](HttpExchange &exchange) { RequestRunner(this->context, exchange).run(); },
          [this](HttpExchange &exchange) { RequestRunner(this->context, exchange).run(); })
    , readyServer(settings.readyListen, ReadyConnections, [this](HttpExchange &exchange) { this->serveReady(exchange); })
    , peerServer(settings.peerListen, PeerConnections, [this](HttpExchange &exchange) { this->servePeer(exchange); })
    , metricsServer(settings.metricsListen, ReadyConnections, [this](HttpExchange &exchange) { this->serveMetrics(exchange); })
{
}

EntryProcess::Impl::~Impl()
{
    this->stopping.store(true);
    this->callerServer.stop();
    this->readyServer.stop();
    this->peerServer.stop();
    this->metricsServer.stop();
    this->refreshThread.join();
    this->loadDuty.stop();
    this->cacheDuty.stop();
    this->deliveryDuty.stop();
    this->rolloutDuty.stop();
    this->hostDuty.stop();
    this->mirror.stop();
}

bool EntryProcess::Impl::isReady()
{
    return !this->state.isDraining.load() && this->state.serving() && this->directory.size() > 0;
}

void EntryProcess::Impl::serveReady(HttpExchange &exchange)
{
    const bool ready = this->isReady();
    exchange.send(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
}

void EntryProcess::Impl::servePeer(HttpExchange &exchange)
{
    const std::string path = exchange.path();
    if (path == "/rpc") {
        exchange.send(200, "application/json", this->rpc.handle(exchange.readBody(1024 * 1024, this->clock, PeerCallMargin)));
    } else if (path == CacheChangesPath) {
        try {
            std::string changes = this->answerCacheChanges(exchange);
            if (!exchange.query("confirmations").empty()) {
                changes.insert(0, writeCacheConfirmations(this->cacheStores.confirmations()));
            }
            HeaderList headers{{"Content-Type", "application/octet-stream"}};
            if (const std::optional<int64_t> time = this->cacheStores.targetClock().at(this->clock.nowWithSuspend())) {
                headers.emplace_back(TargetClockHeader, std::to_string(*time));
            }
            exchange.sendWithHeaders(200, headers, changes, true);
        } catch (const Failure &failure) {
            exchange.sendError(failure.error, "");
        }
    } else if (path == "/debug/state") {
        exchange.send(200, "application/json", printJsonIndented(this->dumpState()));
    } else {
        exchange.sendError(Error(ErrorKind::NotFound, "unknown path"), "");
    }
}

std::string EntryProcess::Impl::answerCacheChanges(const HttpExchange &exchange)
{
    const JournalPosition position{exchange.query("journal"), parseQueryNumber(exchange, "after"), parseQueryNumber(exchange, "status_after")};
    const Duration wait = std::clamp<Duration>(Milliseconds(parseQueryNumber(exchange, "wait_ms")), Duration(0), MaxPeerWait);
    if (this->cacheJournal.covers(position)) {
        return writeCacheChanges(this->cacheJournal.changesAfter(position, wait));
    }
    // Many followers need a snapshot at once when another relay fails. It is made once for all of them.
    const std::lock_guard lock(this->snapshotMutex);
    if (this->snapshotAt == Time(0) || this->clock.now() > this->snapshotAt + SnapshotLifetime) {
        this->snapshot = writeCacheChanges(this->cacheJournal.changesAfter({}, Duration(0)));
        this->snapshotAt = this->clock.now();
    }
    return this->snapshot;
}

void EntryProcess::Impl::serveMetrics(HttpExchange &exchange)
{
    this->updateGauges();
    exchange.send(200, "text/plain; version=0.0.4", this->metrics.print());
}

void EntryProcess::Impl::updateGauges()
{
    const MirrorStatus status = this->mirror.status();
    this->metrics.set("pimentosail_store_reachable", {}, status.isReachable ? 1 : 0);
    this->metrics.set("pimentosail_store_answer_age_seconds", {}, toSeconds(this->clock.now() - status.lastAnswer));
    this->metrics.set("pimentosail_configuration_age_seconds", {}, toSeconds(this->clock.now() - this->state.servingSince()));
    this->metrics.set("pimentosail_targets", {}, static_cast<double>(this->directory.size()));
    this->metrics.set("pimentosail_hosts", {}, static_cast<double>(this->state.hostCount()));
    this->metrics.set("pimentosail_idle_connections", {}, static_cast<double>(this->connections.size()));
    this->metrics.set("pimentosail_repeated_ids", {}, static_cast<double>(this->connections.repeatedIds()));
    this->metrics.set("pimentosail_caller_connections", {}, static_cast<double>(this->callerServer.openConnections()));
    this->metrics.set("pimentosail_slow_reader_bytes", {}, static_cast<double>(this->callerBuffers.bytes()));
    this->metrics.set("pimentosail_slow_readers", {}, static_cast<double>(this->callerBuffers.readers()));
    this->metrics.set("pimentosail_slow_readers_ended", {}, static_cast<double>(this->callerBuffers.ended()));
    this->metrics.set("pimentosail_log_lines_dropped", {}, static_cast<double>(this->log.dropped()));
    this->metrics.set("pimentosail_log_lines_suppressed", {}, static_cast<double>(this->log.suppressed()));
    const std::vector<SuspectedBlocks> suspects = this->blockQuarantine.suspects();
    this->metrics.set("pimentosail_suspected_blocks", {}, static_cast<double>(suspects.size()));
    this->metrics.set("pimentosail_blocked_blocks", {},
        static_cast<double>(std::count_if(suspects.begin(), suspects.end(), [](const SuspectedBlocks &suspected) { return suspected.isBlocked; })));
    const std::vector<RateLimitObservation> limits = this->rateLimits.newestObservations(this->clock.now());
    this->metrics.set("pimentosail_limited_targets", {},
        static_cast<double>(
            std::count_if(limits.begin(), limits.end(), [](const RateLimitObservation &observation) { return observation.requestsPerSecond.has_value(); })));
    const std::vector<TargetNotice> targetNotices = this->notices.known(this->clock.now());
    for (const NoticeKind kind : {NoticeKind::Leaving, NoticeKind::Resting}) {
        this->metrics.set("pimentosail_target_notices", {{"kind", std::string(noticeKindName(kind))}},
            static_cast<double>(std::count_if(targetNotices.begin(), targetNotices.end(), [kind](const TargetNotice &notice) { return notice.kind == kind; })));
    }
    this->reportMixedLoad();
    this->metrics.set("pimentosail_delivery_outcomes_dropped", {}, static_cast<double>(this->deliveries.outcomes.dropped()));
    for (const CacheStore &store : this->cacheStores.stores()) {
        this->metrics.set("pimentosail_cache_store_held_tokens", {{"store", store.name}}, static_cast<double>(this->cacheStores.heldTokens(store.name)));
        this->metrics.set("pimentosail_cache_store_save_delay_seconds", {{"store", store.name}}, toSeconds(this->cacheStores.saveDelay(store.name)));
    }
    this->metrics.set("pimentosail_saves_under_way", {}, static_cast<double>(this->cacheStores.saves().count()));
    for (const CacheStoreConfirmation &confirmation : this->cacheStores.confirmations()) {
        this->metrics.set("pimentosail_cache_store_confirmation_age_seconds", {{"store", confirmation.store}}, toSeconds(confirmation.age));
    }
}

void EntryProcess::Impl::reportMixedLoad()
{
    const std::map<std::string, double> readTimes = this->mixedLoad.mixedServices();
    for (const auto &[service, readTime] : readTimes) {
        if (this->loggedMixed.insert(service).second) {
            this->log.write(LogLevel::Info, "mixed_load_begins", {{"service", service}, {"read_us_per_token", 1000 * readTime}});
        }
        this->metrics.set("pimentosail_mixed_load_read_us_per_token", {{"service", service}}, 1000 * readTime);
    }
    std::erase_if(this->loggedMixed, [this, &readTimes](const std::string &service) {
        if (readTimes.contains(service)) {
            return false;
        }
        this->log.write(LogLevel::Info, "mixed_load_ends", {{"service", service}});
        this->metrics.set("pimentosail_mixed_load_read_us_per_token", {{"service", service}}, 0);
        return true;
    });
}

MirrorPeers EntryProcess::Impl::mirrorPeers()
{
    MirrorPeers result;
    result.fetchFromAny = [this](const StorePosition &position, Duration wait) {
        return this->fetchStoreChangesFromAnyHost(position, wait);
    };
    result.fetchFromRelay = [this](const StorePosition &position, Duration wait) {
        const std::optional<HostEntry> source = this->state.storeSource();
        if (!source) {
            throw Failure(ErrorKind::PeerLost, "no relay is known");
        }
        return this->fetchStoreChanges(source->address, position, wait);
    };
    result.skipRelay = [this] {
        if (const std::optional<HostEntry> source = this->state.storeSource()) {
            this->state.skipStoreSource(source->name);
        }
    };
    result.watchesStore = [this] {
        return this->state.watchesStore();
    };
    result.hasFollowers = [this] {
        return this->state.hasRelays();
    };
    return result;
}

MirrorChanges EntryProcess::Impl::fetchStoreChanges(const std::string &address, const StorePosition &position, Duration wait)
{
    Json::Value arguments;
    arguments["era"] = Json::Int64(position.era);
    arguments["after"] = Json::Int64(position.revision);
    arguments["wait_ms"] = Json::Int64(toMilliseconds(wait));
    MirrorChanges changes = decodeStoreChanges(this->peers.call(address, "store_changes", arguments, wait + PeerCallMargin));
    changes.sender = address;
    return changes;
}

CacheChanges EntryProcess::Impl::fetchCacheChanges(const HostEntry &relay, const JournalPosition &position, Duration wait)
{
    if (relay.loadFormat >= BinaryLoadFormat) {
        const std::string query = "?journal=" + position.journal + "&after=" + std::to_string(position.next)
            + "&status_after=" + std::to_string(position.statusPosition) + "&wait_ms=" + std::to_string(toMilliseconds(wait)) + "&confirmations=1";
        const HttpReply reply = this->peerHttp.call(relay.address, {"GET", CacheChangesPath + query, {}, ""}, wait + PeerCallMargin);
        this->metrics.count("pimentosail_peer_bytes_total", {{"method", "cache_changes"}}, static_cast<double>(query.size() + reply.body.size()));
        if (reply.status != 200) {
            throw Failure(ErrorKind::PeerLost, relay.address + " answered " + std::to_string(reply.status));
        }
        Poco::Int64 targetTime = 0;
        if (Poco::NumberParser::tryParse64(reply.header(TargetClockHeader).value_or(""), targetTime)) {
            this->cacheStores.targetClock().record(targetTime, this->clock.nowWithSuspend());
        }
        return readCacheChanges(reply.body);
    }
    // A relay of an earlier version.
    Json::Value arguments;
    arguments["journal"] = position.journal;
    arguments["after"] = Json::Int64(position.next);
    arguments["status_after"] = Json::Int64(position.statusPosition);
    arguments["wait_ms"] = Json::Int64(toMilliseconds(wait));
    return decodeCacheChanges(this->peers.call(relay.address, "cache_changes", arguments, wait + PeerCallMargin));
}

MirrorChanges EntryProcess::Impl::fetchStoreChangesFromAnyHost(const StorePosition &position, Duration wait)
{
    std::vector<std::string> addresses = this->settings.peers;
    for (const HostEntry &host : this->state.hosts()) {
        addresses.push_back(host.address);
    }
    std::erase(addresses, this->settings.peerListen);
    if (addresses.empty()) {
        throw Failure(ErrorKind::PeerLost, "no other host is known");
    }
    static thread_local std::mt19937_64 random{std::random_device{}()};
    return this->fetchStoreChanges(addresses[random() % addresses.size()], position, wait);
}

Json::Value EntryProcess::Impl::dumpState()
{
    Json::Value value;
    value["name"] = this->settings.name;
    value["zone"] = this->settings.zone;
    value["ready"] = this->isReady();
    const MirrorStatus status = this->mirror.status();
    value["store"]["reachable"] = status.isReachable;
    value["store"]["era"] = Json::Int64(status.era);
    value["store"]["revision"] = Json::Int64(status.revision);
    const ServingConfigurationPointer serving = this->state.serving();
    value["configuration"]["version"] = Json::Int64(serving ? serving->all().version : 0);
    for (const HostEntry &host : this->state.hosts()) {
        value["hosts"].append(host.name);
    }
    for (const auto &[model, wanted] : this->state.allWantedVersions()) {
        value["wanted_versions"][model] = Json::Int64(wanted.version);
    }
    for (const CacheStore &store : this->cacheStores.stores()) {
        value["cache_stores"][store.name]["held_tokens"] = Json::Int64(this->cacheStores.heldTokens(store.name));
        value["cache_stores"][store.name]["capacity_tokens"] = Json::Int64(store.capacityTokens);
        value["cache_stores"][store.name]["save_delay_ms"] = Json::Int64(toMilliseconds(this->cacheStores.saveDelay(store.name)));
    }
    for (const CacheStoreConfirmation &confirmation : this->cacheStores.confirmations()) {
        value["cache_stores"][confirmation.store]["epoch"] = Json::Int64(confirmation.epoch);
        value["cache_stores"][confirmation.store]["confirmation_age_ms"] = Json::Int64(toMilliseconds(confirmation.age));
    }
    for (const SuspectedBlocks &suspected : this->blockQuarantine.suspects()) {
        Json::Value entry;
        for (const std::string &block : suspected.blocks) {
            entry["blocks"].append(block);
        }
        for (const std::string &incarnation : suspected.incarnations) {
            entry["ended"].append(incarnation);
        }
        entry["requests"] = Json::UInt64(suspected.requests);
        entry["blocked"] = suspected.isBlocked;
        value["suspected_blocks"].append(entry);
    }
    for (const RateLimitObservation &observation : this->rateLimits.newestObservations(this->clock.now())) {
        if (observation.requestsPerSecond) {
            value["limited_targets"][observation.target] = *observation.requestsPerSecond;
        }
    }
    for (const TargetNotice &notice : this->notices.known(this->clock.now())) {
        value["target_notices"][std::string(noticeKindName(notice.kind))].append(notice.target);
    }
    for (const std::string &service : this->deliveries.services()) {
        const DeliveryKnowledge known = this->deliveries.knowledge(service);
        Json::Value &entry = value["deliveries"][service];
        entry["ordered_version"] = known.order ? known.order->order.version : "";
        entry["order_error"] = known.order ? known.order->error : "";
        entry["phase"] = known.state ? std::string(deliveryPhaseName(known.state->phase)) : "none";
        entry["reason"] = known.state ? known.state->reason : "";
        entry["evidence"] = std::string(evidenceVerdictName(known.evidence.verdict));
        entry["evidence_reason"] = known.evidence.reason;
        entry["elapsed_ms"] = Json::Int64(toMilliseconds(known.elapsed));
    }
    value["targets"] = Json::Int64(static_cast<int64_t>(this->directory.size()));
    value["idle_connections"] = Json::Int64(static_cast<int64_t>(this->connections.size()));
    value["log"]["dropped"] = Json::Int64(this->log.dropped());
    value["log"]["suppressed"] = Json::Int64(this->log.suppressed());
    return value;
}

void EntryProcess::Impl::logBlocked()
{
    for (const SuspectedBlocks &suspected : this->blockQuarantine.suspects()) {
        if (!suspected.isBlocked || !this->loggedBlocked.insert(suspected.blocks).second) {
            continue;
        }
        std::string blocks;
        for (const std::string &block : suspected.blocks) {
            blocks += (blocks.empty() ? "" : ",") + block;
        }
        this->log.write(LogLevel::Warning, "prompt_blocks_blocked",
            {{"blocks", blocks}, {"targets_ended", suspected.incarnations.size()}, {"requests", suspected.requests}});
    }
}

void EntryProcess::Impl::dropOldNotices()
{
    if (this->notices.changeCount() == 0) {
        return;
    }
    std::set<std::pair<std::string, int64_t>> registered;
    for (const TargetPointer &target : this->directory.allTargets()) {
        registered.emplace(target->id, target->startedAt);
    }
    this->notices.dropOld(registered, this->clock.now());
}

void EntryProcess::Impl::runRefresh()
{
    while (!this->stopping.load()) {
        {
            const std::lock_guard lock(this->updaterMutex);
            this->updater.refresh(this->mirror);
        }
        this->dropOldNotices();
        this->logBlocked();
        this->connections.closeExpired();
        this->cacheStores.expireSaves();
        this->clock.sleepFor(RefreshInterval);
    }
}

void EntryProcess::Impl::start()
{
    this->peerServer.start();
    this->mirror.start();
    this->hostDuty.start();
    this->rolloutDuty.start();
    this->deliveryDuty.start();
    this->cacheDuty.start();
    this->loadDuty.start();
    this->refreshThread.start();
    this->readyServer.start();
    this->metricsServer.start();
    this->callerServer.start();
    this->log.write(LogLevel::Info, "started",
        {{"zone", this->settings.zone}, {"listen", this->settings.listen}, {"store", this->settings.keyValueStoreAddress},
            {"first_start", this->settings.isFirstStart}});
}

long EntryProcess::Impl::shutDown()
{
    const Time shutdownStart = this->clock.now();
    this->log.write(LogLevel::Info, "draining", {{"requests", this->callerServer.running()}});
    this->state.isDraining.store(true);
    this->deliveryDuty.stop();
    this->rolloutDuty.stop();
    const Time deadline = shutdownStart + this->settings.shutdownGrace - ShutdownMargin;
    Time idleSince = this->clock.now();
    while (this->clock.now() < deadline) {
        const Time now = this->clock.now();
        if (this->callerServer.running() > 0) {
            idleSince = now;
        }
        if (now > shutdownStart + BalancerRemovalTime) {
            this->state.isClosing.store(true);
            if (now > idleSince + IdleTime) {
                break;
            }
        }
        this->clock.sleepFor(ShutdownStep);
    }
    const long unfinished = this->callerServer.running();
    this->state.shutdownEnd.set();
    const Time answeredBy = this->clock.now() + LastAnswerTime;
    while (this->callerServer.running() > 0 && this->clock.now() < answeredBy) {
        this->clock.sleepFor(ShutdownStep);
    }
    const long interrupted = this->callerServer.running();
    this->hostDuty.stop();
    this->log.write(
        LogLevel::Info, "stopped", {{"cut", interrupted}, {"unfinished", unfinished}, {"took_ms", toMilliseconds(this->clock.now() - shutdownStart)}});
    return interrupted;
}

EntryProcess::EntryProcess(std::unique_ptr<Impl> implementation)
    : impl(std::move(implementation))
{
}

EntryProcess::~EntryProcess() = default;

Result<std::unique_ptr<EntryProcess>> EntryProcess::create(
    const EntrySettings &settings, Clock &clock, EventLog &log, const Wire &wire, const PrefixStore &store)
{
    ::mallopt(M_MMAP_THRESHOLD, LargeAllocationBytes);
    ::mallopt(M_ARENA_MAX, MaxAllocatorArenas);
    try {
        return std::unique_ptr<EntryProcess>(new EntryProcess(std::make_unique<Impl>(settings, clock, log, wire, store)));
    } catch (const Poco::Exception &exception) {
        return failed(ErrorKind::Internal,
            "cannot bind " + settings.listen + ", " + settings.readyListen + " or " + settings.peerListen + ": " + exception.displayText());
    }
}

void EntryProcess::start()
{
    this->impl->start();
}

long EntryProcess::shutDown()
{
    return this->impl->shutDown();
}

} // namespace pimentosail
