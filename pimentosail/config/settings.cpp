#include "pimentosail/config/settings.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

namespace pimentosail
{

namespace
{

constexpr int64_t MaxMilliseconds = 24LL * 3600 * 1000;

bool isIpAddress(const std::string &address)
{
    try {
        const bool numeric = address.find_first_not_of("0123456789abcdefABCDEF.:[]") == std::string::npos;
        return numeric && Poco::Net::SocketAddress(address).port() != 0;
    } catch (const Poco::Exception &) {
        return false;
    }
}

std::string readAddress(MapReader &reader, const std::string &key)
{
    std::string address = reader.requiredString(key);
    if (!address.empty() && !isIpAddress(address)) {
        reader.report(key, "key '" + key + "': expected IP:PORT, found '" + address + "'");
    }
    return address;
}

std::vector<std::string> readAddresses(MapReader &reader, const std::string &key)
{
    std::vector<std::string> addresses = reader.strings(key);
    for (const std::string &address : addresses) {
        if (!isIpAddress(address)) {
            reader.report(key, "key '" + key + "': expected IP:PORT, found '" + address + "'");
        }
    }
    return addresses;
}

Duration readMilliseconds(MapReader &reader, const std::string &key, int64_t fallback, int64_t minimum = 1)
{
    return Milliseconds(reader.integer(key, fallback, minimum, MaxMilliseconds));
}

} // namespace

std::optional<Settings> parseSettings(const std::string &text, const std::string &file, Diagnostics &problems)
{
    const YAML::Node document = parseYaml(text, file, problems);
    if (!problems.empty()) {
        return std::nullopt;
    }
    Settings settings;
    MapReader reader(document, file, problems);
    settings.name = reader.requiredString("name");
    settings.zone = reader.requiredString("zone");
    settings.listen = readAddress(reader, "listen");
    settings.internal = readAddress(reader, "internal");
    settings.keyValue = readAddresses(reader, "key_value");
    settings.hostList = readAddress(reader, "host_list");
    settings.peers = readAddresses(reader, "peers");
    settings.leaseTtl = readMilliseconds(reader, "lease_ttl_ms", 6000, 500);
    settings.heartbeatInterval = readMilliseconds(reader, "heartbeat_ms", 500, 50);
    settings.loadPollInterval = readMilliseconds(reader, "load_poll_ms", 2000, 20);
    settings.progressTimeout = readMilliseconds(reader, "progress_timeout_ms", 3000, 50);
    settings.shutdownDeadline = readMilliseconds(reader, "shutdown_deadline_ms", 120'000);
    settings.recordRetention = readMilliseconds(reader, "record_retention_ms", MaxMilliseconds, 1000);
    settings.maxConnections = reader.integer("max_connections", 600, 1, 100'000);
    settings.maxBodyBytes = reader.integer("max_body_bytes", 4 << 20, 1024, 1 << 30);
    settings.controlBytesPerSecond = reader.integer("control_bytes_per_s", 2000, 100, 1'000'000);
    settings.policy = reader.choice("policy", "predicted", {"predicted", "round_robin", "least_loaded", "sticky_hash", "always_import", "never_import"});
    if (settings.keyValue.empty() && problems.empty()) {
        reader.report("key_value", "key 'key_value': expected at least one IP:PORT");
    }
    reader.finish();
    if (!problems.empty()) {
        return std::nullopt;
    }
    return settings;
}

} // namespace pimentosail
