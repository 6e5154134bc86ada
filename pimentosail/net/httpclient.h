// HTTP calls to peers, targets and the platform, with bounded waits, bounded answers and pooled connections.
//
// `HttpClient::call` sends one request and reads the complete answer. `HttpStream` reads an answer line by line; each
// call limits its waits, so that the user of the stream can abandon a silent connection.
//
//     HttpClient client;
//     HttpReply reply = client.call("127.0.0.1:8000", {"GET", "/load", {}, ""}, Milliseconds(500));
//
// `HttpClient` is thread-safe; an `HttpStream` belongs to one thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/base/error.h"
#include "pimentosail/net/httpconnection.h"

namespace pimentosail
{

using Headers = std::vector<std::pair<std::string, std::string>>;

// Maximum size of the body of an answer, where a call sets none.
constexpr size_t DefaultMaxReplyBytes = 4 * 1024 * 1024;

// A complete answer.
struct HttpReply
{
    int status = 0;
    std::string contentType;
    std::string body;
    Headers headers;

    // Returns the first header called `name`, in upper or lower case, or nothing if the answer has none.
    std::optional<std::string> header(const std::string &name) const;
};

// One request to send. `body` is sent with a Content-Length.
struct HttpRequest
{
    std::string method = "GET";
    std::string path = "/";
    Headers headers;
    std::string body;
    // An answer with a longer body is given up.
    size_t maxReplyBytes = DefaultMaxReplyBytes;
    // Tells by its content whether an answer on a kept connection may belong to this request; null takes each. A connection whose answer
    // doesn't counts as failed. Used by `HttpClient` only.
    std::function<bool(const HttpReply &reply)> accepts = nullptr;
};

// Which connection a call uses. An answer on a kept connection may be a copy of an earlier one: a peer that writes one answer too many shifts
// all later answers on that connection by one.
enum class ConnectionUse {
    // A connection that an earlier call left open, or a new one that is kept for later calls. If a kept connection fails, the request is sent
    // again on a new one, so that it may be executed twice. For calls that may run twice, and that can tell by the content of an answer
    // whether it is theirs, or for which the answer to an earlier call does no harm but delay.
    Pooled,
    // A new connection that serves this call only. For calls that change something, and for those whose answer decides something and does not
    // tell which call it belongs to.
    Fresh,
};

// Calls with a pool of idle connections per address.
class HttpClient
{
public:
    // Sends `request` to `address` (`IP:PORT`) and reads the complete answer. `timeout` bounds the connecting, the sending, the wait for the
    // whole header of the answer, and each wait for a part of its body, which has a few seconds in all. Throws `Failure` (PeerLost), with
    // `notRun` set if no byte was sent and unset if the outcome is unknown.
    HttpReply call(const std::string &address, const HttpRequest &request, Duration timeout, ConnectionUse use = ConnectionUse::Pooled);

private:
    std::unique_ptr<HttpConnection> take(const std::string &address);
    void put(const std::string &address, std::unique_ptr<HttpConnection> connection);

    Clock clock;
    std::mutex mutex;
    std::multimap<std::string, std::unique_ptr<HttpConnection>> idle;
};

// Result of waiting for a line.
enum class LineStatus {
    Line,
    Timeout,
    End,
};

// An answer that is read line by line.
class HttpStream
{
public:
    // Connects to `address` and sends `request`. Throws `Failure` (PeerLost), with `notRun` set if no byte was sent.
    static std::unique_ptr<HttpStream> open(const std::string &address, const HttpRequest &request, Duration connectTimeout);

    // Waits at most `wait` for the header of the answer. Returns false on a timeout. Throws `Failure` (PeerLost).
    bool waitForHeader(Duration wait);

    // Returns the status of the answer; valid after `waitForHeader` has returned true.
    int status() const;

    // Reads one line without its line end, and waits at most `wait` each time for more bytes. Throws `Failure`
    // (PeerLost) if the connection fails, the answer is truncated or the line is longer than `MaxLineBytes`.
    LineStatus readLine(std::string &line, Duration wait);

    // Reads the rest of the body and waits at most `timeout` each time for more bytes, and a few seconds in all. Throws `Failure` (PeerLost)
    // if the body is longer than `limit` bytes, on a timeout and if the connection fails.
    std::string readAll(size_t limit, Duration timeout);

    static constexpr size_t MaxLineBytes = 4 * 1024 * 1024;

private:
    HttpStream(std::unique_ptr<HttpConnection> openConnection, bool answerHasBody)
        : connection(std::move(openConnection))
        , expectsBody(answerHasBody)
    {
    }

    // Reads more of the body into `received`. Throws `Failure` (PeerLost) if the connection fails.
    LineStatus receive(Duration wait);

    Clock clock;
    std::unique_ptr<HttpConnection> connection;
    bool expectsBody;
    AnswerHead response;
    // Bytes of the body that were not returned yet, and how many of them at the start contain no line end.
    std::string received;
    size_t searched = 0;
};

} // namespace pimentosail
