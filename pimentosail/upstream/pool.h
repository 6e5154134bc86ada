// Idle connections to targets, kept for reuse.
//
//     std::unique_ptr<TargetConnection> connection = pool.take(address, MaxIdleForUnsafe);
//     if (!connection) { connect }
//     pool.put(address, std::move(connection));
//
// A connection is handed out only if nothing is pending on it and it has not been idle for longer than allowed: a
// target that closes an idle connection may do so while a request is on its way. Thread-safe.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "pimentosail/upstream/connection.h"

namespace pimentosail
{

class ConnectionPool
{
public:
    explicit ConnectionPool(const Clock &runtimeClock)
        : clock(runtimeClock)
    {
    }

    // Returns the connection used last that has been idle for at most `maxIdle`, or nothing.
    std::unique_ptr<TargetConnection> take(const std::string &address, Duration maxIdle);

    // Keeps `connection` if it is reusable; closes it otherwise.
    void put(const std::string &address, std::unique_ptr<TargetConnection> connection);

    // Closes the idle connections to `address`.
    void drop(const std::string &address);

    // Closes connections that have been idle for too long. Called about once a second.
    void closeExpired();

    // Returns the number of idle connections.
    size_t size() const;

private:
    const Clock &clock;
    mutable std::mutex mutex;
    std::map<std::string, std::deque<std::unique_ptr<TargetConnection>>> idle;
};

} // namespace pimentosail
