// The adapter to a model engine: OpenAI-style streaming, plus load reports, orders and cache transfers. Another
// dialect is met by another adapter with these types.
//
//     std::unique_ptr<EngineStream> stream = EngineStream::open(address, call, Milliseconds(500));
//     EngineEvent event = stream->next(Milliseconds(100));
//
// `EngineClient` is thread-safe; an `EngineStream` belongs to one thread. Closing a stream cancels its run.
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

// Returns the chained hashes of the whole cache pieces of a prompt under a salt.
std::vector<uint64_t> promptPieces(const std::string &prompt, int64_t pieceTokens, uint64_t salt);

// Returns the salt that keeps the caches of teams, models and weight versions apart.
uint64_t cacheSalt(const std::string &team, const std::string &model, int64_t version);

// A completion to run.
struct EngineCall
{
    std::string requestId;
    std::string model;
    std::string prompt;
    int64_t maxTokens = 0;
    // First answer token wanted: the number of tokens that the caller already has.
    int64_t resumeFrom = 0;
    Priority priority = Priority::Standard;
    uint64_t salt = 0;
};

// A piece of the answer. `offset` counts the tokens before it.
struct EngineToken
{
    int64_t offset = 0;
    std::string text;
    // Prompt tokens found in the cache; negative if the engine did not say.
    int64_t cachedTokens = -1;
};

// The answer is whole: `count` tokens in all.
struct EngineEnd
{
    std::string finishReason;
    int64_t count = 0;
};

// Nothing came within the wait.
struct EngineIdle
{
};

// The engine refused before it ran anything.
struct EngineRefused
{
    int status = 0;
    std::string message;
};

using EngineEvent = std::variant<EngineToken, EngineEnd, EngineIdle, EngineRefused>;

class EngineStream
{
public:
    // Connects and sends the call. Throws `Failure` (PeerLost), with notRun set if no connection was made.
    static std::unique_ptr<EngineStream> open(const std::string &address, const EngineCall &call, Duration connectTimeout);

    // Returns the next event. Throws `Failure` (PeerLost) if the connection breaks or ends before the answer is whole.
    EngineEvent next(Duration wait);

private:
    EngineStream() = default;

    EngineEvent parse(const std::string &data);

    std::unique_ptr<HttpStream> stream;
    bool headRead = false;
    int64_t received = 0;
    std::string finishReason;
};

// An order to load weights. `fencing` is the generation of the view under which it is given.
struct LoadOrder
{
    std::string model;
    int64_t version = 0;
    int64_t fencing = 0;
};

// One piece to move between an engine and a store.
struct PieceOrder
{
    std::string store;
    std::string tier;
    uint64_t piece = 0;
    uint64_t previous = 0;
    int64_t bytes = 0;
    uint64_t salt = 0;
};

class EngineClient
{
public:
    // Told about the bytes of each report and event read, both ways, for the control budget.
    using ByteCounter = std::function<void(const std::string &kind, size_t bytes)>;

    EngineClient(HttpClient &httpClient, ByteCounter byteCounter)
        : http(httpClient)
        , countBytes(std::move(byteCounter))
    {
    }

    // Reads a load report. Throws `Failure` (PeerLost).
    TargetReport report(const std::string &address, Duration timeout);

    // Reads the cache events after `sequence`; moves `sequence` on and returns the evicted pieces. Events can be missing.
    // Throws `Failure` (PeerLost).
    std::vector<uint64_t> evictedPieces(const std::string &address, int64_t &sequence, Duration timeout);

    // Orders weights to be loaded. Throws `Failure`: Conflict if the engine has seen a higher fencing number.
    void load(const std::string &address, const LoadOrder &order, Duration timeout);

    // Moves one cache piece from the engine to a store, or back. Throws `Failure` if it did not arrive whole.
    void exportPiece(const std::string &address, const PieceOrder &order, Duration timeout);
    void importPiece(const std::string &address, const PieceOrder &order, Duration timeout);

private:
    void order(const std::string &address, const std::string &path, const std::string &body, Duration timeout);

    HttpClient &http;
    ByteCounter countBytes;
};

} // namespace pimentosail
