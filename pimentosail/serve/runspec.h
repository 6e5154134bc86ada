// A completion on its way between entry hosts: what to run, and how its answer travels back.
//
// The prompt travels as the body and the rest as one JSON header, so that a long prompt is not escaped at each host.
// The answer is a sequence of JSON lines: text frames with offsets, keep-alives, and one closing frame.
//
// Plain data and free functions; thread-safe.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/base/error.h"
#include "pimentosail/config/lists.h"

namespace pimentosail
{

// A completion to run somewhere. Deadlines are points on this host's clock and travel as remaining time.
struct RunSpec
{
    std::string requestId;
    std::string team;
    std::string model;
    std::string prompt;
    Priority priority = Priority::Standard;
    Time firstTokenDeadline{};
    Time finishDeadline{};
    int64_t maxTokens = 0;
    // Tokens that the caller already has.
    int64_t resumeFrom = 0;
    // Name of the target chosen by an upstream host; empty lets the receiver choose.
    std::string pinnedTarget;
    // Targets that this request must not use again.
    std::vector<std::string> avoid;
    // Targets that died while they ran this request.
    int deaths = 0;
};

// A part of an answer; `offset` counts the tokens before it.
struct AnswerFrame
{
    int64_t offset = 0;
    std::string text;
};

// The end of a whole answer.
struct AnswerEnd
{
    std::string finishReason;
    // Tokens in all.
    int64_t count = 0;
    int64_t promptTokens = 0;
    int64_t cachedTokens = 0;
    std::string target;
    std::string source;
    std::string host;
    int64_t predictedMilliseconds = 0;
};

// Nothing new; tells that the run is alive.
struct AnswerKeepAlive
{
};

// The run failed at the given point.
struct AnswerError
{
    Error error;
    // Targets that died under this request.
    int deaths = 0;
    std::vector<std::string> avoid;
};

using AnswerEvent = std::variant<AnswerFrame, AnswerEnd, AnswerKeepAlive, AnswerError>;

// Takes the parts of an answer. May throw `Failure` (Cancelled) if the caller has gone.
using AnswerSink = std::function<void(const AnswerEvent &event)>;

// Returns the header that carries everything but the prompt.
std::string encodeRunHeader(const RunSpec &spec, Time now);

// Parses a header and its body. Throws `Failure` (BadRequest).
RunSpec decodeRun(const std::string &header, std::string prompt, Time now);

// Returns one line without its line end.
std::string encodeAnswer(const AnswerEvent &event);

// Parses a line. Throws `Failure` (BadRequest).
AnswerEvent decodeAnswer(const std::string &line);

// Returns the fingerprint by which requests that kill targets are known: team, model and prompt.
uint64_t fingerprintOf(const RunSpec &spec);

} // namespace pimentosail
