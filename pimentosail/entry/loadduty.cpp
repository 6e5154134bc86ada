#include "pimentosail/entry/loadduty.h"

#include <array>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"

namespace pimentosail
{

namespace
{

constexpr Duration ReportInterval = Milliseconds(100);
constexpr Duration ReceiveWait = Milliseconds(1000);
constexpr size_t MaxDatagram = 16 * 1024;
// Hosts told in one interval. With more hosts each interval tells others, in turn.
constexpr size_t HostsPerInterval = 12;

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

std::string LoadDuty::encodeReport(bool &isEmpty) const
{
    Json::Value value;
    value["host"] = this->context.settings.name;
    value["loads"] = Json::Value(Json::arrayValue);
    for (const TargetPointer &target : this->context.directory.everything()) {
        const int requests = target->inFlight.load();
        if (requests > 0) {
            Json::Value row(Json::arrayValue);
            row.append(target->id);
            row.append(requests);
            row.append(Json::Int64(target->pendingTokens.load()));
            row.append(Json::Int64(target->lateTokens.load()));
            value["loads"].append(row);
        }
    }
    isEmpty = value["loads"].empty();
    return printJson(value);
}

void LoadDuty::runSend()
{
    bool wasEmpty = false;
    size_t turn = 0;
    while (!this->stopping.load()) {
        this->context.clock.sleepFor(ReportInterval);
        bool isEmpty = false;
        const std::string report = this->encodeReport(isEmpty);
        if (isEmpty && wasEmpty) {
            continue;
        }
        wasEmpty = isEmpty;
        const std::vector<HostEntry> hosts = this->context.state.hosts();
        for (size_t index = 0; index < std::min(hosts.size(), HostsPerInterval); ++index) {
            const HostEntry &host = hosts[turn++ % hosts.size()];
            if (host.name == this->context.settings.name || host.gossip.empty()) {
                continue;
            }
            try {
                this->socket.sendTo(report.data(), static_cast<int>(report.size()), Poco::Net::SocketAddress(host.gossip));
            } catch (const Poco::Exception &) {
                this->context.metrics.count("pimentosail_load_reports_unsent_total", {});
            }
        }
    }
}

void LoadDuty::runReceive()
{
    std::array<char, MaxDatagram> buffer{};
    while (!this->stopping.load()) {
        try {
            if (!this->socket.poll(Poco::Timespan(ReceiveWait.count()), Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            Poco::Net::SocketAddress from;
            const int size = this->socket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), from);
            const Json::Value value = parseJson(std::string_view(buffer.data(), static_cast<size_t>(std::max(0, size))));
            std::vector<TargetLoad> loads;
            for (const Json::Value &row : value["loads"]) {
                loads.push_back({row[0].asString(), row[1].asInt(), row[2].asInt64(), row[3].asInt64()});
            }
            this->context.loads.note(jsonString(value, "host"), std::move(loads), this->context.clock.now());
        } catch (const std::exception &) {
            // A datagram of another program or a refused earlier send.
            this->context.metrics.count("pimentosail_load_reports_unreadable_total", {});
        }
    }
}

} // namespace pimentosail
