// HTTP calls to peers, targets and the platform over POCO Net, with bounded waits and pooled connections.
//
// `HttpClient::call` performs one whole exchange. `HttpStream` reads an answer line by line and never blocks
// longer than the wait it is given, so that the caller can abandon a connection that went silent.
//
//     HttpClient client(clock);
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

// A whole answer.
struct HttpReply
{
    int status = 0;
    std::string contentType;
    std::string body;
};

// A POCO session that tells whether bytes are buffered, so that a reader knows when polling the socket is right.
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

// Whether a call may use a connection that an earlier call left open. A reused connection can fail after the
// peer has read the request.
enum class ConnectionUse {
    // If a reused connection fails, the request is sent again on a fresh one: it may be carried out twice.
    Pooled,
    // A reused connection may be taken, but the request is never sent again.
    PooledOnce,
    Fresh,
};

class HttpClient
{
public:
    // Sends `request` to `address` (`IP:PORT`) and reads the whole answer within `timeout`.
    // Throws `Failure` (PeerLost): with notRun set if the connection was never made, unset if the outcome is unknown.
    HttpReply call(const std::string &address, const HttpRequest &request, Duration timeout, ConnectionUse use = ConnectionUse::Pooled);

private:
    friend class HttpStream;

    std::unique_ptr<PollableSession> take(const std::string &address);
    void put(const std::string &address, std::unique_ptr<PollableSession> session);

    std::mutex mutex;
    std::multimap<std::string, std::unique_ptr<PollableSession>> idle;
};

// The result of waiting for a line.
enum class LineStatus {
    Line,
    Timeout,
    End,
};

class HttpStream
{
public:
    // Connects to `address` and sends `request`. Throws `Failure` (PeerLost), with notRun set if the connection
    // was never made.
    static std::unique_ptr<HttpStream> open(const std::string &address, const HttpRequest &request, Duration connectTimeout);

    // Waits at most `wait` for the answer's head. Returns false on a timeout. Throws `Failure` (PeerLost).
    bool waitForHead(Duration wait);

    // Returns the status of the answer; valid after `waitForHead` has returned true.
    int status() const;

    // Reads one line without its line end. Throws `Failure` (PeerLost) if the connection breaks.
    LineStatus readLine(std::string &line, Duration wait);

    // Reads the rest of the body, at most `limit` bytes, within `timeout`. Throws `Failure` (PeerLost).
    std::string readAll(size_t limit, Duration timeout);

private:
    HttpStream() = default;

    bool isReadable(Duration wait);

    std::unique_ptr<PollableSession> session;
    Poco::Net::HTTPResponse response;
    std::istream *body = nullptr;
    // Bytes of the body read so far; a body with a declared length ends there without a sign from the peer.
    int64_t consumed = 0;
    std::string partial;
};

} // namespace pimentosail
