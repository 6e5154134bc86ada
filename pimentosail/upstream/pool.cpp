#include "pimentosail/upstream/pool.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

// Idle connections kept per target; small, because all hosts share a target's connection limit.
constexpr size_t MaxIdlePerTarget = 24;
// How long a connection stays usable if the target states no idle timeout.
constexpr Duration DefaultIdleLimit = std::chrono::seconds(4);
// Subtracted from the idle timeout that the target states: the target may count in whole seconds, and a request needs
// time to reach it.
constexpr Duration IdleMargin = Milliseconds(1000);

// Returns how long `connection` may be idle and still be used.
Duration maxUsableIdle(const HttpConnection &connection)
{
    return connection.targetIdleTimeout > Duration(0) ? std::max(Duration(0), connection.targetIdleTimeout - IdleMargin) : DefaultIdleLimit;
}

} // namespace

std::unique_ptr<HttpConnection> ConnectionPool::take(const std::string &address, const std::string &requestId, Duration maxIdle)
{
    std::unique_ptr<HttpConnection> result;
    std::deque<std::unique_ptr<HttpConnection>> rejected;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->idle.find(address);
        if (found == this->idle.end()) {
            return nullptr;
        }
        std::deque<std::unique_ptr<HttpConnection>> &connections = found->second;
        const Time now = this->clock.now();
        size_t passedOver = connections.size();
        for (size_t position = connections.size(); position > 0 && !result; --position) {
            const auto entry = connections.begin() + static_cast<std::ptrdiff_t>(position - 1);
            HttpConnection &connection = **entry;
            const Duration idleFor = now - connection.lastUsed;
            if (idleFor > maxUsableIdle(connection) || !connection.hasNoPendingInput()) {
                rejected.push_back(std::move(*entry));
                connections.erase(entry);
                continue;
            }
            if (idleFor > maxIdle) {
                // The other connections have been idle for longer, but can still serve requests that may be repeated.
                break;
            }
            if (connection.hasCarried(requestId)) {
                passedOver = position - 1;
                continue;
            }
            result = std::move(*entry);
            connections.erase(entry);
        }
        if (!result && passedOver < connections.size()) {
            // The caller opens a connection in place of this one, so that repeated ids do not fill the pool.
            this->repeatedIdCount.fetch_add(1);
            rejected.push_back(std::move(connections[passedOver]));
            connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(passedOver));
        }
    }
    return result;
}

void ConnectionPool::putUnused(const std::string &address, std::unique_ptr<HttpConnection> connection)
{
    this->keep(address, std::move(connection));
}

void ConnectionPool::put(const std::string &address, std::unique_ptr<HttpConnection> connection)
{
    connection->lastUsed = this->clock.now();
    this->keep(address, std::move(connection));
}

void ConnectionPool::keep(const std::string &address, std::unique_ptr<HttpConnection> connection)
{
    if (!connection->isReusable()) {
        return;
    }
    const std::lock_guard lock(this->mutex);
    std::deque<std::unique_ptr<HttpConnection>> &connections = this->idle[address];
    if (connections.size() < MaxIdlePerTarget) {
        const auto later
            = std::find_if(connections.begin(), connections.end(), [&connection](const auto &other) { return other->lastUsed > connection->lastUsed; });
        connections.insert(later, std::move(connection));
    }
}

void ConnectionPool::closeIdle(const std::string &address)
{
    const std::lock_guard lock(this->mutex);
    this->idle.erase(address);
}

void ConnectionPool::closeExpired()
{
    const Time now = this->clock.now();
    const std::lock_guard lock(this->mutex);
    for (auto entry = this->idle.begin(); entry != this->idle.end();) {
        std::erase_if(entry->second,
            [now](const auto &connection) { return now - connection->lastUsed > maxUsableIdle(*connection) || !connection->hasNoPendingInput(); });
        entry = entry->second.empty() ? this->idle.erase(entry) : std::next(entry);
    }
}

size_t ConnectionPool::size() const
{
    const std::lock_guard lock(this->mutex);
    size_t total = 0;
    for (const auto &[address, connections] : this->idle) {
        total += connections.size();
    }
    return total;
}

} // namespace pimentosail
