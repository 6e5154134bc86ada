#include "testing/caller.h"

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"
#include "pimentosail/target/engineclient.h"

namespace pimentosail::testing
{

namespace
{

constexpr Duration ConnectTimeout = std::chrono::seconds(2);
constexpr Duration ReadTimeout = Milliseconds(100);
constexpr Duration BookTimeout = std::chrono::seconds(30);
constexpr std::string_view DataPrefix = "data: ";

void readError(const Json::Value &value, std::string &kind, bool &notRun)
{
    kind = jsonString(value["error"], "kind");
    notRun = jsonBoolean(value["error"], "not_run");
}

// Adds one event of the stream to `completion`; returns true for the final event.
bool applyEvent(const std::string &data, Completion &completion)
{
    if (data == "[DONE]") {
        completion.complete = true;
        return true;
    }
    const Json::Value value = parseJson(data);
    if (value.isMember("error")) {
        readError(value, completion.errorKind, completion.notRun);
        return false;
    }
    const std::string text = jsonString(value["choices"][0], "text");
    if (!text.empty()) {
        completion.text += text;
        ++completion.tokens;
    }
    if (value.isMember("pimentosail")) {
        completion.target = jsonString(value["pimentosail"], "target");
        completion.host = jsonString(value["pimentosail"], "host");
        completion.source = jsonString(value["pimentosail"], "source");
        completion.promptTokens = jsonInteger(value["usage"], "prompt_tokens");
        completion.cachedTokens = jsonInteger(value["usage"]["prompt_tokens_details"], "cached_tokens");
    }
    return false;
}

} // namespace

Completion Caller::complete(const std::string &model, const std::string &prompt, const CompletionOptions &options) const
{
    Clock clock;
    const Time start = clock.now();
    Completion completion;
    Json::Value body;
    body["model"] = model;
    body["prompt"] = prompt;
    body["max_tokens"] = Json::Int64(options.maxTokens);
    body["stream"] = true;
    if (!options.priority.empty()) {
        body["priority"] = options.priority;
    }
    try {
        const HttpRequest request{"POST", "/v1/completions", {{"Authorization", "Bearer " + this->key}}, printJson(body)};
        const std::unique_ptr<HttpStream> stream = HttpStream::open(this->address, request, ConnectTimeout);
        const Time end = start + options.timeout;
        while (!stream->waitForHeader(ReadTimeout)) {
            if (clock.now() > end) {
                return completion;
            }
        }
        completion.status = stream->status();
        if (completion.status != 200) {
            readError(parseJson(stream->readAll(65536, ConnectTimeout)), completion.errorKind, completion.notRun);
            completion.total = clock.now() - start;
            return completion;
        }
        std::string line;
        while (clock.now() < end) {
            const LineStatus status = stream->readLine(line, ReadTimeout);
            if (status == LineStatus::End) {
                break;
            }
            if (status == LineStatus::Timeout || line.rfind(DataPrefix, 0) != 0) {
                continue;
            }
            const int64_t before = completion.tokens;
            const bool done = applyEvent(line.substr(DataPrefix.size()), completion);
            if (completion.tokens > 0 && completion.firstToken < Duration(0)) {
                completion.firstToken = clock.now() - start;
            }
            if (completion.tokens > before && options.onToken) {
                options.onToken(completion.tokens);
            }
            if (done) {
                break;
            }
        }
    } catch (const Failure &failure) {
        completion.errorKind = completion.errorKind.empty() ? "connection" : completion.errorKind;
        completion.notRun = failure.error.notRun;
    }
    completion.total = clock.now() - start;
    return completion;
}

Booking Caller::book(const std::string &path, const std::string &idempotencyKey, const std::string &body) const
{
    Booking booking;
    try {
        Headers headers{{"Authorization", "Bearer " + this->key}, {"Content-Type", "application/json"}};
        if (!idempotencyKey.empty()) {
            headers.emplace_back("Idempotency-Key", idempotencyKey);
        }
        HttpClient http;
        const HttpReply reply = http.call(this->address, {"POST", "/v1/services/" + path, headers, body}, BookTimeout, ConnectionUse::Fresh);
        booking.status = reply.status;
        booking.body = reply.body;
        const Json::Value value = parseJson(reply.body);
        if (value.isObject() && value.isMember("error")) {
            readError(value, booking.errorKind, booking.notRun);
        }
    } catch (const Failure &failure) {
        booking.errorKind = "connection";
        booking.notRun = failure.error.notRun;
    }
    return booking;
}

std::string makePrompt(const std::string &name, int64_t tokens)
{
    const auto bytes = static_cast<size_t>(tokens * BytesPerToken);
    std::string prompt = name + ":";
    uint64_t state = stableHash(name);
    while (prompt.size() < bytes) {
        state = combineHashes(state, prompt.size());
        prompt += " parcel" + std::to_string(state % 100'000);
    }
    prompt.resize(bytes);
    return prompt;
}

std::string expectedAnswer(const std::string &prompt, int64_t tokens)
{
    std::string text;
    const uint64_t hash = stableHash(prompt);
    for (int64_t index = 0; index < tokens; ++index) {
        text += "w" + std::to_string(combineHashes(hash, static_cast<uint64_t>(index)) % 1000) + " ";
    }
    return text;
}

} // namespace pimentosail::testing
