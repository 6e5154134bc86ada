#include "pimentosail/net/httpserver.h"

#include <algorithm>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerSession.h>
#include <Poco/Net/HTTPSession.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/String.h>
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
// How long a read waits for a caller that sends nothing within its request.
constexpr long ReceiveTimeoutSeconds = 10;
// How long an idle connection stays open.
constexpr long KeepAliveSeconds = 30;
constexpr size_t ReadBlock = 16 * 1024;
// A connection ends if what was sent to its peer stays unacknowledged for this time. Long enough for several losses of a packet in a row.
constexpr unsigned UserTimeoutMilliseconds = 3000;
// A connection on which nothing is sent is probed in this interval, and ends after this number of lost probes.
constexpr int KeepAliveProbeSeconds = 1;
constexpr int KeepAliveProbes = 3;
// The kernel takes no more than this beyond what is under way to a caller. Without a limit it keeps some MB for each slow reader, which nobody
// counts.
constexpr int MaxUnsentBytes = 128 * 1024;

// Digits of a Content-Length that fits 64 bits with a sign.
constexpr size_t MaxLengthDigits = 18;

// Reads from the buffer and the socket of a POCO session. POCO's own streams take a cut or malformed body for one that ended.
class SessionReader : public Poco::Net::HTTPSession
{
public:
    static int bufferedBytes(const Poco::Net::HTTPSession &session)
    {
        return (session.*(&SessionReader::buffered))();
    }

    // Returns the number of bytes read; 0 if the peer has closed the connection.
    static size_t receive(Poco::Net::HTTPSession &session, char *buffer, size_t size)
    {
        // Few bytes are taken through the buffer, so that not each read costs a system call.
        if (size < ReadBlock && bufferedBytes(session) == 0) {
            (session.*(&SessionReader::refill))();
            if (bufferedBytes(session) == 0) {
                return 0;
            }
        }
        return static_cast<size_t>(std::max(0, (session.*(&SessionReader::read))(buffer, static_cast<std::streamsize>(size))));
    }

private:
    using Poco::Net::HTTPSession::buffered;
    using Poco::Net::HTTPSession::read;
    using Poco::Net::HTTPSession::refill;
};

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
        HttpExchange exchange(request, response);
        try {
            this->handler(exchange);
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
        if (!exchange.isHeaderSent()) {
            // The next answer would be taken for the one that is missing.
            exchange.closeAfterAnswer();
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

HttpExchange::Framing HttpExchange::framing() const
{
    int lengths = 0;
    int encodings = 0;
    bool isKnown = true;
    for (const auto &[name, value] : this->request) {
        if (Poco::icompare(name, Poco::Net::HTTPMessage::CONTENT_LENGTH) == 0) {
            ++lengths;
            isKnown = isKnown && !value.empty() && value.size() <= MaxLengthDigits && value.find_first_not_of("0123456789") == std::string::npos;
        } else if (Poco::icompare(name, Poco::Net::HTTPMessage::TRANSFER_ENCODING) == 0) {
            ++encodings;
            isKnown = isKnown && Poco::icompare(value, Poco::Net::HTTPMessage::CHUNKED_TRANSFER_ENCODING) == 0;
        }
    }
    if (!isKnown || lengths + encodings > 1) {
        return Framing::Ambiguous;
    }
    if (encodings > 0) {
        return Framing::Chunked;
    }
    return lengths > 0 && this->request.getContentLength64() > 0 ? Framing::Length : Framing::None;
}

std::string HttpExchange::receive(uint64_t size, Clock &clock, Time end)
{
    auto *implementation = dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&this->request);
    if (implementation == nullptr) {
        throw Failure(ErrorKind::Internal, "the request has no connection");
    }
    Poco::Net::HTTPSession &session = implementation->session();
    std::string block(static_cast<size_t>(std::min<uint64_t>(size, ReadBlock)), '\0');
    try {
        const Duration left = end - clock.now();
        const bool isReadable = SessionReader::bufferedBytes(session) > 0
            || (left > Duration(0) && implementation->socket().poll(Poco::Timespan(left.count()), Poco::Net::Socket::SELECT_READ));
        if (!isReadable) {
            throw Failure(ErrorKind::RequestTimeout, "the request took too long to arrive");
        }
        block.resize(SessionReader::receive(session, block.data(), block.size()));
    } catch (const Poco::TimeoutException &) {
        throw Failure(ErrorKind::RequestTimeout, "the request took too long to arrive");
    } catch (const Poco::Exception &exception) {
        throw Failure(ErrorKind::BadRequest, "the body was truncated: " + exception.displayText());
    }
    if (block.empty()) {
        throw Failure(ErrorKind::BadRequest, "the body was truncated");
    }
    return block;
}

void HttpExchange::consumeLength(int64_t limit, Clock &clock, Time end, const BodySink &sink)
{
    const int64_t length = this->request.getContentLength64();
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
    switch (this->framing()) {
    case Framing::None:
        break;
    case Framing::Length:
        this->consumeLength(limit, clock, end, sink);
        break;
    case Framing::Chunked:
        this->consumeChunks(limit, clock, end, sink);
        break;
    case Framing::Ambiguous:
        throw Failure(ErrorKind::BadRequest, "the length of the body is not clear");
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
    if (this->framing() == Framing::Length) {
        ensureCapacity(static_cast<size_t>(std::min(this->request.getContentLength64(), limit)));
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

HttpServer::HttpServer(const std::string &address, int64_t maxConnections, Handler requestHandler)
    : pool(MinThreads, static_cast<int>(maxConnections) + MinThreads)
    , listener(Poco::Net::SocketAddress(address), Backlog)
{
    limitConnections(this->listener);
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
