// Idle connections to targets, kept for reuse.
//
//     std::unique_ptr<HttpConnection> connection = pool.take(address, requestId, MaxIdleForUnsafe);
//     if (!connection) { ... HttpConnection::connect ... }
//     pool.put(address, std::move(connection));
//
// `take` returns a connection only if no input is pending on it, it has not been idle for longer than allowed, because a
// target may close an idle connection while a request is on its way to it, and it has not carried the request's id.
// Thread-safe.
#pragma once

#include <atomic>
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

    // Returns the connection to `address` that was used last among those that have not carried a request with the id `requestId`, or
    // nullptr if there is none or it has been idle for longer than `maxIdle`. A request without an id gets none. If all have carried the id,
    // one of them is closed.
    std::unique_ptr<HttpConnection> take(const std::string &address, const std::string &requestId, Duration maxIdle);

    // Keeps `connection` if it is reusable; closes it otherwise.
    void put(const std::string &address, std::unique_ptr<HttpConnection> connection);

    // The same for a connection on which nothing was sent since it was taken: it has been idle since its last use.
    void putUnused(const std::string &address, std::unique_ptr<HttpConnection> connection);

    // Closes the idle connections to `address`.
    void closeIdle(const std::string &address);

    // Closes connections that have been idle for too long or were closed by their target. Called about once a second.
    void closeExpired();

    // Returns the number of idle connections.
    size_t size() const;

    // Returns how often all connections to an address had carried the id of a request, or the request had none.
    int64_t repeatedIds() const
    {
        return this->repeatedIdCount.load();
    }

private:
    void keep(const std::string &address, std::unique_ptr<HttpConnection> connection);

    const Clock &clock;
    mutable std::mutex mutex;
    // Idle connections by address, the one used last at the back.
    std::map<std::string, std::deque<std::unique_ptr<HttpConnection>>> idle;
    std::atomic<int64_t> repeatedIdCount{0};
};

} // namespace pimentosail
