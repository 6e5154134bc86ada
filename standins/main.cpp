// pimentosail-standin: runs one stand-in for an external system.
//
//     pimentosail-standin --kind engine --listen 127.0.0.1:19000 --set prefill_rate=8000 --set decode_ms=20

#include <csignal>
#include <iostream>

#include <cxxopts.hpp>

#include "pimentosail/base/json.h"
#include "standins/standin.h"

namespace pimentosail::standins
{

int64_t numberOption(const Options &options, const std::string &name, int64_t fallback)
{
    const auto found = options.find(name);
    return found == options.end() ? fallback : std::stoll(found->second);
}

bool handleFault(HttpExchange &exchange, Faults &faults, Clock &clock)
{
    if (exchange.path() != "/fault") {
        return false;
    }
    const Json::Value body = parseJson(exchange.readBody(MaxStandInBodyBytes, clock, StandInBodyTimeout));
    faults.set(jsonString(body, "name"), jsonInteger(body, "value"));
    exchange.sendJson(200, Json::Value(Json::objectValue));
    return true;
}

} // namespace pimentosail::standins

namespace
{

using namespace pimentosail;
using namespace pimentosail::standins;

constexpr int64_t MaxConnections = 1000;
constexpr Duration SignalPollInterval = Milliseconds(100);

volatile std::sig_atomic_t stopping = 0;

void onTerminate(int /*signal*/)
{
    stopping = 1;
}

Options parseOptions(const std::vector<std::string> &settings)
{
    Options options;
    for (const std::string &setting : settings) {
        const size_t equals = setting.find('=');
        options[setting.substr(0, equals)] = equals == std::string::npos ? "1" : setting.substr(equals + 1);
    }
    return options;
}

std::unique_ptr<StandIn> makeStandIn(const std::string &kind, const Options &options, Clock &clock)
{
    if (kind == "engine") {
        return makeEngine(options, clock);
    }
    if (kind == "key-value") {
        return makeKeyValue(options, clock);
    }
    if (kind == "platform") {
        return makePlatform(options, clock);
    }
    if (kind == "store") {
        return makeCacheStore(options, clock);
    }
    return kind == "service" ? makeService(options, clock) : nullptr;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("pimentosail-standin", "Stand-in for an external system, for tests");
    options.add_options()("kind", "engine, key-value, platform, store or service", cxxopts::value<std::string>())(
        "listen", "IP:PORT", cxxopts::value<std::string>())("set", "NAME=VALUE", cxxopts::value<std::vector<std::string>>()->default_value(""));
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    std::signal(SIGTERM, onTerminate);
    std::signal(SIGINT, onTerminate);
    std::signal(SIGPIPE, SIG_IGN);
    Clock clock;
    const std::unique_ptr<StandIn> standIn
        = makeStandIn(arguments["kind"].as<std::string>(), parseOptions(arguments["set"].as<std::vector<std::string>>()), clock);
    if (!standIn) {
        std::cerr << options.help();
        return 2;
    }
    HttpServer server(arguments["listen"].as<std::string>(), MaxConnections, [&standIn](HttpExchange &exchange) { standIn->handle(exchange); });
    server.start();
    while (stopping == 0) {
        clock.sleepFor(SignalPollInterval);
    }
    // A fault may keep threads of the stand-in blocked, so the process exits without joining them.
    std::_Exit(0);
}
