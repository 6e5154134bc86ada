#include "pimentosail/net/httpserver.h"

#include <algorithm>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/URI.h>

#include "pimentosail/base/statelog.h"
#include "pimentosail/net/chunkdecoder.h"

namespace pimentosail
{

namespace
{

constexpr int Backlog = 256;
// One part in this of the threads may wait for callers that send or read slowly.
constexpr int64_t WaitingPart = 2;
// How long a caller whose request was refused unread may take to read the answer.
constexpr Duration DrainTime = Milliseconds(500);
// A connection ends if what was sent to its peer stays unacknowledged for this time. Long enough for several losses of a packet in a row.
constexpr unsigned UserTimeoutMilliseconds = 3000;
// A connection on which nothing is sent is probed in this interval, and ends after this number of lost probes.
constexpr int KeepAliveProbeSeconds = 1;
constexpr int KeepAliveProbes = 3;
// The kernel takes no more than this beyond what is under way to a caller. Without a limit it keeps some MB for each slow reader, which nobody
// counts.
constexpr int MaxUnsentBytes = 128 * 1024;

// A connection can go silent for good without an end, and its peer may read slowly. Accepted sockets inherit these options.
void limitConnections(Poco::Net::ServerSocket &listener)
{
    listener.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMilliseconds);
    listener.setKeepAlive(true);
    listener.setOption(IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveProbeSeconds);
    listener.setOption(IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveProbeSeconds);
    listener.setOption(IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
    listener.setOption(IPPROTO_TCP, TCP_NOTSENT_LOWAT, MaxUnsentBytes);
}

// Where a head ends.
constexpr std::string_view HeadEnd = "\r\n\r\n";

constexpr std::string_view EmptyLine = "\r\n";

// Returns where the first request begins: some callers send empty lines after a body.
size_t startOfRequest(std::string_view received)
{
    size_t start = 0;
    while (received.substr(start).starts_with(EmptyLine)) {
        start += EmptyLine.size();
    }
    return start;
}

// Returns true if a head has arrived, or too many bytes for one.
bool hasHead(std::string_view received)
{
    const std::string_view request = received.substr(startOfRequest(received));
    return request.find(HeadEnd) != std::string_view::npos || received.size() > HttpServer::MaxHeadBytes;
}

// Takes the head that `hasHead` has found, as sent.
std::string takeHead(CallerConnection &connection)
{
    connection.take(startOfRequest(connection.received()));
    const size_t size = connection.received().find(HeadEnd);
    return connection.take(size == std::string_view::npos ? connection.received().size() : size + HeadEnd.size());
}

} // namespace

class HttpServer::Service
{
public:
    Service(Poco::Net::ServerSocket listener, const ConnectionLimits &limits, Handler requestHandler, Handler refusalHandler)
        : handler(std::move(requestHandler))
        , refuse(std::move(refusalHandler))
        , waits(std::max<int64_t>(1, limits.threads / WaitingPart))
        , server(std::move(listener), limits, hasHead, [this](CallerConnection &connection, ServeMode mode) { return this->serve(connection, mode); })
    {
    }

    ConnectionServer &connections()
    {
        return this->server;
    }

private:
    bool serve(CallerConnection &connection, ServeMode mode);
    void handle(HttpExchange &exchange);
    // Answers a request that was not read. Its connection has to end, because nobody knows where the next request begins.
    void refuseHead(CallerConnection &connection, ServeMode mode, const Error &error);

    const Handler handler;
    const Handler refuse;
    Clock clock;
    WaitLimit waits;
    ConnectionServer server;
};

bool HttpServer::Service::serve(CallerConnection &connection, ServeMode mode)
{
    const std::string bytes = takeHead(connection);
    if (bytes.size() > HttpServer::MaxHeadBytes) {
        this->refuseHead(connection, mode, Error(ErrorKind::HeadTooLarge, "the head of the request is too large"));
        return false;
    }
    Result<RequestHead> head = parseRequestHead(bytes);
    if (!head) {
        this->refuseHead(connection, mode, head.error());
        return false;
    }
    HttpExchange exchange(connection, std::move(*head), mode, &this->waits);
    if (this->server.isCrowded()) {
        exchange.closeAfterAnswer();
    }
    this->handle(exchange);
    return exchange.keepsConnection() && exchange.isHeaderSent();
}

void HttpServer::Service::refuseHead(CallerConnection &connection, ServeMode mode, const Error &error)
{
    HttpExchange exchange(connection, RequestHead{}, ServeMode::Refuse, nullptr);
    exchange.sendError(error, "");
    if (mode == ServeMode::Serve) {
        connection.drain(this->clock, this->clock.now() + DrainTime);
    }
}

void HttpServer::Service::handle(HttpExchange &exchange)
{
    try {
        if (!exchange.mustBeRefused()) {
            this->handler(exchange);
        } else if (this->refuse) {
            this->refuse(exchange);
        } else {
            exchange.sendError(Error(ErrorKind::Overloaded, "all threads of this host are busy"), "");
        }
        if (exchange.callerWriter() == nullptr) {
            exchange.endStream();
        }
    } catch (const Poco::Exception &) {
        // The connection failed, so that no error can be sent.
        exchange.abort();
    } catch (const std::exception &exception) {
        logStateChange("handler_failed", {{"reason", exception.what()}});
        exchange.abort();
    }
    if (exchange.isStreamOpen()) {
        exchange.abort();
    }
}

std::string HttpExchange::path() const
{
    try {
        return Poco::URI(this->request.target).getPath();
    } catch (const Poco::Exception &) {
        throw Failure(ErrorKind::BadRequest, "malformed request path");
    }
}

std::string HttpExchange::query(const std::string &name) const
{
    const Poco::URI uri(this->request.target);
    for (const auto &[key, value] : uri.getQueryParameters()) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

std::string HttpExchange::receive(uint64_t size, Clock &clock, Time end)
{
    if (this->connection.received().empty()) {
        ReceiveStatus status = this->connection.receive(clock, Time(0));
        if (status == ReceiveStatus::Timeout) {
            const WaitLimit::Place place(this->waits);
            if (!place.isFree()) {
                throw Failure(ErrorKind::Overloaded, "too many requests wait for the rest of their bodies");
            }
            status = this->connection.receive(clock, end);
        }
        switch (status) {
        case ReceiveStatus::Data:
            break;
        case ReceiveStatus::Timeout:
            throw Failure(ErrorKind::RequestTimeout, "the request took too long to arrive");
        case ReceiveStatus::Closed:
            throw Failure(ErrorKind::BadRequest, "the body was truncated");
        }
    }
    return this->connection.take(static_cast<size_t>(std::min<uint64_t>(size, CallerConnection::MaxReceiveBytes)));
}

void HttpExchange::sendContinue()
{
    if (this->request.expectsContinue && !std::exchange(this->isContinueSent, true)) {
        this->connection.send(HeadWriter("HTTP/1.1 100 Continue").finish());
    }
}

void HttpExchange::consumeLength(int64_t limit, Clock &clock, Time end, const BodySink &sink)
{
    const auto length = static_cast<int64_t>(this->request.bodyLength);
    // Some bytes more than are allowed are read, so that most callers have sent their body and read the error answer.
    const int64_t readable = length > limit ? std::min(length, 2 * limit) : length;
    for (int64_t left = readable; left > 0;) {
        const std::string block = this->receive(static_cast<uint64_t>(left), clock, end);
        left -= static_cast<int64_t>(block.size());
        if (length <= limit) {
            sink(block);
        }
    }
    if (length > limit) {
        throw Failure(ErrorKind::BodyTooLarge, "the body is larger than " + std::to_string(limit) + " bytes");
    }
}

void HttpExchange::consumeChunks(int64_t limit, Clock &clock, Time end, const BodySink &sink)
{
    ChunkDecoder decoder;
    ChunkStatus status = ChunkStatus::NeedsMore;
    std::string received;
    int64_t total = 0;
    while (status == ChunkStatus::NeedsMore) {
        received += this->receive(decoder.bytesWanted(), clock, end);
        std::string data;
        status = decoder.decode(received, data);
        total += static_cast<int64_t>(data.size());
        if (total > limit) {
            throw Failure(ErrorKind::BodyTooLarge, "the body is larger than " + std::to_string(limit) + " bytes");
        }
        sink(data);
        if (clock.now() > end) {
            throw Failure(ErrorKind::RequestTimeout, "the request took too long to arrive");
        }
    }
    if (status == ChunkStatus::Malformed) {
        throw Failure(ErrorKind::BadRequest, "the chunks of the body are malformed");
    }
}

void HttpExchange::consumeBody(int64_t limit, Clock &clock, Time end, const BodySink &sink)
{
    this->isBodyBegun = true;
    this->sendContinue();
    switch (this->request.framing) {
    case BodyFraming::None:
        break;
    case BodyFraming::Length:
        this->consumeLength(limit, clock, end, sink);
        break;
    case BodyFraming::Chunked:
        this->consumeChunks(limit, clock, end, sink);
        break;
    }
    this->isBodyRead = true;
}

std::string HttpExchange::readBody(int64_t limit, Clock &clock, Duration timeout, const BodyReserve &reserve)
{
    std::string body;
    const auto ensureCapacity = [&body, &reserve](size_t size) {
        if (size > body.capacity()) {
            const size_t capacity = std::max(size, 2 * body.capacity());
            if (reserve) {
                reserve(capacity);
            }
            body.reserve(capacity);
        }
    };
    if (this->request.framing == BodyFraming::Length) {
        ensureCapacity(static_cast<size_t>(std::min(static_cast<int64_t>(this->request.bodyLength), limit)));
    }
    this->consumeBody(limit, clock, clock.now() + timeout, [&body, &ensureCapacity](const std::string &block) {
        ensureCapacity(body.size() + block.size());
        body += block;
    });
    return body;
}

void HttpExchange::skipBody(int64_t limit, Clock &clock, Duration timeout)
{
    if (this->isBodyBegun) {
        return;
    }
    try {
        this->consumeBody(limit, clock, clock.now() + timeout, [](const std::string &) {});
    } catch (const Failure &) {
        // The connection is closed after the answer.
    }
}

HttpServer::HttpServer(const std::string &address, const ConnectionLimits &limits, Handler requestHandler, Handler refusalHandler)
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress(address), Backlog);
    limitConnections(listener);
    this->service = std::make_unique<Service>(listener, limits, std::move(requestHandler), std::move(refusalHandler));
}

HttpServer::HttpServer(const std::string &address, int64_t maxConnections, Handler requestHandler)
    : HttpServer(address, ConnectionLimits{.connections = maxConnections, .threads = maxConnections}, std::move(requestHandler))
{
}

HttpServer::~HttpServer() = default;

void HttpServer::start()
{
    this->service->connections().start();
}

long HttpServer::running() const
{
    return this->service->connections().running();
}

int64_t HttpServer::openConnections() const
{
    return this->service->connections().openConnections();
}

void HttpServer::stopAccepting()
{
    this->service->connections().stopAccepting();
}

void HttpServer::stop()
{
    this->service->connections().stop();
}

} // namespace pimentosail
