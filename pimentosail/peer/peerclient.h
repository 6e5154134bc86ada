// Calls the JSON-RPC methods of other entry hosts over HTTP and counts the bytes.
//
//     PeerClient peers(http, [](const std::string &method, size_t bytes) { ... });
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
    // Receives the size of request and reply of each answered call, for the limit on control traffic.
    using ByteCounter = std::function<void(const std::string &method, size_t bytes)>;

    PeerClient(HttpClient &httpClient, ByteCounter byteCounter)
        : http(httpClient)
        , countBytes(std::move(byteCounter))
    {
    }

    // Calls `method` at `address`. Throws `Failure` with the kind that the peer reports, or PeerLost if there is no valid
    // reply.
    Json::Value call(const std::string &address, const std::string &method, const Json::Value &arguments, Duration timeout);

private:
    HttpClient &http;
    ByteCounter countBytes;
};

} // namespace pimentosail
