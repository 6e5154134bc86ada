#include "pimentosail/net/httpclient.h"

#include <istream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

namespace pimentosail
{

namespace
{

constexpr size_t MaxIdlePerAddress = 16;
// Longest wait for the rest of a chunk whose first bytes have arrived.
constexpr Duration PartialReadTimeout = std::chrono::seconds(2);
// The line end (CR LF) after the data of a chunk.
constexpr int ChunkEndBytes = 2;
constexpr Duration IdleConnectionLife = std::chrono::seconds(20);

Poco::Timespan toTimespan(Duration duration)
{
    return Poco::Timespan(duration.count());
}

std::unique_ptr<PollableSession> makeSession(const std::string &address)
{
    auto session = std::make_unique<PollableSession>(Poco::Net::SocketAddress(address));
    session->setKeepAlive(true);
    session->setKeepAliveTimeout(toTimespan(IdleConnectionLife));
    return session;
}

void writeRequest(PollableSession &session, const HttpRequest &request, bool &connected)
{
    Poco::Net::HTTPRequest header(request.method, request.path, Poco::Net::HTTPRequest::HTTP_1_1);
    for (const auto &[name, value] : request.headers) {
        header.set(name, value);
    }
    if (!request.body.empty() || request.method == "POST") {
        header.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
        if (!header.has("Content-Type")) {
            header.setContentType("application/json");
        }
    }
    std::ostream &out = session.sendRequest(header);
    connected = true;
    out.write(request.body.data(), static_cast<std::streamsize>(request.body.size()));
    out.flush();
    if (!out.good()) {
        throw Poco::IOException("the request could not be written");
    }
}

bool mayHaveBody(const HttpRequest &request, const Poco::Net::HTTPResponse &response)
{
    return request.method != "HEAD" && response.getStatus() != Poco::Net::HTTPResponse::HTTP_NO_CONTENT
        && response.getStatus() != Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
}

[[noreturn]] void throwLost(const std::string &address, const std::string &reason, bool connected)
{
    throw Failure(Error(ErrorKind::PeerLost, address + ": " + reason, !connected));
}

} // namespace

std::unique_ptr<PollableSession> HttpClient::take(const std::string &address)
{
    const std::lock_guard lock(this->mutex);
    while (true) {
        const auto found = this->idle.find(address);
        if (found == this->idle.end()) {
            return nullptr;
        }
        std::unique_ptr<PollableSession> session = std::move(found->second);
        this->idle.erase(found);
        // An idle connection that is readable has been closed by the peer.
        const bool usable = session->connected() && !session->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
        if (usable) {
            return session;
        }
    }
}

void HttpClient::put(const std::string &address, std::unique_ptr<PollableSession> session)
{
    const std::lock_guard lock(this->mutex);
    if (this->idle.count(address) < MaxIdlePerAddress) {
        this->idle.emplace(address, std::move(session));
    }
}

HttpReply HttpClient::call(const std::string &address, const HttpRequest &request, Duration timeout, ConnectionUse use)
{
    std::unique_ptr<PollableSession> session = use == ConnectionUse::Fresh ? nullptr : this->take(address);
    const bool reused = session != nullptr;
    bool connected = reused;
    try {
        if (!session) {
            session = makeSession(address);
        }
        session->setTimeout(toTimespan(timeout));
        if (reused) {
            // `setTimeout` takes effect when the session connects; an open connection keeps the timeouts of an earlier
            // call.
            session->socket().setSendTimeout(toTimespan(timeout));
            session->socket().setReceiveTimeout(toTimespan(timeout));
        }
        writeRequest(*session, request, connected);
        Poco::Net::HTTPResponse response;
        std::istream &in = session->receiveResponse(response);
        HttpReply reply;
        reply.status = response.getStatus();
        reply.contentType = response.getContentType();
        Poco::StreamCopier::copyToString(in, reply.body);
        const bool truncated = response.hasContentLength() && reply.body.size() < static_cast<size_t>(response.getContentLength64());
        // POCO takes a head that ends with the connection for complete. Such an answer has no body either.
        const bool hasNoEnd = !response.hasContentLength() && !response.getChunkedTransferEncoding() && reply.body.empty() && mayHaveBody(request, response);
        if (truncated || hasNoEnd) {
            throw Poco::IOException("the answer was truncated");
        }
        if (response.getKeepAlive()) {
            this->put(address, std::move(session));
        }
        return reply;
    } catch (const Poco::TimeoutException &exception) {
        throwLost(address, "timeout " + exception.message(), connected);
    } catch (const Poco::Exception &exception) {
        if (reused && use == ConnectionUse::Pooled) {
            return this->call(address, request, timeout, ConnectionUse::Fresh);
        }
        throwLost(address, exception.displayText(), connected);
    }
}

std::unique_ptr<HttpStream> HttpStream::open(const std::string &address, const HttpRequest &request, Duration connectTimeout)
{
    bool connected = false;
    try {
        std::unique_ptr<HttpStream> stream(new HttpStream());
        stream->session = makeSession(address);
        stream->session->setTimeout(toTimespan(connectTimeout), toTimespan(connectTimeout), toTimespan(PartialReadTimeout));
        writeRequest(*stream->session, request, connected);
        return stream;
    } catch (const Poco::Exception &exception) {
        throwLost(address, exception.displayText(), connected);
    }
}

bool HttpStream::waitForHeader(Duration wait)
{
    try {
        if (!this->session->socket().poll(toTimespan(wait), Poco::Net::Socket::SELECT_READ)) {
            return false;
        }
        this->body = &this->session->receiveResponse(this->response);
        return true;
    } catch (const Poco::Exception &exception) {
        throw Failure(ErrorKind::PeerLost, exception.displayText());
    }
}

int HttpStream::status() const
{
    return this->response.getStatus();
}

// The line end of a chunk stays buffered until the next chunk is read. It does not count as readable, because reading
// on would block if the peer sends no further chunk.
bool HttpStream::isReadable(Duration wait)
{
    const int ignoredBytes = this->response.getChunkedTransferEncoding() ? ChunkEndBytes : 0;
    return this->session->bufferedBytes() > ignoredBytes || this->session->socket().poll(toTimespan(wait), Poco::Net::Socket::SELECT_READ);
}

LineStatus HttpStream::readLine(std::string &line, Duration wait)
{
    std::streambuf &buffer = *this->body->rdbuf();
    try {
        while (true) {
            while (buffer.in_avail() > 0) {
                const int character = buffer.sbumpc();
                ++this->consumed;
                if (character != '\n') {
                    this->partial.push_back(static_cast<char>(character));
                    continue;
                }
                line = std::move(this->partial);
                this->partial.clear();
                if (!line.empty() && line.back() == '\r') {
                    line.pop_back();
                }
                return LineStatus::Line;
            }
            if (this->response.hasContentLength() && this->consumed >= this->response.getContentLength64()) {
                return LineStatus::End;
            }
            if (!this->isReadable(wait)) {
                return LineStatus::Timeout;
            }
            if (buffer.sgetc() == std::char_traits<char>::eof()) {
                return LineStatus::End;
            }
        }
    } catch (const Poco::Exception &exception) {
        throw Failure(ErrorKind::PeerLost, exception.displayText());
    }
}

std::string HttpStream::readAll(size_t limit, Duration timeout)
{
    std::string text;
    std::string line;
    while (text.size() < limit) {
        const LineStatus status = this->readLine(line, timeout);
        if (status == LineStatus::Timeout) {
            throw Failure(ErrorKind::PeerLost, "timeout while reading an answer");
        }
        if (status == LineStatus::End) {
            text += this->partial;
            return text;
        }
        text += line;
        text += '\n';
    }
    throw Failure(ErrorKind::PeerLost, "the answer is too long");
}

} // namespace pimentosail
