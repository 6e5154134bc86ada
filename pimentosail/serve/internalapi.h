// The protocol towards peers and operators, on the internal address: forwarded runs, JSON-RPC, health, metrics, the
// state dump and the administration of the configuration.
//
//     InternalApi api(context, runner, services, [] { return true; });   // the last argument answers /readyz
//     api.handle(exchange);
//
// Thread-safe.
#pragma once

#include <functional>

#include "pimentosail/net/httpserver.h"
#include "pimentosail/peer/rpcserver.h"
#include "pimentosail/serve/context.h"
#include "pimentosail/serve/runner.h"
#include "pimentosail/serve/servicecalls.h"
#include "pimentosail/serve/transferduty.h"

namespace pimentosail
{

class InternalApi
{
public:
    InternalApi(Context &processContext, Runner &completionRunner, ServiceCalls &serviceCalls, std::function<bool()> readiness);

    // Answers one request. Failures are answered as errors and not thrown.
    void handle(HttpExchange &exchange);

    // Returns the dump of this process's state.
    Json::Value dumpState();

private:
    void route(HttpExchange &exchange);
    void run(HttpExchange &exchange);
    void service(HttpExchange &exchange);
    void administration(HttpExchange &exchange, const std::string &path);
    void applyLists(HttpExchange &exchange);
    void applyOutage(HttpExchange &exchange);
    void sendConfiguration(HttpExchange &exchange, const Result<ConfigurationPointer> &result);
    Json::Value status();
    Json::Value localStatus();
    Json::Value dumpOf(const std::string &host);
    std::map<std::string, RpcHandler> rpcHandlers();

    Context &context;
    Runner &runner;
    ServiceCalls &services;
    std::function<bool()> isReady;
    RpcServer rpc;
};

// Prints a configuration for operators.
Json::Value configurationToJson(const Configuration &configuration);

} // namespace pimentosail
