// Stand-in model engine: OpenAI-style streaming with a deterministic answer, load reports with a lag, cache events,
// cache transfers, load orders with fencing.
//
// Faults: die (exit), hang (streams make no progress), silent (open connections go silent, new ones work), restart
// (new boot id, empty and cold cache), cold_seconds, slow_ms (added to each token), load_lag_ms, refuse.

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

// A prompt with this mark ends the process that runs it.
constexpr std::string_view CrashMark = "CRASH-THE-ENGINE";
constexpr Duration WaitStep = Milliseconds(20);
constexpr Duration StoreTimeout = std::chrono::seconds(30);

std::string wordAt(uint64_t promptHash, int64_t index)
{
    return "w" + std::to_string(combineHashes(promptHash, static_cast<uint64_t>(index)) % 1000) + " ";
}

uint64_t checksumOf(uint64_t piece, uint64_t salt)
{
    return combineHashes(piece, salt);
}

class Engine : public StandIn
{
public:
    Engine(const Options &options, Clock &runtimeClock)
        : clock(runtimeClock)
        , model(settingsOf(options), runtimeClock)
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
    static EngineSettings settingsOf(const Options &options)
    {
        EngineSettings settings;
        settings.maxRunning = numberOption(options, "max_running", settings.maxRunning);
        settings.coldLimit = numberOption(options, "cold_limit", settings.coldLimit);
        settings.coldSeconds = numberOption(options, "cold_seconds", settings.coldSeconds);
        settings.prefillTokensPerSecond = numberOption(options, "prefill_rate", settings.prefillTokensPerSecond);
        settings.decodeMilliseconds = numberOption(options, "decode_ms", settings.decodeMilliseconds);
        settings.pieceTokens = numberOption(options, "piece_tokens", settings.pieceTokens);
        settings.cachePieces = numberOption(options, "cache_pieces", settings.cachePieces);
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
        if (this->faults.spend("restart")) {
            const std::lock_guard lock(this->mutex);
            this->boot = randomId();
            this->model.restart();
        }
        if (this->faults.spend("silent")) {
            this->silentBefore.store(this->clock.now().count());
        }
    }

    void complete(HttpExchange &exchange)
    {
        const Json::Value body = parseJson(exchange.readBody(MaxStandInBody, this->clock, StandInBodyTimeout));
        if (this->faults.get("refuse") != 0) {
            exchange.sendError(Error(ErrorKind::Overloaded, "refused"), "");
            return;
        }
        const int64_t began = this->clock.now().count();
        const std::string startedAs = this->bootId();
        const std::string prompt = jsonString(body, "prompt");
        const uint64_t salt = std::stoull(jsonString(body, "cache_salt", "0"));
        const std::vector<uint64_t> pieces = promptPieces(prompt, this->model.settings.pieceTokens, salt);
        const int64_t cached = this->model.begin(pieces, promptTokens(prompt), static_cast<int>(jsonInteger(body, "priority", 1)));
        this->served.fetch_add(1);
        this->computed.fetch_add(promptTokens(prompt) - std::min(cached, promptTokens(prompt)));
        // The slot is free before the closing frame leaves, as in an engine that batches continuously.
        bool isEnded = false;
        try {
            if (prompt.find(CrashMark) != std::string::npos) {
                std::_Exit(1);
            }
            this->stream(exchange, body, stableHash(prompt), cached, began, startedAs, isEnded);
        } catch (const Failure &) {
            // The reader left: the run is cancelled.
        }
        if (!isEnded) {
            this->model.end();
        }
    }

    void stream(
        HttpExchange &exchange, const Json::Value &body, uint64_t promptHash, int64_t cached, int64_t began, const std::string &startedAs, bool &isEnded)
    {
        const int64_t count = jsonInteger(body, "max_tokens", 16);
        exchange.startStream("text/event-stream");
        for (int64_t index = jsonInteger(body, "resume_from", 0); index < count; ++index) {
            while (this->faults.get("hang") != 0 || began < this->silentBefore.load()) {
                this->clock.sleepFor(WaitStep);
                if (exchange.isCallerDisconnected()) {
                    return;
                }
            }
            if (this->bootId() != startedAs) {
                return;
            }
            Json::Value event;
            event["offset"] = Json::Int64(index);
            event["choices"][0]["index"] = 0;
            event["choices"][0]["text"] = wordAt(promptHash, index);
            event["usage"]["cached_tokens"] = Json::Int64(cached);
            exchange.write("data: " + printJson(event) + "\n\n");
            if (index + 1 < count) {
                this->clock.sleepFor(Milliseconds(this->model.settings.decodeMilliseconds + this->faults.get("slow_ms")));
            }
        }
        this->model.end();
        isEnded = true;
        Json::Value last;
        last["offset"] = Json::Int64(count);
        last["choices"][0]["index"] = 0;
        last["choices"][0]["text"] = "";
        last["choices"][0]["finish_reason"] = "stop";
        last["usage"]["completion_tokens"] = Json::Int64(count);
        exchange.write("data: " + printJson(last) + "\n\ndata: [DONE]\n\n");
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
            item["piece"] = std::to_string(event.piece);
            value["events"].append(item);
        }
        exchange.sendJson(200, value);
    }

    void transfer(HttpExchange &exchange, bool isExport)
    {
        const Json::Value body = parseJson(exchange.readBody(MaxStandInBody, this->clock, StandInBodyTimeout));
        const uint64_t piece = std::stoull(jsonString(body, "piece"));
        const uint64_t salt = std::stoull(jsonString(body, "cache_salt"));
        const std::string path = "/pieces/" + std::to_string(piece);
        if (isExport && !this->model.hasPiece(piece)) {
            exchange.sendError(Error(ErrorKind::NotFound, "the piece is not cached"), "");
            return;
        }
        Json::Value request;
        request["tier"] = jsonString(body, "tier");
        request["bytes"] = Json::Int64(jsonInteger(body, "bytes"));
        request["salt"] = std::to_string(salt);
        request["checksum"] = std::to_string(checksumOf(piece, salt));
        const HttpReply reply = this->http.call(jsonString(body, "store"), {isExport ? "PUT" : "POST", path, {}, printJson(request)}, StoreTimeout);
        if (reply.status != 200) {
            exchange.sendError(Error(ErrorKind::TargetLost, "the store answered " + std::to_string(reply.status)), "");
            return;
        }
        if (!isExport) {
            const Json::Value stored = parseJson(reply.body);
            const bool whole = jsonString(stored, "salt") == std::to_string(salt) && jsonString(stored, "checksum") == std::to_string(checksumOf(piece, salt));
            if (!whole) {
                exchange.sendError(Error(ErrorKind::Incomplete, "the piece is damaged or belongs to another team"), "");
                return;
            }
            this->model.insertPiece(piece);
        }
        exchange.sendJson(200, Json::Value(Json::objectValue));
    }

    void load(HttpExchange &exchange)
    {
        const Json::Value body = parseJson(exchange.readBody(MaxStandInBody, this->clock, StandInBodyTimeout));
        const int64_t fencing = jsonInteger(body, "fencing");
        {
            const std::lock_guard lock(this->mutex);
            if (this->checksFencing && fencing < this->highestFencing) {
                exchange.sendError(Error(ErrorKind::Conflict, "old fencing number"), "");
                return;
            }
            this->highestFencing = std::max(this->highestFencing, fencing);
        }
        exchange.sendJson(200, Json::Value(Json::objectValue));
        const int64_t wanted = jsonInteger(body, "version");
        if (this->loading.exchange(true)) {
            return;
        }
        std::thread([this, wanted] {
            try {
                if (!this->weightStore.empty()) {
                    this->http.call(this->weightStore, {"GET", "/weights/" + std::to_string(wanted), {}, ""}, StoreTimeout);
                } else {
                    this->clock.sleepFor(std::chrono::seconds(this->loadSeconds));
                }
                this->version.store(wanted);
                this->model.restart();
            } catch (const Failure &) {
                // The order will be given again.
            }
            this->loading.store(false);
        }).detach();
    }

    void stats(HttpExchange &exchange)
    {
        Json::Value value;
        value["served"] = Json::Int64(this->served.load());
        value["computed_tokens"] = Json::Int64(this->computed.load());
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
    int64_t highestFencing = 0;
    Json::Value lastReport;
    Time reportedAt{0};
    std::atomic<bool> loading{false};
    std::atomic<int64_t> silentBefore{0};
    std::atomic<int64_t> served{0};
    std::atomic<int64_t> computed{0};
};

} // namespace

std::unique_ptr<StandIn> makeEngine(const Options &options, Clock &clock)
{
    return std::make_unique<Engine>(options, clock);
}

} // namespace pimentosail::standins
