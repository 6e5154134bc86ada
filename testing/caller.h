// A caller of the system as tests and experiments need it: sends completions and bookings and checks the answers.
//
//     Caller caller("127.0.0.1:18500", "key-pickers");
//     Completion completion = caller.complete("dispatcher", prompt, 8);
//
// Thread-safe.
#pragma once

#include <functional>
#include <string>

#include "pimentosail/base/clock.h"
#include "pimentosail/net/httpclient.h"

namespace pimentosail::testing
{

// What came of a completion.
struct Completion
{
    int status = 0;
    // Kind of the error, or empty.
    std::string errorKind;
    bool notRun = false;
    std::string text;
    int64_t tokens = 0;
    // True if the closing frame came.
    bool whole = false;
    Duration firstToken{-1};
    Duration total{};
    std::string target;
    std::string host;
    std::string source;
    int64_t promptTokens = 0;
    int64_t cachedTokens = 0;
};

// What came of a service call.
struct Booking
{
    int status = 0;
    std::string errorKind;
    bool notRun = false;
    bool replayed = false;
    std::string body;
};

// Options of a completion beside its prompt.
struct CompletionOptions
{
    int64_t maxTokens = 8;
    std::string priority;
    // Called after each token with the number so far.
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

    // Streams a completion. Never throws; a broken connection leaves `whole` false.
    Completion complete(const std::string &model, const std::string &prompt, const CompletionOptions &options = {}) const;

    // Calls a service once.
    Booking book(const std::string &path, const std::string &idempotencyKey, const std::string &body) const;

private:
    std::string address;
    std::string key;
};

// Returns a prompt of about `tokens` tokens that begins with `name`.
std::string makePrompt(const std::string &name, int64_t tokens);

// Returns the answer that the stand-in engine gives to a prompt.
std::string expectedAnswer(const std::string &prompt, int64_t tokens);

} // namespace pimentosail::testing
