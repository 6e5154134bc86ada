#include "pimentosail/target/engineclient.h"

#include <algorithm>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"

namespace pimentosail
{

namespace
{

constexpr std::string_view DataPrefix = "data: ";
constexpr std::string_view DoneMarker = "[DONE]";
// Estimated bytes of the HTTP headers of a small request and its answer.
constexpr size_t HeaderBytesEstimate = 160;
constexpr size_t MaxRefusalBytes = 4096;
constexpr Duration RefusalReadTimeout = std::chrono::seconds(1);

std::string completionBody(const EngineCall &call)
{
    Json::Value body;
    body["model"] = call.model;
    body["prompt"] = call.prompt;
    body["max_tokens"] = Json::Int64(call.maxTokens);
    body["stream"] = true;
    body["priority"] = static_cast<int>(call.priority);
    body["request_id"] = call.requestId;
    body["resume_from"] = Json::Int64(call.resumeFrom);
    body["cache_salt"] = std::to_string(call.salt);
    return printJson(body);
}

std::string transferBody(const BlockTransfer &transfer)
{
    Json::Value body;
    body["store"] = transfer.storeAddress;
    body["tier"] = transfer.tier;
    body["piece"] = std::to_string(transfer.block);
    body["previous"] = std::to_string(transfer.previousBlock);
    body["bytes"] = Json::Int64(transfer.bytes);
    body["cache_salt"] = std::to_string(transfer.salt);
    return printJson(body);
}

} // namespace

int64_t promptTokens(const std::string &prompt)
{
    return (static_cast<int64_t>(prompt.size()) + BytesPerToken - 1) / BytesPerToken;
}

std::vector<uint64_t> promptBlocks(const std::string &prompt, int64_t blockTokens, uint64_t salt)
{
    std::vector<uint64_t> blocks;
    const auto blockBytes = static_cast<size_t>(blockTokens * BytesPerToken);
    uint64_t previous = salt;
    for (size_t start = 0; start + blockBytes <= prompt.size(); start += blockBytes) {
        previous = stableHash(std::string_view(prompt).substr(start, blockBytes), previous);
        blocks.push_back(previous);
    }
    return blocks;
}

uint64_t cacheSalt(const std::string &team, const std::string &model, int64_t version)
{
    return stableHash(team + '\n' + model + '\n' + std::to_string(version));
}

std::unique_ptr<EngineStream> EngineStream::open(const std::string &address, const EngineCall &call, Duration connectTimeout)
{
    std::unique_ptr<EngineStream> result(new EngineStream());
    result->receivedTokens = call.resumeFrom;
    const HttpRequest request{"POST", "/v1/completions", {{"Accept", "text/event-stream"}, {"X-Request-Id", call.requestId}}, completionBody(call)};
    result->stream = HttpStream::open(address, request, connectTimeout);
    return result;
}

EngineEvent EngineStream::next(Duration wait)
{
    if (!this->headerRead) {
        if (!this->stream->waitForHeader(wait)) {
            return EngineIdle{};
        }
        this->headerRead = true;
        if (this->stream->status() != 200) {
            const int status = this->stream->status();
            return EngineRefused{status, this->stream->readAll(MaxRefusalBytes, RefusalReadTimeout)};
        }
    }
    std::string line;
    while (true) {
        switch (this->stream->readLine(line, wait)) {
        case LineStatus::Timeout:
            return EngineIdle{};
        case LineStatus::End:
            throw Failure(ErrorKind::PeerLost, "the stream ended before [DONE]");
        case LineStatus::Line:
            break;
        }
        if (std::string_view(line).substr(0, DataPrefix.size()) == DataPrefix) {
            return this->parseEvent(line.substr(DataPrefix.size()));
        }
    }
}

EngineEvent EngineStream::parseEvent(const std::string &data)
{
    if (data == DoneMarker) {
        if (this->finishReason.empty()) {
            throw Failure(ErrorKind::PeerLost, "[DONE] arrived without a finish reason");
        }
        return EngineEnd{this->finishReason, this->receivedTokens};
    }
    const Json::Value value = parseJson(data);
    const Json::Value &choice = value["choices"][0];
    EngineToken token;
    token.offset = jsonInteger(value, "offset", this->receivedTokens);
    token.text = jsonString(choice, "text");
    token.cachedTokens = value.isMember("usage") ? jsonInteger(value["usage"], "cached_tokens", -1) : -1;
    this->finishReason = jsonString(choice, "finish_reason");
    if (!this->finishReason.empty()) {
        const int64_t total = jsonInteger(value["usage"], "completion_tokens", this->receivedTokens);
        if (total != this->receivedTokens) {
            throw Failure(ErrorKind::PeerLost, "the engine reported " + std::to_string(total) + " tokens, received " + std::to_string(this->receivedTokens));
        }
        return token.text.empty() ? EngineEvent(EngineIdle{}) : EngineEvent(token);
    }
    if (token.offset != this->receivedTokens) {
        throw Failure(ErrorKind::PeerLost, "the engine skipped or repeated a token");
    }
    this->receivedTokens = token.offset + 1;
    return token;
}

TargetReport EngineClient::fetchLoadReport(const std::string &address, Duration timeout)
{
    const HttpReply reply = this->http.call(address, {"GET", "/load", {}, ""}, timeout);
    this->countBytes("load_report", reply.body.size() + HeaderBytesEstimate);
    if (reply.status != 200) {
        throw Failure(ErrorKind::PeerLost, "load report answered " + std::to_string(reply.status));
    }
    const Json::Value value = parseJson(reply.body);
    TargetReport report;
    report.boot = jsonString(value, "boot_id");
    report.cold = jsonBoolean(value, "cold");
    report.loading = jsonBoolean(value, "loading");
    report.version = jsonInteger(value, "version");
    report.running = jsonInteger(value, "running");
    report.queuedTokens = jsonInteger(value, "queued_tokens");
    report.cacheTokens = jsonInteger(value, "cache_tokens");
    report.evictionAge = Milliseconds(jsonInteger(value, "eviction_age_ms", -1));
    report.prefillTokensPerSecond = static_cast<double>(jsonInteger(value, "prefill_tokens_per_s"));
    return report;
}

std::vector<uint64_t> EngineClient::fetchEvictedBlocks(const std::string &address, int64_t &sequence, Duration timeout)
{
    const HttpReply reply = this->http.call(address, {"GET", "/cache/events?after=" + std::to_string(sequence), {}, ""}, timeout);
    this->countBytes("cache_events", reply.body.size() + HeaderBytesEstimate);
    std::vector<uint64_t> evicted;
    const Json::Value value = parseJson(reply.body);
    for (const Json::Value &event : value["events"]) {
        sequence = std::max(sequence, jsonInteger(event, "seq"));
        if (jsonString(event, "type") == "evicted") {
            evicted.push_back(std::stoull(jsonString(event, "piece", "0")));
        }
    }
    return evicted;
}

void EngineClient::post(const std::string &address, const std::string &path, const std::string &body, Duration timeout)
{
    const HttpReply reply = this->http.call(address, {"POST", path, {}, body}, timeout);
    if (reply.status == 409) {
        throw Failure(ErrorKind::Conflict, path + ": " + reply.body);
    }
    if (reply.status != 200) {
        throw Failure(ErrorKind::TargetLost, path + " answered " + std::to_string(reply.status));
    }
}

void EngineClient::sendLoadOrder(const std::string &address, const LoadOrder &loadOrder, Duration timeout)
{
    Json::Value body;
    body["model"] = loadOrder.model;
    body["version"] = Json::Int64(loadOrder.version);
    body["fencing"] = Json::Int64(loadOrder.fencingToken);
    this->post(address, "/orders/load", printJson(body), timeout);
}

void EngineClient::exportBlock(const std::string &address, const BlockTransfer &transfer, Duration timeout)
{
    this->post(address, "/kv/export", transferBody(transfer), timeout);
}

void EngineClient::importBlock(const std::string &address, const BlockTransfer &transfer, Duration timeout)
{
    this->post(address, "/kv/import", transferBody(transfer), timeout);
}

} // namespace pimentosail
