// A listening socket and its connections, of which only those with a request under way have a thread.
//
// One epoll instance holds the listening socket and all connections that wait for a request. Threads of a pool wait for its events. A thread that is
// woken by a connection reads what has arrived; if that is a complete request, it serves the request by itself and lets another thread wait in its
// place. So an idle connection, or one whose request comes slowly, costs its socket and some hundred bytes.
//
//     ConnectionServer server(listener, {.connections = 3500, .threads = 300}, isComplete, serve);
//     server.start();
//     server.stop();
//
// At most `threads` requests are served at once. One thread more reads the others, which are refused at once. Where there would be more
// connections than allowed, the one that has been idle for longest is closed; before that, `isCrowded` asks for connections to be closed with
// their answers, which is how a caller can tell that nothing was lost. `isComplete` and `serve` are called by several threads.
//
// Sizes are in bytes. Thread-safe.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string_view>
#include <unordered_map>

#include <Poco/Net/ServerSocket.h>
#include <Poco/RunnableAdapter.h>
#include <Poco/ThreadPool.h>

#include "pimentosail/base/clock.h"
#include "pimentosail/base/interrupt.h"
#include "pimentosail/net/callerconnection.h"

namespace pimentosail
{

struct ConnectionLimits
{
    int64_t connections = 0;
    // Requests that are served at once.
    int64_t threads = 0;
    // What all connections together may hold of requests that have not arrived completely.
    int64_t partialBytes = 4 * 1024 * 1024;
};

enum class ServeMode {
    Serve,
    // All threads are busy: the request has to be refused without a wait.
    Refuse,
};

class ConnectionServer
{
public:
    // Returns true if these bytes contain a request that can be served, or can't become one.
    using IsComplete = std::function<bool(std::string_view received)>;
    // Serves one request. Returns true if the connection stays open.
    using Serve = std::function<bool(CallerConnection &connection, ServeMode mode)>;

    // Throws `Poco::Exception` or `Failure` (Internal) if no epoll instance can be created.
    ConnectionServer(Poco::Net::ServerSocket listeningSocket, const ConnectionLimits &serverLimits, IsComplete isCompleteRequest, Serve serveRequest);
    ~ConnectionServer();
    ConnectionServer(const ConnectionServer &) = delete;
    ConnectionServer &operator=(const ConnectionServer &) = delete;

    void start();

    // Closes the listening socket. Open connections continue.
    void stopAccepting();

    // Closes idle connections and shuts down those whose requests are being served.
    void stop();

    // Returns the number of requests that are being served.
    long running() const
    {
        return this->busy.load();
    }

    int64_t openConnections() const;

    // Returns true if so many connections are open that they should be closed after their answers.
    bool isCrowded() const;

private:
    enum class State {
        // Waits for the first byte of a request.
        Idle,
        // A part of a request has arrived.
        Partial,
        Served,
    };
    struct Connection
    {
        Connection(uint64_t connectionId, int descriptor)
            : id(connectionId)
            , socket(descriptor)
        {
        }

        const uint64_t id;
        CallerConnection socket;
        State state = State::Idle;
        // When the connection began to wait, or the first byte of a partial request came.
        Time since{};
        // Bytes that count as partial.
        int64_t partialBytes = 0;
        std::list<Connection *>::iterator place;
    };
    using Places = std::list<Connection *>;

    void work();
    void handle(uint64_t id);
    void acceptAll();
    // Adds a connection. Returns false if there is no room for it.
    bool add(int descriptor);
    // Takes a connection that waits; null if it has been closed.
    Connection *take(uint64_t id);
    void giveBack(Connection &connection);
    void close(Connection &connection);
    // Returns how a request is to be served that has arrived, and lets another thread wait.
    ServeMode beginRequest();
    void endRequest(Connection &connection);
    // The following are called with `mutex` locked.
    bool closeLongestIdle();
    Places &placesOf(State state);
    void enter(Connection &connection, State state);
    void leave(Connection &connection);
    void arm(int operation, int descriptor, uint64_t id) const;
    void startThreadIfNoneWaits();
    void closeExpired(Time now);

    const ConnectionLimits limits;
    const IsComplete isComplete;
    const Serve serve;
    Clock clock;
    Poco::Net::ServerSocket listener;
    int poller = -1;
    Interrupt stopping;
    mutable std::mutex mutex;
    std::unordered_map<uint64_t, std::unique_ptr<Connection>> connections;
    // Connections by the time at which their state began, the longest first.
    Places idle;
    Places partial;
    uint64_t lastId = 0;
    int64_t partialBytes = 0;
    int64_t threads = 0;
    int64_t waiting = 0;
    Time sweptAt{};
    bool isAccepting = true;
    std::atomic<long> busy{0};
    Poco::RunnableAdapter<ConnectionServer> worker;
    Poco::ThreadPool pool;
};

} // namespace pimentosail
