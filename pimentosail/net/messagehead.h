// Reads and writes the heads of HTTP/1.1 messages: the first line and the header fields.
//
// Heads are read with Boost.Beast, which follows the grammar of RFC 9112 and leaves values as they were sent. What another reader could
// understand differently is refused: a name that is no token, blanks before a colon, folded lines, line ends other than CR LF, control
// characters, and contradicting lengths. A head that is written never contains a CR, LF or NUL from a name or value.
//
//     Result<RequestHead> head = parseRequestHead(bytes);
//     if (head && head->framing == BodyFraming::Chunked) { ... }
//     HeadWriter writer("HTTP/1.1 200 OK");
//     writer.add("Content-Length", "2");
//     socket.send(writer.finish() + "ok");
//
// No function waits or keeps state. Thread-safe, except that a `HeadWriter` belongs to one thread.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pimentosail/base/error.h"

namespace pimentosail
{

// Header fields in the order of the message.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

// How the end of a body is found.
enum class BodyFraming {
    // There is no body, or, in an answer, neither a length nor chunks.
    None,
    Length,
    Chunked,
};

// What requests and answers have in common.
struct MessageHead
{
    HeaderList headers;
    BodyFraming framing = BodyFraming::None;
    // Size of the body in bytes if `framing` is `Length`.
    uint64_t bodyLength = 0;
    // The sender is ready to use the connection for another message.
    bool keepsAlive = false;

    // Returns the value of the first header called `name`, in any case, or an empty string.
    std::string header(std::string_view name) const;
};

struct RequestHead : MessageHead
{
    std::string method;
    // Path and query as sent.
    std::string target;
    // The caller waits for an interim answer before it sends the body.
    bool expectsContinue = false;
    // Size of the head as sent.
    size_t bytes = 0;
};

struct AnswerHead : MessageHead
{
    int status = 0;
};

// Reads a head, which ends with an empty line. Errors: BadRequest, with the reason.
Result<RequestHead> parseRequestHead(std::string_view bytes);

// Reads the head of an answer. Errors: TargetLost, with the reason.
Result<AnswerHead> parseAnswerHead(std::string_view bytes);

// Returns true if `line`, without its line end, is a header field.
bool isHeaderField(std::string_view line);

// Returns true if two names of header fields are the same.
bool isSameHeader(std::string_view left, std::string_view right);

class HeadWriter
{
public:
    // Throws `Failure` (Internal) if `startLine` contains a CR, LF or NUL.
    explicit HeadWriter(std::string_view startLine);

    // Throws `Failure` (Internal) if `name` is no token, or `value` contains a CR, LF or NUL.
    void add(std::string_view name, std::string_view value);

    // Returns the head with its end, and leaves this object empty.
    std::string finish();

private:
    std::string text;
};

} // namespace pimentosail
