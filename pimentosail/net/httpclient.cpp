#include "pimentosail/net/httpclient.h"

#include <algorithm>

#include <Poco/String.h>

namespace pimentosail
{

namespace
{

constexpr size_t MaxIdlePerAddress = 16;
constexpr Duration IdleConnectionLife = std::chrono::seconds(20);
// Maximum time from the header of an answer to the end of its body.
constexpr Duration MaxBodyTime = std::chrono::seconds(5);

// Makes room for a further part of a body. A string that grows by itself doubles and may take twice the limit; here the last step ends at
// the limit.
void growTowards(std::string &body, size_t maxBytes)
{
    if (body.capacity() - body.size() < HttpConnection::MaxReadBytes) {
        const size_t limit = maxBytes + 2 * HttpConnection::MaxReadBytes;
        const size_t next = 2 * body.capacity() + HttpConnection::MaxReadBytes;
        body.reserve(2 * next > limit ? limit : next);
    }
}

// Throws `Failure` (Internal) if a header can't be written.
std::string encode(const std::string &address, const HttpRequest &request)
{
    HeadWriter writer(request.method + " " + request.path + " HTTP/1.1");
    const auto isGiven = [&request](std::string_view wanted) {
        return std::any_of(request.headers.begin(), request.headers.end(), [wanted](const auto &header) { return isSameHeader(header.first, wanted); });
    };
    if (!isGiven("Host")) {
        writer.add("Host", address);
    }
    for (const auto &[name, value] : request.headers) {
        writer.add(name, value);
    }
    if (!request.body.empty() || request.method == "POST") {
        writer.add("Content-Length", std::to_string(request.body.size()));
        if (!isGiven("Content-Type")) {
            writer.add("Content-Type", "application/json");
        }
    }
    return writer.finish() + request.body;
}

bool mayHaveBody(const HttpRequest &request)
{
    return request.method != "HEAD";
}

// How an exchange ended without an answer.
struct ExchangeFailure
{
    std::string reason;
    bool isTimeout = false;
};

ExchangeFailure failureOf(ReadStatus status, const std::string &what)
{
    const bool isTimeout = status == ReadStatus::Timeout;
    return {isTimeout ? "timeout while reading " + what : what + " is malformed, or the connection failed", isTimeout};
}

// Sends `request` and reads its answer. Sets `anySent` as soon as a byte may have reached the peer.
tl::expected<HttpReply, ExchangeFailure> exchange(
    HttpConnection &connection, const Clock &clock, const std::string &address, const HttpRequest &request, Duration timeout, bool &anySent)
{
    const auto waitOf = [&clock](Duration duration) {
        return Wait{clock, clock.now() + duration};
    };
    const SendStatus sent = connection.send(encode(address, request), waitOf(timeout), anySent);
    if (sent != SendStatus::Sent && sent != SendStatus::AnsweredEarly) {
        return tl::unexpected<ExchangeFailure>({"the request could not be written", sent == SendStatus::Timeout});
    }
    AnswerHead response;
    if (const ReadStatus status = connection.readHeader(response, mayHaveBody(request), waitOf(timeout)); status != ReadStatus::Data) {
        return tl::unexpected(failureOf(status, "the header"));
    }
    HttpReply reply;
    reply.status = response.status;
    reply.contentType = response.header("Content-Type");
    reply.headers = std::move(response.headers);
    const Time bodyEnd = clock.now() + MaxBodyTime;
    ReadStatus status = ReadStatus::Data;
    while (status == ReadStatus::Data) {
        if (reply.body.size() > request.maxReplyBytes) {
            return tl::unexpected<ExchangeFailure>({"the answer is longer than " + std::to_string(request.maxReplyBytes) + " bytes", false});
        }
        growTowards(reply.body, request.maxReplyBytes);
        status = connection.readBody(reply.body, Wait{clock, std::min(bodyEnd, clock.now() + timeout)});
    }
    if (status != ReadStatus::End) {
        return tl::unexpected(failureOf(status, "the body"));
    }
    // A peer that ends within its answer closes the connection too.
    if (connection.wasAnswerEndedByClose() && reply.body.empty()) {
        return tl::unexpected<ExchangeFailure>({"the answer was truncated", false});
    }
    return reply;
}

[[noreturn]] void throwLost(const std::string &address, const std::string &reason, bool anySent)
{
    throw Failure(Error(ErrorKind::PeerLost, address + ": " + reason, !anySent));
}

std::unique_ptr<HttpConnection> connectTo(const std::string &address, const Clock &clock, Duration timeout)
{
    Result<std::unique_ptr<HttpConnection>> connection = HttpConnection::connect(address, Wait{clock, clock.now() + timeout});
    if (!connection) {
        throwLost(address, "connect: " + connection.error().message, false);
    }
    return std::move(*connection);
}

} // namespace

std::optional<std::string> HttpReply::header(const std::string &name) const
{
    for (const auto &[known, value] : this->headers) {
        if (Poco::icompare(known, name) == 0) {
            return value;
        }
    }
    return std::nullopt;
}

std::unique_ptr<HttpConnection> HttpClient::take(const std::string &address)
{
    const std::lock_guard lock(this->mutex);
    while (true) {
        const auto found = this->idle.find(address);
        if (found == this->idle.end()) {
            return nullptr;
        }
        std::unique_ptr<HttpConnection> connection = std::move(found->second);
        this->idle.erase(found);
        if (connection->hasNoPendingInput() && this->clock.now() - connection->lastUsed < IdleConnectionLife) {
            return connection;
        }
    }
}

void HttpClient::put(const std::string &address, std::unique_ptr<HttpConnection> connection)
{
    connection->lastUsed = this->clock.now();
    const std::lock_guard lock(this->mutex);
    if (this->idle.count(address) < MaxIdlePerAddress) {
        this->idle.emplace(address, std::move(connection));
    }
}

HttpReply HttpClient::call(const std::string &address, const HttpRequest &request, Duration timeout, ConnectionUse use)
{
    std::unique_ptr<HttpConnection> connection = use == ConnectionUse::Fresh ? nullptr : this->take(address);
    const bool isReused = connection != nullptr;
    if (!connection) {
        connection = connectTo(address, this->clock, timeout);
    }
    bool anySent = false;
    tl::expected<HttpReply, ExchangeFailure> reply = exchange(*connection, this->clock, address, request, timeout, anySent);
    if (reply && isReused && request.accepts && !request.accepts(*reply)) {
        reply = tl::unexpected<ExchangeFailure>({"the answer belongs to another call", false});
    }
    if (!reply) {
        if (isReused && !reply.error().isTimeout) {
            connection.reset();
            return this->call(address, request, timeout, ConnectionUse::Fresh);
        }
        throwLost(address, reply.error().reason, anySent);
    }
    if (use != ConnectionUse::Fresh && connection->isReusable()) {
        this->put(address, std::move(connection));
    }
    return std::move(*reply);
}

std::unique_ptr<HttpStream> HttpStream::open(const std::string &address, const HttpRequest &request, Duration connectTimeout)
{
    std::unique_ptr<HttpStream> stream(new HttpStream(connectTo(address, Clock(), connectTimeout), mayHaveBody(request)));
    bool anySent = false;
    const Wait wait{stream->clock, stream->clock.now() + connectTimeout};
    const SendStatus sent = stream->connection->send(encode(address, request), wait, anySent);
    if (sent != SendStatus::Sent && sent != SendStatus::AnsweredEarly) {
        throwLost(address, "the request could not be written", anySent);
    }
    return stream;
}

bool HttpStream::waitForHeader(Duration wait)
{
    const ReadStatus status = this->connection->readHeader(this->response, this->expectsBody, Wait{this->clock, this->clock.now() + wait});
    if (status != ReadStatus::Data && status != ReadStatus::Timeout) {
        throw Failure(ErrorKind::PeerLost, failureOf(status, "the header").reason);
    }
    return status == ReadStatus::Data;
}

int HttpStream::status() const
{
    return this->response.status;
}

LineStatus HttpStream::receive(Duration wait)
{
    switch (this->connection->readBody(this->received, Wait{this->clock, this->clock.now() + wait})) {
    case ReadStatus::Data:
        return LineStatus::Line;
    case ReadStatus::End:
        return LineStatus::End;
    case ReadStatus::Timeout:
        return LineStatus::Timeout;
    case ReadStatus::Broken:
    case ReadStatus::CallerDisconnected:
        break;
    }
    throw Failure(ErrorKind::PeerLost, failureOf(ReadStatus::Broken, "the body").reason);
}

LineStatus HttpStream::readLine(std::string &line, Duration wait)
{
    while (true) {
        const size_t end = this->received.find('\n', this->searched);
        if (end != std::string::npos) {
            line = this->received.substr(0, end);
            this->received.erase(0, end + 1);
            this->searched = 0;
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            return LineStatus::Line;
        }
        this->searched = this->received.size();
        if (this->received.size() > MaxLineBytes) {
            throw Failure(ErrorKind::PeerLost, "a line of the answer is too long");
        }
        if (const LineStatus status = this->receive(wait); status != LineStatus::Line) {
            return status;
        }
    }
}

std::string HttpStream::readAll(size_t limit, Duration timeout)
{
    const Time end = this->clock.now() + MaxBodyTime;
    LineStatus status = LineStatus::Line;
    while (status == LineStatus::Line) {
        if (this->received.size() > limit) {
            throw Failure(ErrorKind::PeerLost, "the answer is too long");
        }
        status = this->receive(std::min<Duration>(timeout, end - this->clock.now()));
    }
    if (status == LineStatus::Timeout) {
        throw Failure(ErrorKind::PeerLost, "timeout while reading an answer");
    }
    return std::move(this->received);
}

} // namespace pimentosail
