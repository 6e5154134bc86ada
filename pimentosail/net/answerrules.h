// The rules by which an answer is told from bytes that are none: its status, and whether it is complete.
//
// Each answer that this host reads, to the requests of callers and to its own calls, comes through `HttpConnection`, which asks these
// functions. They stand in this library, because `upstream` and the host's own calls both build on it.
//
//     if (classifyStatusLine("HTTP/1.1 000 Odd") == StatusKind::Invalid) { the
//     answer is lost } if (faultAtEnd({.framing = AnswerFraming::UntilClose,
//     .isRequestReceived = false}) != AnswerFault::None) { it is truncated }
//
// No function waits or keeps state. Thread-safe.
#pragma once

#include <string_view>

namespace pimentosail
{

enum class StatusKind {
    // 100, 102 and 103: another answer follows.
    Interim,
    // 200 to 599.
    Final,
    // Anything else. 101 is among it, because this host asks for no other protocol.
    Invalid,
};

// Returns the kind of the status in the first line of an answer, without its line end.
StatusKind classifyStatusLine(std::string_view line);

// How the end of an answer's body is found.
enum class AnswerFraming {
    // The answer has no body.
    None,
    Length,
    Chunked,
    // Neither a length nor chunks: the close of the connection marks the end.
    UntilClose,
};

// Why bytes of a peer are no complete answer.
enum class AnswerFault {
    None,
    // The status line names no status of a final or interim answer.
    InvalidStatus,
    // The header can be read in more than one way.
    MalformedHead,
    // The connection ended before the last byte that the framing promises.
    Truncated,
    // The connection ended, as the only mark of the answer's end, before the peer had received the whole request.
    EndedBeforeRequest,
    // The connection was reset, and only its end marked the end of the answer.
    Reset,
};

// Returns a description of `fault` for log lines.
std::string_view answerFaultText(AnswerFault fault);

// What is known when no more bytes of an answer are to come.
struct AnswerEnding
{
    AnswerFraming framing = AnswerFraming::None;
    // The body has the announced length, or its last chunk was read.
    bool isFramingReached = false;
    // The peer has acknowledged every byte of the request.
    bool isRequestReceived = true;
    bool isReset = false;
};

// Returns None if the answer is complete. An answer whose own framing marks its end is complete there, also if the request was not received
// completely: a peer may answer before it has read a long body. A close marks the end only if nothing shows that the peer failed: a peer that
// ends while it reads the request closes the connection too.
AnswerFault faultAtEnd(const AnswerEnding &end);

} // namespace pimentosail
