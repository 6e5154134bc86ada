#include "pimentosail/peer/rpcserver.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server.h>

#include "pimentosail/base/error.h"

namespace pimentosail
{

namespace
{

// JSON-RPC reserves -32768 to -32000; application errors use other codes.
constexpr int ApplicationErrorCode = 1;

// Passes each request to the library and collects the answer.
class TextConnector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override
    {
        return true;
    }
    bool StopListening() override
    {
        return true;
    }
    bool SendResponse(const std::string &response, void *answer) override
    {
        *static_cast<std::string *>(answer) = response;
        return true;
    }
};

} // namespace

class RpcServer::Implementation
{
public:
    explicit Implementation(std::map<std::string, RpcHandler> methodHandlers)
        : server(this->connector, std::move(methodHandlers))
    {
    }

    std::string handle(const std::string &request)
    {
        std::string answer;
        this->connector.OnRequest(request, &answer);
        return answer;
    }

private:
    // Dispatches each method to its handler by name.
    class Server : public jsonrpc::AbstractServer<Server>
    {
    public:
        Server(TextConnector &textConnector, std::map<std::string, RpcHandler> methodHandlers)
            : AbstractServer(textConnector)
            , handlers(std::move(methodHandlers))
        {
            for (const auto &entry : this->handlers) {
                const jsonrpc::Procedure procedure(entry.first, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, "arguments", jsonrpc::JSON_OBJECT, NULL);
                this->bindAndAddMethod(procedure, &Server::unused);
            }
        }

        void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input, Json::Value &output) override
        {
            try {
                output = this->handlers.at(procedure.GetProcedureName())(input["arguments"]);
            } catch (const Failure &failure) {
                Json::Value data;
                data["kind"] = std::string(errorName(failure.error.kind));
                data["not_run"] = failure.error.notRun;
                throw jsonrpc::JsonRpcException(ApplicationErrorCode, failure.error.message, data);
            }
        }

        // The library requires a member function for each method; `HandleMethodCall` dispatches without it.
        void unused(const Json::Value &, Json::Value &)
        {
        }

    private:
        std::map<std::string, RpcHandler> handlers;
    };

    TextConnector connector;
    Server server;
};

RpcServer::RpcServer(std::map<std::string, RpcHandler> methodHandlers)
    : implementation(std::make_unique<Implementation>(std::move(methodHandlers)))
{
}

RpcServer::~RpcServer() = default;

std::string RpcServer::handle(const std::string &request)
{
    return this->implementation->handle(request);
}

} // namespace pimentosail
