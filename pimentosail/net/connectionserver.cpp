#include "pimentosail/net/connectionserver.h"

#include <array>
#include <cerrno>
#include <utility>

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <Poco/Exception.h>

#include "pimentosail/base/error.h"
#include "pimentosail/base/statelog.h"

namespace pimentosail
{

namespace
{

// Ids of what is no connection.
constexpr uint64_t ListenerId = 0;
constexpr uint64_t StopId = 1;
constexpr uint64_t FirstConnectionId = 2;
// Time in which the head of a request must arrive after its first byte.
constexpr Duration HeadTimeout = std::chrono::seconds(10);
// How long an idle connection stays open.
constexpr Duration KeepAliveTime = std::chrono::seconds(30);
constexpr Duration SweepInterval = std::chrono::seconds(1);
constexpr int WaitMilliseconds = 1000;
// More threads do not wait for events; they end after a wait without one.
constexpr int64_t MaxWaitingThreads = 3;
constexpr int PooledThreadIdleSeconds = 5;
// Connections that are accepted before other events are handled.
constexpr int MaxAccepted = 64;
// From this part of the allowed connections on, answers ask for their connections to be closed.
constexpr double CrowdedFraction = 0.875;

} // namespace

ConnectionServer::ConnectionServer(
    Poco::Net::ServerSocket listeningSocket, const ConnectionLimits &serverLimits, IsComplete isCompleteRequest, Serve serveRequest)
    : limits(serverLimits)
    , isComplete(std::move(isCompleteRequest))
    , serve(std::move(serveRequest))
    , listener(std::move(listeningSocket))
    , poller(::epoll_create1(EPOLL_CLOEXEC))
    , lastId(FirstConnectionId)
    , worker(*this, &ConnectionServer::work)
    , pool(1, static_cast<int>(serverLimits.threads) + 2, PooledThreadIdleSeconds)
{
    if (this->poller < 0) {
        throw Failure(ErrorKind::Internal, "no epoll instance can be created");
    }
    this->listener.setBlocking(false);
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = StopId;
    ::epoll_ctl(this->poller, EPOLL_CTL_ADD, this->stopping.descriptor(), &event);
}

ConnectionServer::~ConnectionServer()
{
    this->stop();
    this->pool.joinAll();
    ::close(this->poller);
}

void ConnectionServer::start()
{
    const std::lock_guard lock(this->mutex);
    this->arm(EPOLL_CTL_ADD, this->listener.impl()->sockfd(), ListenerId);
    this->startThreadIfNoneWaits();
}

void ConnectionServer::stopAccepting()
{
    const std::lock_guard lock(this->mutex);
    if (std::exchange(this->isAccepting, false)) {
        this->listener.close();
    }
}

void ConnectionServer::stop()
{
    this->stopAccepting();
    this->stopping.set();
    const std::lock_guard lock(this->mutex);
    for (const auto &[id, connection] : this->connections) {
        connection->socket.shutDown();
    }
}

int64_t ConnectionServer::openConnections() const
{
    const std::lock_guard lock(this->mutex);
    return static_cast<int64_t>(this->connections.size());
}

bool ConnectionServer::isCrowded() const
{
    return static_cast<double>(this->openConnections()) > CrowdedFraction * static_cast<double>(this->limits.connections);
}

// Events are delivered to one thread, once.
void ConnectionServer::arm(int operation, int descriptor, uint64_t id) const
{
    epoll_event event{};
    event.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
    event.data.u64 = id;
    ::epoll_ctl(this->poller, operation, descriptor, &event);
}

void ConnectionServer::startThreadIfNoneWaits()
{
    if (this->waiting > 0 || this->threads > this->limits.threads || this->stopping.isSet()) {
        return;
    }
    try {
        this->pool.start(this->worker);
        ++this->threads;
        ++this->waiting;
    } catch (const Poco::Exception &exception) {
        logStateChange("thread_not_started", {{"reason", exception.displayText()}});
    }
}

void ConnectionServer::work()
{
    // The thread has been counted as waiting since it was started.
    while (true) {
        epoll_event event{};
        const int count = ::epoll_wait(this->poller, &event, 1, WaitMilliseconds);
        {
            const std::lock_guard lock(this->mutex);
            --this->waiting;
            this->closeExpired(this->clock.now());
            if (this->stopping.isSet() || (count <= 0 && this->waiting >= MaxWaitingThreads)) {
                --this->threads;
                return;
            }
        }
        if (count > 0 && event.data.u64 == ListenerId) {
            this->acceptAll();
        } else if (count > 0 && event.data.u64 >= FirstConnectionId) {
            this->handle(event.data.u64);
        }
        const std::lock_guard lock(this->mutex);
        ++this->waiting;
    }
}

void ConnectionServer::acceptAll()
{
    for (int accepted = 0; accepted < MaxAccepted; ++accepted) {
        int descriptor = -1;
        {
            const std::lock_guard lock(this->mutex);
            if (!this->isAccepting) {
                return;
            }
            descriptor = ::accept4(this->listener.impl()->sockfd(), nullptr, nullptr, SOCK_CLOEXEC);
            const bool hasNoDescriptor = descriptor < 0 && (errno == EMFILE || errno == ENFILE);
            if (hasNoDescriptor && this->closeLongestIdle()) {
                continue;
            }
        }
        if (descriptor < 0) {
            break;
        }
        if (!this->add(descriptor)) {
            ::close(descriptor);
        }
    }
    const std::lock_guard lock(this->mutex);
    if (this->isAccepting) {
        this->arm(EPOLL_CTL_MOD, this->listener.impl()->sockfd(), ListenerId);
    }
}

bool ConnectionServer::add(int descriptor)
{
    const std::lock_guard lock(this->mutex);
    if (static_cast<int64_t>(this->connections.size()) >= this->limits.connections && !this->closeLongestIdle()) {
        return false;
    }
    const uint64_t id = ++this->lastId;
    Connection &connection = *this->connections.emplace(id, std::make_unique<Connection>(id, descriptor)).first->second;
    this->enter(connection, State::Idle);
    this->arm(EPOLL_CTL_ADD, descriptor, id);
    return true;
}

bool ConnectionServer::closeLongestIdle()
{
    for (Connection *connection : this->idle) {
        // A request that has arrived is read.
        if (!connection->socket.hasInput()) {
            this->leave(*connection);
            this->connections.erase(connection->id);
            return true;
        }
    }
    return false;
}

ConnectionServer::Places &ConnectionServer::placesOf(State state)
{
    return state == State::Idle ? this->idle : this->partial;
}

void ConnectionServer::enter(Connection &connection, State state)
{
    // A request that comes in parts has its time from its first byte on.
    const bool isContinued = state == State::Partial && connection.partialBytes > 0;
    connection.since = isContinued ? connection.since : this->clock.now();
    this->partialBytes -= connection.partialBytes;
    connection.partialBytes = state == State::Partial ? static_cast<int64_t>(connection.socket.received().size()) : 0;
    this->partialBytes += connection.partialBytes;
    connection.state = state;
    if (state != State::Served) {
        Places &places = this->placesOf(state);
        connection.place = places.insert(places.end(), &connection);
    }
}

void ConnectionServer::leave(Connection &connection)
{
    if (connection.state != State::Served) {
        this->placesOf(connection.state).erase(connection.place);
    }
}

ConnectionServer::Connection *ConnectionServer::take(uint64_t id)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->connections.find(id);
    if (found == this->connections.end() || found->second->state == State::Served) {
        return nullptr;
    }
    Connection &connection = *found->second;
    this->leave(connection);
    connection.state = State::Served;
    return &connection;
}

void ConnectionServer::giveBack(Connection &connection)
{
    const std::lock_guard lock(this->mutex);
    this->enter(connection, connection.socket.received().empty() ? State::Idle : State::Partial);
    if (this->partialBytes > this->limits.partialBytes || this->stopping.isSet()) {
        this->leave(connection);
        this->partialBytes -= connection.partialBytes;
        this->connections.erase(connection.id);
        return;
    }
    this->arm(EPOLL_CTL_MOD, connection.socket.descriptor(), connection.id);
}

void ConnectionServer::close(Connection &connection)
{
    const std::lock_guard lock(this->mutex);
    this->partialBytes -= connection.partialBytes;
    this->connections.erase(connection.id);
}

void ConnectionServer::closeExpired(Time now)
{
    if (now < this->sweptAt + SweepInterval) {
        return;
    }
    this->sweptAt = now;
    for (const auto &[state, life] : {std::pair(State::Idle, KeepAliveTime), std::pair(State::Partial, HeadTimeout)}) {
        // Heads that come slowly are not ordered by their first byte.
        Places &places = this->placesOf(state);
        for (auto place = places.begin(); place != places.end();) {
            Connection &connection = **place++;
            if (connection.since + life < now && !connection.socket.hasInput()) {
                this->leave(connection);
                this->partialBytes -= connection.partialBytes;
                this->connections.erase(connection.id);
            } else if (state == State::Idle) {
                break;
            }
        }
    }
}

ServeMode ConnectionServer::beginRequest()
{
    const std::lock_guard lock(this->mutex);
    if (this->busy.load() >= this->limits.threads) {
        return ServeMode::Refuse;
    }
    this->busy.fetch_add(1);
    this->startThreadIfNoneWaits();
    return ServeMode::Serve;
}

void ConnectionServer::endRequest(Connection &connection)
{
    const std::lock_guard lock(this->mutex);
    this->busy.fetch_sub(1);
    this->partialBytes -= std::exchange(connection.partialBytes, 0);
}

void ConnectionServer::handle(uint64_t id)
{
    Connection *connection = this->take(id);
    if (connection == nullptr) {
        return;
    }
    CallerConnection &socket = connection->socket;
    ReceiveStatus status = ReceiveStatus::Data;
    while (status == ReceiveStatus::Data && !this->isComplete(socket.received())) {
        status = socket.receive(this->clock, Time(0));
    }
    bool isOpen = status != ReceiveStatus::Closed;
    while (isOpen && this->isComplete(socket.received())) {
        const ServeMode mode = this->beginRequest();
        isOpen = this->serve(socket, mode) && mode == ServeMode::Serve;
        if (mode == ServeMode::Serve) {
            this->endRequest(*connection);
        }
    }
    if (isOpen) {
        this->giveBack(*connection);
    } else {
        this->close(*connection);
    }
}

} // namespace pimentosail
