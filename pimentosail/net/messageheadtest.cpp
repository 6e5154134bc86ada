#include <string>
#include <vector>

#include <criterion/criterion.h>

#include "pimentosail/net/messagehead.h"

using namespace pimentosail;

namespace
{

std::string requestWith(const std::string &lines)
{
    return "POST /a HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n";
}

bool isRefused(const std::string &bytes)
{
    const Result<RequestHead> head = parseRequestHead(bytes);
    return !head && head.error().kind == ErrorKind::BadRequest;
}

bool isLost(const std::string &bytes)
{
    const Result<AnswerHead> head = parseAnswerHead(bytes);
    return !head && head.error().kind == ErrorKind::TargetLost;
}

} // namespace

Test(message_head, a_request_is_read_as_it_was_sent)
{
    const Result<RequestHead> head = parseRequestHead(requestWith("X-Note:\t a  b \r\nContent-Length: 5\r\nX-Empty:\r\n"));
    cr_assert(head.has_value());
    cr_assert_eq(head->method, "POST");
    cr_assert_eq(head->target, "/a");
    cr_assert_eq(head->headers.size(), 4);
    cr_assert_eq(head->header("x-NOTE"), "a  b");
    cr_assert(head->framing == BodyFraming::Length && head->bodyLength == 5);
    cr_assert(head->keepsAlive);
    cr_assert_not(parseRequestHead(requestWith("Connection: x, Close\r\n"))->keepsAlive);
    cr_assert_not(parseRequestHead("GET / HTTP/1.0\r\n\r\n")->keepsAlive);
    cr_assert(parseRequestHead("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")->keepsAlive);
    cr_assert(parseRequestHead(requestWith("Expect: 100-Continue\r\n"))->expectsContinue);
}

// Guards against a value that a reader decodes, so that it contains line ends which nobody sent.
Test(message_head, encoded_words_have_no_meaning)
{
    for (const std::string value : {"=?utf-8?q?a=0D=0AX-Evil:_1?=", "=?utf-8?b?YQ0KWC1FdmlsOiAx?="}) {
        cr_assert_eq(parseRequestHead(requestWith("X-Note: " + value + "\r\n"))->header("X-Note"), value);
        cr_assert_eq(parseAnswerHead("HTTP/1.1 200 OK\r\nX-Note: " + value + "\r\n\r\n")->header("X-Note"), value);
    }
}

// Guards against a head that the next reader understands differently, so that the body of a request runs as another one.
Test(message_head, what_can_be_read_in_two_ways_is_refused)
{
    const std::vector<std::string> lines{"Content-Length : 5\r\n", "Content-Length\t: 5\r\n", "Transfer-Encoding : chunked\r\n", " X-Folded: a\r\n",
        "X-Folded: a\r\n b\r\n", "X-Folded: a\r\n\tb\r\n", "X-Bare: a\nX-Other: b\r\n", "X-Bare: a\rb\r\n", std::string("X-Nul: a\0b\r\n", 12),
        "X-Control: a\x01z\r\n", "X-Delete: a\x7f\r\n", ": empty\r\n", "no colon\r\n", "X-\xc3\xa4: a\r\n", "X(Note): a\r\n", "Host: h\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: 5, 5\r\n", "Content-Length: +5\r\n",
        "Content-Length: -5\r\n", "Content-Length: 5 5\r\n", "Content-Length: 0x5\r\n", "Content-Length: \r\n", "Content-Length: 99999999999999999999\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: identity\r\n", "Transfer-Encoding: \r\n", "Transfer-Encoding: xchunked\r\n"};
    for (const std::string &line : lines) {
        cr_expect(isRefused(requestWith(line)), "%s", line.c_str());
    }
    const std::vector<std::string> heads{"POST  /a HTTP/1.1\r\nHost: h\r\n\r\n", "POST /a  HTTP/1.1\r\nHost: h\r\n\r\n", " POST /a HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /a HTTP/1.1 \r\nHost: h\r\n\r\n", "POST\t/a HTTP/1.1\r\nHost: h\r\n\r\n", "POST /a b HTTP/1.1\r\nHost: h\r\n\r\n", "POST /a\r\nHost: h\r\n\r\n",
        "POST /a HTTP/2.0\r\nHost: h\r\n\r\n", "POST /a http/1.1\r\nHost: h\r\n\r\n", "POST /a HTTP/1.1\nHost: h\n\n", "POST /a HTTP/1.1\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\n", "P(ST /a HTTP/1.1\r\nHost: h\r\n\r\n", "POST /a\x01 HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", ""};
    for (const std::string &head : heads) {
        cr_expect(isRefused(head), "%s", head.c_str());
    }
}

// Guards against an answer whose end is found elsewhere than its sender means, so that a caller gets another body.
Test(message_head, an_answer_that_can_be_read_in_two_ways_is_lost)
{
    for (const char *line : {"Content-Length : 5\r\n", "X-Folded: a\r\n Content-Length: 5\r\n", "X-Bare: a\nContent-Length: 5\r\n", "X-Bare: a\rb\r\n",
             "Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: 5, 6\r\n", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: gzip\r\n", ": a\r\n"}) {
        cr_expect(isLost("HTTP/1.1 200 OK\r\n" + std::string(line) + "\r\n"), "%s", line);
    }
    cr_expect(isLost("HTTP/1.1  200 OK\r\n\r\n"));
    cr_expect(isLost("HTTP/1.1 200 O\x01K\r\n\r\n"));
    const Result<AnswerHead> repeated = parseAnswerHead("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n");
    cr_assert(repeated.has_value() && repeated->bodyLength == 5, "an answer may state the same length again");
}

// Guards against a line that a name or value adds to a head, whatever was read before.
Test(message_head, no_line_end_is_written_from_a_name_or_value)
{
    for (const std::string &part : std::vector<std::string>{"a\rb", "a\nb", "a\r\nb", std::string("a\0b", 3)}) {
        cr_expect_throw(HeadWriter("GET /" + part + " HTTP/1.1"), Failure);
        HeadWriter writer("GET / HTTP/1.1");
        cr_expect_throw(writer.add("X-Note", part), Failure);
        cr_expect_throw(writer.add(part, "a"), Failure);
    }
    HeadWriter writer("GET / HTTP/1.1");
    cr_expect_throw(writer.add("X Note", "a"), Failure);
    cr_expect_throw(writer.add("", "a"), Failure);
    writer.add("X-Note", "=?utf-8?q?=0D=0A?=");
    cr_assert_eq(writer.finish(), "GET / HTTP/1.1\r\nX-Note: =?utf-8?q?=0D=0A?=\r\n\r\n");
}
