// The types of requests and answers that the entry service uses, and the functions with which an adapter decodes and
// encodes them. Only the adapter contains header names, paths and body formats of external systems.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pimentosail/delivery/deliverystate.h"
#include "pimentosail/directory/directory.h"
#include "pimentosail/entry/deliveries.h"
#include "pimentosail/kv/prefixstore.h"
#include "pimentosail/kvcache/storecontents.h"
#include "pimentosail/net/httpserver.h"
#include "pimentosail/net/messagehead.h"

namespace pimentosail
{

// The prompt of a request to a model.
struct Prompt
{
    std::string model;
    int64_t promptTokens = 0;
    int64_t maxOutputTokens = 0;
    // The cacheable blocks of the prompt, from its beginning on.
    std::vector<PromptBlock> blocks;
};

// A caller's request. `Wire::decodeRequest` sets all members but the body, which is read afterwards.
struct CallerRequest
{
    // Unique for each attempt of a caller; empty if the caller sent none.
    std::string id;
    std::string method;
    // Request target (path and query as sent), and the path alone.
    std::string requestTarget;
    std::string path;
    std::string host;
    // The caller's secret API key; it is never logged and never passed on.
    std::string key;
    // Headers to pass on unchanged.
    HeaderList headers;
    std::string body;
    // The caller's timeout, counted from when it sent the request; zero if it set none.
    Duration callerTimeout{};
    std::optional<Prompt> prompt;
    // ID of the last event that the caller received of a stream that it resumes; empty for a new stream.
    std::string resumeAfter;
};

// How a request is sent to one target.
struct AttemptPlan
{
    TargetPointer target;
    Duration timeLeft{};
    std::string team;
    std::optional<int> priority;
    // The prompt is expected to miss its target latency; the target runs it after all prompts that are not late.
    bool isLate = false;
    // Prompt tokens that the target has to process because they are not expected to be cached.
    int64_t prefillTokens = 0;
    // Tokens of the prompt and of its longest answer, which occupy cache memory of the target.
    int64_t heldTokens = 0;
    // ID of the last event that was received of a stream that is resumed; empty for a new stream.
    std::string resumeAfter;
    // For prompts only: the namespace of cached blocks, the weight version that the target must have, and the transfers
    // of cached blocks.
    std::string cacheSalt;
    int64_t expectedVersion = 0;
    CachePlan cache;
};

// The header of a target's answer.
struct ReplyHeader
{
    int status = 0;
    // Header fields to pass on unchanged, the signature included.
    HeaderList headers;
    // ID of the request that the answer belongs to; empty if the target sent none.
    std::string requestId;
    // The target states that it did not and will not run the request, with a status that agrees.
    bool isNotRun = false;
    // The target states that it did not run the request, with a status that does not agree: whether it ran is unknown.
    bool contradictsItself = false;
    // The request was meant for another incarnation of the target and was not run.
    bool isOtherInstance = false;
    // The answer has the target's signature. Without it, a success may come from another server.
    bool isSigned = false;
    bool isEventStream = false;
    std::optional<int64_t> weightVersion;
    // How long the target still counts as cold.
    std::optional<Duration> coldRemaining;
    // Requests a second that the target takes from all hosts together; nothing if it names no limit.
    std::optional<double> rateLimit;
    // The answer names a limit that cannot be read.
    bool hasUnreadableRateLimit = false;
    // The target says that it is going to end.
    bool isLeaving = false;
    // A refusal: how long the target wants no requests of this host; nothing if it does not say.
    std::optional<Duration> rest;
    // A refusal names a time that cannot be read.
    bool hasUnreadableRest = false;
    // How long the target keeps the connection open while it is idle.
    Duration keepAlive{};
};

// A target's report of its weights and load orders.
struct TargetWeightsReport
{
    std::map<std::string, int64_t> modelVersions;
    // The target is executing a load order.
    bool isBusy = false;
    // Load orders that the target accepted since its start.
    int64_t orderCount = 0;
};

// An order to a target to load a version of a model, sent by the rollout leader.
struct WeightLoadOrder
{
    std::string model;
    int64_t version = 0;
    // Name of the rollout leader, and the fencing token of its leadership.
    std::string leader;
    int64_t fencingToken = 0;
    // The target accepts the order only if it has accepted exactly this many orders since its start.
    int64_t expectedOrderCount = 0;
};

enum class OrderOutcome {
    // The order is being executed, or the target has the version already.
    Accepted,
    // Another order is being executed, or the order count differs.
    Conflict,
    // The order was not accepted: the target refused it, for example because the version is unknown or the fencing token
    // is outdated, or no connection to the target could be opened.
    Refused,
    // No answer was received: the order may be executed, now or later.
    Unknown,
};

// What operators are told of the delivery of a service's version.
struct DeliveryStatus
{
    DeliveryPhase phase = DeliveryPhase::Waiting;
    // Empty if the order names none.
    std::string version;
    std::string reason;
};

// The keys of the platform's key-value store that operators and targets write, and decoders of the values.
struct KeyValueLayout
{
    // Key of the configuration.
    std::string servingKey;
    // Key prefixes; they are followed by the ID of a target, the name of a zone and the name of a model, respectively.
    std::string targetPrefix;
    std::string evacuationPrefix;
    std::string versionPrefix;
    std::function<Result<ServingConfigurationPointer>(const std::string &value)> decodeServing;
    std::function<Result<Registration>(const std::string &id, const StoredItem &item)> decodeRegistration;
    std::function<Result<int64_t>(const std::string &value)> decodeVersion;
    // Orders to deliver a version, and what operators are told of them. The prefixes are followed by the name of a service.
    std::string deliveryOrderPrefix;
    std::string deliveryStatusPrefix;
    std::function<StatedDelivery(const std::string &service, const StoredItem &item)> decodeDeliveryOrder;
    std::function<std::string(const DeliveryStatus &status)> encodeDeliveryStatus;
    // Returns true if `value` tells operators the same course and version as `status`.
    std::function<bool(const std::string &value, const DeliveryStatus &status)> isDeliveryStatus;
};

// The adapter's functions. All are thread-safe.
struct Wire
{
    KeyValueLayout layout;
    // Decodes a caller's request without its body. Throws `Failure` (BadRequest).
    std::function<CallerRequest(const HttpExchange &exchange)> decodeRequest;
    // Returns the bytes of a complete request to a target: request line, header fields and body.
    std::function<std::string(const CallerRequest &request, const AttemptPlan &plan)> encodeAttempt;
    // Decodes the header of a target's answer. May throw `Failure` if the header is invalid.
    std::function<ReplyHeader(const AnswerHead &head)> decodeReplyHeader;
    // Returns the header fields of an answer that this host generates itself.
    std::function<HeaderList(const CallerRequest &request)> ownAnswerHeaders;

    // The following functions call cache stores and targets. All but `sendLoadOrder` throw `Failure`: PeerLost if no complete
    // answer is received, TargetLost if the answer is not a success (`freeBlocks` returns false instead) or, from
    // `fetchWeightsReport`, is not JSON, and BadRequest if the answer's content is malformed.

    // Returns the changes of a cache store after event `since` of `epoch`; waits up to `wait` for the next one.
    std::function<CacheEvents(const std::string &storeAddress, int64_t epoch, int64_t since, Duration wait)> pollCacheStore;
    // Returns all blocks that a cache store holds, as additions.
    std::function<CacheEvents(const std::string &storeAddress)> listCacheStore;
    // Frees blocks of the cache namespace `salt` in a cache store. Returns false if the store refuses, which it does if it
    // has restarted since `epoch`.
    std::function<bool(const std::string &storeAddress, int64_t epoch, const std::string &salt, const std::vector<std::string> &blocks)> freeBlocks;
    std::function<TargetWeightsReport(const TargetState &target)> fetchWeightsReport;
    // Sends a load order to a target. Reports a failed call by its result and not by an exception.
    std::function<OrderOutcome(const TargetState &target, const WeightLoadOrder &order)> sendLoadOrder;
};

} // namespace pimentosail
