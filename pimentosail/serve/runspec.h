// The messages of a completion that one entry host forwards to another: the run to perform and the events of its answer.
//
// The prompt is sent as the body and the rest as one JSON header, so that a long prompt is not escaped at each host.
// The answer is a sequence of JSON lines: text frames with offsets, keep-alives, and one closing frame.
//
//     const std::string header = encodeRunHeader(spec, now);          // the body is spec.prompt
//     RunSpec received = decodeRun(header, body, now);                // on the other host
//     AnswerEvent event = decodeAnswer(encodeAnswer(AnswerKeepAlive{}));
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

// A completion to run. Deadlines are times of this host's clock; the header contains the remaining time, since the clocks
// of hosts differ.
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
    // Number of tokens that the caller already has; the answer continues after them.
    int64_t resumeFrom = 0;
    // Name of the target that the forwarding host has chosen; empty lets the receiver choose.
    std::string pinnedTarget;
    // Targets that this request must not use again.
    std::vector<std::string> excludedTargets;
    // Number of targets that died while they ran this request.
    int deaths = 0;
};

// A fragment of an answer; `offset` is the number of tokens before it.
struct AnswerFrame
{
    int64_t offset = 0;
    std::string text;
};

// The closing frame of a complete answer.
struct AnswerEnd
{
    std::string finishReason;
    // Tokens of the complete answer, including those sent before a resumption.
    int64_t tokenCount = 0;
    int64_t promptTokens = 0;
    int64_t cachedTokens = 0;
    std::string target;
    // Name of the cache source from which the target took the prompt's blocks.
    std::string source;
    std::string host;
    int64_t predictedMilliseconds = 0;
};

// Shows that the run is alive when there are no new tokens.
struct AnswerKeepAlive
{
};

// The closing frame of a run that failed.
struct AnswerError
{
    Error error;
    // Number of targets that died while they ran this request, and the targets that it must not use again. The receiver
    // updates its `RunSpec` from both.
    int deaths = 0;
    std::vector<std::string> excludedTargets;
};

using AnswerEvent = std::variant<AnswerFrame, AnswerEnd, AnswerKeepAlive, AnswerError>;

// Receives the events of an answer. May throw `Failure` (Cancelled) if the caller has disconnected.
using AnswerSink = std::function<void(const AnswerEvent &event)>;

// Returns the header that contains everything but the prompt.
std::string encodeRunHeader(const RunSpec &spec, Time now);

// Parses a header and its body. Throws `Failure` (BadRequest).
RunSpec decodeRun(const std::string &header, std::string prompt, Time now);

// Returns the event as one line, without the line end.
std::string encodeAnswer(const AnswerEvent &event);

// Parses a line. Throws `Failure` (BadRequest).
AnswerEvent decodeAnswer(const std::string &line);

// Returns the hash of team, model and prompt that identifies a request in the suspect table.
uint64_t fingerprintOf(const RunSpec &spec);

} // namespace pimentosail
