#include "pimentosail/entry/loadduty.h"

#include <algorithm>
#include <random>
#include <set>

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

#include "pimentosail/base/error.h"
#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

constexpr Duration ReportInterval = Milliseconds(100);
// Reports are sent twice as often if there are relays, since they take three hops; but not in a large deployment, where a host's share of
// the load at each target is small.
constexpr Duration RelayReportInterval = Milliseconds(50);
constexpr size_t LargeDeploymentHosts = 150;
constexpr Duration ReceiveWait = Milliseconds(1000);
// Bytes; below the limit of a UDP datagram.
constexpr size_t MaxDatagram = 60 * 1024;
// Reports that are remembered to interpret the relay's totals.
constexpr size_t MaxSentReports = 64;
// What targets have said is sent at once when it changes, and again in this interval, in case reports are lost. A rate limit that
// this host observed is sent for `LimitReportTime`.
constexpr Duration StatementInterval = Milliseconds(500);
constexpr Duration LimitReportTime = std::chrono::seconds(5);

OutcomeSource outcomeSourceOf(LoadSource source)
{
    switch (source) {
    case LoadSource::Follower:
        return OutcomeSource::Follower;
    case LoadSource::Group:
        return OutcomeSource::Group;
    case LoadSource::Direct:
        break;
    }
    return OutcomeSource::Direct;
}

uint64_t randomProcessId()
{
    std::random_device device;
    return ((static_cast<uint64_t>(device()) << 32) | device()) | 1;
}

} // namespace

LoadDuty::LoadDuty(EntryContext &entryContext)
    : context(entryContext)
    , socket(Poco::Net::SocketAddress(entryContext.settings.gossipListen))
    , processId(randomProcessId())
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

void LoadDuty::countDropped(const char *reason)
{
    this->context.metrics.count("pimentosail_load_reports_dropped_total", {{"reason", reason}});
}

LoadMessage LoadDuty::makeMessage(LoadMessageKind kind, std::vector<TargetLoad> loads) const
{
    LoadMessage message;
    message.kind = kind;
    message.sender = this->context.settings.name;
    message.number = {this->processId, this->sequence};
    message.loads = std::move(loads);
    if (this->hasStatements) {
        const Time now = this->context.clock.now();
        const bool isReport = kind == LoadMessageKind::Report;
        message.limits = isReport ? this->context.rateLimits.ownObservations(now - LimitReportTime) : this->context.rateLimits.newestObservations(now);
        message.notices = isReport ? this->context.notices.own(now) : this->context.notices.known(now);
    }
    return message;
}

void LoadDuty::sendTo(const std::string &datagram, const Poco::Net::SocketAddress &address)
{
    if (datagram.size() > MaxDatagram) {
        this->countDropped("too_large");
        return;
    }
    try {
        this->socket.sendTo(datagram.data(), static_cast<int>(datagram.size()), address);
    } catch (const Poco::Exception &) {
        this->countDropped("unsent");
    }
}

void LoadDuty::sendToHost(const std::string &datagram, const HostEntry &host)
{
    if (host.name == this->context.settings.name || host.gossip.empty()) {
        return;
    }
    try {
        this->sendTo(datagram, Poco::Net::SocketAddress(host.gossip));
    } catch (const Poco::Exception &) {
        this->countDropped("bad_address");
    }
}

void LoadDuty::reportToAll(const LoadMessage &report, const std::vector<HostEntry> &hosts, Time now)
{
    const std::string datagram = encodeLoadMessage(report, now);
    std::optional<std::string> legacyDatagram;
    for (const HostEntry &host : hosts) {
        if (host.loadFormat >= LoadFormat) {
            this->sendToHost(datagram, host);
            continue;
        }
        if (host.loadFormat >= BinaryLoadFormat) {
            this->sendToHost(encodeLoadMessage(report, now, host.loadFormat), host);
            continue;
        }
        if (!legacyDatagram) {
            legacyDatagram = encodeLegacyLoadMessage(report, now);
        }
        this->sendToHost(*legacyDatagram, host);
    }
}

void LoadDuty::reportToRelay(LoadMessage report, const HostEntry &relay, Time now)
{
    report.relay = relay.name;
    report.replyAddress = this->context.settings.gossipListen;
    if (this->context.deliveries.isCounting()) {
        report.outcomes = this->context.deliveries.outcomes.ownReport(this->outcomeReceiver(), this->sequence);
    }
    {
        const std::lock_guard lock(this->mutex);
        this->sentReports.push_back({report.number, now, report.loads});
        while (this->sentReports.size() > MaxSentReports) {
            this->sentReports.pop_front();
        }
    }
    this->sendToHost(relay.loadFormat >= BinaryLoadFormat ? encodeLoadMessage(report, now, relay.loadFormat) : encodeLegacyLoadMessage(report, now), relay);
}

std::string LoadDuty::outcomeReceiver()
{
    const std::lock_guard lock(this->mutex);
    return this->relayName + "/" + std::to_string(this->relayProcess);
}

void LoadDuty::sendGroup(const std::vector<TargetLoad> &own, const std::vector<HostEntry> &relays, Time now)
{
    LoadMessage group = this->makeMessage(LoadMessageKind::Group, this->context.loads.groupLoad(own, now));
    group.saves = this->context.cacheStores.saves().changes(SaveScope::Group);
    if (this->context.deliveries.isCounting()) {
        group.outcomes = this->context.deliveries.outcomes.groupReport();
    }
    const std::string datagram = encodeLoadMessage(group, now);
    for (const HostEntry &relay : relays) {
        if (relay.loadFormat >= LoadFormat) {
            this->sendToHost(datagram, relay);
        } else if (relay.loadFormat >= BinaryLoadFormat) {
            this->sendToHost(encodeLoadMessage(group, now, relay.loadFormat), relay);
        }
    }
}

void LoadDuty::sendTotals(const std::vector<TargetLoad> &own, Time now)
{
    std::map<std::string, Follower> current;
    {
        const std::lock_guard lock(this->mutex);
        std::erase_if(this->followers, [now](const auto &entry) { return entry.second.lastReportAt + RelayMonitor::Timeout < now; });
        current = this->followers;
    }
    if (current.empty()) {
        return;
    }
    LoadMessage totals = this->makeMessage(LoadMessageKind::Totals, this->context.loads.totalLoad(own, now));
    totals.saves = this->context.cacheStores.saves().changes(SaveScope::All);
    if (this->context.deliveries.isCounting()) {
        totals.outcomes.rows = this->context.deliveries.outcomes.totals();
    }
    std::map<std::string, int> formats;
    for (const HostEntry &host : this->context.state.hosts()) {
        formats[host.name] = std::clamp(host.loadFormat, BinaryLoadFormat, LoadFormat);
    }
    // By the format that followers read.
    std::map<int, TotalsEncoder> encoders;
    std::optional<std::string> legacyDatagram;
    for (const auto &[name, follower] : current) {
        if (follower.loadFormat >= BinaryLoadFormat) {
            const auto known = formats.find(name);
            const int format = known == formats.end() ? BinaryLoadFormat : known->second;
            const TotalsEncoder &encoder = encoders.try_emplace(format, totals, now, format).first->second;
            this->sendTo(encoder.makeFor(this->context.loads.lastReport(name, now)), follower.address);
            continue;
        }
        // A follower of an earlier version counts its own load twice until it is restarted.
        if (!legacyDatagram) {
            legacyDatagram = encodeLegacyLoadMessage(totals, now);
        }
        this->sendTo(*legacyDatagram, follower.address);
    }
}

// Tells the relay that this host has followed that its load is no longer part of the group.
void LoadDuty::leaveRelay(Time now)
{
    if (this->followedRelay && this->followedRelay->loadFormat >= BinaryLoadFormat) {
        ++this->sequence;
        this->sendToHost(encodeLoadMessage(this->makeMessage(LoadMessageKind::Report, {}), now), *this->followedRelay);
    }
}

// Changes to another relay if the present one sends no totals, or only late ones.
void LoadDuty::checkRelay(Time now)
{
    const std::optional<HostEntry> relay = this->context.state.readsFromSource() ? std::nullopt : this->context.state.relay();
    const std::string name = relay ? relay->name : "";
    if (name != (this->followedRelay ? this->followedRelay->name : "")) {
        this->leaveRelay(now);
        this->followedRelay = relay;
        this->relayMonitor.follow(this->context.settings.name, name, now);
        if (!relay) {
            this->context.deliveries.outcomes.forgetTotals();
        }
        const std::lock_guard lock(this->mutex);
        this->sentReports.clear();
        this->relayName = name;
        this->relayProcess = 0;
        return;
    }
    this->followedRelay = relay;
    const RelayFault fault = relay ? this->relayMonitor.fault(now) : RelayFault::None;
    if (fault != RelayFault::None) {
        this->context.log.write(LogLevel::Warning, "relay_skipped", {{"reason", relayFaultText(fault)}, {"relay", name}});
        this->context.state.skipRelay(name);
    }
}

void LoadDuty::sendInterval(Time now)
{
    const std::vector<HostEntry> relays = this->context.state.relays();
    this->checkRelay(now);
    const std::vector<TargetLoad> own = this->ownLoads();
    ++this->sequence;
    this->context.cacheStores.saves().beginInterval();
    const uint64_t changes = this->context.notices.changeCount() + this->context.rateLimits.changeCount();
    this->hasStatements = changes != this->statementChangesSent || now >= this->statementsSentAt + StatementInterval;
    if (this->hasStatements) {
        this->statementsSentAt = now;
        this->statementChangesSent = changes;
    }
    if (this->context.deliveries.isCounting()) {
        this->context.deliveries.refresh(this->context.mirror.status().lastAnswer);
    }
    LoadMessage report = this->makeMessage(LoadMessageKind::Report, own);
    report.saves = this->context.cacheStores.saves().changes(SaveScope::Own);
    if (relays.empty()) {
        const bool isCounting = this->context.deliveries.isCounting();
        if (isCounting) {
            report.outcomes = this->context.deliveries.outcomes.ownReport("", this->sequence);
        }
        // While a version is watched, a host that hears nothing takes itself for cut off.
        const bool isEmpty = own.empty() && report.limits.empty() && report.notices.empty() && report.saves.empty() && !isCounting;
        if (!isEmpty || !this->wasEmpty) {
            this->reportToAll(report, this->context.state.hosts(), now);
        }
        this->wasEmpty = isEmpty;
    } else if (this->followedRelay) {
        // Empty reports are sent too, because each report also renews the subscription to totals.
        this->reportToRelay(report, *this->followedRelay, now);
    } else {
        this->sendGroup(own, relays, now);
    }
    // Relays of an earlier version expect the reports of all hosts and know no groups.
    std::vector<HostEntry> legacyRelays;
    std::copy_if(relays.begin(), relays.end(), std::back_inserter(legacyRelays),
        [this](const HostEntry &relay) { return relay.loadFormat < BinaryLoadFormat && !(this->followedRelay && this->followedRelay->name == relay.name); });
    if (!legacyRelays.empty()) {
        this->reportToAll(report, legacyRelays, now);
    }
    this->sendTotals(own, now);
}

void LoadDuty::runSend()
{
    Time last = this->context.clock.now();
    while (!this->stopping.load()) {
        const size_t hosts = this->context.state.hostCount();
        const bool isFrequent = this->context.state.hasRelays() && hosts < LargeDeploymentHosts;
        const Duration interval = isFrequent ? RelayReportInterval : ReportInterval;
        this->context.clock.sleepFor(interval);
        const Time now = this->context.clock.now();
        this->relayMonitor.recordOwnDelay(now - last - interval);
        last = now;
        this->sendInterval(now);
    }
}

void LoadDuty::recordStatements(const LoadMessage &message)
{
    for (const RateLimitObservation &observation : message.limits) {
        if (this->context.rateLimits.recordReport(observation)) {
            this->context.log.write(LogLevel::Info, "target_limit_changed",
                {{"target", observation.target}, {"limit", observation.requestsPerSecond.value_or(-1)}, {"source", "report"}});
        }
    }
    for (const TargetNotice &notice : message.notices) {
        if (this->context.notices.recordReport(notice)) {
            this->context.log.write(LogLevel::Info, "target_notice",
                {{"target", notice.target}, {"incarnation", notice.startedAt}, {"kind", noticeKindName(notice.kind)},
                    {"age_ms", toMilliseconds(this->context.clock.now() - notice.observedAt)}, {"rest_ms", toMilliseconds(notice.rest)}, {"source", "report"},
                    {"host", message.sender}});
        }
    }
}

void LoadDuty::recordSaves(const LoadMessage &message)
{
    const bool isOfFollower = message.kind == LoadMessageKind::Report && message.relay == this->context.settings.name;
    for (const SaveNotice &notice : message.saves) {
        this->context.cacheStores.saves().record(notice, isOfFollower ? SaveScope::Group : SaveScope::All);
    }
}

void LoadDuty::handleReport(const LoadMessage &message, const Poco::Net::SocketAddress &from, Time now)
{
    const bool isNumbered = message.number.process != 0;
    const bool followsThis = message.relay == this->context.settings.name;
    LoadSource source = LoadSource::Direct;
    if (message.kind == LoadMessageKind::Group) {
        source = LoadSource::Group;
    } else if (followsThis) {
        source = LoadSource::Follower;
    } else if (!message.relay.empty()) {
        // A host of an earlier version reports to all relays. A relay of this version counts it as part of its group.
        const std::vector<HostEntry> relays = this->context.state.relays();
        const auto relay = std::find_if(relays.begin(), relays.end(), [&message](const HostEntry &candidate) { return candidate.name == message.relay; });
        if (relay != relays.end() && relay->loadFormat >= BinaryLoadFormat) {
            return;
        }
    }
    if (!message.outcomes.rows.empty()) {
        this->context.deliveries.outcomes.recordReport(
            outcomeSourceOf(source), message.sender, message.outcomes.stream, message.number.sequence, message.outcomes.rows);
    }
    if (!this->context.loads.record(source, message.sender, message.number, message.loads, now)) {
        this->countDropped("older_than_last");
        return;
    }
    const std::lock_guard lock(this->mutex);
    if (followsThis && message.kind == LoadMessageKind::Report) {
        const Poco::Net::SocketAddress address = message.replyAddress.empty() ? from : Poco::Net::SocketAddress(message.replyAddress);
        this->followers[message.sender] = {address, now, isNumbered ? BinaryLoadFormat : 1};
    } else {
        this->followers.erase(message.sender);
    }
}

void LoadDuty::handleTotals(LoadMessage message, Time now)
{
    std::vector<TargetLoad> ownIncluded;
    if (message.included.process == this->processId) {
        std::optional<SentReport> sent;
        {
            const std::lock_guard lock(this->mutex);
            const auto found = std::find_if(
                this->sentReports.begin(), this->sentReports.end(), [&message](const SentReport &report) { return report.number == message.included; });
            sent = found == this->sentReports.end() ? std::nullopt : std::optional<SentReport>(*found);
        }
        this->relayMonitor.recordTotals(sent ? sent->at : Time::min(), now);
        if (!sent) {
            // Totals of a relay that this host has left, or that are older than all that it remembers.
            this->countDropped("totals_too_old");
            return;
        }
        ownIncluded = std::move(sent->loads);
        this->context.deliveries.outcomes.acknowledge(this->outcomeReceiver(), message.included.sequence);
    } else {
        this->relayMonitor.recordTotalsWithoutReport(now);
    }
    if (!message.outcomes.rows.empty()) {
        this->context.deliveries.outcomes.recordTotals(message.outcomes.rows);
    }
    {
        const std::lock_guard lock(this->mutex);
        this->relayProcess = message.sender == this->relayName ? message.number.process : this->relayProcess;
    }
    this->context.loads.recordTotals(std::move(message.loads), ownIncluded, now);
}

void LoadDuty::handleDatagram(std::string_view bytes, const Poco::Net::SocketAddress &from)
{
    const Time now = this->context.clock.now();
    LoadMessage message = decodeLoadMessage(bytes, now);
    this->context.deliveries.recordOtherHost();
    this->recordStatements(message);
    this->recordSaves(message);
    if (message.kind == LoadMessageKind::Totals) {
        this->handleTotals(std::move(message), now);
    } else if (message.sender.empty()) {
        this->countDropped("no_sender");
    } else {
        this->handleReport(message, from, now);
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
            this->handleDatagram(std::string_view(buffer.data(), static_cast<size_t>(std::max(0, size))), from);
        } catch (const std::exception &) {
            // The datagram comes from another program, or an earlier send was refused and the socket reports it now.
            this->countDropped("unreadable");
        }
    }
}

} // namespace pimentosail
