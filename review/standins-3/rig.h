// Stand-ins for the scripts of this review: the platform's key-value store, workers, callers, and entry hosts as processes of
// their own. Everything listens on loopback addresses, and uses the real clock.
//
//     Record record("record.txt");
//     StoreStandIn store("127.0.0.2", 0);
//     WorkerStandIn worker("127.0.0.50", 0, "i-1", record);
//     store.put("op/config", configuration);
//     store.put("servers/i-1", worker.registration("desk", "z1"));
//     HostProcess host({.name = "front-1", .ip = "127.0.0.11", .storeAddress = store.address()}, folder);
//     host.start();
//     host.awaitReady();
//
// Servers answer each connection on a thread of its own; the threads end with the program.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <json/value.h>
#include <sys/types.h>

namespace rig
{

using Milliseconds = std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

inline SteadyTime now()
{
    return std::chrono::steady_clock::now();
}

void sleepFor(Milliseconds time);

// Writes what was sent, answered and run, with the time since the start. Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path);
    void write(const std::string &line);

private:
    std::mutex mutex;
    std::ofstream file;
    const SteadyTime start = now();
};

// One connection. Closes it at the end.
class Connection
{
public:
    explicit Connection(int connectedSocket)
        : socket(connectedSocket)
    {
    }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    // Connects to `address` (IP:PORT); -1 on failure.
    static int connect(const std::string &address, Milliseconds timeout);
    // Begins to connect without waiting.
    static int beginConnect(const std::string &address);

    bool send(const std::string &bytes);
    // Reads more bytes into `buffer`. Returns false at the end of the connection, on an error and after `timeout`.
    bool fill(Milliseconds timeout);
    void reset();

    std::string buffer;

private:
    int socket;
};

// A request or an answer.
struct Message
{
    std::string startLine;
    // Names in lower case.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    // Why the message is malformed; empty if it is not.
    std::string fault;

    std::vector<std::string> all(const std::string &name) const;
    // Returns the only value of a header, an empty text if there is none, and the values joined by " | " if there are several.
    std::string value(const std::string &name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

// Reads a message whose body has a length or chunks, as strictly as RFC 9112 demands of a server. Returns nothing if the
// connection ends before.
std::optional<Message> readMessage(Connection &connection, Milliseconds timeout);

// Listens on `ip` and serves each connection on a thread. Port 0 takes a free one.
class Listener
{
public:
    Listener(const std::string &ip, int port, std::function<void(Connection &)> connectionHandler);
    const std::string &address() const
    {
        return this->listenAddress;
    }

private:
    std::function<void(Connection &)> handler;
    std::string listenAddress;
};

// The platform's key-value store.
class StoreStandIn
{
public:
    StoreStandIn(const std::string &ip, int port);

    const std::string &address() const
    {
        return this->listener.address();
    }
    void put(const std::string &key, const Json::Value &value);
    void remove(const std::string &key);

private:
    struct Item
    {
        std::string value;
        int64_t revision = 0;
        int64_t created = 0;
        int64_t lease = 0;
    };
    struct Lease
    {
        SteadyTime end;
        int64_t ttl = 0;
    };

    void serve(Connection &connection);
    std::pair<int, Json::Value> answer(const Message &request);
    std::pair<int, Json::Value> watch(const std::map<std::string, std::string> &query);
    std::pair<int, Json::Value> transact(const Json::Value &body);
    void putLocked(const std::string &key, const std::string &encoded, int64_t lease);
    void removeLocked(const std::string &key);
    void expireLeases();
    static Json::Value encode(const std::string &key, const Item &item);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::map<int64_t, Lease> leases;
    std::vector<Json::Value> history;
    int64_t revision = 10;
    int64_t lastLease = 100;
    Listener listener;
};

// A request that a worker ran.
struct Run
{
    std::string id;
    std::string tenants;
    std::string method;
    std::string target;
    std::string body;
};

// A worker that reads requests strictly, answers 400 to malformed ones without running them, and records those that it runs. It answers
// prompts with an event stream.
class WorkerStandIn
{
public:
    WorkerStandIn(const std::string &ip, int port, std::string workerId, Record &runRecord);

    // Counts the runs only.
    void setQuiet()
    {
        this->isQuiet.store(true);
    }
    int64_t runCount() const
    {
        return this->count.load();
    }

    const std::string &address() const
    {
        return this->listener.address();
    }
    Json::Value registration(const std::string &service, const std::string &zone) const;
    std::vector<Run> runs() const;

private:
    void serve(Connection &connection);

    const std::string id;
    Record &record;
    mutable std::mutex mutex;
    std::vector<Run> recordedRuns;
    std::atomic<bool> isQuiet{false};
    std::atomic<int64_t> count{0};
    Listener listener;
};

struct HostPlan
{
    std::string name;
    std::string ip;
    std::string storeAddress;
    std::string zone = "z1";
    // Addresses of the hosts' `Control` ports.
    std::vector<std::string> seeds = {};
    int memoryMegabytes = 260;
};

// An entry host, started by the command of the deploy file in the repository's root.
class HostProcess
{
public:
    HostProcess(HostPlan hostPlan, std::string workFolder);
    ~HostProcess();
    HostProcess(const HostProcess &) = delete;
    HostProcess &operator=(const HostProcess &) = delete;

    void start();
    bool awaitReady(Milliseconds timeout) const;
    void signal(int number) const;
    // Kills the process and waits for its end.
    void kill();
    // Returns true if the process has ended; does not wait.
    bool hasEnded();
    // Returns the resident memory of the process in bytes, and its threads.
    std::pair<int64_t, int64_t> memoryAndThreads() const;

    std::string callerAddress() const;
    std::string controlAddress() const;
    static void choosePorts();

private:
    HostPlan plan;
    std::string folder;
    pid_t process = 0;
};

// Sends `parts` on a new connection, `pause` apart, and returns the first `count` answers, or fewer if the connection is silent for `silence`.
std::vector<Message> call(const std::string &address, const std::vector<std::string> &parts, size_t count, Milliseconds silence, Milliseconds pause = {});

// Returns false if the variable TROUBLE is 0.
bool hasTrouble();

} // namespace rig
