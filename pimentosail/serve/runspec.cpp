#include "pimentosail/serve/runspec.h"

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"

namespace pimentosail
{

namespace
{

Json::Value namesToJson(const std::vector<std::string> &names)
{
    Json::Value list(Json::arrayValue);
    for (const std::string &name : names) {
        list.append(name);
    }
    return list;
}

std::vector<std::string> namesFromJson(const Json::Value &list)
{
    std::vector<std::string> names;
    for (const Json::Value &name : list) {
        names.push_back(name.asString());
    }
    return names;
}

struct Encoder
{
    Json::Value operator()(const AnswerFrame &frame) const
    {
        Json::Value value;
        value["o"] = Json::Int64(frame.offset);
        value["t"] = frame.text;
        return value;
    }
    Json::Value operator()(const AnswerEnd &end) const
    {
        Json::Value value;
        value["done"] = true;
        value["finish"] = end.finishReason;
        value["count"] = Json::Int64(end.tokenCount);
        value["prompt_tokens"] = Json::Int64(end.promptTokens);
        value["cached_tokens"] = Json::Int64(end.cachedTokens);
        value["target"] = end.target;
        value["source"] = end.source;
        value["host"] = end.host;
        value["predicted_ms"] = Json::Int64(end.predictedMilliseconds);
        return value;
    }
    Json::Value operator()(const AnswerKeepAlive & /*keepAlive*/) const
    {
        return Json::Value(Json::objectValue);
    }
    Json::Value operator()(const AnswerError &failure) const
    {
        Json::Value value;
        value["error"]["kind"] = std::string(errorName(failure.error.kind));
        value["error"]["message"] = failure.error.message;
        value["error"]["not_run"] = failure.error.notRun;
        value["deaths"] = failure.deaths;
        value["avoid"] = namesToJson(failure.excludedTargets);
        return value;
    }
};

} // namespace

std::string encodeRunHeader(const RunSpec &spec, Time now)
{
    Json::Value value;
    value["id"] = spec.requestId;
    value["team"] = spec.team;
    value["model"] = spec.model;
    value["priority"] = std::string(priorityName(spec.priority));
    value["first_token_us"] = Json::Int64((spec.firstTokenDeadline - now).count());
    value["finish_us"] = Json::Int64((spec.finishDeadline - now).count());
    value["max_tokens"] = Json::Int64(spec.maxTokens);
    value["resume_from"] = Json::Int64(spec.resumeFrom);
    value["deaths"] = spec.deaths;
    value["pinned"] = spec.pinnedTarget;
    value["avoid"] = namesToJson(spec.excludedTargets);
    return printJson(value);
}

RunSpec decodeRun(const std::string &header, std::string prompt, Time now)
{
    const Json::Value value = parseJson(header);
    RunSpec spec;
    spec.requestId = jsonString(value, "id");
    spec.team = jsonString(value, "team");
    spec.model = jsonString(value, "model");
    spec.priority = priorityFromName(jsonString(value, "priority")).value_or(Priority::Standard);
    spec.firstTokenDeadline = now + Duration(jsonInteger(value, "first_token_us"));
    spec.finishDeadline = now + Duration(jsonInteger(value, "finish_us"));
    spec.maxTokens = jsonInteger(value, "max_tokens");
    spec.resumeFrom = jsonInteger(value, "resume_from");
    spec.deaths = static_cast<int>(jsonInteger(value, "deaths"));
    spec.pinnedTarget = jsonString(value, "pinned");
    spec.excludedTargets = namesFromJson(value["avoid"]);
    spec.prompt = std::move(prompt);
    return spec;
}

std::string encodeAnswer(const AnswerEvent &event)
{
    return printJson(std::visit(Encoder{}, event));
}

AnswerEvent decodeAnswer(const std::string &line)
{
    const Json::Value value = parseJson(line);
    if (value.isMember("t")) {
        return AnswerFrame{jsonInteger(value, "o"), jsonString(value, "t")};
    }
    if (value.isMember("done")) {
        AnswerEnd end;
        end.finishReason = jsonString(value, "finish");
        end.tokenCount = jsonInteger(value, "count");
        end.promptTokens = jsonInteger(value, "prompt_tokens");
        end.cachedTokens = jsonInteger(value, "cached_tokens");
        end.target = jsonString(value, "target");
        end.source = jsonString(value, "source");
        end.host = jsonString(value, "host");
        end.predictedMilliseconds = jsonInteger(value, "predicted_ms");
        return end;
    }
    if (value.isMember("error")) {
        const Json::Value &error = value["error"];
        AnswerError failure;
        failure.error = Error(errorKindFromName(jsonString(error, "kind")), jsonString(error, "message"), jsonBoolean(error, "not_run"));
        failure.deaths = static_cast<int>(jsonInteger(value, "deaths"));
        failure.excludedTargets = namesFromJson(value["avoid"]);
        return failure;
    }
    return AnswerKeepAlive{};
}

uint64_t fingerprintOf(const RunSpec &spec)
{
    return stableHash(spec.prompt, stableHash(spec.team + '\n' + spec.model));
}

} // namespace pimentosail
