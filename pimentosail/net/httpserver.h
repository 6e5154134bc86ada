// An HTTP server with a limit of connections and of threads (`ConnectionServer`). It calls one function for each request.
//
//     HttpServer server("127.0.0.1:8080", 600, [](HttpExchange &exchange) { exchange.sendJson(200, value); });
//     server.start();
//
// The handler runs on a thread of the pool, for several requests at once. Exceptions of a handler end the connection, and so does a handler that
// sends no answer. While all threads are busy, requests are refused. A request whose head can't be read without doubt (`parseRequestHead`) gets 400, one with a
// head of more than `HttpServer::MaxHeadBytes` 431, and its connection ends. An `HttpExchange` belongs to the thread of its handler; `running` may be called by
// any thread.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <json/value.h>

#include "pimentosail/base/clock.h"
#include "pimentosail/base/error.h"
#include "pimentosail/base/interrupt.h"
#include "pimentosail/net/callerbuffers.h"
#include "pimentosail/net/callerconnection.h"
#include "pimentosail/net/connectionserver.h"
#include "pimentosail/net/messagehead.h"

namespace pimentosail
{

// Limits how many threads wait at the same time for callers that send or read slowly.
class WaitLimit
{
public:
    explicit WaitLimit(int64_t maxWaits)
        : limit(maxWaits)
    {
    }

    // A wait, for the lifetime of the object.
    class Place
    {
    public:
        // Without a limit, each place is free.
        explicit Place(WaitLimit *waitLimit)
            : waits(waitLimit)
            , hasRoom(waitLimit == nullptr || waitLimit->used.fetch_add(1) < waitLimit->limit)
        {
        }
        ~Place()
        {
            if (this->waits != nullptr) {
                this->waits->used.fetch_sub(1);
            }
        }
        Place(const Place &) = delete;
        Place &operator=(const Place &) = delete;

        bool isFree() const
        {
            return this->hasRoom;
        }

    private:
        WaitLimit *const waits;
        const bool hasRoom;
    };

private:
    const int64_t limit;
    std::atomic<int64_t> used{0};
};

// One request and its answer. Valid until the handler returns.
class HttpExchange
{
public:
    using BodyReserve = std::function<void(size_t bytes)>;

    // A connection whose request is refused ends with the answer. `waitLimit` counts the waits for the caller; null for no limit.
    HttpExchange(CallerConnection &callerConnection, RequestHead requestHead, ServeMode serveMode, WaitLimit *waitLimit)
        : connection(callerConnection)
        , request(std::move(requestHead))
        , mode(serveMode)
        , waits(waitLimit)
        , keepsAlive(serveMode == ServeMode::Serve && this->request.keepsAlive)
    {
    }

    // Returns true if the request has to be refused at once, because all threads are busy. Nothing waits for the caller then.
    bool mustBeRefused() const
    {
        return this->mode == ServeMode::Refuse;
    }

    const std::string &method() const
    {
        return this->request.method;
    }

    // Returns the path without its query. Throws `Failure` (BadRequest) if it is malformed.
    std::string path() const;

    // Returns a query parameter, or an empty string.
    std::string query(const std::string &name) const;

    // Returns the size of the request's head.
    size_t headBytes() const
    {
        return this->request.bytes;
    }

    // Returns a header, or an empty string.
    std::string header(const std::string &name) const
    {
        return this->request.header(name);
    }

    // Returns the request target as sent: path and query.
    const std::string &target() const
    {
        return this->request.target;
    }

    // Returns all headers in the order of the request.
    const HeaderList &headers() const
    {
        return this->request.headers;
    }

    // Reads the body. Throws `Failure`: BodyTooLarge over `limit` bytes, RequestTimeout after `timeout`, BadRequest if it is truncated or
    // its length is ambiguous. After an answer to a request whose body was not read completely, the connection is closed, because the rest
    // would be taken for the next request.
    // `reserve` is called with the size of the buffer before each allocation, and may throw.
    std::string readBody(int64_t limit, Clock &clock, Duration timeout, const BodyReserve &reserve = nullptr);

    // Reads and drops a body that `readBody` has not begun to read, within the same limits, so that the connection can be kept and the
    // caller reads the answer. Throws nothing.
    void skipBody(int64_t limit, Clock &clock, Duration timeout);

    // Sets a header of the answer.
    void setHeader(const std::string &name, const std::string &value);

    // Sends a complete answer.
    void send(int status, const std::string &contentType, const std::string &body);
    void sendJson(int status, const Json::Value &value);

    // Sends the status and the JSON body for `error`, and a Retry-After header if its kind has one.
    void sendError(const Error &error, const std::string &requestId);

    // Sends a complete answer with the given headers. `hasBody` is false for the answer to HEAD, whose body is not
    // sent.
    void sendWithHeaders(int status, const HeaderList &headers, const std::string &body, bool hasBody);

    // Starts a streamed answer with the given headers; `write` adds to it.
    void startStreamWithHeaders(int status, const HeaderList &headers);

    // From here on, answers are written through a `CallerWriter`: `sendWithHeaders`, `startStreamWithHeaders` and `write` don't wait for a
    // slow caller, and `finish` has to be called at the end. To be called before the answer begins.
    void useBuffers(CallerBuffers &buffers);

    // Returns the writer of `useBuffers`; null without it.
    CallerWriter *callerWriter()
    {
        return this->writer ? &*this->writer : nullptr;
    }

    // Marks a streamed answer as complete. `finish` writes the mark to a slow caller.
    void endStream();

    // Waits until a slow caller has taken all that was written through `useBuffers`, or `interrupt` is set. Returns false, after it has shut
    // the connection down, if the answer could not be written whole. Returns at once, and true, if nothing is kept.
    bool finish(const Clock &clock, const Interrupt &interrupt);

    // Shuts the connection down, so that the caller sees that a streamed answer is incomplete.
    void abort();

    // Closes the connection after the answer.
    void closeAfterAnswer()
    {
        this->keepsAlive = false;
    }

    // Returns true if another request may follow on the connection.
    bool keepsConnection() const
    {
        return this->keepsAlive;
    }

    // Returns the descriptor of the caller's connection.
    int callerSocket() const
    {
        return this->connection.descriptor();
    }

    // Starts a streamed answer with status 200; `write` adds to it. `write` throws `Failure` (Cancelled) once the
    // caller has disconnected.
    void startStream(const std::string &contentType);
    void write(const std::string &data);

    // Returns true if the header of the answer was sent.
    bool isHeaderSent() const
    {
        return this->isHeaderWritten;
    }

    // Returns true if a streamed answer was started and not ended.
    bool isStreamOpen() const
    {
        return this->isChunked;
    }

    // Returns true if the caller has closed its connection, also behind a further request that was not read yet.
    bool isCallerDisconnected() const;

private:
    using BodySink = std::function<void(const std::string &block)>;

    // Passes the body to `sink` block by block. Throws as `readBody`.
    void consumeBody(int64_t limit, Clock &clock, Time end, const BodySink &sink);
    void consumeLength(int64_t limit, Clock &clock, Time end, const BodySink &sink);
    void consumeChunks(int64_t limit, Clock &clock, Time end, const BodySink &sink);
    // Returns at least one and at most `size` bytes of the connection.
    std::string receive(uint64_t size, Clock &clock, Time end);
    // To be called before the header of an answer is sent.
    void closeIfBodyIsUnread();
    // Tells a caller that waits for it to send the body.
    void sendContinue();
    // Returns the head of the answer as it is sent. Throws `Failure` (Internal) if a header can't be written.
    std::string headText(int status, const HeaderList &headers) const;
    // Writes `bytes` through `writer` if there is one.
    bool writeBytes(std::string_view bytes);
    // Sends the head and `body`. Ends the connection if they can't be written whole, because the next answer would be taken for the rest.
    void sendAnswer(std::string head, std::string_view body);
    // Sends the head of a streamed answer.
    void startChunks(int status, HeaderList headers);

    CallerConnection &connection;
    const RequestHead request;
    const ServeMode mode;
    WaitLimit *const waits;
    bool keepsAlive;
    // Headers that `setHeader` has set.
    HeaderList answerHeaders;
    std::optional<CallerWriter> writer;
    bool isHeaderWritten = false;
    // A streamed answer was started, and its last chunk was not written.
    bool isChunked = false;
    bool isContinueSent = false;
    bool isBodyBegun = false;
    bool isBodyRead = false;
};

// A listening socket and the threads that serve its connections.
class HttpServer
{
public:
    using Handler = std::function<void(HttpExchange &exchange)>;

    static constexpr size_t MaxHeadBytes = 64 * 1024;

    // Binds to `address`; throws `Poco::Exception` if it is taken. Serves nothing before `start`.
    // `refusalHandler` is called in place of `requestHandler` for requests that it must refuse without a wait; null refuses them as `Overloaded`.
    HttpServer(const std::string &address, const ConnectionLimits &limits, Handler requestHandler, Handler refusalHandler = nullptr);

    // The same for a server that may serve a request on each of its connections at once.
    HttpServer(const std::string &address, int64_t maxConnections, Handler requestHandler);
    ~HttpServer();

    void start();

    // Stops accepting connections and shuts down the open ones, also those whose handlers still run.
    void stop();

    // Closes the listening socket; open connections continue.
    void stopAccepting();

    // Returns the number of handlers that are running.
    long running() const;

    int64_t openConnections() const;

private:
    class Service;

    std::unique_ptr<Service> service;
};

// Returns the JSON body for `error`.
Json::Value errorBody(const Error &error, const std::string &requestId);

} // namespace pimentosail
