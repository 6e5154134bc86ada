#include "pimentosail/net/httpserver.h"

#include <algorithm>
#include <mutex>
#include <set>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>
#include <Poco/URI.h>

#include "pimentosail/base/statelog.h"
#include "pimentosail/net/chunkdecoder.h"

namespace pimentosail
{

namespace
{

constexpr int Backlog = 256;
// Threads that a server keeps when it has no connections.
constexpr int MinThreads = 1;
// Time in which the head of a request must arrive after its first byte.
constexpr Duration HeadTimeout = std::chrono::seconds(10);
// How long a caller whose request was refused unread may take to read the answer.
constexpr Duration DrainTime = Milliseconds(500);
// How long an idle connection stays open.
constexpr Duration KeepAliveTime = std::chrono::seconds(30);
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

// Removes empty lines before a request, which some callers send after a body.
void skipEmptyLines(CallerConnection &connection)
{
    while (connection.received().starts_with("\r\n")) {
        connection.take(2);
    }
}

// Waits for the first byte of a request, and then for its head. Returns the head as sent, which may be too large, or nothing if none comes.
std::optional<std::string> receiveHead(CallerConnection &connection, const Clock &clock)
{
    const Time idleEnd = clock.now() + KeepAliveTime;
    skipEmptyLines(connection);
    while (connection.received().empty()) {
        if (connection.receive(clock, idleEnd) != ReceiveStatus::Data) {
            return std::nullopt;
        }
        skipEmptyLines(connection);
    }
    const Time end = clock.now() + HeadTimeout;
    while (true) {
        const size_t size = connection.received().find(HeadEnd);
        if (size != std::string_view::npos) {
            return connection.take(size + HeadEnd.size());
        }
        if (connection.received().size() > HttpServer::MaxHeadBytes) {
            return connection.take(HttpServer::MaxHeadBytes + 1);
        }
        if (connection.receive(clock, end) != ReceiveStatus::Data) {
            return std::nullopt;
        }
    }
}

// Answers a request that was not read. Its connection has to end, because nobody knows where the next request begins.
void refuseHead(CallerConnection &connection, const Clock &clock, const Error &error)
{
    HttpExchange exchange(connection, RequestHead{}, false);
    exchange.sendError(error, "");
    connection.drain(clock, clock.now() + DrainTime);
}

} // namespace

struct HttpServer::Service
{
    explicit Service(Handler requestHandler)
        : handler(std::move(requestHandler))
    {
    }

    // Serves the requests of a connection until it ends.
    void serve(CallerConnection &connection);
    // Returns false if the connection has to end.
    bool serveRequest(CallerConnection &connection);
    void handle(HttpExchange &exchange);
    // Shuts the open connections down.
    void stop();

    const Handler handler;
    Clock clock;
    std::atomic<long> active{0};
    std::mutex mutex;
    // Open connections, and whether new ones are shut down at once.
    std::set<CallerConnection *> open;
    bool isStopped = false;
};

void HttpServer::Service::serve(CallerConnection &connection)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->isStopped) {
            return;
        }
        this->open.insert(&connection);
    }
    while (this->serveRequest(connection)) { }
    const std::lock_guard lock(this->mutex);
    this->open.erase(&connection);
}

bool HttpServer::Service::serveRequest(CallerConnection &connection)
{
    const std::optional<std::string> bytes = receiveHead(connection, this->clock);
    if (!bytes) {
        return false;
    }
    if (bytes->size() > HttpServer::MaxHeadBytes) {
        refuseHead(connection, this->clock, Error(ErrorKind::HeadTooLarge, "the head of the request is too large"));
        return false;
    }
    Result<RequestHead> head = parseRequestHead(*bytes);
    if (!head) {
        refuseHead(connection, this->clock, head.error());
        return false;
    }
    HttpExchange exchange(connection, std::move(*head), true);
    this->active.fetch_add(1);
    this->handle(exchange);
    this->active.fetch_sub(1);
    return exchange.keepsConnection() && exchange.isHeaderSent();
}

void HttpServer::Service::handle(HttpExchange &exchange)
{
    try {
        this->handler(exchange);
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

void HttpServer::Service::stop()
{
    const std::lock_guard lock(this->mutex);
    this->isStopped = true;
    for (CallerConnection *connection : this->open) {
        connection->shutDown();
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
        switch (this->connection.receive(clock, end)) {
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

namespace
{

// Serves one connection on a thread of the pool.
template <typename Service>
class ServedConnection : public Poco::Net::TCPServerConnection
{
public:
    ServedConnection(const Poco::Net::StreamSocket &socket, std::shared_ptr<Service> sharedService)
        : TCPServerConnection(socket)
        , service(std::move(sharedService))
    {
    }

    void run() override
    {
        CallerConnection connection(this->socket());
        this->service->serve(connection);
    }

private:
    std::shared_ptr<Service> service;
};

template <typename Service>
class ServedConnectionFactory : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit ServedConnectionFactory(std::shared_ptr<Service> sharedService)
        : service(std::move(sharedService))
    {
    }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        // POCO takes ownership.
        return new ServedConnection<Service>(socket, this->service);
    }

private:
    std::shared_ptr<Service> service;
};

} // namespace

HttpServer::HttpServer(const std::string &address, int64_t maxConnections, Handler requestHandler)
    : service(std::make_shared<Service>(std::move(requestHandler)))
    , pool(MinThreads, static_cast<int>(maxConnections) + MinThreads)
    , listener(Poco::Net::SocketAddress(address), Backlog)
{
    limitConnections(this->listener);
    auto *params = new Poco::Net::TCPServerParams();
    params->setMaxThreads(static_cast<int>(maxConnections));
    params->setMaxQueued(static_cast<int>(maxConnections));
    this->server = std::make_unique<Poco::Net::TCPServer>(new ServedConnectionFactory<Service>(this->service), this->pool, this->listener, params);
}

HttpServer::~HttpServer()
{
    this->stop();
}

void HttpServer::start()
{
    this->server->start();
}

long HttpServer::running() const
{
    return this->service->active.load();
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
    this->service->stop();
    this->server->stop();
}

} // namespace pimentosail
