#include "pimentosail/net/messagehead.h"

#include <algorithm>
#include <limits>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace pimentosail
{

namespace
{

namespace http = boost::beast::http;
using BeastString = boost::beast::string_view;
using BeastError = boost::beast::error_code;

constexpr int Http10 = 10;
constexpr int Http11 = 11;
constexpr std::string_view ContentLength = "Content-Length";
constexpr std::string_view TransferEncoding = "Transfer-Encoding";
// The parser's own limits are lifted, because the reader of the connection limits the sizes of heads and bodies.
constexpr std::uint32_t MaxParsedBytes = 1024 * 1024;

std::string_view viewOf(BeastString text)
{
    return {text.data(), text.size()};
}

// Collects what the parser finds in a head.
template <bool isRequest, typename Head>
class HeadParser final : public http::basic_parser<isRequest>
{
public:
    Head head;
    int version = 0;

private:
    void on_request_impl(http::verb /*verb*/, BeastString method, BeastString target, int httpVersion, BeastError &error) override
    {
        if constexpr (isRequest) {
            this->head.method = viewOf(method);
            this->head.target = viewOf(target);
        }
        this->version = httpVersion;
        error = {};
    }

    void on_response_impl(int status, BeastString /*reason*/, int httpVersion, BeastError &error) override
    {
        if constexpr (!isRequest) {
            this->head.status = status;
        }
        this->version = httpVersion;
        error = {};
    }

    void on_field_impl(http::field /*field*/, BeastString name, BeastString value, BeastError &error) override
    {
        this->head.headers.emplace_back(viewOf(name), viewOf(value));
        error = {};
    }

    void on_header_impl(BeastError &error) override
    {
        error = {};
    }
    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/, BeastError &error) override
    {
        error = {};
    }
    std::size_t on_body_impl(BeastString /*body*/, BeastError &error) override
    {
        error = {};
        return 0;
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, BeastString /*extensions*/, BeastError &error) override
    {
        error = {};
    }
    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, BeastString /*body*/, BeastError &error) override
    {
        error = {};
        return 0;
    }
    void on_finish_impl(BeastError &error) override
    {
        error = {};
    }
};

int countHeaders(const HeaderList &headers, std::string_view wanted)
{
    return static_cast<int>(std::count_if(headers.begin(), headers.end(), [wanted](const auto &header) { return isSameHeader(header.first, wanted); }));
}

// Returns why the end of the body is not clear, or an empty string, and sets the framing of `head`.
std::string readFraming(MessageHead &head, int version, int allowedLengths)
{
    const int encodings = countHeaders(head.headers, TransferEncoding);
    const int lengths = countHeaders(head.headers, ContentLength);
    if (encodings > 0) {
        if (encodings > 1 || lengths > 0) {
            return "the length of the body is stated more than once";
        }
        // Readers of HTTP/1.0 know no transfer encodings and take the body for the next message.
        if (version != Http11 || !isSameHeader(head.header(TransferEncoding), "chunked")) {
            return "unsupported transfer encoding";
        }
        head.framing = BodyFraming::Chunked;
        return {};
    }
    if (lengths == 0) {
        return {};
    }
    const std::string length = head.header(ContentLength);
    const bool isEach = std::all_of(head.headers.begin(), head.headers.end(),
        [&length](const auto &header) { return !isSameHeader(header.first, ContentLength) || header.second == length; });
    if (lengths > allowedLengths || !isEach) {
        return "the length of the body is stated more than once";
    }
    // Digits that fit 63 bits.
    constexpr size_t MaxLengthDigits = 18;
    if (length.empty() || length.size() > MaxLengthDigits || length.find_first_not_of("0123456789") != std::string::npos) {
        return "the length of the body is no number";
    }
    head.framing = BodyFraming::Length;
    head.bodyLength = std::stoull(length);
    return {};
}

// Returns true if one of the Connection headers lists `option`.
bool hasConnectionOption(const HeaderList &headers, std::string_view option)
{
    return std::any_of(headers.begin(), headers.end(), [option](const auto &header) {
        return isSameHeader(header.first, "Connection") && http::token_list(header.second).exists({option.data(), option.size()});
    });
}

// Returns why the head can't be read, or an empty string.
template <bool isRequest, typename Head>
std::string parseHead(HeadParser<isRequest, Head> &parser, std::string_view bytes)
{
    // The parser joins folded lines, which other readers take for a line of their own.
    if (bytes.find("\n ") != std::string_view::npos || bytes.find("\n\t") != std::string_view::npos) {
        return "a header line is folded";
    }
    parser.header_limit(MaxParsedBytes);
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    BeastError error;
    const size_t read = parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
    if (error && error != http::error::need_more) {
        return error.message();
    }
    if (!parser.is_header_done() || read != bytes.size()) {
        return "the head is not complete";
    }
    if (parser.version != Http10 && parser.version != Http11) {
        return "unsupported version of HTTP";
    }
    Head &head = parser.head;
    const bool closes = hasConnectionOption(head.headers, "close");
    head.keepsAlive = !closes && (parser.version == Http11 || hasConnectionOption(head.headers, "keep-alive"));
    return {};
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) { return http::detail::is_token_char(character); });
}

// Returns true for all characters that a header value may contain.
bool isText(char character)
{
    constexpr unsigned char FirstPrintable = 0x20;
    constexpr unsigned char Delete = 0x7f;
    const auto code = static_cast<unsigned char>(character);
    return character == '\t' || (code >= FirstPrintable && code != Delete);
}

bool hasLineBreakOrNul(std::string_view text)
{
    constexpr std::string_view Forbidden("\r\n\0", 3);
    return text.find_first_of(Forbidden) != std::string_view::npos;
}

} // namespace

bool isHeaderField(std::string_view line)
{
    const size_t colon = line.find(':');
    return colon != std::string_view::npos && isToken(line.substr(0, colon)) && std::all_of(line.begin() + static_cast<ptrdiff_t>(colon), line.end(), isText);
}

bool isSameHeader(std::string_view left, std::string_view right)
{
    return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

std::string MessageHead::header(std::string_view name) const
{
    const auto found = std::find_if(this->headers.begin(), this->headers.end(), [name](const auto &header) { return isSameHeader(header.first, name); });
    return found == this->headers.end() ? std::string() : found->second;
}

Result<RequestHead> parseRequestHead(std::string_view bytes)
{
    HeadParser<true, RequestHead> parser;
    if (const std::string reason = parseHead(parser, bytes); !reason.empty()) {
        return failed(ErrorKind::BadRequest, "malformed head: " + reason);
    }
    if (const std::string reason = readFraming(parser.head, parser.version, 1); !reason.empty()) {
        return failed(ErrorKind::BadRequest, reason);
    }
    const int hosts = countHeaders(parser.head.headers, "Host");
    if (hosts > 1 || (hosts == 0 && parser.version == Http11)) {
        return failed(ErrorKind::BadRequest, hosts > 1 ? "more than one Host" : "no Host");
    }
    parser.head.expectsContinue = parser.version == Http11 && isSameHeader(parser.head.header("Expect"), "100-continue");
    parser.head.bytes = bytes.size();
    return std::move(parser.head);
}

Result<AnswerHead> parseAnswerHead(std::string_view bytes)
{
    HeadParser<false, AnswerHead> parser;
    if (const std::string reason = parseHead(parser, bytes); !reason.empty()) {
        return failed(ErrorKind::TargetLost, "malformed head: " + reason);
    }
    // A server may state the same length again.
    constexpr int AnyNumber = 1000;
    if (const std::string reason = readFraming(parser.head, parser.version, AnyNumber); !reason.empty()) {
        return failed(ErrorKind::TargetLost, reason);
    }
    return std::move(parser.head);
}

HeadWriter::HeadWriter(std::string_view startLine)
    : text(startLine)
{
    if (hasLineBreakOrNul(startLine)) {
        throw Failure(ErrorKind::Internal, "the first line of a message contains a line break");
    }
    this->text += "\r\n";
}

void HeadWriter::add(std::string_view name, std::string_view value)
{
    if (!isToken(name) || hasLineBreakOrNul(value)) {
        throw Failure(ErrorKind::Internal, "a header field can't be written");
    }
    this->text.append(name).append(": ").append(value).append("\r\n");
}

std::string HeadWriter::finish()
{
    this->text += "\r\n";
    return std::move(this->text);
}

} // namespace pimentosail
