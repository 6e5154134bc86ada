// The settings of one `pimentosaild` process, read from a YAML file when it starts.
//
//     Diagnostics problems;
//     std::optional<Settings> settings = parseSettings(text, "entry.yaml", problems);
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/config/yamlreader.h"

namespace pimentosail
{

// Settings of `pimentosaild`. Addresses are `IP:PORT`.
struct Settings
{
    std::string name;
    std::string zone;
    // Address for requests of callers.
    std::string listen;
    // Address for peers and operators (TCP for HTTP, UDP for heartbeats).
    std::string internal;
    // Addresses of the key-value store.
    std::vector<std::string> keyValue;
    // Address of the platform's service that lists the hosts.
    std::string hostList;
    // Internal addresses of other hosts, used until the host list and the membership view have been received.
    std::vector<std::string> peers;
    // Time after its last renewal at which this host's membership lease ends.
    Duration leaseTtl{};
    Duration heartbeatInterval{};
    // Interval at which the load of each target is polled.
    Duration loadPollInterval{};
    // Shortest time without progress after which an attempt on a target fails.
    Duration progressTimeout{};
    // Time that running requests have to finish when the process stops.
    Duration shutdownDeadline{};
    // Time for which idempotency records are stored.
    Duration recordRetention{};
    int64_t maxConnections = 0;
    int64_t maxBodyBytes = 0;
    // Limit on the rate of control traffic. No code enforces it yet.
    int64_t controlBytesPerSecond = 0;
    // Routing policy: "predicted", or a baseline for comparisons. See decision/policy.h.
    std::string policy;
};

// Parses and checks settings. On any problem, adds all of them to `problems` and returns nothing.
std::optional<Settings> parseSettings(const std::string &text, const std::string &file, Diagnostics &problems);

} // namespace pimentosail
