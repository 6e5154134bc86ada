#include "pimentosail/serve/callerapi.h"

#include <algorithm>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"

namespace pimentosail
{

namespace
{

constexpr Duration BodyTimeout = std::chrono::seconds(15);
constexpr size_t MaxRequestIdLength = 128;
constexpr size_t MaxIdempotencyKeyLength = 256;
constexpr int64_t DefaultMaxTokens = 256;
constexpr std::string_view ServicePrefix = "/v1/services/";
constexpr std::string_view BearerPrefix = "Bearer ";

bool isPlainText(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char character) { return character > 0x20 && character < 0x7f; });
}

std::string requestIdOf(const HttpExchange &exchange)
{
    const std::string given = exchange.header("X-Request-Id");
    return !given.empty() && given.size() <= MaxRequestIdLength && isPlainText(given) ? given : "req-" + randomId();
}

std::string chatPrompt(const Json::Value &messages)
{
    if (!messages.isArray() || messages.empty()) {
        throw Failure(ErrorKind::BadRequest, "field 'messages' must be a nonempty list");
    }
    std::string prompt;
    for (const Json::Value &message : messages) {
        if (!message.isObject()) {
            throw Failure(ErrorKind::BadRequest, "each message must be an object");
        }
        prompt += jsonString(message, "role", "user") + ":\n" + jsonString(message, "content") + "\n";
    }
    return prompt;
}

Json::Value answerFields(const RunSpec &spec, bool isChat, bool isChunk)
{
    Json::Value value;
    value["id"] = spec.requestId;
    value["model"] = spec.model;
    value["object"] = !isChat ? "text_completion" : isChunk ? "chat.completion.chunk" : "chat.completion";
    value["created"] = Json::Int64(Clock::wallMilliseconds() / 1000);
    return value;
}

Json::Value usageOf(const AnswerEnd &end)
{
    Json::Value usage;
    usage["prompt_tokens"] = Json::Int64(end.promptTokens);
    usage["completion_tokens"] = Json::Int64(end.tokenCount);
    usage["total_tokens"] = Json::Int64(end.promptTokens + end.tokenCount);
    usage["prompt_tokens_details"]["cached_tokens"] = Json::Int64(end.cachedTokens);
    return usage;
}

Json::Value placementOf(const AnswerEnd &end)
{
    Json::Value placement;
    placement["target"] = end.target;
    placement["host"] = end.host;
    placement["source"] = end.source;
    placement["predicted_first_token_ms"] = Json::Int64(end.predictedMilliseconds);
    return placement;
}

Json::Value chunkOf(const RunSpec &spec, bool isChat, const AnswerFrame &frame)
{
    Json::Value value = answerFields(spec, isChat, true);
    Json::Value &choice = value["choices"][0];
    choice["index"] = 0;
    choice["finish_reason"] = Json::nullValue;
    if (isChat) {
        choice["delta"]["content"] = frame.text;
    } else {
        choice["text"] = frame.text;
    }
    return value;
}

Json::Value lastChunkOf(const RunSpec &spec, bool isChat, const AnswerEnd &end)
{
    Json::Value value = chunkOf(spec, isChat, AnswerFrame{end.tokenCount, ""});
    value["choices"][0]["finish_reason"] = end.finishReason;
    value["usage"] = usageOf(end);
    value["pimentosail"] = placementOf(end);
    return value;
}

std::string eventOf(const Json::Value &value)
{
    return "data: " + printJson(value) + "\n\n";
}

bool mayUse(const std::vector<std::string> &allowed, const std::string &name)
{
    return std::find(allowed.begin(), allowed.end(), name) != allowed.end();
}

} // namespace

void CallerApi::handle(HttpExchange &exchange)
{
    const std::string requestId = requestIdOf(exchange);
    exchange.setHeader("X-Request-Id", requestId);
    std::string outcome = "ok";
    try {
        this->route(exchange, requestId);
    } catch (const Failure &failure) {
        outcome = errorName(failure.error.kind);
        if (!exchange.isHeaderSent()) {
            exchange.sendError(failure.error, requestId);
        }
    } catch (const std::exception &exception) {
        outcome = errorName(ErrorKind::Internal);
        if (!exchange.isHeaderSent()) {
            exchange.sendError(Error(ErrorKind::Internal, exception.what()), requestId);
        }
    }
    this->countOutcome(outcome);
}

void CallerApi::countOutcome(const std::string &outcome)
{
    this->context.metrics.count("pimentosail_requests_total", {{"outcome", outcome}});
}

void CallerApi::route(HttpExchange &exchange, const std::string &requestId)
{
    const std::string path = exchange.path();
    if (this->refusing.load()) {
        throw Failure(ErrorKind::ShuttingDown, "this host is shutting down");
    }
    const Caller caller = this->authenticate(exchange);
    if (path == "/v1/models" && exchange.method() == "GET") {
        this->models(exchange, caller);
    } else if (path == "/v1/completions" && exchange.method() == "POST") {
        this->completion(exchange, caller, false, requestId);
    } else if (path == "/v1/chat/completions" && exchange.method() == "POST") {
        this->completion(exchange, caller, true, requestId);
    } else if (path.rfind(ServicePrefix, 0) == 0 && exchange.method() == "POST") {
        this->service(exchange, caller, requestId);
    } else {
        throw Failure(ErrorKind::NotFound, exchange.method() + " " + path + " is not served");
    }
}

CallerApi::Caller CallerApi::authenticate(const HttpExchange &exchange) const
{
    Caller caller;
    caller.configuration = this->context.configuration.current();
    if (!caller.configuration) {
        throw Failure(ErrorKind::ShuttingDown, "no configuration is in force yet");
    }
    const std::string header = exchange.header("Authorization");
    if (header.rfind(BearerPrefix, 0) == 0) {
        caller.team = caller.configuration->lists.teamByKeyDigest(sha256Hex(header.substr(BearerPrefix.size())));
    }
    if (caller.team == nullptr) {
        throw Failure(ErrorKind::Unauthorized, "the bearer key is missing or not known");
    }
    return caller;
}

RunSpec CallerApi::parseCompletion(const Json::Value &body, const Caller &caller, bool isChat, const std::string &requestId) const
{
    if (!body.isObject()) {
        throw Failure(ErrorKind::BadRequest, "the body must be a JSON object");
    }
    const Plan &plan = caller.configuration->lists.plans.at(caller.team->plan);
    const Time now = this->context.clock.now();
    RunSpec spec;
    spec.requestId = requestId;
    spec.team = caller.team->name;
    spec.model = jsonString(body, "model");
    const Model *model = caller.configuration->lists.model(spec.model);
    if (model == nullptr) {
        throw Failure(ErrorKind::UnknownModel, "model '" + spec.model + "' is not served here");
    }
    if (!mayUse(caller.configuration->lists.allowanceOf(*caller.team).models, spec.model)) {
        throw Failure(ErrorKind::NotAllowed, "the plan '" + plan.name + "' may not use model '" + spec.model + "'");
    }
    spec.prompt = isChat ? chatPrompt(body["messages"]) : jsonString(body, "prompt");
    if (spec.prompt.empty()) {
        throw Failure(ErrorKind::BadRequest, "field 'prompt' must be a nonempty string");
    }
    if (promptTokens(spec.prompt) > model->maxPromptTokens) {
        throw Failure(ErrorKind::BodyTooLarge, "the prompt has more than " + std::to_string(model->maxPromptTokens) + " tokens");
    }
    spec.maxTokens = jsonInteger(body, "max_tokens", std::min(DefaultMaxTokens, model->maxAnswerTokens));
    if (spec.maxTokens < 1 || spec.maxTokens > model->maxAnswerTokens) {
        throw Failure(ErrorKind::BadRequest, "field 'max_tokens' must be 1 to " + std::to_string(model->maxAnswerTokens));
    }
    const std::string priority = jsonString(body, "priority", std::string(priorityName(plan.priority)));
    const std::optional<Priority> parsed = priorityFromName(priority);
    if (!parsed) {
        throw Failure(ErrorKind::BadRequest, "field 'priority' must be batch, standard or interactive");
    }
    // A request may lower its plan's priority, not raise it.
    spec.priority = std::min(*parsed, plan.priority);
    const int64_t firstToken = jsonInteger(body, "first_token_ms", toMilliseconds(plan.firstTokenWithin));
    const int64_t finish = jsonInteger(body, "finish_within_ms", toMilliseconds(plan.finishWithin));
    if (firstToken < 1 || finish < 1) {
        throw Failure(ErrorKind::BadRequest, "deadlines must be positive");
    }
    spec.finishDeadline = now + Milliseconds(std::min(finish, toMilliseconds(plan.finishWithin)));
    spec.firstTokenDeadline = std::min(now + Milliseconds(firstToken), spec.finishDeadline);
    return spec;
}

void CallerApi::completion(HttpExchange &exchange, const Caller &caller, bool isChat, const std::string &requestId)
{
    const Json::Value body = parseJson(exchange.readBody(this->context.settings.maxBodyBytes, this->context.clock, BodyTimeout));
    RunSpec spec = this->parseCompletion(body, caller, isChat, requestId);
    const int64_t tokens = promptTokens(spec.prompt) + spec.maxTokens;
    AllowanceCharge charge = this->context.allowances.charge(*caller.team, caller.configuration->lists.allowanceOf(*caller.team), tokens);
    if (jsonBoolean(body, "stream")) {
        this->streamAnswer(exchange, spec, isChat, charge);
    } else {
        this->sendCompleteAnswer(exchange, spec, isChat, charge);
    }
}

void CallerApi::streamAnswer(HttpExchange &exchange, RunSpec &spec, bool isChat, AllowanceCharge &charge)
{
    const Time arrived = this->context.clock.now();
    bool started = false;
    const AnswerSink sink = [&](const AnswerEvent &event) {
        if (const auto *frame = std::get_if<AnswerFrame>(&event)) {
            if (!started) {
                started = true;
                exchange.startStream("text/event-stream");
                this->context.metrics.observeSeconds("pimentosail_first_token_seconds", {{"priority", std::string(priorityName(spec.priority))}},
                    toSeconds(this->context.clock.now() - arrived));
            }
            exchange.write(eventOf(chunkOf(spec, isChat, *frame)));
        } else if (const auto *end = std::get_if<AnswerEnd>(&event)) {
            if (!started) {
                exchange.startStream("text/event-stream");
            }
            charge.settle(end->promptTokens + end->tokenCount);
            exchange.write(eventOf(lastChunkOf(spec, isChat, *end)) + "data: [DONE]\n\n");
        } else if (started) {
            exchange.write(": keep-alive\n\n");
        } else if (exchange.isCallerDisconnected()) {
            throw Failure(ErrorKind::Cancelled, "the caller has disconnected");
        }
    };
    try {
        this->runner.runFromCaller(spec, sink);
    } catch (const Failure &failure) {
        charge.settle(spec.resumeFrom > 0 ? promptTokens(spec.prompt) + spec.resumeFrom : 0);
        if (started && failure.error.kind != ErrorKind::Cancelled) {
            // The header is sent already, so the error is sent as an event and the closing frame is left out.
            exchange.write(eventOf(errorBody(failure.error, spec.requestId)));
        }
        throw;
    }
}

void CallerApi::sendCompleteAnswer(HttpExchange &exchange, RunSpec &spec, bool isChat, AllowanceCharge &charge)
{
    std::string text;
    AnswerEnd end;
    const AnswerSink sink = [&](const AnswerEvent &event) {
        if (const auto *frame = std::get_if<AnswerFrame>(&event)) {
            text += frame->text;
        } else if (const auto *last = std::get_if<AnswerEnd>(&event)) {
            end = *last;
        } else if (exchange.isCallerDisconnected()) {
            throw Failure(ErrorKind::Cancelled, "the caller has disconnected");
        }
    };
    try {
        this->runner.runFromCaller(spec, sink);
    } catch (const Failure &) {
        charge.settle(spec.resumeFrom > 0 ? promptTokens(spec.prompt) + spec.resumeFrom : 0);
        throw;
    }
    charge.settle(end.promptTokens + end.tokenCount);
    Json::Value value = answerFields(spec, isChat, false);
    Json::Value &choice = value["choices"][0];
    choice["index"] = 0;
    choice["finish_reason"] = end.finishReason;
    if (isChat) {
        choice["message"]["role"] = "assistant";
        choice["message"]["content"] = text;
    } else {
        choice["text"] = text;
    }
    value["usage"] = usageOf(end);
    value["pimentosail"] = placementOf(end);
    exchange.sendJson(200, value);
}

void CallerApi::models(HttpExchange &exchange, const Caller &caller) const
{
    Json::Value value;
    value["object"] = "list";
    value["data"] = Json::Value(Json::arrayValue);
    for (const std::string &name : caller.configuration->lists.allowanceOf(*caller.team).models) {
        Json::Value item;
        item["id"] = name;
        item["object"] = "model";
        item["owned_by"] = "pimentosail";
        value["data"].append(item);
    }
    exchange.sendJson(200, value);
}

void CallerApi::service(HttpExchange &exchange, const Caller &caller, const std::string &requestId)
{
    const std::string rest = exchange.path().substr(ServicePrefix.size());
    const size_t slash = rest.find('/');
    ServiceRequest request;
    request.requestId = requestId;
    request.team = caller.team->name;
    request.service = rest.substr(0, slash);
    request.path = slash == std::string::npos ? "/" : rest.substr(slash);
    request.contentType = exchange.header("Content-Type");
    request.idempotencyKey = exchange.header("Idempotency-Key");
    if (caller.configuration->lists.service(request.service) == nullptr) {
        throw Failure(ErrorKind::UnknownService, "service '" + request.service + "' is not served here");
    }
    if (!mayUse(caller.configuration->lists.allowanceOf(*caller.team).services, request.service)) {
        throw Failure(ErrorKind::NotAllowed, "the plan may not use service '" + request.service + "'");
    }
    if (request.idempotencyKey.size() > MaxIdempotencyKeyLength) {
        throw Failure(ErrorKind::BadRequest, "the idempotency key is longer than " + std::to_string(MaxIdempotencyKeyLength) + " bytes");
    }
    request.body = exchange.readBody(this->context.settings.maxBodyBytes, this->context.clock, BodyTimeout);
    const ServiceAnswer answer = this->services.fromCaller(request);
    if (answer.replayed) {
        exchange.setHeader("Idempotent-Replayed", "true");
    }
    exchange.send(answer.status, answer.contentType, answer.body);
}

} // namespace pimentosail
