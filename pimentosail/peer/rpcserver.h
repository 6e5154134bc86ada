// Serves JSON-RPC calls of peers through libjsonrpccpp. The user of the class provides the transport; `InternalApi`
// receives the calls as POST /rpc.
//
//     RpcServer server({{"configuration", [](const Json::Value &args) { return document; }}});
//     std::string answer = server.handle(requestText);
//
// Thread-safe if the handlers are.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <json/value.h>

namespace pimentosail
{

// Handles one method. A thrown `Failure` reaches the caller with its kind and notRun.
using RpcHandler = std::function<Json::Value(const Json::Value &arguments)>;

class RpcServer
{
public:
    explicit RpcServer(std::map<std::string, RpcHandler> methodHandlers);
    ~RpcServer();

    // Handles the text of one JSON-RPC request and returns the text of the answer.
    std::string handle(const std::string &request);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace pimentosail
