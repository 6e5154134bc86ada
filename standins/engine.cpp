// Stand-in for a model engine: OpenAI-style streaming with a deterministic answer, load reports that can lag, cache
// events, cache transfers, and load orders with fencing tokens.
//
// Faults: die (the process exits), hang (no stream makes progress), silent (streams that are open make no more progress,
// new ones work), restart (new boot id, empty cache, cold), slow_ms (added to each token), load_lag_ms (the least age
// at which a load report is renewed), refuse. The option cold_seconds sets how long the engine is cold after its start
// and after each restart.

#include <cstdlib>
#include <thread>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"
#include "pimentosail/net/httpclient.h"
#include "pimentosail/target/engineclient.h"
#include "standins/enginemodel.h"
#include "standins/standin.h"

namespace pimentosail::standins
{

namespace
{

// A prompt that contains this text ends the engine process.
constexpr std::string_view CrashMarker = "CRASH-THE-ENGINE";
constexpr Duration WaitPollInterval = Milliseconds(20);
constexpr Duration TransferTimeout = std::chrono::seconds(30);

std::string answerWord(uint64_t promptHash, int64_t index)
{
    return "w" + std::to_string(combineHashes(promptHash, static_cast<uint64_t>(index)) % 1000) + " ";
}

uint64_t blockChecksum(uint64_t block, uint64_t salt)
{
    return combineHashes(block, salt);
}

class Engine : public StandIn
{
public:
    Engine(const Options &options, Clock &runtimeClock)
        : clock(runtimeClock)
        , model(parseSettings(options), runtimeClock)
        , boot(randomId())
        , checksFencing(numberOption(options, "checks_fencing", 1) != 0)
        , version(numberOption(options, "version", 1))
        , loadSeconds(numberOption(options, "load_seconds", 2))
    {
        const auto store = options.find("weight_store");
        this->weightStore = store == options.end() ? "" : store->second;
    }

    void handle(HttpExchange &exchange) override
    {
        const std::string path = exchange.path();
        if (path == "/v1/completions") {
            this->complete(exchange);
        } else if (path == "/load") {
            this->report(exchange);
        } else if (path == "/cache/events") {
            this->events(exchange);
        } else if (path == "/kv/export" || path == "/kv/import") {
            this->transfer(exchange, path == "/kv/export");
        } else if (path == "/orders/load") {
            this->load(exchange);
        } else if (path == "/stats") {
            this->stats(exchange);
        } else if (handleFault(exchange, this->faults, this->clock)) {
            this->applyFaults();
        } else {
            exchange.sendError(Error(ErrorKind::NotFound, path), "");
        }
    }

private:
    static EngineSettings parseSettings(const Options &options)
    {
        EngineSettings settings;
        settings.maxRunning = numberOption(options, "max_running", settings.maxRunning);
        settings.coldLimit = numberOption(options, "cold_limit", settings.coldLimit);
        settings.coldSeconds = numberOption(options, "cold_seconds", settings.coldSeconds);
        settings.prefillTokensPerSecond = numberOption(options, "prefill_rate", settings.prefillTokensPerSecond);
        settings.decodeMilliseconds = numberOption(options, "decode_ms", settings.decodeMilliseconds);
        settings.blockTokens = numberOption(options, "piece_tokens", settings.blockTokens);
        settings.maxCachedBlocks = numberOption(options, "cache_pieces", settings.maxCachedBlocks);
        return settings;
    }

    std::string bootId()
    {
        const std::lock_guard lock(this->mutex);
        return this->boot;
    }

    void applyFaults()
    {
        if (this->faults.get("die") != 0) {
            std::_Exit(1);
        }
        if (this->faults.consume("restart")) {
            const std::lock_guard lock(this->mutex);
            this->boot = randomId();
            this->model.restart();
        }
        if (this->faults.consume("silent")) {
            this->silentIfStartedBefore.store(this->clock.now().count());
        }
    }

    void complete(HttpExchange &exchange)
    {
        const Json::Value body = parseJson(exchange.readBody(MaxStandInBodyBytes, this->clock, StandInBodyTimeout));
        if (this->faults.get("refuse") != 0) {
            exchange.sendError(Error(ErrorKind::Overloaded, "refused"), "");
            return;
        }
        const int64_t startTime = this->clock.now().count();
        const std::string bootAtStart = this->bootId();
        const std::string prompt = jsonString(body, "prompt");
        const uint64_t salt = std::stoull(jsonString(body, "cache_salt", "0"));
        const std::vector<uint64_t> blocks = promptBlocks(prompt, this->model.settings.blockTokens, salt);
        const int64_t cachedTokens = this->model.begin(blocks, promptTokens(prompt), static_cast<int>(jsonInteger(body, "priority", 1)));
        this->servedRequests.fetch_add(1);
        this->computedTokens.fetch_add(promptTokens(prompt) - std::min(cachedTokens, promptTokens(prompt)));
        // The request ends before the final event is sent, as in an engine with continuous batching.
        bool isEnded = false;
        try {
            if (prompt.find(CrashMarker) != std::string::npos) {
                std::_Exit(1);
            }
            this->stream(exchange, body, stableHash(prompt), cachedTokens, startTime, bootAtStart, isEnded);
        } catch (const Failure &) {
            // The reader closed the connection, which cancels the run.
        }
        if (!isEnded) {
            this->model.end();
        }
    }

    void stream(HttpExchange &exchange, const Json::Value &body, uint64_t promptHash, int64_t cachedTokens, int64_t startTime, const std::string &bootAtStart,
        bool &isEnded)
    {
        const int64_t count = jsonInteger(body, "max_tokens", 16);
        exchange.startStream("text/event-stream");
        for (int64_t index = jsonInteger(body, "resume_from", 0); index < count; ++index) {
            while (this->faults.get("hang") != 0 || startTime < this->silentIfStartedBefore.load()) {
                this->clock.sleepFor(WaitPollInterval);
                if (exchange.isCallerDisconnected()) {
                    return;
                }
            }
            if (this->bootId() != bootAtStart) {
                return;
            }
            Json::Value event;
            event["offset"] = Json::Int64(index);
            event["choices"][0]["index"] = 0;
            event["choices"][0]["text"] = answerWord(promptHash, index);
            event["usage"]["cached_tokens"] = Json::Int64(cachedTokens);
            exchange.write("data: " + printJson(event) + "\n\n");
            if (index + 1 < count) {
                this->clock.sleepFor(Milliseconds(this->model.settings.decodeMilliseconds + this->faults.get("slow_ms")));
            }
        }
        this->model.end();
        isEnded = true;
        Json::Value finalEvent;
        finalEvent["offset"] = Json::Int64(count);
        finalEvent["choices"][0]["index"] = 0;
        finalEvent["choices"][0]["text"] = "";
        finalEvent["choices"][0]["finish_reason"] = "stop";
        finalEvent["usage"]["completion_tokens"] = Json::Int64(count);
        exchange.write("data: " + printJson(finalEvent) + "\n\ndata: [DONE]\n\n");
    }

    void report(HttpExchange &exchange)
    {
        const std::lock_guard lock(this->mutex);
        const Time now = this->clock.now();
        if (now - this->reportedAt >= Milliseconds(this->faults.get("load_lag_ms")) || this->lastReport.isNull()) {
            Json::Value value;
            value["boot_id"] = this->boot;
            value["cold"] = this->model.isCold();
            value["loading"] = this->loading.load();
            value["version"] = Json::Int64(this->version.load());
            value["running"] = Json::Int64(this->model.running());
            value["queued_tokens"] = Json::Int64(this->model.queuedTokens());
            value["max_running"] = Json::Int64(this->model.settings.maxRunning);
            value["prefill_tokens_per_s"] = Json::Int64(this->model.settings.prefillTokensPerSecond);
            this->lastReport = value;
            this->reportedAt = now;
        }
        exchange.sendJson(200, this->lastReport);
    }

    void events(HttpExchange &exchange)
    {
        Json::Value value;
        value["boot_id"] = this->bootId();
        value["events"] = Json::Value(Json::arrayValue);
        const std::string after = exchange.query("after");
        for (const CacheEvent &event : this->model.eventsAfter(after.empty() ? 0 : std::stoll(after))) {
            Json::Value item;
            item["seq"] = Json::Int64(event.sequence);
            item["type"] = event.evicted ? "evicted" : "stored";
            item["piece"] = std::to_string(event.block);
            value["events"].append(item);
        }
        exchange.sendJson(200, value);
    }

    void transfer(HttpExchange &exchange, bool isExport)
    {
        const Json::Value body = parseJson(exchange.readBody(MaxStandInBodyBytes, this->clock, StandInBodyTimeout));
        const uint64_t block = std::stoull(jsonString(body, "piece"));
        const uint64_t salt = std::stoull(jsonString(body, "cache_salt"));
        const std::string path = "/pieces/" + std::to_string(block);
        if (isExport && !this->model.hasBlock(block)) {
            exchange.sendError(Error(ErrorKind::NotFound, "the block is not cached"), "");
            return;
        }
        Json::Value request;
        request["tier"] = jsonString(body, "tier");
        request["bytes"] = Json::Int64(jsonInteger(body, "bytes"));
        request["salt"] = std::to_string(salt);
        request["checksum"] = std::to_string(blockChecksum(block, salt));
        const HttpReply reply = this->http.call(jsonString(body, "store"), {isExport ? "PUT" : "POST", path, {}, printJson(request)}, TransferTimeout);
        if (reply.status != 200) {
            exchange.sendError(Error(ErrorKind::TargetLost, "the cache store answered " + std::to_string(reply.status)), "");
            return;
        }
        if (!isExport) {
            const Json::Value storedBlock = parseJson(reply.body);
            const bool isIntact
                = jsonString(storedBlock, "salt") == std::to_string(salt) && jsonString(storedBlock, "checksum") == std::to_string(blockChecksum(block, salt));
            if (!isIntact) {
                exchange.sendError(Error(ErrorKind::Incomplete, "the block is corrupt or belongs to another team"), "");
                return;
            }
            this->model.insertBlock(block);
        }
        exchange.sendJson(200, Json::Value(Json::objectValue));
    }

    void load(HttpExchange &exchange)
    {
        const Json::Value body = parseJson(exchange.readBody(MaxStandInBodyBytes, this->clock, StandInBodyTimeout));
        const int64_t fencingToken = jsonInteger(body, "fencing");
        {
            const std::lock_guard lock(this->mutex);
            if (this->checksFencing && fencingToken < this->highestFencingToken) {
                exchange.sendError(Error(ErrorKind::Conflict, "outdated fencing token"), "");
                return;
            }
            this->highestFencingToken = std::max(this->highestFencingToken, fencingToken);
        }
        exchange.sendJson(200, Json::Value(Json::objectValue));
        const int64_t wantedVersion = jsonInteger(body, "version");
        if (this->loading.exchange(true)) {
            return;
        }
        std::thread([this, wantedVersion] {
            try {
                if (!this->weightStore.empty()) {
                    this->http.call(this->weightStore, {"GET", "/weights/" + std::to_string(wantedVersion), {}, ""}, TransferTimeout);
                } else {
                    this->clock.sleepFor(std::chrono::seconds(this->loadSeconds));
                }
                this->version.store(wantedVersion);
                this->model.restart();
            } catch (const Failure &) {
                // The leader repeats the load order.
            }
            this->loading.store(false);
        }).detach();
    }

    void stats(HttpExchange &exchange)
    {
        Json::Value value;
        value["served"] = Json::Int64(this->servedRequests.load());
        value["computed_tokens"] = Json::Int64(this->computedTokens.load());
        value["cold_overloads"] = Json::Int64(this->model.coldOverloads());
        value["running"] = Json::Int64(this->model.running());
        exchange.sendJson(200, value);
    }

    Clock &clock;
    EngineModel model;
    Faults faults;
    HttpClient http;
    std::mutex mutex;
    std::string boot;
    std::string weightStore;
    bool checksFencing;
    std::atomic<int64_t> version;
    int64_t loadSeconds;
    int64_t highestFencingToken = 0;
    Json::Value lastReport;
    Time reportedAt{0};
    std::atomic<bool> loading{false};
    std::atomic<int64_t> silentIfStartedBefore{0};
    std::atomic<int64_t> servedRequests{0};
    std::atomic<int64_t> computedTokens{0};
};

} // namespace

std::unique_ptr<StandIn> makeEngine(const Options &options, Clock &clock)
{
    return std::make_unique<Engine>(options, clock);
}

} // namespace pimentosail::standins
