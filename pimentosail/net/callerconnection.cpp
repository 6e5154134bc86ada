#include "pimentosail/net/callerconnection.h"

#include <algorithm>
#include <array>
#include <cerrno>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace pimentosail
{

namespace
{

// How long a write waits for a caller that reads nothing.
constexpr timeval SendTimeout{10, 0};

} // namespace

CallerConnection::CallerConnection(int descriptor)
    : socket(descriptor)
{
    ::setsockopt(this->socket, SOL_SOCKET, SO_SNDTIMEO, &SendTimeout, sizeof(SendTimeout));
    // Small answers are sent at once.
    const int isSentAtOnce = 1;
    ::setsockopt(this->socket, IPPROTO_TCP, TCP_NODELAY, &isSentAtOnce, sizeof(isSentAtOnce));
}

CallerConnection::~CallerConnection()
{
    ::close(this->socket);
}

bool CallerConnection::hasInput() const
{
    pollfd entry{this->socket, POLLIN, 0};
    return ::poll(&entry, 1, 0) > 0;
}

ReceiveStatus CallerConnection::receive(const Clock &clock, Time end)
{
    while (true) {
        std::array<char, MaxReceiveBytes> block;
        const ssize_t count = ::recv(this->descriptor(), block.data(), block.size(), MSG_DONTWAIT);
        if (count > 0) {
            this->input.append(block.data(), static_cast<size_t>(count));
            return ReceiveStatus::Data;
        }
        if (count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)) {
            return ReceiveStatus::Closed;
        }
        const Duration left = end - clock.now();
        if (left <= Duration(0)) {
            return ReceiveStatus::Timeout;
        }
        pollfd entry{this->descriptor(), POLLIN, 0};
        ::poll(&entry, 1, static_cast<int>(toMilliseconds(left)) + 1);
    }
}

std::string CallerConnection::take(size_t size)
{
    const size_t count = std::min(size, this->input.size());
    std::string result = this->input.substr(0, count);
    this->input.erase(0, count);
    if (this->input.empty()) {
        // An idle connection keeps no buffer.
        std::string().swap(this->input);
    }
    return result;
}

bool CallerConnection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = ::send(this->descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && errno != EINTR) {
            return false;
        }
        bytes.remove_prefix(static_cast<size_t>(std::max<ssize_t>(count, 0)));
    }
    return true;
}

void CallerConnection::drain(const Clock &clock, Time end)
{
    ::shutdown(this->descriptor(), SHUT_WR);
    while (this->receive(clock, end) == ReceiveStatus::Data && clock.now() < end) {
        this->input.clear();
    }
}

void CallerConnection::shutDown()
{
    ::shutdown(this->descriptor(), SHUT_RDWR);
}

} // namespace pimentosail
