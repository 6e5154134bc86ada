// The settings of one daemon, read from a YAML file at start.
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
    // Address for callers.
    std::string listen;
    // Address for peers and operators (TCP for HTTP, UDP for heartbeats).
    std::string internal;
    std::vector<std::string> keyValue;
    std::string hostList;
    // Internal addresses of other hosts, used until the host list and the view are known.
    std::vector<std::string> peers;
    Duration leaseTtl{};
    Duration heartbeatInterval{};
    Duration loadPollInterval{};
    Duration progressTimeout{};
    Duration shutdownDeadline{};
    Duration recordRetention{};
    int64_t maxConnections = 0;
    int64_t maxBodyBytes = 0;
    int64_t controlBytesPerSecond = 0;
    // Routing policy: "predicted" or a baseline; see decision/policy.h.
    std::string policy;
};

// Parses and checks settings. On any problem, adds all of them to `problems` and returns nothing.
std::optional<Settings> parseSettings(const std::string &text, const std::string &file, Diagnostics &problems);

} // namespace pimentosail
