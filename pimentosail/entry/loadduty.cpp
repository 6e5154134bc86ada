#include "pimentosail/entry/loadduty.h"

#include <map>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include "pimentosail/base/json.h"

namespace pimentosail
{

namespace
{

constexpr Duration ReportInterval = Milliseconds(100);
// Reports are sent twice as often if there are relays, since they take two hops.
constexpr Duration RelayReportInterval = Milliseconds(50);
constexpr Duration ReceiveWait = Milliseconds(1000);
// Bytes; below the limit of a UDP datagram.
constexpr size_t MaxDatagram = 60 * 1024;
// A relay sends totals to a follower for this long after the follower's last report. A follower that gets no totals for
// this long changes to another relay.
constexpr Duration FollowTimeout = std::chrono::seconds(1);

void appendLoad(Json::Value &rows, const TargetLoad &load)
{
    Json::Value row(Json::arrayValue);
    row.append(load.target);
    row.append(load.requests);
    row.append(Json::Int64(load.pendingTokens));
    row.append(Json::Int64(load.lateTokens));
    row.append(Json::Int64(load.heldTokens));
    rows.append(row);
}

std::vector<TargetLoad> readLoads(const Json::Value &rows)
{
    std::vector<TargetLoad> loads;
    for (const Json::Value &row : rows) {
        loads.push_back({row[0].asString(), row[1].asInt(), row[2].asInt64(), row[3].asInt64(), row[4].asInt64()});
    }
    return loads;
}

// Limits that targets have named are part of one report in each interval, because they change seldom. An observation of this host
// is sent for some intervals, in case reports are lost.
constexpr Duration LimitReportInterval = Milliseconds(500);
constexpr Duration LimitReportTime = std::chrono::seconds(5);

// Appends the limits that targets have named. A row is [target, start of its incarnation, limit or -1 for none, age in ms].
void appendLimits(Json::Value &rows, const std::vector<RateLimitObservation> &observations, Time now)
{
    for (const RateLimitObservation &observation : observations) {
        Json::Value row(Json::arrayValue);
        row.append(observation.target);
        row.append(Json::Int64(observation.startedAt));
        row.append(observation.requestsPerSecond.value_or(-1));
        row.append(Json::Int64(toMilliseconds(now - observation.observedAt)));
        rows.append(row);
    }
}

RateLimitObservation readLimit(const Json::Value &row, Time now)
{
    const double limit = row[2].asDouble();
    return {row[0].asString(), row[1].asInt64(), limit < 0 ? std::nullopt : std::optional<double>(limit), now - Milliseconds(row[3].asInt64())};
}

} // namespace

LoadDuty::LoadDuty(EntryContext &entryContext)
    : context(entryContext)
    , socket(Poco::Net::SocketAddress(entryContext.settings.gossipListen))
    , sender("load-send", [this] { this->runSend(); })
    , receiver("load-receive", [this] { this->runReceive(); })
{
}

LoadDuty::~LoadDuty()
{
    this->stop();
}

void LoadDuty::start()
{
    this->sender.start();
    this->receiver.start();
}

void LoadDuty::stop()
{
    this->stopping.store(true);
    this->sender.join();
    this->receiver.join();
}

std::vector<TargetLoad> LoadDuty::ownLoads() const
{
    std::vector<TargetLoad> loads;
    for (const TargetPointer &target : this->context.directory.allTargets()) {
        const int requests = target->inFlight.load();
        if (requests > 0) {
            loads.push_back({target->id, requests, target->pendingTokens.load(), target->lateTokens.load(), target->heldTokens.load()});
        }
    }
    return loads;
}

std::string LoadDuty::encodeReport(const std::vector<TargetLoad> &own, const std::string &relay, const Json::Value &limits) const
{
    Json::Value value;
    value["host"] = this->context.settings.name;
    if (!relay.empty()) {
        value["follows"] = relay;
        value["gossip"] = this->context.settings.gossipListen;
    }
    value["loads"] = Json::Value(Json::arrayValue);
    for (const TargetLoad &load : own) {
        appendLoad(value["loads"], load);
    }
    value["limits"] = limits;
    return printJson(value);
}

void LoadDuty::send(const std::string &report, const HostEntry &host)
{
    if (host.name == this->context.settings.name || host.gossip.empty()) {
        return;
    }
    try {
        this->socket.sendTo(report.data(), static_cast<int>(report.size()), Poco::Net::SocketAddress(host.gossip));
    } catch (const Poco::Exception &) {
        this->context.metrics.count("pimentosail_load_reports_unsent_total", {});
    }
}

// Sends each follower the summed load of all other hosts.
void LoadDuty::sendTotals(const std::vector<TargetLoad> &own, const Json::Value &limits, Time now)
{
    std::map<std::string, Follower> current;
    {
        const std::lock_guard lock(this->mutex);
        std::erase_if(this->followers, [now](const auto &entry) { return entry.second.lastReportAt + FollowTimeout < now; });
        current = this->followers;
    }
    for (const auto &[name, follower] : current) {
        Json::Value value;
        value["totals"] = Json::Value(Json::arrayValue);
        for (const TargetLoad &load : this->context.loads.totalsWithout(name, own, now)) {
            appendLoad(value["totals"], load);
        }
        value["limits"] = limits;
        this->send(printJson(value), {name, "", "", follower.gossip, 0});
    }
}

// Changes to another relay if the present one sends no totals.
void LoadDuty::checkRelay(const std::string &relay, Time now)
{
    if (relay != this->followedRelay) {
        this->followedRelay = relay;
        this->followedSince = now;
    } else if (!relay.empty() && now > std::max(this->followedSince, this->context.loads.lastTotalsAt()) + FollowTimeout) {
        this->context.log.write(LogLevel::Warning, "relay_skipped", {{"reason", "no load totals received"}, {"relay", relay}});
        this->context.state.skipRelay(relay);
    }
}

void LoadDuty::runSend()
{
    bool wasEmpty = false;
    while (!this->stopping.load()) {
        this->context.clock.sleepFor(this->context.state.relays().empty() ? ReportInterval : RelayReportInterval);
        const Time now = this->context.clock.now();
        const std::vector<HostEntry> relays = this->context.state.relays();
        const std::optional<HostEntry> followed = this->context.state.readsFromSource() ? std::nullopt : this->context.state.relay();
        const std::string relay = followed ? followed->name : "";
        this->checkRelay(relay, now);
        const std::vector<TargetLoad> own = this->ownLoads();
        // Empty reports are sent too if there are relays, because each report of a follower also renews its subscription.
        if (own.empty() && wasEmpty && relays.empty() && !this->context.rateLimits.hasObservations()) {
            continue;
        }
        wasEmpty = own.empty();
        Json::Value ownLimits(Json::arrayValue);
        Json::Value newestLimits(Json::arrayValue);
        if (now >= this->limitsSentAt + LimitReportInterval) {
            this->limitsSentAt = now;
            appendLimits(ownLimits, this->context.rateLimits.ownObservations(now - LimitReportTime), now);
            appendLimits(newestLimits, this->context.rateLimits.newestObservations(now), now);
        }
        const std::string report = this->encodeReport(own, relay, ownLimits);
        for (const HostEntry &host : relays.empty() ? this->context.state.hosts() : relays) {
            this->send(report, host);
        }
        this->sendTotals(own, newestLimits, now);
    }
}

void LoadDuty::recordLimit(const RateLimitObservation &observation)
{
    if (this->context.rateLimits.recordReport(observation)) {
        this->context.log.write(LogLevel::Info, "target_limit_changed",
            {{"target", observation.target}, {"limit", observation.requestsPerSecond.value_or(-1)}, {"source", "report"}});
    }
}

void LoadDuty::handleDatagram(const Json::Value &value)
{
    const Time now = this->context.clock.now();
    for (const Json::Value &row : value["limits"]) {
        this->recordLimit(readLimit(row, now));
    }
    if (value.isMember("totals")) {
        this->context.loads.recordTotals(readLoads(value["totals"]), now);
        return;
    }
    const std::string host = jsonString(value, "host");
    this->context.loads.recordReport(host, readLoads(value["loads"]), now);
    if (jsonString(value, "follows") == this->context.settings.name) {
        const std::lock_guard lock(this->mutex);
        this->followers[host] = {jsonString(value, "gossip"), now};
    }
}

void LoadDuty::runReceive()
{
    std::vector<char> buffer(MaxDatagram);
    while (!this->stopping.load()) {
        try {
            if (!this->socket.poll(Poco::Timespan(ReceiveWait.count()), Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            Poco::Net::SocketAddress from;
            const int size = this->socket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), from);
            this->handleDatagram(parseJson(std::string_view(buffer.data(), static_cast<size_t>(std::max(0, size)))));
        } catch (const std::exception &) {
            // The datagram comes from another program, or an earlier send was refused and the socket reports it now.
            this->context.metrics.count("pimentosail_load_reports_unreadable_total", {});
        }
    }
}

} // namespace pimentosail
