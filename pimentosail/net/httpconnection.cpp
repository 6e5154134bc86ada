#include "pimentosail/net/httpconnection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sstream>
#include <system_error>
#include <vector>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/socketstate.h"

namespace pimentosail
{

namespace
{

// Maximum size of the header of an answer, together with the interim answers before it; far above those that targets send,
// and small because each connection may hold as much.
constexpr size_t MaxHeaderBytes = 16 * 1024;
// TCP closes the connection if sent bytes stay unacknowledged for this time, so that a request does not wait for a
// silent target until its deadline.
constexpr unsigned UserTimeoutMilliseconds = 1500;

enum class Readiness {
    Ready,
    Timeout,
    CallerDisconnected,
};

// Waits until `descriptor` has one of `events`, the wait is over or the caller has disconnected. Errors of `poll`
// return Ready, so that the next call on the socket reports them.
Readiness waitFor(int descriptor, short events, const Wait &wait)
{
    short callerEvents = POLLIN | POLLRDHUP;
    while (true) {
        const Duration left = wait.end - wait.clock.now();
        if (left <= Duration(0)) {
            return Readiness::Timeout;
        }
        std::array<pollfd, 3> entries{};
        entries[0] = {descriptor, events, 0};
        entries[1] = {wait.callerSocket, callerEvents, 0};
        entries[2] = {wait.interrupt == nullptr ? -1 : wait.interrupt->descriptor(), POLLIN, 0};
        const int readyCount = ::poll(entries.data(), entries.size(), static_cast<int>(toMilliseconds(left)) + 1);
        if (readyCount < 0 && errno != EINTR) {
            return Readiness::Ready;
        }
        if (entries[1].revents != 0) {
            if (isPeerClosed(wait.callerSocket)) {
                return Readiness::CallerDisconnected;
            }
            // The caller has sent bytes of a further (pipelined) request, which would end every later poll at once.
            callerEvents = POLLRDHUP;
        }
        if (entries[0].revents != 0) {
            return Readiness::Ready;
        }
        if (entries[2].revents != 0) {
            return Readiness::Timeout;
        }
    }
}

// Returns the values of all headers called `wanted`.
std::vector<std::string> valuesOf(const Poco::Net::HTTPResponse &header, const std::string &wanted)
{
    std::vector<std::string> values;
    for (const auto &[name, value] : header) {
        if (Poco::icompare(name, wanted) == 0) {
            values.push_back(value);
        }
    }
    return values;
}

} // namespace

Result<std::unique_ptr<HttpConnection>> HttpConnection::connect(const std::string &address, const Wait &wait)
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connectNB(Poco::Net::SocketAddress(address));
        switch (waitFor(socket.impl()->sockfd(), POLLOUT, wait)) {
        case Readiness::CallerDisconnected:
            return tl::unexpected<Error>(Error(ErrorKind::Cancelled, "the caller has disconnected", true));
        case Readiness::Timeout:
            return tl::unexpected<Error>(Error(ErrorKind::TargetLost, "timeout", true));
        case Readiness::Ready:
            break;
        }
        if (const int failure = socket.impl()->socketError(); failure != 0) {
            return tl::unexpected<Error>(Error(ErrorKind::TargetLost, std::generic_category().message(failure), true));
        }
        socket.setNoDelay(true);
        const unsigned userTimeout = UserTimeoutMilliseconds;
        socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeout);
        return std::unique_ptr<HttpConnection>(new HttpConnection(std::move(socket)));
    } catch (const Poco::Exception &exception) {
        return tl::unexpected<Error>(Error(ErrorKind::TargetLost, exception.displayText(), true));
    }
}

HttpConnection::~HttpConnection()
{
    if (this->awaitsAnswer) {
        const linger dropUnsent{1, 0};
        ::setsockopt(this->socket.impl()->sockfd(), SOL_SOCKET, SO_LINGER, &dropUnsent, sizeof(dropUnsent));
    }
}

SendStatus HttpConnection::send(const std::string &bytes, const Wait &wait, bool &anySent)
{
    const int descriptor = this->socket.impl()->sockfd();
    size_t sent = 0;
    this->requestSent = false;
    this->complete = false;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            anySent = true;
            this->awaitsAnswer = true;
            sent += static_cast<size_t>(count);
            continue;
        }
        if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            return SendStatus::Broken;
        }
        const Readiness readiness = waitFor(descriptor, POLLIN | POLLOUT, wait);
        if (readiness == Readiness::Timeout) {
            return SendStatus::Timeout;
        }
        if (readiness == Readiness::CallerDisconnected) {
            return SendStatus::CallerDisconnected;
        }
        char byte = 0;
        if (::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) {
            return SendStatus::AnsweredEarly;
        }
    }
    this->requestSent = true;
    return SendStatus::Sent;
}

SendStatus HttpConnection::sendNamed(const std::string &bytes, const std::string &requestId, const Wait &wait, bool &anySent)
{
    if (this->hasCarried(requestId)) {
        return SendStatus::IdRepeated;
    }
    this->carriedIds.push_back(stableHash(requestId));
    return this->send(bytes, wait, anySent);
}

bool HttpConnection::hasCarried(const std::string &requestId) const
{
    if (requestId.empty()) {
        return !this->carriedIds.empty();
    }
    return std::find(this->carriedIds.begin(), this->carriedIds.end(), stableHash(requestId)) != this->carriedIds.end();
}

ReadStatus HttpConnection::fillBuffer(const Wait &wait)
{
    if (this->closedByPeer) {
        return ReadStatus::End;
    }
    // `waitFor` is not reached while bytes keep arriving.
    if (wait.clock.now() >= wait.end) {
        return ReadStatus::Timeout;
    }
    const int descriptor = this->socket.impl()->sockfd();
    while (true) {
        std::array<char, MaxReadBytes> block;
        const ssize_t count = ::recv(descriptor, block.data(), block.size(), MSG_DONTWAIT);
        if (count > 0) {
            this->buffer.append(block.data(), static_cast<size_t>(count));
            return ReadStatus::Data;
        }
        if (count == 0) {
            this->closedByPeer = true;
            return ReadStatus::End;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            return ReadStatus::Broken;
        }
        const Readiness readiness = waitFor(descriptor, POLLIN, wait);
        if (readiness == Readiness::Timeout) {
            return ReadStatus::Timeout;
        }
        if (readiness == Readiness::CallerDisconnected) {
            return ReadStatus::CallerDisconnected;
        }
    }
}

ReadStatus HttpConnection::readHeader(Poco::Net::HTTPResponse &header, bool expectsBody, const Wait &wait)
{
    this->complete = false;
    this->awaitsAnswer = true;
    size_t interimBytes = 0;
    while (true) {
        const size_t end = this->buffer.find("\r\n\r\n");
        const size_t headerBytes = end == std::string::npos ? this->buffer.size() : end + 4;
        if (interimBytes + headerBytes > MaxHeaderBytes) {
            return ReadStatus::Broken;
        }
        if (end == std::string::npos) {
            const ReadStatus status = this->fillBuffer(wait);
            if (status != ReadStatus::Data) {
                return status == ReadStatus::End ? ReadStatus::Broken : status;
            }
            continue;
        }
        if (this->buffer.compare(0, 5, "HTTP/") != 0) {
            return ReadStatus::Broken;
        }
        try {
            std::istringstream text(this->buffer.substr(0, headerBytes));
            header.clear();
            header.read(text);
        } catch (const Poco::Exception &) {
            return ReadStatus::Broken;
        }
        this->buffer.erase(0, headerBytes);
        if (header.getStatus() >= 200) {
            break;
        }
        interimBytes += headerBytes;
    }
    this->targetKeepsAlive = header.getKeepAlive() && header.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1;
    const bool hasNoBody
        = !expectsBody || header.getStatus() == Poco::Net::HTTPResponse::HTTP_NO_CONTENT || header.getStatus() == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
    if (hasNoBody) {
        this->framing = Framing::None;
        return ReadStatus::Data;
    }
    return this->readFraming(header) ? ReadStatus::Data : ReadStatus::Broken;
}

bool HttpConnection::readFraming(const Poco::Net::HTTPResponse &header)
{
    const std::vector<std::string> lengths = valuesOf(header, Poco::Net::HTTPMessage::CONTENT_LENGTH);
    const std::vector<std::string> encodings = valuesOf(header, Poco::Net::HTTPMessage::TRANSFER_ENCODING);
    if (!encodings.empty()) {
        this->framing = Framing::Chunked;
        this->chunks = ChunkDecoder();
        return lengths.empty() && encodings.size() == 1 && Poco::icompare(encodings.front(), Poco::Net::HTTPMessage::CHUNKED_TRANSFER_ENCODING) == 0;
    }
    if (lengths.empty()) {
        this->framing = Framing::UntilClose;
        return true;
    }
    const std::string &length = lengths.front();
    const bool isNumber = !length.empty() && length.find_first_not_of("0123456789") == std::string::npos;
    this->framing = Framing::Length;
    return isNumber && std::all_of(lengths.begin(), lengths.end(), [&length](const std::string &other) { return other == length; })
        && Poco::NumberParser::tryParseUnsigned64(length, this->remaining);
}

ReadStatus HttpConnection::decodeChunked(std::string &data)
{
    const size_t before = data.size();
    const ChunkStatus status = this->chunks.decode(this->buffer, data);
    if (status == ChunkStatus::Malformed) {
        return ReadStatus::Broken;
    }
    if (data.size() > before) {
        return ReadStatus::Data;
    }
    return status == ChunkStatus::Done ? this->endAnswer() : ReadStatus::Timeout;
}

ReadStatus HttpConnection::decodeFixedLength(std::string &data)
{
    const size_t count = std::min<size_t>(this->remaining, this->buffer.size());
    data.append(this->buffer, 0, count);
    this->buffer.erase(0, count);
    this->remaining -= count;
    if (count > 0) {
        return ReadStatus::Data;
    }
    if (this->remaining > 0) {
        return ReadStatus::Timeout;
    }
    return this->endAnswer();
}

ReadStatus HttpConnection::endAnswer()
{
    this->complete = true;
    this->awaitsAnswer = false;
    return ReadStatus::End;
}

ReadStatus HttpConnection::readBody(std::string &data, const Wait &wait)
{
    while (true) {
        ReadStatus status = ReadStatus::Timeout;
        switch (this->framing) {
        case Framing::None:
            return this->endAnswer();
        case Framing::Chunked:
            status = this->decodeChunked(data);
            break;
        case Framing::Length:
            status = this->decodeFixedLength(data);
            break;
        case Framing::UntilClose:
            if (!this->buffer.empty()) {
                data.append(this->buffer);
                this->buffer.clear();
                return ReadStatus::Data;
            }
            break;
        }
        if (status != ReadStatus::Timeout) {
            return status;
        }
        const ReadStatus filled = this->fillBuffer(wait);
        if (filled == ReadStatus::End) {
            // Without a length, an orderly close marks the end of the body; with other framing, the body is truncated.
            return this->framing == Framing::UntilClose ? this->endAnswer() : ReadStatus::Broken;
        }
        if (filled != ReadStatus::Data) {
            return filled;
        }
    }
}

bool HttpConnection::hasNoPendingInput() const
{
    char byte = 0;
    const ssize_t count = ::recv(this->socket.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return this->buffer.empty() && count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool HttpConnection::isReusable() const
{
    return this->complete && this->requestSent && this->targetKeepsAlive && !this->closedByPeer && this->framing != Framing::UntilClose
        && this->carriedIds.size() < MaxCarriedIds && this->hasNoPendingInput();
}

} // namespace pimentosail
