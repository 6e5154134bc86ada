// Sends completions and service calls to an entry host, for tests and experiments, and returns what came back.
//
//     Caller caller("127.0.0.1:18500", "key-pickers");
//     Completion completion = caller.complete("dispatcher", prompt, {.maxTokens = 8});
//
// Errors are returned in the result: `errorKind` is the kind that the host reported, or "connection" if the connection
// failed. Thread-safe.
#pragma once

#include <functional>
#include <string>

#include "pimentosail/base/clock.h"
#include "pimentosail/net/httpclient.h"

namespace pimentosail::testing
{

// Result of a completion.
struct Completion
{
    // HTTP status; 0 if no response header arrived.
    int status = 0;
    // Kind of the error, or empty.
    std::string errorKind;
    // True if the error guarantees that the request was not executed.
    bool notRun = false;
    std::string text;
    int64_t tokens = 0;
    // True if the final event of the stream arrived.
    bool complete = false;
    // Time to the first token; negative if none arrived.
    Duration firstToken{-1};
    Duration total{};
    // Target, host that ran the request, and cache source, as the answer reports them.
    std::string target;
    std::string host;
    std::string source;
    int64_t promptTokens = 0;
    int64_t cachedTokens = 0;
};

// Result of a service call.
struct Booking
{
    int status = 0;
    std::string errorKind;
    bool notRun = false;
    bool replayed = false;
    std::string body;
};

// Options of a completion.
struct CompletionOptions
{
    int64_t maxTokens = 8;
    std::string priority;
    // Called after each token with the number of tokens received so far.
    std::function<void(int64_t)> onToken;
    Duration timeout = std::chrono::seconds(60);
};

class Caller
{
public:
    Caller(std::string entryAddress, std::string bearerKey)
        : address(std::move(entryAddress))
        , key(std::move(bearerKey))
    {
    }

    // Streams a completion. A broken connection leaves `complete` false and is not thrown.
    Completion complete(const std::string &model, const std::string &prompt, const CompletionOptions &options = {}) const;

    // Calls a service once over a new connection; an empty `idempotencyKey` sends none.
    Booking book(const std::string &path, const std::string &idempotencyKey, const std::string &body) const;

private:
    std::string address;
    std::string key;
};

// Returns a prompt of `tokens` tokens that begins with `name`; the same arguments give the same prompt.
std::string makePrompt(const std::string &name, int64_t tokens);

// Returns the answer of `tokens` tokens that the stand-in engine gives to a prompt.
std::string expectedAnswer(const std::string &prompt, int64_t tokens);

} // namespace pimentosail::testing
