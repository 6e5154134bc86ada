#include "pimentosail/net/httpserver.h"

#include <algorithm>
#include <array>

#include <sys/socket.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/URI.h>

#include "pimentosail/base/json.h"
#include "pimentosail/base/socketstate.h"
#include "pimentosail/base/statelog.h"

namespace pimentosail
{

namespace
{

constexpr int Backlog = 256;
// Threads that a server keeps when it has no connections.
constexpr int MinThreads = 1;
// How long a read waits for a caller that sends nothing within its request.
constexpr long ReceiveTimeoutSeconds = 10;
// How long an idle connection stays open.
constexpr long KeepAliveSeconds = 30;
constexpr size_t ReadBlock = 16 * 1024;

class FunctionHandler : public Poco::Net::HTTPRequestHandler
{
public:
    FunctionHandler(const HttpServer::Handler &requestHandler, std::atomic<long> &activeCount)
        : handler(requestHandler)
        , active(activeCount)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        this->active.fetch_add(1);
        try {
            HttpExchange exchange(request, response);
            this->handler(exchange);
        } catch (const Poco::Exception &) {
            // The connection failed, so that no error can be sent.
            response.setKeepAlive(false);
        } catch (const std::exception &exception) {
            logStateChange("handler_failed", {{"reason", exception.what()}});
            response.setKeepAlive(false);
        }
        this->active.fetch_sub(1);
    }

private:
    const HttpServer::Handler &handler;
    std::atomic<long> &active;
};

} // namespace

class HttpServer::Factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    Factory(Handler requestHandler, std::atomic<long> &activeCount)
        : handler(std::move(requestHandler))
        , active(activeCount)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest & /*request*/) override
    {
        // POCO takes ownership.
        return new FunctionHandler(this->handler, this->active);
    }

private:
    Handler handler;
    std::atomic<long> &active;
};

std::string HttpExchange::path() const
{
    try {
        return Poco::URI(this->request.getURI()).getPath();
    } catch (const Poco::Exception &) {
        throw Failure(ErrorKind::BadRequest, "malformed request path");
    }
}

std::string HttpExchange::query(const std::string &name) const
{
    const Poco::URI uri(this->request.getURI());
    for (const auto &[key, value] : uri.getQueryParameters()) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

std::string HttpExchange::header(const std::string &name) const
{
    return this->request.get(name, "");
}

std::vector<std::pair<std::string, std::string>> HttpExchange::headers() const
{
    std::vector<std::pair<std::string, std::string>> result;
    for (const auto &[name, value] : this->request) {
        result.emplace_back(name, value);
    }
    return result;
}

// Reads up to `limit` bytes more than are allowed, so that most callers have sent their body and read the error answer.
void HttpExchange::discardBody(int64_t limit, Clock &clock, Duration timeout)
{
    const Time end = clock.now() + timeout;
    std::array<char, ReadBlock> block{};
    std::istream &in = this->request.stream();
    int64_t discarded = 0;
    while (in.good() && discarded < 2 * limit && clock.now() < end) {
        in.read(block.data(), block.size());
        discarded += in.gcount();
    }
}

std::string HttpExchange::readBody(int64_t limit, Clock &clock, Duration timeout)
{
    if (this->request.hasContentLength() && this->request.getContentLength64() > limit) {
        this->response.setKeepAlive(false);
        this->discardBody(limit, clock, timeout);
        throw Failure(ErrorKind::BodyTooLarge, "the body is larger than " + std::to_string(limit) + " bytes");
    }
    const Time end = clock.now() + timeout;
    std::string body;
    std::array<char, ReadBlock> block{};
    std::istream &in = this->request.stream();
    try {
        while (in.good()) {
            in.read(block.data(), block.size());
            body.append(block.data(), static_cast<size_t>(in.gcount()));
            if (static_cast<int64_t>(body.size()) > limit) {
                this->response.setKeepAlive(false);
                throw Failure(ErrorKind::BodyTooLarge, "the body is larger than " + std::to_string(limit) + " bytes");
            }
            if (clock.now() > end) {
                this->response.setKeepAlive(false);
                throw Failure(ErrorKind::RequestTimeout, "the request took too long to arrive");
            }
        }
    } catch (const Poco::TimeoutException &) {
        this->response.setKeepAlive(false);
        throw Failure(ErrorKind::RequestTimeout, "the request took too long to arrive");
    }
    if (this->request.hasContentLength() && static_cast<int64_t>(body.size()) < this->request.getContentLength64()) {
        this->response.setKeepAlive(false);
        throw Failure(ErrorKind::BadRequest, "the body was truncated");
    }
    return body;
}

void HttpExchange::setHeader(const std::string &name, const std::string &value)
{
    this->response.set(name, value);
}

void HttpExchange::send(int status, const std::string &contentType, const std::string &body)
{
    this->response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    this->response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status)));
    this->response.setContentType(contentType);
    this->response.setContentLength64(static_cast<Poco::Int64>(body.size()));
    std::ostream &out = this->response.send();
    out.write(body.data(), static_cast<std::streamsize>(body.size()));
    out.flush();
}

void HttpExchange::sendWithHeaders(int status, const std::vector<std::pair<std::string, std::string>> &headers, const std::string &body, bool hasBody)
{
    const auto code = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status);
    this->response.setStatusAndReason(code);
    for (const auto &[name, value] : headers) {
        this->response.add(name, value);
    }
    if (hasBody && code != Poco::Net::HTTPResponse::HTTP_NO_CONTENT && code != Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED) {
        this->response.setContentLength64(static_cast<Poco::Int64>(body.size()));
    }
    std::ostream &out = this->response.send();
    if (hasBody) {
        out.write(body.data(), static_cast<std::streamsize>(body.size()));
    }
    out.flush();
}

void HttpExchange::startStreamWithHeaders(int status, const std::vector<std::pair<std::string, std::string>> &headers)
{
    this->response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    for (const auto &[name, value] : headers) {
        this->response.add(name, value);
    }
    this->response.setChunkedTransferEncoding(true);
    this->stream = &this->response.send();
}

void HttpExchange::abort()
{
    this->response.setKeepAlive(false);
    auto *implementation = dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&this->request);
    if (implementation != nullptr) {
        // POCO's chunked stream writes the last chunk when it is destroyed, which would mark the answer as complete;
        // the shutdown makes this write fail.
        ::shutdown(implementation->socket().impl()->sockfd(), SHUT_RDWR);
    }
}

int HttpExchange::callerSocket() const
{
    auto *implementation = dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&this->request);
    return implementation == nullptr ? -1 : implementation->socket().impl()->sockfd();
}

void HttpExchange::sendJson(int status, const Json::Value &value)
{
    this->send(status, "application/json", printJson(value) + "\n");
}

Json::Value errorBody(const Error &error, const std::string &requestId)
{
    Json::Value value;
    value["error"]["kind"] = std::string(errorName(error.kind));
    value["error"]["message"] = error.message;
    value["error"]["not_run"] = error.notRun;
    value["error"]["request_id"] = requestId;
    return value;
}

void HttpExchange::sendError(const Error &error, const std::string &requestId)
{
    const ErrorAnswer &answer = answerFor(error.kind);
    if (answer.retryAfterSeconds > 0) {
        this->response.set("Retry-After", std::to_string(answer.retryAfterSeconds));
    }
    this->sendJson(answer.httpStatus, errorBody(error, requestId));
}

void HttpExchange::startStream(const std::string &contentType)
{
    this->response.setStatus(Poco::Net::HTTPResponse::HTTP_OK);
    this->response.setContentType(contentType);
    this->response.setChunkedTransferEncoding(true);
    this->response.set("Cache-Control", "no-store");
    this->stream = &this->response.send();
}

void HttpExchange::write(const std::string &data)
{
    try {
        this->stream->write(data.data(), static_cast<std::streamsize>(data.size()));
        this->stream->flush();
    } catch (const Poco::Exception &) {
        this->stream->setstate(std::ios::badbit);
    }
    if (!this->stream->good()) {
        throw Failure(ErrorKind::Cancelled, "the caller has disconnected");
    }
}

bool HttpExchange::isCallerDisconnected() const
{
    return isPeerClosed(this->callerSocket());
}

HttpServer::HttpServer(const std::string &address, int64_t maxConnections, Handler requestHandler)
    : pool(MinThreads, static_cast<int>(maxConnections) + MinThreads)
    , listener(Poco::Net::SocketAddress(address), Backlog)
{
    auto *params = new Poco::Net::HTTPServerParams();
    params->setMaxThreads(static_cast<int>(maxConnections));
    params->setMaxQueued(static_cast<int>(maxConnections));
    params->setTimeout(Poco::Timespan(ReceiveTimeoutSeconds, 0));
    params->setKeepAliveTimeout(Poco::Timespan(KeepAliveSeconds, 0));
    this->server = std::make_unique<Poco::Net::HTTPServer>(new Factory(std::move(requestHandler), this->active), this->pool, this->listener, params);
}

HttpServer::~HttpServer()
{
    this->stop();
}

void HttpServer::start()
{
    this->server->start();
}

void HttpServer::stopAccepting()
{
    this->server->stop();
    // POCO only stops calling `accept`; the kernel would still accept connections into the queue of the listening
    // socket.
    this->listener.close();
}

void HttpServer::stop()
{
    this->server->stopAll(true);
}

} // namespace pimentosail
