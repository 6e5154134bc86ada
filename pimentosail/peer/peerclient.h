// Calls the JSON-RPC methods of other entry hosts over HTTP and counts the bytes.
//
//     PeerClient peers(http);
//     Json::Value reply = peers.call(address, "lend", arguments, Milliseconds(300));
//
// Thread-safe.
#pragma once

#include <atomic>
#include <functional>
#include <string>

#include <json/value.h>

#include "pimentosail/net/httpclient.h"

namespace pimentosail
{

class PeerClient
{
public:
    // Told about the bytes of each call, both ways, for the control budget.
    using ByteCounter = std::function<void(const std::string &method, size_t bytes)>;

    PeerClient(HttpClient &httpClient, ByteCounter byteCounter)
        : http(httpClient)
        , countBytes(std::move(byteCounter))
    {
    }

    // Calls `method` at `address`. Throws `Failure`: the peer's own kind, or PeerLost.
    Json::Value call(const std::string &address, const std::string &method, const Json::Value &arguments, Duration timeout);

private:
    HttpClient &http;
    ByteCounter countBytes;
};

} // namespace pimentosail
