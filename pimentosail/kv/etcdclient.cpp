#include "pimentosail/kv/etcdclient.h"

#include <algorithm>
#include <sstream>

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>

#include "pimentosail/base/error.h"
#include "pimentosail/base/json.h"

namespace pimentosail
{

namespace
{

// The JSON gateway of etcd prints 64-bit integers as strings.
int64_t readInteger(const Json::Value &value)
{
    if (value.isString()) {
        return std::stoll(value.asString());
    }
    return value.isIntegral() ? value.asInt64() : 0;
}

KeyValue readKeyValue(const Json::Value &value)
{
    return {decodeBase64(value["key"].asString()), decodeBase64(value["value"].asString()), readInteger(value["mod_revision"])};
}

// Returns the smallest key above every key that starts with `prefix`.
std::string prefixEnd(std::string prefix)
{
    prefix.back() = static_cast<char>(prefix.back() + 1);
    return prefix;
}

} // namespace

std::string encodeBase64(const std::string &bytes)
{
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return out.str();
}

std::string decodeBase64(const std::string &text)
{
    std::istringstream in(text);
    Poco::Base64Decoder decoder(in);
    return {std::istreambuf_iterator<char>(decoder), std::istreambuf_iterator<char>()};
}

EtcdClient::EtcdClient(std::vector<std::string> serviceAddresses, Duration callTimeout)
    : addresses(std::move(serviceAddresses))
    , timeout(callTimeout)
{
}

Json::Value EtcdClient::post(const std::string &path, const Json::Value &body)
{
    const size_t index = this->addressIndex.load() % this->addresses.size();
    try {
        const HttpReply reply = this->client.call(this->addresses[index], {"POST", path, {}, printJson(body)}, this->timeout);
        if (reply.status != 200) {
            throw Failure(ErrorKind::KeyValueUnavailable, path + " answered " + std::to_string(reply.status));
        }
        return parseJson(reply.body);
    } catch (const Failure &failure) {
        this->addressIndex.store(index + 1);
        throw Failure(ErrorKind::KeyValueUnavailable, failure.what());
    }
}

std::optional<KeyValue> EtcdClient::get(const std::string &key)
{
    Json::Value body;
    body["key"] = encodeBase64(key);
    const Json::Value reply = this->post("/v3/kv/range", body);
    if (!reply.isMember("kvs") || reply["kvs"].empty()) {
        return std::nullopt;
    }
    return readKeyValue(reply["kvs"][0]);
}

std::vector<KeyValue> EtcdClient::list(const std::string &prefix)
{
    Json::Value body;
    body["key"] = encodeBase64(prefix);
    body["range_end"] = encodeBase64(prefixEnd(prefix));
    std::vector<KeyValue> result;
    const Json::Value reply = this->post("/v3/kv/range", body);
    for (const Json::Value &item : reply["kvs"]) {
        result.push_back(readKeyValue(item));
    }
    return result;
}

SwapOutcome EtcdClient::compareAndSwap(const std::string &key, int64_t expectedRevision, const std::string &value, int64_t lease)
{
    Json::Value compare;
    compare["key"] = encodeBase64(key);
    compare["target"] = "MOD";
    compare["result"] = "EQUAL";
    compare["mod_revision"] = std::to_string(expectedRevision);
    Json::Value put;
    put["key"] = encodeBase64(key);
    put["value"] = encodeBase64(value);
    put["lease"] = std::to_string(lease);
    Json::Value body;
    body["compare"].append(compare);
    body["success"][0]["request_put"] = put;
    const Json::Value reply = this->post("/v3/kv/txn", body);
    const bool swapped = jsonBoolean(reply, "succeeded");
    return {swapped, swapped ? readInteger(reply["header"]["revision"]) : 0};
}

int64_t EtcdClient::grantLease(Duration ttl)
{
    Json::Value body;
    body["TTL"] = std::to_string(std::max<int64_t>(1, (toMilliseconds(ttl) + 999) / 1000));
    return readInteger(this->post("/v3/lease/grant", body)["ID"]);
}

bool EtcdClient::keepAlive(int64_t lease)
{
    Json::Value body;
    body["ID"] = std::to_string(lease);
    const Json::Value reply = this->post("/v3/lease/keepalive", body);
    return readInteger(reply["result"]["TTL"]) > 0;
}

void EtcdClient::revokeLease(int64_t lease)
{
    Json::Value body;
    body["ID"] = std::to_string(lease);
    this->post("/v3/lease/revoke", body);
}

std::optional<KeyValue> EtcdClient::waitForChange(const std::string &key, int64_t afterRevision, Duration wait)
{
    Json::Value body;
    body["create_request"]["key"] = encodeBase64(key);
    body["create_request"]["start_revision"] = std::to_string(afterRevision + 1);
    const std::string &address = this->addresses[this->addressIndex.load() % this->addresses.size()];
    try {
        const std::unique_ptr<HttpStream> stream = HttpStream::open(address, {"POST", "/v3/watch", {}, printJson(body)}, this->timeout);
        if (!stream->waitForHeader(this->timeout)) {
            throw Failure(ErrorKind::KeyValueUnavailable, "the watch was not answered");
        }
        std::string line;
        while (stream->readLine(line, wait) == LineStatus::Line) {
            const Json::Value message = parseJson(line);
            const Json::Value &events = message["result"]["events"];
            if (!events.empty()) {
                return readKeyValue(events[events.size() - 1]["kv"]);
            }
        }
        return std::nullopt;
    } catch (const Failure &failure) {
        throw Failure(ErrorKind::KeyValueUnavailable, failure.what());
    }
}

} // namespace pimentosail
