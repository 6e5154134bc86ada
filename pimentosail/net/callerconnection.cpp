#include "pimentosail/net/callerconnection.h"

#include <algorithm>
#include <array>
#include <cerrno>

#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>

namespace pimentosail
{

namespace
{

// How long a write waits for a caller that reads nothing.
constexpr timeval SendTimeout{10, 0};

} // namespace

CallerConnection::CallerConnection(Poco::Net::StreamSocket connectedSocket)
    : socket(std::move(connectedSocket))
{
    ::setsockopt(this->descriptor(), SOL_SOCKET, SO_SNDTIMEO, &SendTimeout, sizeof(SendTimeout));
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
