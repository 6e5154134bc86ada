// The protocol for callers: OpenAI-style completions, the list of models, and plain services.
//
//     CallerApi api(context, runner, services);
//     api.handle(exchange);
//
// Thread-safe.
#pragma once

#include <atomic>

#include "pimentosail/net/httpserver.h"
#include "pimentosail/serve/context.h"
#include "pimentosail/serve/runner.h"
#include "pimentosail/serve/servicecalls.h"

namespace pimentosail
{

class CallerApi
{
public:
    CallerApi(Context &processContext, Runner &completionRunner, ServiceCalls &serviceCalls)
        : context(processContext)
        , runner(completionRunner)
        , services(serviceCalls)
    {
    }

    // Answers one request. Failures are answered as errors and not thrown.
    void handle(HttpExchange &exchange);

    // Makes every new request fail with ShuttingDown.
    void refuseNew()
    {
        this->refusing.store(true);
    }

private:
    // An authenticated caller. `team` points into `configuration`.
    struct Caller
    {
        ConfigurationPointer configuration;
        const Team *team = nullptr;
    };

    void route(HttpExchange &exchange, const std::string &requestId);
    Caller authenticate(const HttpExchange &exchange) const;
    void completion(HttpExchange &exchange, const Caller &caller, bool isChat, const std::string &requestId);
    void streamAnswer(HttpExchange &exchange, RunSpec &spec, bool isChat, AllowanceCharge &charge);
    void sendCompleteAnswer(HttpExchange &exchange, RunSpec &spec, bool isChat, AllowanceCharge &charge);
    void models(HttpExchange &exchange, const Caller &caller) const;
    void service(HttpExchange &exchange, const Caller &caller, const std::string &requestId);
    RunSpec parseCompletion(const Json::Value &body, const Caller &caller, bool isChat, const std::string &requestId) const;
    void countOutcome(const std::string &outcome);

    Context &context;
    Runner &runner;
    ServiceCalls &services;
    std::atomic<bool> refusing{false};
};

} // namespace pimentosail
