// Stand-ins of a store host and of a plain service.
//
// The store keeps pieces (their owner and checksum, not their bytes) and manifests; each tier's link passes one piece
// at a time at its rate. Faults: full, slow_factor, die. The service records every run; GET /runs lists them. Faults:
// lose_answers (count: runs, then closes the connection), delay_ms, refuse, die.

#include <cstdlib>
#include <set>

#include "pimentosail/base/json.h"
#include "standins/standin.h"

namespace pimentosail::standins
{

namespace
{

class Store : public StandIn
{
public:
    Store(const Options &options, Clock &runtimeClock)
        : clock(runtimeClock)
        , memoryRate(numberOption(options, "memory_rate", 2'000'000'000))
        , diskRate(numberOption(options, "disk_rate", 500'000'000))
    {
    }

    void handle(HttpExchange &exchange) override
    {
        const std::string path = exchange.path();
        if (handleFault(exchange, this->faults, this->clock)) {
            if (this->faults.get("die") != 0) {
                std::_Exit(1);
            }
        } else if (path.rfind("/pieces/", 0) == 0) {
            this->piece(exchange, path.substr(std::string("/pieces/").size()));
        } else if (path.rfind("/manifests/", 0) == 0) {
            this->manifest(exchange, path.substr(std::string("/manifests/").size()));
        } else if (path == "/stats") {
            this->stats(exchange);
        } else {
            exchange.sendError(Error(ErrorKind::NotFound, path), "");
        }
    }

private:
    void passLink(const std::string &tier, int64_t bytes)
    {
        const bool isMemory = tier == "memory";
        std::mutex &link = isMemory ? this->memoryLink : this->diskLink;
        const std::lock_guard lock(link);
        const auto rate = static_cast<double>(isMemory ? this->memoryRate : this->diskRate);
        const auto slow = static_cast<double>(std::max<int64_t>(1, this->faults.get("slow_factor")));
        this->clock.sleepFor(fromSeconds(slow * static_cast<double>(bytes) / rate));
        (isMemory ? this->memoryBytes : this->diskBytes).fetch_add(bytes);
    }

    void piece(HttpExchange &exchange, const std::string &id)
    {
        const Json::Value body = parseJson(exchange.readBody(MaxStandInBody, this->clock, StandInBodyTimeout));
        const bool isWrite = exchange.method() == "PUT";
        if (isWrite && this->faults.get("full") != 0) {
            exchange.send(507, "text/plain", "full\n");
            return;
        }
        this->passLink(jsonString(body, "tier"), jsonInteger(body, "bytes"));
        const std::lock_guard lock(this->mutex);
        if (isWrite) {
            this->pieces[id] = body;
            exchange.sendJson(200, Json::Value(Json::objectValue));
            return;
        }
        const auto found = this->pieces.find(id);
        if (found == this->pieces.end()) {
            exchange.sendError(Error(ErrorKind::NotFound, "no such piece"), "");
            return;
        }
        exchange.sendJson(200, found->second);
    }

    void manifest(HttpExchange &exchange, const std::string &rest)
    {
        const std::string key = rest.substr(0, rest.find('/'));
        const std::string body = exchange.readBody(MaxStandInBody, this->clock, StandInBodyTimeout);
        const bool isDemotion = rest.find("/demote") != std::string::npos;
        if (isDemotion) {
            this->passLink("disk", std::stoll(exchange.query("bytes")));
        }
        const std::lock_guard lock(this->mutex);
        if (isDemotion && this->manifests.count(key) != 0) {
            this->manifests.at(key)["tier"] = "disk";
            exchange.sendJson(200, this->manifests.at(key));
        } else if (exchange.method() == "GET" && key.empty()) {
            Json::Value all(Json::objectValue);
            for (const auto &[name, value] : this->manifests) {
                all[name] = value;
            }
            exchange.sendJson(200, all);
        } else if (exchange.method() == "PUT") {
            Json::Value value = parseJson(body);
            value["generation"] = Json::Int64(++this->generation);
            this->manifests[key] = value;
            exchange.sendJson(200, value);
        } else if (exchange.method() == "DELETE") {
            this->manifests.erase(key);
            exchange.sendJson(200, Json::Value(Json::objectValue));
        } else if (this->manifests.count(key) == 0) {
            exchange.sendError(Error(ErrorKind::NotFound, "no such manifest"), "");
        } else {
            exchange.sendJson(200, this->manifests.at(key));
        }
    }

    void stats(HttpExchange &exchange)
    {
        const std::lock_guard lock(this->mutex);
        Json::Value value;
        value["pieces"] = Json::UInt64(this->pieces.size());
        value["manifests"] = Json::UInt64(this->manifests.size());
        value["memory_link_bytes"] = Json::Int64(this->memoryBytes.load());
        value["disk_link_bytes"] = Json::Int64(this->diskBytes.load());
        exchange.sendJson(200, value);
    }

    Clock &clock;
    Faults faults;
    int64_t memoryRate;
    int64_t diskRate;
    std::mutex memoryLink;
    std::mutex diskLink;
    std::atomic<int64_t> memoryBytes{0};
    std::atomic<int64_t> diskBytes{0};
    std::mutex mutex;
    std::map<std::string, Json::Value> pieces;
    std::map<std::string, Json::Value> manifests;
    int64_t generation = 0;
};

class PlainService : public StandIn
{
public:
    explicit PlainService(Clock &runtimeClock)
        : clock(runtimeClock)
    {
    }

    void handle(HttpExchange &exchange) override
    {
        const std::string path = exchange.path();
        if (path == "/runs") {
            const std::lock_guard lock(this->mutex);
            exchange.sendJson(200, this->runs);
            return;
        }
        if (handleFault(exchange, this->faults, this->clock)) {
            if (this->faults.get("die") != 0) {
                std::_Exit(1);
            }
            return;
        }
        const std::string body = exchange.readBody(MaxStandInBody, this->clock, StandInBodyTimeout);
        if (this->faults.get("refuse") != 0) {
            exchange.sendError(Error(ErrorKind::Overloaded, "refused"), "");
            return;
        }
        Json::Value run;
        {
            const std::lock_guard lock(this->mutex);
            run["number"] = Json::Int64(++this->count);
            run["path"] = path;
            run["key"] = exchange.header("Idempotency-Key");
            run["body"] = body;
            this->runs.append(run);
        }
        this->clock.sleepFor(Milliseconds(this->faults.get("delay_ms")));
        if (this->faults.spend("lose_answers")) {
            throw Failure(ErrorKind::Internal, "the answer is lost on purpose");
        }
        run.removeMember("body");
        run["confirmed"] = true;
        exchange.sendJson(200, run);
    }

private:
    Clock &clock;
    Faults faults;
    std::mutex mutex;
    int64_t count = 0;
    Json::Value runs{Json::arrayValue};
};

} // namespace

std::unique_ptr<StandIn> makeStore(const Options &options, Clock &clock)
{
    return std::make_unique<Store>(options, clock);
}

std::unique_ptr<StandIn> makeService(const Options & /*options*/, Clock &clock)
{
    return std::make_unique<PlainService>(clock);
}

} // namespace pimentosail::standins
