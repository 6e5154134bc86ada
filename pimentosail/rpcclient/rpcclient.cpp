#include "pimentosail/rpcclient/rpcclient.h"

#include <exception>

#include <jsonrpccpp/client.h>

namespace pimentosail
{

namespace
{

// Sends the library's messages through the caller's transport. It stores an exception of the transport for `callRpc`,
// because SendRPCMessage may throw only JsonRpcException.
class TransportConnector : public jsonrpc::IClientConnector
{
public:
    explicit TransportConnector(const RpcTransport &messageTransport)
        : transport(messageTransport)
    {
    }

    void SendRPCMessage(const std::string &message, std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        try {
            result = this->transport(message);
        } catch (...) {
            this->failure = std::current_exception();
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "transport failed");
        }
    }

    const RpcTransport &transport;
    std::exception_ptr failure;
};

} // namespace

Json::Value callRpc(const RpcTransport &transport, const std::string &method, const Json::Value &parameters)
{
    TransportConnector connector(transport);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        return client.CallMethod(method, parameters);
    } catch (const jsonrpc::JsonRpcException &exception) {
        if (connector.failure) {
            std::rethrow_exception(connector.failure);
        }
        throw RpcError(exception.GetCode(), exception.GetMessage(), exception.GetData());
    }
}

} // namespace pimentosail
