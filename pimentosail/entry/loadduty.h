// Tells the other hosts this host's load at each target and takes their reports, as datagrams.
#pragma once

#include <atomic>

#include <Poco/Net/DatagramSocket.h>

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
    std::string encodeReport(bool &isEmpty) const;

    EntryContext &context;
    Poco::Net::DatagramSocket socket;
    std::atomic<bool> stopping{false};
    DutyThread sender;
    DutyThread receiver;
};

} // namespace pimentosail
