#include "pimentosail/base/socketstate.h"

#include <cerrno>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace pimentosail
{

bool isPeerClosed(int descriptor)
{
    if (descriptor < 0) {
        return false;
    }
    pollfd entry{descriptor, POLLRDHUP, 0};
    if (::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
        return true;
    }
    char byte = 0;
    const ssize_t count = ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

Duration timeSinceReceived(int descriptor)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (descriptor < 0 || ::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return Duration(0);
    }
    return Milliseconds(info.tcpi_last_data_recv);
}

bool hasUnsentBytes(int descriptor)
{
    int bytes = 0;
    return descriptor >= 0 && ::ioctl(descriptor, SIOCOUTQNSD, &bytes) == 0 && bytes > 0;
}

} // namespace pimentosail
