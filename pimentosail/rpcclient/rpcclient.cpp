#include "pimentosail/rpcclient/rpcclient.h"

#include <atomic>
#include <exception>
#include <memory>

#include <json/reader.h>
#include <json/writer.h>
#include <jsonrpccpp/client.h>

namespace pimentosail
{

namespace
{

constexpr const char *IdKey = "id";

// Returns null if `text` is not JSON.
Json::Value parse(const std::string &text)
{
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value value;
    std::string errors;
    try {
        return reader->parse(text.data(), text.data() + text.size(), &value, &errors) ? value : Json::Value();
    } catch (const Json::Exception &) {
        // Too deeply nested.
        return Json::Value();
    }
}

Json::Value idOf(const std::string &text)
{
    const Json::Value value = parse(text);
    return value.isObject() ? value[IdKey] : Json::Value();
}

// Returns `message` with an id of its own. The library gives each request the id 1, and does not compare the id of the answer.
std::string withOwnId(const std::string &message)
{
    static std::atomic<int> lastId{0};
    Json::Value request = parse(message);
    request[IdKey] = ++lastId;
    Json::StreamWriterBuilder compact;
    compact["indentation"] = "";
    return Json::writeString(compact, request);
}

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
        const std::string request = withOwnId(message);
        try {
            result = this->transport(request);
        } catch (...) {
            this->failure = std::current_exception();
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "transport failed");
        }
        if (!isRpcAnswer(request, result)) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE, "the answer does not bear the id of the request");
        }
    }

    const RpcTransport &transport;
    std::exception_ptr failure;
};

} // namespace

bool isRpcAnswer(const std::string &message, const std::string &answer)
{
    const Json::Value id = idOf(message);
    return !id.isNull() && idOf(answer) == id;
}

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
