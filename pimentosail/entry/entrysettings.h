// Settings of the entry service, as an adapter reads them from the deployment.
#pragma once

#include <string>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/dispatch/limits.h"

namespace pimentosail
{

// Addresses are `IP:PORT`.
struct EntrySettings
{
    std::string name;
    std::string zone;
    // For callers.
    std::string listen;
    // For the balancer's readiness checks.
    std::string readyListen;
    // For other hosts and for the state dump.
    std::string peerListen;
    // For metrics.
    std::string metricsListen;
    // For load reports of other hosts (UDP).
    std::string gossipListen;
    std::string storeAddress;
    // Addresses of some other hosts; they may be stale.
    std::vector<std::string> peers;
    int64_t fileDescriptors = 1024;
    // Share of the processor.
    double cores = 1;

    // From SIGTERM to SIGKILL.
    Duration shutdownGrace = std::chrono::seconds(8);
    // Two holders must not give orders within this time of each other.
    Duration holderGap = std::chrono::seconds(3);
    // After this time no work may begin on older weights.
    Duration versionLimit = std::chrono::seconds(15);
    RepeatBounds repeats;
};

} // namespace pimentosail
