// A client of the JSON gateway of etcd v3 over HTTP. Internal to the kv library; use `KeyValueStore`.
//
// Every call throws `Failure` (KeyValueUnavailable) if the service does not answer in time. Thread-safe.
#pragma once

#include <atomic>

#include <json/value.h>

#include "pimentosail/kv/keyvaluestore.h"
#include "pimentosail/net/httpclient.h"

namespace pimentosail
{

class EtcdClient
{
public:
    EtcdClient(std::vector<std::string> serviceAddresses, Duration callTimeout);

    // The operations of `KeyValueStore`; see there.
    std::optional<KeyValue> get(const std::string &key);
    std::vector<KeyValue> list(const std::string &prefix);
    SwapOutcome compareAndSwap(const std::string &key, int64_t expectedRevision, const std::string &value, int64_t lease);
    int64_t grantLease(Duration ttl);
    bool keepAlive(int64_t lease);
    void revokeLease(int64_t lease);
    std::optional<KeyValue> waitForChange(const std::string &key, int64_t afterRevision, Duration wait);

private:
    Json::Value post(const std::string &path, const Json::Value &body);

    std::vector<std::string> addresses;
    Duration timeout;
    // Index of the address to call, modulo the number of addresses. A failed call other than `waitForChange` moves it on.
    std::atomic<size_t> addressIndex{0};
    HttpClient client;
};

// Encodes bytes as base64 without line breaks.
std::string encodeBase64(const std::string &bytes);

// Decodes base64.
std::string decodeBase64(const std::string &text);

} // namespace pimentosail
