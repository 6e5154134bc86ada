// Idle connections to targets, kept for reuse.
//
//     std::unique_ptr<HttpConnection> connection = pool.take(address, MaxIdleForUnsafe);
//     if (!connection) { ... HttpConnection::connect ... }
//     pool.put(address, std::move(connection));
//
// `take` returns a connection only if no input is pending on it and it has not been idle for longer than allowed,
// because a target may close an idle connection while a request is on its way to it. Thread-safe.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "pimentosail/net/httpconnection.h"

namespace pimentosail
{

class ConnectionPool
{
public:
    explicit ConnectionPool(const Clock &runtimeClock)
        : clock(runtimeClock)
    {
    }

    // Returns the connection to `address` that was used last, or nullptr if there is none or it has been idle for
    // longer than `maxIdle`.
    std::unique_ptr<HttpConnection> take(const std::string &address, Duration maxIdle);

    // Keeps `connection` if it is reusable; closes it otherwise.
    void put(const std::string &address, std::unique_ptr<HttpConnection> connection);

    // Closes the idle connections to `address`.
    void closeIdle(const std::string &address);

    // Closes connections that have been idle for too long or were closed by their target. Called about once a second.
    void closeExpired();

    // Returns the number of idle connections.
    size_t size() const;

private:
    const Clock &clock;
    mutable std::mutex mutex;
    // Idle connections by address, the one used last at the back.
    std::map<std::string, std::deque<std::unique_ptr<HttpConnection>>> idle;
};

} // namespace pimentosail
