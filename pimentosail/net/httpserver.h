// A POCO HTTP server with a thread pool of its own and a limit of connections. It calls one function for each request.
//
//     HttpServer server("127.0.0.1:8080", 600, [](HttpExchange &exchange) { exchange.sendJson(200, value); });
//     server.start();
//
// The handler runs on a thread of the pool, for several requests at once. Exceptions of a handler end the connection, and so does a handler that
// sends no answer.
// An `HttpExchange` belongs to the thread of its handler; `running` may be called by any thread.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <json/value.h>

#include "pimentosail/base/clock.h"
#include "pimentosail/base/error.h"
#include "pimentosail/base/interrupt.h"
#include "pimentosail/net/callerbuffers.h"

namespace pimentosail
{

// One request and its answer. Valid until the handler returns.
class HttpExchange
{
public:
    using BodyReserve = std::function<void(size_t bytes)>;

    HttpExchange(Poco::Net::HTTPServerRequest &serverRequest, Poco::Net::HTTPServerResponse &serverResponse)
        : request(serverRequest)
        , response(serverResponse)
    {
    }

    const std::string &method() const
    {
        return this->request.getMethod();
    }

    // Returns the path without its query. Throws `Failure` (BadRequest) if it is malformed.
    std::string path() const;

    // Returns a query parameter, or an empty string.
    std::string query(const std::string &name) const;

    // Returns a header, or an empty string.
    std::string header(const std::string &name) const;

    // Returns the request target as sent: path and query.
    const std::string &target() const
    {
        return this->request.getURI();
    }

    // Returns all headers in the order of the request.
    std::vector<std::pair<std::string, std::string>> headers() const;

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
    void sendWithHeaders(int status, const std::vector<std::pair<std::string, std::string>> &headers, const std::string &body, bool hasBody);

    // Starts a streamed answer with the given headers; `write` adds to it.
    void startStreamWithHeaders(int status, const std::vector<std::pair<std::string, std::string>> &headers);

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
        this->response.setKeepAlive(false);
    }

    // Returns the descriptor of the caller's connection, or -1.
    int callerSocket() const;

    // Starts a streamed answer with status 200; `write` adds to it. `write` throws `Failure` (Cancelled) once the
    // caller has disconnected.
    void startStream(const std::string &contentType);
    void write(const std::string &data);

    // Returns true if the header of the answer was sent.
    bool isHeaderSent() const
    {
        return this->isHeaderWritten || this->response.sent();
    }

    // Returns true if a streamed answer was started through `useBuffers` and not ended.
    bool isStreamOpen() const
    {
        return this->isChunked;
    }

    // Returns true if the caller has closed its connection, also behind a further request that was not read yet.
    bool isCallerDisconnected() const;

private:
    // How the end of the request's body is found.
    enum class Framing {
        None,
        Length,
        Chunked,
        // The headers contradict each other, or name an unknown encoding.
        Ambiguous,
    };
    using BodySink = std::function<void(const std::string &block)>;

    Framing framing() const;
    // Passes the body to `sink` block by block. Throws as `readBody`.
    void consumeBody(int64_t limit, Clock &clock, Time end, const BodySink &sink);
    void consumeLength(int64_t limit, Clock &clock, Time end, const BodySink &sink);
    void consumeChunks(int64_t limit, Clock &clock, Time end, const BodySink &sink);
    // Returns at least one and at most `size` bytes of the connection.
    std::string receive(uint64_t size, Clock &clock, Time end);
    // To be called before the header of an answer is sent.
    void closeIfBodyIsUnread();
    // Returns the header of the answer as it is sent.
    std::string headerText() const;
    // Sends the header and `body`. Ends the connection if they can't be written whole, because the next answer would be taken for the rest.
    void sendAnswer(std::string_view body);

    Poco::Net::HTTPServerRequest &request;
    Poco::Net::HTTPServerResponse &response;
    std::ostream *stream = nullptr;
    std::optional<CallerWriter> writer;
    // A header was written through `writer`.
    bool isHeaderWritten = false;
    // A streamed answer was started through `writer`, and its last chunk was not written.
    bool isChunked = false;
    bool isBodyBegun = false;
    bool isBodyRead = false;
};

// A listening socket and the threads that serve its connections.
class HttpServer
{
public:
    using Handler = std::function<void(HttpExchange &exchange)>;

    // Binds to `address`; throws `Poco::Exception` if it is taken. Serves nothing before `start`.
    HttpServer(const std::string &address, int64_t maxConnections, Handler requestHandler);
    ~HttpServer();

    void start();

    // Stops accepting connections and shuts down the open ones, also those whose handlers still run.
    void stop();

    // Closes the listening socket; open connections continue.
    void stopAccepting();

    // Returns the number of handlers that are running.
    long running() const
    {
        return this->active.load();
    }

private:
    class Factory;

    std::atomic<long> active{0};
    Poco::ThreadPool pool;
    Poco::Net::ServerSocket listener;
    std::unique_ptr<Poco::Net::HTTPServer> server;
};

// Returns the JSON body for `error`.
Json::Value errorBody(const Error &error, const std::string &requestId);

} // namespace pimentosail
