// Settings of the entry service. An adapter reads them from the deployment.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/dispatch/limits.h"

namespace pimentosail
{

// All addresses have the form `IP:PORT`.
struct EntrySettings
{
    // Name and availability zone of this host.
    std::string name;
    std::string zone;
    // Address for callers.
    std::string listen;
    // Address for the load balancer's readiness checks.
    std::string readyListen;
    // Address for calls of other hosts and for the state dump.
    std::string peerListen;
    // Address for metrics.
    std::string metricsListen;
    // Address for load reports of other hosts (UDP).
    std::string gossipListen;
    // Address of the platform's key-value store.
    std::string keyValueStoreAddress;
    // Addresses of some other hosts (`peerListen`); some may be out of date.
    std::vector<std::string> peers;
    // The whole system starts for the first time: no host has run before this one.
    bool isFirstStart = false;
    // Limit of open file descriptors of the process.
    int64_t fileDescriptors = 1024;
    // Memory that the process may use.
    int64_t memoryBytes = 256 * 1024 * 1024;
    // Number of processor cores that the process may use; may be a fraction.
    double cores = 1;

    // Time from SIGTERM to SIGKILL.
    Duration shutdownGrace = std::chrono::seconds(8);
    // Minimum time between the last load order of one rollout leader and the first load order of the next.
    Duration leaderGap = std::chrono::seconds(3);
    // Time after which a change of the configuration must be in force on every host that reaches the store.
    Duration configurationLimit = std::chrono::seconds(2);
    // Time after a version is wanted from which no work may begin on older weights.
    Duration versionLimit = std::chrono::seconds(15);
    // Largest share of a service's requests, between an order to deliver a new version and its deadline, that a bad version may get from all
    // hosts together; nothing if the delivery of versions is off.
    std::optional<double> exposureShare;
    // Number of requests that a bad version may get beyond that share.
    int64_t exposureSlack = 50;
    // Time after its 50th bad response from which a bad version gets no request.
    Duration rollbackLimit = std::chrono::seconds(5);
    // Bounds on retries of requests.
    SharedRetryBounds retryBounds;
};

} // namespace pimentosail
