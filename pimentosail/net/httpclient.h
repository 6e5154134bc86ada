// HTTP calls to peers, targets and the platform over POCO Net, with bounded waits and pooled connections.
//
// `HttpClient::call` sends one request and reads the complete answer. `HttpStream` reads an answer line by line; each
// call waits only as long as it is told to, so that the user of the stream can abandon a silent connection.
//
//     HttpClient client;
//     HttpReply reply = client.call("127.0.0.1:8000", {"GET", "/load", {}, ""}, Milliseconds(500));
//
// `HttpClient` is thread-safe; an `HttpStream` belongs to one thread.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>

#include "pimentosail/base/clock.h"
#include "pimentosail/base/error.h"

namespace pimentosail
{

using Headers = std::vector<std::pair<std::string, std::string>>;

// One request to send. `body` is sent with a Content-Length.
struct HttpRequest
{
    std::string method = "GET";
    std::string path = "/";
    Headers headers;
    std::string body;
};

// A complete answer.
struct HttpReply
{
    int status = 0;
    std::string contentType;
    std::string body;
};

// A POCO session that exposes the number of buffered bytes, because polling the socket does not report them.
class PollableSession : public Poco::Net::HTTPClientSession
{
public:
    using HTTPClientSession::HTTPClientSession;

    // Returns the number of bytes that can be read without waiting for the peer.
    int bufferedBytes() const
    {
        return this->buffered();
    }
};

// Whether a call may reuse a connection that an earlier call left open. A reused connection can fail after the peer has
// read the request.
enum class ConnectionUse {
    // If a reused connection fails, the request is sent again on a new one, so that it may be executed twice.
    Pooled,
    // A connection may be reused, but the request is never sent again.
    PooledNoResend,
    // The call opens a new connection.
    Fresh,
};

// Calls with a pool of idle connections per address.
class HttpClient
{
public:
    // Sends `request` to `address` (`IP:PORT`) and reads the complete answer. `timeout` bounds each wait for the
    // connection, for sending and for receiving. Throws `Failure` (PeerLost), with `notRun` set if the connection was
    // never established and unset if the outcome is unknown.
    HttpReply call(const std::string &address, const HttpRequest &request, Duration timeout, ConnectionUse use = ConnectionUse::Pooled);

private:
    friend class HttpStream;

    std::unique_ptr<PollableSession> take(const std::string &address);
    void put(const std::string &address, std::unique_ptr<PollableSession> session);

    std::mutex mutex;
    std::multimap<std::string, std::unique_ptr<PollableSession>> idle;
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
    // Connects to `address` and sends `request`. Throws `Failure` (PeerLost), with `notRun` set if the connection was
    // never established.
    static std::unique_ptr<HttpStream> open(const std::string &address, const HttpRequest &request, Duration connectTimeout);

    // Waits at most `wait` for the header of the answer. Returns false on a timeout. Throws `Failure` (PeerLost).
    bool waitForHeader(Duration wait);

    // Returns the status of the answer; valid after `waitForHeader` has returned true.
    int status() const;

    // Reads one line without its line end, and waits at most `wait` each time for more bytes. Throws `Failure`
    // (PeerLost) if the connection fails.
    LineStatus readLine(std::string &line, Duration wait);

    // Reads the rest of the body and waits at most `timeout` each time for more bytes. Throws `Failure` (PeerLost) if
    // the body is longer than `limit` bytes, on a timeout and if the connection fails.
    std::string readAll(size_t limit, Duration timeout);

private:
    HttpStream() = default;

    // Waits at most `wait` until a read from the body can make progress.
    bool isReadable(Duration wait);

    std::unique_ptr<PollableSession> session;
    Poco::Net::HTTPResponse response;
    std::istream *body = nullptr;
    // Bytes of the body read so far. A body with a Content-Length ends at that length, without an end of stream.
    int64_t consumed = 0;
    // Start of a line whose end has not arrived.
    std::string partial;
};

} // namespace pimentosail
