// The requests of callers and the answers of targets in the product's terms, and the functions by which an adapter
// decodes and encodes them. The entry service knows no header or path of an outside system.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <Poco/Net/HTTPResponse.h>

#include "pimentosail/directory/directory.h"
#include "pimentosail/kv/prefixstore.h"
#include "pimentosail/kvcache/storecontents.h"
#include "pimentosail/net/httpserver.h"

namespace pimentosail
{

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// The prompt of a request to a model.
struct Prompt
{
    std::string model;
    int64_t promptTokens = 0;
    int64_t maxOutputTokens = 0;
    std::vector<PromptBlock> parts;
};

// A caller's request, before its body is read.
struct CallerRequest
{
    // Unique for each attempt of a caller; empty if the caller sent none.
    std::string id;
    std::string method;
    // Path and query as sent, and the path alone.
    std::string target;
    std::string path;
    std::string host;
    // The caller's secret key; never logged and never passed on.
    std::string key;
    // Headers to pass on unchanged.
    HeaderList headers;
    std::string body;
    // How long the caller waits, counted from when it sent the request; zero if it did not say.
    Duration patience{};
    std::optional<Prompt> prompt;
    // The caller continues a stream after this event; empty if it starts one.
    std::string resumeAfter;
};

// How a request is sent to one target.
struct AttemptPlan
{
    TargetPointer target;
    Duration timeLeft{};
    std::string team;
    std::optional<int> priority;
    // The request yields to all others at the target.
    bool isLate = false;
    // Prompt tokens that the target has to read.
    int64_t readTokens = 0;
    // Tokens of the prompt and its answer, which take memory at the target.
    int64_t heldTokens = 0;
    std::string resumeAfter;
    // Of prompts: namespace of cached parts, weight version the target must have, and cache transfers.
    std::string cacheSalt;
    int64_t expectedVersion = 0;
    CachePlan cache;
};

// The head of a target's answer.
struct ReplyFacts
{
    int status = 0;
    // Headers to pass on unchanged, the signature included.
    HeaderList headers;
    // Request that the answer belongs to, if the target said so.
    std::string requestId;
    // The target states that it did not and will not run the request.
    bool isNotRun = false;
    bool isOtherInstance = false;
    // A success is a target's own only with its signature.
    bool isSigned = false;
    bool isEventStream = false;
    std::optional<int64_t> weightVersion;
    std::optional<Duration> coldRemaining;
    // How long the target keeps the connection open when idle.
    Duration keepAlive{};
};

// What a target reports of its weights on request.
struct TargetReport
{
    std::map<std::string, int64_t> modelVersions;
    // An order is being carried out.
    bool isBusy = false;
    // Orders accepted since the target's start.
    int64_t orderCount = 0;
};

// An order to load a version of a model, given under the authority of one holder.
struct LoadOrder
{
    std::string model;
    int64_t version = 0;
    std::string holder;
    int64_t fence = 0;
    // The order holds only if the target has accepted exactly this many before.
    int64_t expectedOrderCount = 0;
};

enum class OrderOutcome {
    // Being carried out, or holds already.
    Accepted,
    // Another order is in progress, or the order count differs.
    Conflict,
    // Refused for good: an unknown version or an outdated fence.
    Refused,
    // No answer: it may be carried out, now or later.
    Unknown,
};

// Where the operators and the targets write in the platform's store, and what their values say.
struct StoreLayout
{
    std::string servingKey;
    // Followed by the id of a target, the name of a zone, the name of a model.
    std::string targetPrefix;
    std::string evacuationPrefix;
    std::string versionPrefix;
    std::function<Result<ServingConfigurationPointer>(const std::string &value)> decodeServing;
    std::function<Result<Registration>(const std::string &id, const StoredItem &item)> decodeRegistration;
    std::function<Result<int64_t>(const std::string &value)> decodeVersion;
};

struct Wire
{
    StoreLayout layout;
    // Throws `Failure` (BadRequest).
    std::function<CallerRequest(const HttpExchange &exchange)> decodeRequest;
    // Returns the bytes of one whole request.
    std::function<std::string(const CallerRequest &request, const AttemptPlan &plan)> encodeAttempt;
    std::function<ReplyFacts(const Poco::Net::HTTPResponse &head)> decodeReply;
    // Returns the headers of an answer of our own to a request.
    std::function<HeaderList(const CallerRequest &request)> ownAnswerHeaders;

    // The following call other systems and throw `Failure` (TargetLost).
    std::function<CacheEvents(const std::string &storeAddress, int64_t since, Duration wait)> pollStore;
    // Returns all that a store holds, as additions.
    std::function<CacheEvents(const std::string &storeAddress)> listStore;
    // Frees parts of a salt; returns false if the store restarted since `epoch`.
    std::function<bool(const std::string &storeAddress, int64_t epoch, const std::string &salt, const std::vector<std::string> &parts)> freeParts;
    std::function<TargetReport(const TargetState &target)> report;
    std::function<OrderOutcome(const TargetState &target, const LoadOrder &order)> order;
};

} // namespace pimentosail
