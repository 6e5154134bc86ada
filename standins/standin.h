// Small stand-ins for the external systems, for tests and demonstrations only: model engine, key-value service, host
// list with weight store, cache store and plain service. Each answers over HTTP. POST /fault {"name": ..., "value": ...}
// sets a fault at run time.
//
//     std::unique_ptr<StandIn> engine = makeEngine(options, clock);
//     HttpServer server(address, 500, [&](HttpExchange &exchange) { engine->handle(exchange); });
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "pimentosail/base/clock.h"
#include "pimentosail/net/httpserver.h"

namespace pimentosail::standins
{

// Numeric faults by name; an unset fault is 0. Thread-safe.
class Faults
{
public:
    void set(const std::string &name, int64_t value)
    {
        const std::lock_guard lock(this->mutex);
        this->values[name] = value;
    }
    int64_t get(const std::string &name) const
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->values.find(name);
        return found == this->values.end() ? 0 : found->second;
    }
    // Decrements a fault whose value is a count; returns false without a change if it is 0.
    bool consume(const std::string &name)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->values.find(name);
        if (found == this->values.end() || found->second <= 0) {
            return false;
        }
        --found->second;
        return true;
    }

private:
    mutable std::mutex mutex;
    std::map<std::string, int64_t> values;
};

// Options of the command line (--set NAME=VALUE), by name.
using Options = std::map<std::string, std::string>;

// Returns an option as a number, or `fallback` if it is not set.
int64_t numberOption(const Options &options, const std::string &name, int64_t fallback);

class StandIn
{
public:
    virtual ~StandIn() = default;
    // Answers one HTTP request. Thread-safe.
    virtual void handle(HttpExchange &exchange) = 0;
};

std::unique_ptr<StandIn> makeEngine(const Options &options, Clock &clock);
std::unique_ptr<StandIn> makeKeyValue(const Options &options, Clock &clock);
std::unique_ptr<StandIn> makePlatform(const Options &options, Clock &clock);
std::unique_ptr<StandIn> makeCacheStore(const Options &options, Clock &clock);
std::unique_ptr<StandIn> makeService(const Options &options, Clock &clock);

// Sets a fault if the path is /fault; returns false for another path.
bool handleFault(HttpExchange &exchange, Faults &faults, Clock &clock);

constexpr int64_t MaxStandInBodyBytes = 64LL << 20U;
constexpr Duration StandInBodyTimeout = std::chrono::seconds(30);

} // namespace pimentosail::standins
