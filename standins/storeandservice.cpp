// Stand-ins for a KV-cache store and for a plain service.
//
// The cache store records blocks (their salt and checksum, not their bytes) and manifests. The link of each tier
// transfers one block at a time at its rate. Faults: full, slow_factor, die.
//
// The service records every run; GET /runs lists them. Faults: lose_answers (a count of requests that run and whose
// connection is then closed without an answer), delay_ms, refuse, die.

#include <cstdlib>
#include <set>

#include "pimentosail/base/json.h"
#include "standins/standin.h"

namespace pimentosail::standins
{

namespace
{

class CacheStore : public StandIn
{
public:
    CacheStore(const Options &options, Clock &runtimeClock)
        : clock(runtimeClock)
        , memoryBytesPerSecond(numberOption(options, "memory_rate", 2'000'000'000))
        , diskBytesPerSecond(numberOption(options, "disk_rate", 500'000'000))
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
            this->handleBlock(exchange, path.substr(std::string("/pieces/").size()));
        } else if (path.rfind("/manifests/", 0) == 0) {
            this->handleManifest(exchange, path.substr(std::string("/manifests/").size()));
        } else if (path == "/stats") {
            this->sendStats(exchange);
        } else {
            exchange.sendError(Error(ErrorKind::NotFound, path), "");
        }
    }

private:
    void transferOverLink(const std::string &tier, int64_t bytes)
    {
        const bool isMemoryTier = tier == "memory";
        std::mutex &link = isMemoryTier ? this->memoryLink : this->diskLink;
        const std::lock_guard lock(link);
        const auto rate = static_cast<double>(isMemoryTier ? this->memoryBytesPerSecond : this->diskBytesPerSecond);
        const auto slowFactor = static_cast<double>(std::max<int64_t>(1, this->faults.get("slow_factor")));
        this->clock.sleepFor(fromSeconds(slowFactor * static_cast<double>(bytes) / rate));
        (isMemoryTier ? this->memoryLinkBytes : this->diskLinkBytes).fetch_add(bytes);
    }

    void handleBlock(HttpExchange &exchange, const std::string &id)
    {
        const Json::Value body = parseJson(exchange.readBody(MaxStandInBodyBytes, this->clock, StandInBodyTimeout));
        const bool isWrite = exchange.method() == "PUT";
        if (isWrite && this->faults.get("full") != 0) {
            exchange.send(507, "text/plain", "full\n");
            return;
        }
        this->transferOverLink(jsonString(body, "tier"), jsonInteger(body, "bytes"));
        const std::lock_guard lock(this->mutex);
        if (isWrite) {
            this->blocks[id] = body;
            exchange.sendJson(200, Json::Value(Json::objectValue));
            return;
        }
        const auto found = this->blocks.find(id);
        if (found == this->blocks.end()) {
            exchange.sendError(Error(ErrorKind::NotFound, "no such block"), "");
            return;
        }
        exchange.sendJson(200, found->second);
    }

    void handleManifest(HttpExchange &exchange, const std::string &subpath)
    {
        const std::string key = subpath.substr(0, subpath.find('/'));
        const std::string body = exchange.readBody(MaxStandInBodyBytes, this->clock, StandInBodyTimeout);
        const bool isDemotion = subpath.find("/demote") != std::string::npos;
        if (isDemotion) {
            this->transferOverLink("disk", std::stoll(exchange.query("bytes")));
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

    void sendStats(HttpExchange &exchange)
    {
        const std::lock_guard lock(this->mutex);
        Json::Value value;
        value["pieces"] = Json::UInt64(this->blocks.size());
        value["manifests"] = Json::UInt64(this->manifests.size());
        value["memory_link_bytes"] = Json::Int64(this->memoryLinkBytes.load());
        value["disk_link_bytes"] = Json::Int64(this->diskLinkBytes.load());
        exchange.sendJson(200, value);
    }

    Clock &clock;
    Faults faults;
    int64_t memoryBytesPerSecond;
    int64_t diskBytesPerSecond;
    std::mutex memoryLink;
    std::mutex diskLink;
    std::atomic<int64_t> memoryLinkBytes{0};
    std::atomic<int64_t> diskLinkBytes{0};
    std::mutex mutex;
    std::map<std::string, Json::Value> blocks;
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
        const std::string body = exchange.readBody(MaxStandInBodyBytes, this->clock, StandInBodyTimeout);
        if (this->faults.get("refuse") != 0) {
            exchange.sendError(Error(ErrorKind::Overloaded, "refused"), "");
            return;
        }
        Json::Value run;
        {
            const std::lock_guard lock(this->mutex);
            run["number"] = Json::Int64(++this->runCount);
            run["path"] = path;
            run["key"] = exchange.header("Idempotency-Key");
            run["body"] = body;
            this->runs.append(run);
        }
        this->clock.sleepFor(Milliseconds(this->faults.get("delay_ms")));
        if (this->faults.consume("lose_answers")) {
            throw Failure(ErrorKind::Internal, "the answer is lost because of an injected fault");
        }
        run.removeMember("body");
        run["confirmed"] = true;
        exchange.sendJson(200, run);
    }

private:
    Clock &clock;
    Faults faults;
    std::mutex mutex;
    int64_t runCount = 0;
    Json::Value runs{Json::arrayValue};
};

} // namespace

std::unique_ptr<StandIn> makeCacheStore(const Options &options, Clock &clock)
{
    return std::make_unique<CacheStore>(options, clock);
}

std::unique_ptr<StandIn> makeService(const Options & /*options*/, Clock &clock)
{
    return std::make_unique<PlainService>(clock);
}

} // namespace pimentosail::standins
