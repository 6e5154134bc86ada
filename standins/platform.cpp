// Stand-ins for the platform: the key-value service with etcd's JSON API, and the host list with the weight store.
//
// Faults of the key-value service: down, slow_ms, lose_answers (count), watch_silent. GET /counts returns the
// numbers of reads and writes.
// The host list is set by POST /hosts and changed by POST /hosts/state {name, state: live|leaving|gone}.

#include "pimentosail/base/json.h"
#include "pimentosail/kv/etcdclient.h"
#include "pimentosail/kv/memorykeyvalue.h"
#include "standins/standin.h"

namespace pimentosail::standins
{

namespace
{

constexpr Duration WatchPollInterval = Milliseconds(100);
constexpr Duration MaxWatchDuration = std::chrono::seconds(60);

Json::Value printKeyValue(const KeyValue &item)
{
    Json::Value value;
    value["key"] = encodeBase64(item.key);
    value["value"] = encodeBase64(item.value);
    value["mod_revision"] = std::to_string(item.modRevision);
    return value;
}

int64_t integerValue(const Json::Value &value)
{
    return value.isString() ? std::stoll(value.asString()) : value.asInt64();
}

class KeyValueService : public StandIn
{
public:
    explicit KeyValueService(Clock &runtimeClock)
        : clock(runtimeClock)
        , keyValues(runtimeClock)
    {
    }

    void handle(HttpExchange &exchange) override
    {
        const std::string path = exchange.path();
        if (handleFault(exchange, this->faults, this->clock)) {
            this->keyValues.setDown(this->faults.get("down") != 0);
            this->keyValues.setWatchSilent(this->faults.get("watch_silent") != 0);
            this->keyValues.loseNextAnswers(static_cast<int>(this->faults.get("lose_answers")));
            this->faults.set("lose_answers", 0);
            return;
        }
        if (path == "/counts") {
            this->sendCounts(exchange);
            return;
        }
        this->clock.sleepFor(Milliseconds(this->faults.get("slow_ms")));
        try {
            this->serve(exchange, path);
        } catch (const Failure &failure) {
            if (!exchange.isHeaderSent()) {
                exchange.sendError(failure.error, "");
            }
        }
    }

private:
    void serve(HttpExchange &exchange, const std::string &path)
    {
        const Json::Value body = parseJson(exchange.readBody(MaxStandInBodyBytes, this->clock, StandInBodyTimeout));
        Json::Value reply(Json::objectValue);
        if (path == "/v3/kv/range") {
            reply = this->range(body);
        } else if (path == "/v3/kv/txn") {
            reply = this->compareAndSwap(body);
        } else if (path == "/v3/lease/grant") {
            reply["ID"] = std::to_string(this->keyValues.grantLease(std::chrono::seconds(integerValue(body["TTL"]))));
            reply["TTL"] = body["TTL"];
        } else if (path == "/v3/lease/keepalive") {
            const bool alive = this->keyValues.keepAlive(integerValue(body["ID"]));
            reply["result"]["ID"] = body["ID"];
            reply["result"]["TTL"] = alive ? "1" : "0";
        } else if (path == "/v3/lease/revoke") {
            this->keyValues.revokeLease(integerValue(body["ID"]));
        } else if (path == "/v3/watch") {
            this->watch(exchange, body["create_request"]);
            return;
        } else {
            throw Failure(ErrorKind::NotFound, path);
        }
        exchange.sendJson(200, reply);
    }

    Json::Value range(const Json::Value &body)
    {
        Json::Value reply(Json::objectValue);
        const std::string key = decodeBase64(jsonString(body, "key"));
        if (body.isMember("range_end")) {
            for (const KeyValue &item : this->keyValues.list(key)) {
                reply["kvs"].append(printKeyValue(item));
            }
        } else if (const std::optional<KeyValue> item = this->keyValues.get(key)) {
            reply["kvs"].append(printKeyValue(*item));
        }
        return reply;
    }

    Json::Value compareAndSwap(const Json::Value &body)
    {
        const Json::Value &compare = body["compare"][0];
        const Json::Value &put = body["success"][0]["request_put"];
        const SwapOutcome outcome = this->keyValues.compareAndSwap(
            decodeBase64(jsonString(put, "key")), integerValue(compare["mod_revision"]), decodeBase64(jsonString(put, "value")), integerValue(put["lease"]));
        Json::Value reply;
        reply["succeeded"] = outcome.swapped;
        reply["header"]["revision"] = std::to_string(outcome.modRevision);
        return reply;
    }

    void watch(HttpExchange &exchange, const Json::Value &request)
    {
        const std::string key = decodeBase64(jsonString(request, "key"));
        const int64_t after = integerValue(request["start_revision"]) - 1;
        const Time end = this->clock.now() + MaxWatchDuration;
        exchange.startStream("application/json");
        exchange.write("{\"result\":{\"created\":true}}\n");
        std::optional<KeyValue> changed;
        while (!changed && this->clock.now() < end && !exchange.isCallerDisconnected()) {
            // Each wait adds one to the number of watches, which /counts doesn't report.
            changed = this->keyValues.waitForChange(key, after, WatchPollInterval);
        }
        if (changed) {
            Json::Value message;
            message["result"]["events"][0]["kv"] = printKeyValue(*changed);
            exchange.write(printJson(message) + "\n");
        }
    }

    void sendCounts(HttpExchange &exchange)
    {
        const KeyValueCounts counts = this->keyValues.counts();
        Json::Value value;
        value["reads"] = Json::Int64(counts.reads);
        value["writes"] = Json::Int64(counts.writes);
        exchange.sendJson(200, value);
    }

    Clock &clock;
    MemoryKeyValue keyValues;
    Faults faults;
};

class HostListService : public StandIn
{
public:
    HostListService(const Options &options, Clock &runtimeClock)
        : clock(runtimeClock)
        , loadSeconds(numberOption(options, "load_seconds", 2))
        , maxLoading(numberOption(options, "max_loading", 2))
    {
    }

    void handle(HttpExchange &exchange) override
    {
        const std::string path = exchange.path();
        if (path == "/hosts" && exchange.method() == "POST") {
            const Json::Value body = parseJson(exchange.readBody(MaxStandInBodyBytes, this->clock, StandInBodyTimeout));
            const std::lock_guard lock(this->mutex);
            this->hosts = body;
            exchange.sendJson(200, Json::Value(Json::objectValue));
        } else if (path == "/hosts") {
            const std::lock_guard lock(this->mutex);
            exchange.sendJson(200, this->hosts);
        } else if (path == "/hosts/state") {
            this->setState(exchange);
        } else if (path.rfind("/weights/", 0) == 0) {
            this->sendWeights(exchange);
        } else if (!handleFault(exchange, this->faults, this->clock)) {
            exchange.sendError(Error(ErrorKind::NotFound, path), "");
        }
    }

private:
    void setState(HttpExchange &exchange)
    {
        const Json::Value body = parseJson(exchange.readBody(MaxStandInBodyBytes, this->clock, StandInBodyTimeout));
        const std::string name = jsonString(body, "name");
        const std::string state = jsonString(body, "state");
        const std::lock_guard lock(this->mutex);
        Json::Value remaining(Json::arrayValue);
        for (Json::Value host : this->hosts["hosts"]) {
            const bool isNamed = jsonString(host, "name") == name;
            if (isNamed) {
                host["state"] = state;
            }
            if (!isNamed || state != "gone") {
                remaining.append(host);
            }
        }
        this->hosts["hosts"] = remaining;
        exchange.sendJson(200, Json::Value(Json::objectValue));
    }

    // Answers after the time that a load of weights takes. Concurrent loads over `maxLoading` share the rate of the weight
    // store, so that each takes longer.
    void sendWeights(HttpExchange &exchange)
    {
        const int64_t concurrentLoads = this->loading.fetch_add(1) + 1;
        const int64_t factor = (concurrentLoads + this->maxLoading - 1) / this->maxLoading;
        int64_t peak = this->peakLoading.load();
        while (concurrentLoads > peak && !this->peakLoading.compare_exchange_weak(peak, concurrentLoads)) { }
        this->clock.sleepFor(std::chrono::seconds(this->loadSeconds * factor));
        this->loading.fetch_sub(1);
        Json::Value value;
        value["peak_loading"] = Json::Int64(this->peakLoading.load());
        exchange.sendJson(200, value);
    }

    Clock &clock;
    Faults faults;
    std::mutex mutex;
    Json::Value hosts{Json::objectValue};
    int64_t loadSeconds;
    int64_t maxLoading;
    std::atomic<int64_t> loading{0};
    std::atomic<int64_t> peakLoading{0};
};

} // namespace

std::unique_ptr<StandIn> makeKeyValue(const Options & /*options*/, Clock &clock)
{
    return std::make_unique<KeyValueService>(clock);
}

std::unique_ptr<StandIn> makePlatform(const Options &options, Clock &clock)
{
    return std::make_unique<HostListService>(options, clock);
}

} // namespace pimentosail::standins
