// The adapter to a model engine: OpenAI-style streaming, plus load reports, load orders and KV-cache transfers. An
// engine with another protocol needs another adapter with the same types.
//
//     std::unique_ptr<EngineStream> stream = EngineStream::open(address, call, Milliseconds(500));
//     EngineEvent event = stream->next(Milliseconds(100));
//
// `EngineClient` is thread-safe; an `EngineStream` belongs to one thread. Destroying a stream closes its
// connection, which cancels the run in the engine.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "pimentosail/config/lists.h"
#include "pimentosail/decision/types.h"
#include "pimentosail/net/httpclient.h"

namespace pimentosail
{

// Bytes of text counted as one token.
constexpr int64_t BytesPerToken = 4;

// Returns the number of tokens of a prompt, rounded up.
int64_t promptTokens(const std::string &prompt);

// Returns the chained hashes of the cache blocks that a prompt fills; an incomplete last block is left out. Each hash
// depends on all earlier blocks and on `salt`.
std::vector<uint64_t> promptBlocks(const std::string &prompt, int64_t blockTokens, uint64_t salt);

// Returns the salt of block hashes that separates the cached blocks of different teams, models and weight versions.
uint64_t cacheSalt(const std::string &team, const std::string &model, int64_t version);

// A request for a completion.
struct EngineCall
{
    std::string requestId;
    std::string model;
    std::string prompt;
    int64_t maxTokens = 0;
    // Index of the first answer token to send: the number of tokens that the caller has received.
    int64_t resumeFrom = 0;
    Priority priority = Priority::Standard;
    // Salt of the prompt's blocks; see `cacheSalt`.
    uint64_t salt = 0;
};

// One token of the answer. `offset` is the number of answer tokens before it.
struct EngineToken
{
    int64_t offset = 0;
    std::string text;
    // Prompt tokens found in the cache; negative if the engine did not report it.
    int64_t cachedTokens = -1;
};

// The answer is complete. `tokenCount` is its number of tokens, including those before `resumeFrom`.
struct EngineEnd
{
    std::string finishReason;
    int64_t tokenCount = 0;
};

// No event arrived within the wait.
struct EngineIdle
{
};

// The engine refused the request with an HTTP status and did not run it.
struct EngineRefused
{
    int status = 0;
    std::string message;
};

using EngineEvent = std::variant<EngineToken, EngineEnd, EngineIdle, EngineRefused>;

class EngineStream
{
public:
    // Connects and sends the request. Throws `Failure` (PeerLost), with notRun set if no connection was made.
    static std::unique_ptr<EngineStream> open(const std::string &address, const EngineCall &call, Duration connectTimeout);

    // Returns the next event, or `EngineIdle` after `wait`. Throws `Failure` (PeerLost) if the connection fails or ends
    // before the answer is complete.
    EngineEvent next(Duration wait);

private:
    EngineStream() = default;

    EngineEvent parseEvent(const std::string &data);

    std::unique_ptr<HttpStream> stream;
    bool headerRead = false;
    int64_t receivedTokens = 0;
    std::string finishReason;
};

// An order to load weights. The fencing token is the generation of the membership view in which the order was given;
// an engine that checks tokens refuses a lower one than it has seen.
struct LoadOrder
{
    std::string model;
    int64_t version = 0;
    int64_t fencingToken = 0;
};

// A KV-cache block to copy between an engine and a cache store. `previousBlock` is the hash of the block before
// it in the prompt; for the first block it is the salt.
struct BlockTransfer
{
    std::string storeAddress;
    std::string tier;
    uint64_t block = 0;
    uint64_t previousBlock = 0;
    int64_t bytes = 0;
    uint64_t salt = 0;
};

class EngineClient
{
public:
    // Called with the bytes, sent and received, of each load report and each read of cache events, for the budget of
    // control traffic.
    using ByteCounter = std::function<void(const std::string &kind, size_t bytes)>;

    EngineClient(HttpClient &httpClient, ByteCounter byteCounter)
        : http(httpClient)
        , countBytes(std::move(byteCounter))
    {
    }

    // Reads a load report. Throws `Failure` (PeerLost).
    TargetReport fetchLoadReport(const std::string &address, Duration timeout);

    // Reads the cache events after `sequence`, advances `sequence` to the last one and returns the evicted blocks. Events
    // can be missing. Throws `Failure` (PeerLost).
    std::vector<uint64_t> fetchEvictedBlocks(const std::string &address, int64_t &sequence, Duration timeout);

    // Orders weights to be loaded. Throws `Failure`: Conflict if the engine has seen a higher fencing token.
    void sendLoadOrder(const std::string &address, const LoadOrder &loadOrder, Duration timeout);

    // Copies one cache block from the engine to a cache store, or back. Throws `Failure` if it did not arrive intact.
    void exportBlock(const std::string &address, const BlockTransfer &transfer, Duration timeout);
    void importBlock(const std::string &address, const BlockTransfer &transfer, Duration timeout);

private:
    // Sends a POST request. Throws `Failure`: Conflict on status 409, TargetLost on any other status than 200, or
    // PeerLost without an answer.
    void post(const std::string &address, const std::string &path, const std::string &body, Duration timeout);

    HttpClient &http;
    ByteCounter countBytes;
};

} // namespace pimentosail
