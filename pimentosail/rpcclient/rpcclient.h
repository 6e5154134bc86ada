// A JSON-RPC call through libjsonrpccpp over a transport of the caller's choice. This header is free of the
// library's client headers, which do not compile after C++14.
//
//     Json::Value result = callRpc(transport, "configuration", parameters);
//
// Thread-safe.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>

#include <json/value.h>

namespace pimentosail
{

// Sends a request text and returns the answer text. Exceptions pass through `callRpc`.
using RpcTransport = std::function<std::string(const std::string &message)>;

// The peer answered with a JSON-RPC error.
class RpcError : public std::runtime_error
{
public:
    RpcError(int errorCode, const std::string &message, const Json::Value &errorData)
        : std::runtime_error(message)
        , code(errorCode)
        , data(errorData)
    {
    }

    int code;
    Json::Value data;
};

// Calls `method`; throws `RpcError` if the peer reports an error.
Json::Value callRpc(const RpcTransport &transport, const std::string &method, const Json::Value &parameters);

} // namespace pimentosail
