#include "pimentosail/upstream/connection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sstream>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NumberParser.h>

namespace pimentosail
{

namespace
{

constexpr size_t ReadBlock = 16 * 1024;
// Longest answer head taken; far above any answer of a target.
constexpr size_t MaxHeadBytes = 64 * 1024;
// Longest chunk-size or trailer line taken.
constexpr size_t MaxLineBytes = 4096;
// Unacknowledged bytes end the connection after this time, so that a silent connection is not waited for until the deadline.
constexpr unsigned UserTimeoutMilliseconds = 1500;

enum class Readiness {
    Ready,
    Timeout,
    CallerGone,
};

// Returns true if the peer of `descriptor` has closed or reset it. Pending bytes do not count.
bool isPeerGone(int descriptor)
{
    char byte = 0;
    const ssize_t count = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

// Waits until `descriptor` has one of `events` or the caller has gone.
Readiness waitFor(int descriptor, short events, const Wait &wait)
{
    bool watchCaller = wait.callerSocket >= 0;
    while (true) {
        const Duration left = wait.end - wait.clock.now();
        if (left <= Duration(0)) {
            return Readiness::Timeout;
        }
        std::array<pollfd, 2> entries{};
        entries[0] = {descriptor, events, 0};
        entries[1] = {watchCaller ? wait.callerSocket : -1, POLLIN, 0};
        const int ready = ::poll(entries.data(), entries.size(), static_cast<int>(toMilliseconds(left)) + 1);
        if (ready < 0 && errno != EINTR) {
            return Readiness::Ready;
        }
        if (entries[1].revents != 0) {
            if (isPeerGone(wait.callerSocket)) {
                return Readiness::CallerGone;
            }
            // Bytes of a pipelined request are pending; they would wake every later poll.
            watchCaller = false;
        }
        if (entries[0].revents != 0) {
            return Readiness::Ready;
        }
    }
}

} // namespace

Result<std::unique_ptr<TargetConnection>> TargetConnection::connect(const std::string &address, Duration timeout)
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address), Poco::Timespan(timeout.count()));
        socket.setNoDelay(true);
        const unsigned userTimeout = UserTimeoutMilliseconds;
        socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeout);
        socket.setBlocking(false);
        return std::unique_ptr<TargetConnection>(new TargetConnection(std::move(socket)));
    } catch (const Poco::Exception &exception) {
        return tl::unexpected<Error>(Error(ErrorKind::TargetLost, exception.displayText(), true));
    }
}

SendStatus TargetConnection::send(const std::string &bytes, const Wait &wait, bool &anySent)
{
    const int descriptor = this->socket.impl()->sockfd();
    size_t sent = 0;
    this->sentAll = false;
    this->complete = false;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            anySent = true;
            sent += static_cast<size_t>(count);
            continue;
        }
        if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            return SendStatus::Broken;
        }
        const Readiness ready = waitFor(descriptor, POLLIN | POLLOUT, wait);
        if (ready == Readiness::Timeout) {
            return SendStatus::Timeout;
        }
        if (ready == Readiness::CallerGone) {
            return SendStatus::CallerGone;
        }
        char byte = 0;
        if (::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) {
            return SendStatus::AnsweredEarly;
        }
    }
    this->sentAll = true;
    return SendStatus::Sent;
}

// Reads once from the socket into the buffer.
ReadStatus TargetConnection::fill(const Wait &wait)
{
    if (this->closedByPeer) {
        return ReadStatus::End;
    }
    const int descriptor = this->socket.impl()->sockfd();
    while (true) {
        std::array<char, ReadBlock> block;
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
        const Readiness ready = waitFor(descriptor, POLLIN, wait);
        if (ready == Readiness::Timeout) {
            return ReadStatus::Timeout;
        }
        if (ready == Readiness::CallerGone) {
            return ReadStatus::CallerGone;
        }
    }
}

ReadStatus TargetConnection::readHead(Poco::Net::HTTPResponse &head, bool expectsBody, const Wait &wait)
{
    this->complete = false;
    while (true) {
        const size_t end = this->buffer.find("\r\n\r\n");
        if (end == std::string::npos) {
            if (this->buffer.size() > MaxHeadBytes) {
                return ReadStatus::Broken;
            }
            const ReadStatus status = this->fill(wait);
            if (status != ReadStatus::Data) {
                return status == ReadStatus::End ? ReadStatus::Broken : status;
            }
            continue;
        }
        if (this->buffer.compare(0, 5, "HTTP/") != 0) {
            return ReadStatus::Broken;
        }
        try {
            std::istringstream text(this->buffer.substr(0, end + 4));
            head.clear();
            head.read(text);
        } catch (const Poco::Exception &) {
            return ReadStatus::Broken;
        }
        this->buffer.erase(0, end + 4);
        if (head.getStatus() >= 200) {
            break;
        }
    }
    this->keepsOpen = head.getKeepAlive() && head.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1;
    const bool hasNoBody
        = !expectsBody || head.getStatus() == Poco::Net::HTTPResponse::HTTP_NO_CONTENT || head.getStatus() == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
    if (hasNoBody) {
        this->framing = Framing::None;
    } else if (head.has("Transfer-Encoding")) {
        if (!head.getChunkedTransferEncoding()) {
            return ReadStatus::Broken;
        }
        this->framing = Framing::Chunked;
        this->chunkState = ChunkState::Size;
    } else if (head.has("Content-Length")) {
        Poco::UInt64 length = 0;
        if (!Poco::NumberParser::tryParseUnsigned64(head.get("Content-Length"), length)) {
            return ReadStatus::Broken;
        }
        this->framing = Framing::Length;
        this->remaining = length;
    } else {
        this->framing = Framing::UntilClose;
    }
    return ReadStatus::Data;
}

bool TargetConnection::takeLine(std::string &line)
{
    const size_t end = this->buffer.find('\n');
    if (end == std::string::npos) {
        return false;
    }
    line = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 1);
    if (!line.empty() && line.back() == '\r') {
        line.pop_back();
    }
    return true;
}

// Decodes what is buffered. Returns Timeout if more bytes are needed.
ReadStatus TargetConnection::takeChunked(std::string &data)
{
    const size_t before = data.size();
    std::string line;
    while (true) {
        switch (this->chunkState) {
        case ChunkState::Size: {
            if (!this->takeLine(line)) {
                if (this->buffer.size() > MaxLineBytes) {
                    return ReadStatus::Broken;
                }
                return data.size() > before ? ReadStatus::Data : ReadStatus::Timeout;
            }
            unsigned size = 0;
            if (!Poco::NumberParser::tryParseHex(line.substr(0, line.find(';')), size)) {
                return ReadStatus::Broken;
            }
            this->remaining = size;
            this->chunkState = size == 0 ? ChunkState::Trailer : ChunkState::Data;
            break;
        }
        case ChunkState::Data: {
            const size_t count = std::min<size_t>(this->remaining, this->buffer.size());
            data.append(this->buffer, 0, count);
            this->buffer.erase(0, count);
            this->remaining -= count;
            if (this->remaining > 0) {
                return data.size() > before ? ReadStatus::Data : ReadStatus::Timeout;
            }
            this->chunkState = ChunkState::DataEnd;
            break;
        }
        case ChunkState::DataEnd:
            if (!this->takeLine(line)) {
                return data.size() > before ? ReadStatus::Data : ReadStatus::Timeout;
            }
            if (!line.empty()) {
                return ReadStatus::Broken;
            }
            this->chunkState = ChunkState::Size;
            break;
        case ChunkState::Trailer:
            if (!this->takeLine(line)) {
                return data.size() > before ? ReadStatus::Data : ReadStatus::Timeout;
            }
            if (line.empty()) {
                this->chunkState = ChunkState::Done;
            }
            break;
        case ChunkState::Done:
            if (data.size() > before) {
                return ReadStatus::Data;
            }
            this->complete = true;
            return ReadStatus::End;
        }
    }
}

ReadStatus TargetConnection::takeLength(std::string &data)
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
    this->complete = true;
    return ReadStatus::End;
}

ReadStatus TargetConnection::readBody(std::string &data, const Wait &wait)
{
    while (true) {
        ReadStatus status = ReadStatus::Timeout;
        switch (this->framing) {
        case Framing::None:
            this->complete = true;
            return ReadStatus::End;
        case Framing::Chunked:
            status = this->takeChunked(data);
            break;
        case Framing::Length:
            status = this->takeLength(data);
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
        const ReadStatus filled = this->fill(wait);
        if (filled == ReadStatus::End) {
            // Without a length, an orderly close is the end of the body; elsewhere it comes too early.
            this->complete = this->framing == Framing::UntilClose;
            return this->complete ? ReadStatus::End : ReadStatus::Broken;
        }
        if (filled != ReadStatus::Data) {
            return filled;
        }
    }
}

bool TargetConnection::isQuiet() const
{
    char byte = 0;
    const ssize_t count = ::recv(this->socket.impl()->sockfd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return this->buffer.empty() && count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool TargetConnection::isReusable() const
{
    return this->complete && this->sentAll && this->keepsOpen && !this->closedByPeer && this->framing != Framing::UntilClose && this->isQuiet();
}

} // namespace pimentosail
