// Tells the other hosts this host's load at each target and takes their reports, as datagrams. With relays, hosts
// report to the relays alone, and each relay tells its followers the load of all other hosts.
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
    // Binds to the gossip address of the settings; throws `Poco::Exception` if it is taken.
    explicit LoadDuty(EntryContext &entryContext);
    ~LoadDuty();

    void start();
    void stop();

private:
    void runSend();
    void runReceive();
    std::vector<TargetLoad> ownLoads() const;
    std::string encodeReport(const std::vector<TargetLoad> &own, const std::string &relay) const;
    void send(const std::string &report, const HostEntry &host);
    void sendTotals(const std::vector<TargetLoad> &own, Time now);
    void checkRelay(const std::string &relay, Time now);
    void take(const Json::Value &value);

    // A host that asked this one for totals.
    struct Follower
    {
        std::string gossip;
        Time askedAt{};
    };

    EntryContext &context;
    Poco::Net::DatagramSocket socket;
    std::mutex mutex;
    std::map<std::string, Follower> followers;
    // The relay that is asked for totals, and since when. Used by the sending thread only.
    std::string asked;
    Time askedSince{};
    std::atomic<bool> stopping{false};
    DutyThread sender;
    DutyThread receiver;
};

} // namespace pimentosail
