// Sends this host's load at each target to the other hosts and receives their reports, as UDP datagrams.
//
// In a small deployment, every host reports to every other host. If there are relays, a host reports to the relay that it follows
// and receives the total load from it; a relay sends the sum of its group to the other relays. So a host other than a relay sends
// and receives one datagram in each interval, whatever the number of hosts. Reports also contain what targets have said of
// themselves: the request rates that they take, that they are leaving, and for how long they want no requests.
//
//     LoadDuty duty(context);
//     duty.start();
//     duty.stop();
//
// Runs one thread that sends and one that receives. Datagrams that cannot be sent, read or used are counted by their reason and
// dropped.
#pragma once

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

#include "pimentosail/base/duty.h"
#include "pimentosail/directory/relaymonitor.h"
#include "pimentosail/entry/context.h"
#include "pimentosail/entry/loadmessages.h"

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
    // A host that uses this one as its relay and gets totals from it.
    struct Follower
    {
        Poco::Net::SocketAddress address;
        Time lastReportAt{};
        int loadFormat = 1;
    };
    // A report that this host sent to its relay, which the relay's totals refer to.
    struct SentReport
    {
        ReportNumber number;
        Time at{};
        std::vector<TargetLoad> loads;
    };

    void runSend();
    void runReceive();
    void sendInterval(Time now);
    std::vector<TargetLoad> ownLoads() const;
    // Returns what is part of each datagram of this host: its load, and from time to time what targets have said to it.
    LoadMessage makeMessage(LoadMessageKind kind, std::vector<TargetLoad> loads) const;
    void sendTo(const std::string &datagram, const Poco::Net::SocketAddress &address);
    void sendToHost(const std::string &datagram, const HostEntry &host);
    void reportToAll(const LoadMessage &report, const std::vector<HostEntry> &hosts, Time now);
    void reportToRelay(LoadMessage report, const HostEntry &relay, Time now);
    // Returns the name under which the relay that this host follows gets its outcomes; it is another one after the relay has restarted.
    std::string outcomeReceiver();
    void sendGroup(const std::vector<TargetLoad> &own, const std::vector<HostEntry> &relays, Time now);
    void sendTotals(const std::vector<TargetLoad> &own, Time now);
    void leaveRelay(Time now);
    void checkRelay(Time now);
    void handleDatagram(std::string_view bytes, const Poco::Net::SocketAddress &from);
    void handleReport(const LoadMessage &message, const Poco::Net::SocketAddress &from, Time now);
    void handleTotals(LoadMessage message, Time now);
    void recordStatements(const LoadMessage &message);
    void recordSaves(const LoadMessage &message);
    void countDropped(const char *reason);

    EntryContext &context;
    Poco::Net::DatagramSocket socket;
    const uint64_t processId;
    std::mutex mutex;
    // The next four are guarded by `mutex`.
    std::map<std::string, Follower> followers;
    std::deque<SentReport> sentReports;
    // The relay that this host follows, and its process as far as it is known.
    std::string relayName;
    uint64_t relayProcess = 0;
    RelayMonitor relayMonitor;
    // The following are used by the sending thread only.
    uint64_t sequence = 0;
    // The relay that this host follows.
    std::optional<HostEntry> followedRelay;
    // The last report in a deployment without relays was empty.
    bool wasEmpty = false;
    // When statements of targets were last sent, and how many changes of them there were until then.
    Time statementsSentAt{};
    uint64_t statementChangesSent = 0;
    // Statements are part of the datagrams of this interval.
    bool hasStatements = false;
    std::atomic<bool> stopping{false};
    DutyThread sender;
    DutyThread receiver;
};

} // namespace pimentosail
