// A JSON-RPC call through libjsonrpccpp over a transport that the caller supplies. This header doesn't include the
// library's client headers, because they don't compile with a language version later than C++14.
//
//     Json::Value result = callRpc(transport, "configuration", parameters);
//
// Thread-safe if the transport is.
#pragma once

#include <functional>
#include <stdexcept>
#include <string>

#include <json/value.h>

namespace pimentosail
{

// Sends the text of a request and returns the text of the answer. `callRpc` rethrows its exceptions. On a kept connection, `isRpcAnswer` tells
// whether an answer is one to an earlier request.
using RpcTransport = std::function<std::string(const std::string &message)>;

// Reports that the peer answered with a JSON-RPC error; `code` and `data` are those of the error.
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

// Returns true if `answer` is JSON and bears the id of the request `message`.
bool isRpcAnswer(const std::string &message, const std::string &answer);

// Calls `method` with an id that no other call of this process bears, and returns its result. Throws `RpcError` if the peer reports an error or the
// answer does not bear the id, or what `transport` throws.
Json::Value callRpc(const RpcTransport &transport, const std::string &method, const Json::Value &parameters);

} // namespace pimentosail
