#include "pimentosail/net/httpconnection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <system_error>
#include <vector>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

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
    short callerInput = POLLIN | POLLRDHUP;
    while (true) {
        const bool hasOutput = wait.callerWriter != nullptr && wait.callerWriter->hasPending();
        const short callerEvents = hasOutput ? static_cast<short>(callerInput | POLLOUT) : callerInput;
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
        if (hasOutput && (entries[1].revents & POLLOUT) != 0 && !wait.callerWriter->flush()) {
            return Readiness::CallerDisconnected;
        }
        if ((entries[1].revents & ~POLLOUT) != 0) {
            if (isPeerClosed(wait.callerSocket)) {
                return Readiness::CallerDisconnected;
            }
            // The caller has sent bytes of a further (pipelined) request, which would end every later poll at once.
            callerInput = POLLRDHUP;
        }
        if (entries[0].revents != 0) {
            return Readiness::Ready;
        }
        if (entries[2].revents != 0) {
            return Readiness::Timeout;
        }
    }
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
    this->interimBytes = 0;
    this->answerFault = AnswerFault::None;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            anySent = true;
            this->awaitsAnswer = true;
            sent += static_cast<size_t>(count);
            continue;
        }
        if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            // The peer may have answered before it reset the connection.
            this->resetByPeer = true;
            return this->readEarlyInput() == EarlyInput::Answer ? SendStatus::AnsweredEarly : SendStatus::Broken;
        }
        const Readiness readiness = waitFor(descriptor, POLLIN | POLLOUT, wait);
        if (readiness == Readiness::Timeout) {
            return SendStatus::Timeout;
        }
        if (readiness == Readiness::CallerDisconnected) {
            return SendStatus::CallerDisconnected;
        }
        switch (this->readEarlyInput()) {
        case EarlyInput::Answer:
            return SendStatus::AnsweredEarly;
        case EarlyInput::Closed:
            // No answer can follow, and the end of the input would end every later wait at once.
            return SendStatus::Broken;
        case EarlyInput::None:
            break;
        }
    }
    this->requestSent = true;
    return SendStatus::Sent;
}

HttpConnection::EarlyInput HttpConnection::readEarlyInput()
{
    std::array<char, MaxHeaderBytes> block;
    const ssize_t count = ::recv(this->socket.impl()->sockfd(), block.data(), block.size(), MSG_DONTWAIT);
    if (count > 0) {
        this->buffer.append(block.data(), static_cast<size_t>(count));
    } else if (count == 0) {
        this->closedByPeer = true;
    }
    if (this->skipInterimAnswers() != StatusKind::Interim || this->interimBytes + this->buffer.size() > MaxHeaderBytes) {
        return EarlyInput::Answer;
    }
    return this->closedByPeer ? EarlyInput::Closed : EarlyInput::None;
}

StatusKind HttpConnection::skipInterimAnswers()
{
    while (true) {
        const size_t lineEnd = this->buffer.find('\n');
        if (lineEnd == std::string::npos) {
            return StatusKind::Interim;
        }
        std::string_view line(this->buffer.data(), lineEnd);
        line = line.substr(0, line.size() - (line.ends_with('\r') ? 1 : 0));
        const StatusKind kind = classifyStatusLine(line);
        const size_t end = kind == StatusKind::Interim ? this->buffer.find("\r\n\r\n") : std::string::npos;
        if (end == std::string::npos || this->interimBytes > MaxHeaderBytes) {
            return kind;
        }
        this->buffer.erase(0, end + 4);
        this->interimBytes += end + 4;
    }
}

ReadStatus HttpConnection::breakOff(AnswerFault reason)
{
    this->answerFault = reason;
    return ReadStatus::Broken;
}

bool HttpConnection::isRequestReceived() const
{
    int unacknowledged = 0;
    return this->requestSent && (::ioctl(this->socket.impl()->sockfd(), SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0);
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
            return this->breakOff(AnswerFault::Reset);
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

ReadStatus HttpConnection::readHeader(AnswerHead &header, bool expectsBody, const Wait &wait)
{
    this->complete = false;
    this->awaitsAnswer = true;
    this->answerFault = AnswerFault::None;
    size_t headerBytes = 0;
    while (headerBytes == 0) {
        const StatusKind kind = this->skipInterimAnswers();
        if (kind == StatusKind::Invalid) {
            return this->breakOff(AnswerFault::InvalidStatus);
        }
        const size_t end = kind == StatusKind::Final ? this->buffer.find("\r\n\r\n") : std::string::npos;
        if (this->interimBytes + (end == std::string::npos ? this->buffer.size() : end + 4) > MaxHeaderBytes) {
            return ReadStatus::Broken;
        }
        if (end != std::string::npos) {
            headerBytes = end + 4;
            continue;
        }
        const ReadStatus status = this->fillBuffer(wait);
        if (status != ReadStatus::Data) {
            return status == ReadStatus::End ? this->breakOff(AnswerFault::Truncated) : status;
        }
    }
    this->interimBytes = 0;
    Result<AnswerHead> parsed = parseAnswerHead(std::string_view(this->buffer).substr(0, headerBytes));
    this->buffer.erase(0, headerBytes);
    if (!parsed) {
        return this->breakOff(AnswerFault::MalformedHead);
    }
    header = std::move(*parsed);
    this->targetKeepsAlive = header.keepsAlive;
    this->readFraming(header, expectsBody);
    return ReadStatus::Data;
}

void HttpConnection::readFraming(const AnswerHead &header, bool expectsBody)
{
    constexpr int NoContent = 204;
    constexpr int NotModified = 304;
    if (!expectsBody || header.status == NoContent || header.status == NotModified) {
        this->framing = AnswerFraming::None;
        return;
    }
    switch (header.framing) {
    case BodyFraming::None:
        this->framing = AnswerFraming::UntilClose;
        break;
    case BodyFraming::Length:
        this->framing = AnswerFraming::Length;
        this->remaining = header.bodyLength;
        break;
    case BodyFraming::Chunked:
        this->framing = AnswerFraming::Chunked;
        this->chunks = ChunkDecoder();
        break;
    }
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
    return status == ChunkStatus::Done ? this->endAnswer(true) : ReadStatus::Timeout;
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
    return this->endAnswer(true);
}

ReadStatus HttpConnection::endAnswer(bool isFramingReached)
{
    AnswerEnding end{.framing = this->framing, .isFramingReached = isFramingReached};
    if (this->framing == AnswerFraming::UntilClose) {
        end.isRequestReceived = this->isRequestReceived();
        // The kernel reports the end of the input before a reset that has arrived after it.
        end.isReset = this->resetByPeer || this->socket.impl()->socketError() != 0;
    }
    if (const AnswerFault fault = faultAtEnd(end); fault != AnswerFault::None) {
        return this->breakOff(fault);
    }
    this->complete = true;
    this->awaitsAnswer = false;
    return ReadStatus::End;
}

ReadStatus HttpConnection::readBody(std::string &data, const Wait &wait)
{
    while (true) {
        ReadStatus status = ReadStatus::Timeout;
        switch (this->framing) {
        case AnswerFraming::None:
            return this->endAnswer(true);
        case AnswerFraming::Chunked:
            status = this->decodeChunked(data);
            break;
        case AnswerFraming::Length:
            status = this->decodeFixedLength(data);
            break;
        case AnswerFraming::UntilClose:
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
            return this->endAnswer(false);
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
    return this->complete && this->targetKeepsAlive && !this->closedByPeer && this->framing != AnswerFraming::UntilClose && this->isRequestReceived()
        && this->carriedIds.size() < MaxCarriedIds && this->hasNoPendingInput();
}

} // namespace pimentosail
