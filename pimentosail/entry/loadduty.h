// Sends this host's load at each target to the other hosts and receives their reports, as UDP datagrams. If there are
// relays, hosts report to the relays only, and each relay sends its followers the summed load of all other hosts. Reports also
// contain the request rates that targets have named to the host, and those of relays the newest that they know.
//
//     LoadDuty duty(context);
//     duty.start();
//     duty.stop();
//
// Runs one thread that sends and one that receives. Datagrams that cannot be sent or read are counted and dropped.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <Poco/Net/DatagramSocket.h>
#include <json/value.h>

#include "pimentosail/base/duty.h"
#include "pimentosail/entry/context.h"

namespace pimentosail
{

class LoadDuty
{
public:
    // Binds to the gossip address of the settings. Throws `Poco::Exception` if that fails.
    explicit LoadDuty(EntryContext &entryContext);
    ~LoadDuty();

    void start();
    void stop();

private:
    void runSend();
    void runReceive();
    std::vector<TargetLoad> ownLoads() const;
    std::string encodeReport(const std::vector<TargetLoad> &own, const std::string &relay, const Json::Value &limits) const;
    void send(const std::string &report, const HostEntry &host);
    void sendTotals(const std::vector<TargetLoad> &own, const Json::Value &limits, Time now);
    void checkRelay(const std::string &relay, Time now);
    void handleDatagram(const Json::Value &value);
    void recordLimit(const RateLimitObservation &observation);

    // A host that uses this one as its relay and gets totals from it.
    struct Follower
    {
        std::string gossip;
        Time lastReportAt{};
    };

    EntryContext &context;
    Poco::Net::DatagramSocket socket;
    std::mutex mutex;
    std::map<std::string, Follower> followers;
    // The relay that this host follows, and since when. Used by the sending thread only.
    std::string followedRelay;
    Time followedSince{};
    // When the limits of targets were last part of a report. Used by the sending thread only.
    Time limitsSentAt{};
    std::atomic<bool> stopping{false};
    DutyThread sender;
    DutyThread receiver;
};

} // namespace pimentosail
