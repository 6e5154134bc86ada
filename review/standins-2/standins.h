// Stand-ins for the scripts of this review: an HTTP server and client on plain sockets, the platform's key-value store, and the processes of
// the system. They need the C++ library and jsoncpp only.
//
// All stand-ins are sound: they follow PROTOCOL.md, and where it is silent they do the simplest correct thing. Everything listens on loopback
// addresses of its own (127.x.y.z), at ports that were free when the script began.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <json/json.h>

namespace standins
{

inline double now()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepFor(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

inline void sleepUntil(double time)
{
    sleepFor(time - now());
}

// record.txt: what was sent, answered and run.
class Record
{
public:
    static Record &get()
    {
        static Record record;
        return record;
    }

    void open(const std::string &path)
    {
        this->file = std::fopen(path.c_str(), "w");
    }

    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        const std::lock_guard lock(this->mutex);
        if (this->file == nullptr) {
            return;
        }
        std::fprintf(this->file, "%8.3f  ", now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(this->file, format, arguments);
        va_end(arguments);
        std::fputc('\n', this->file);
        std::fflush(this->file);
    }

private:
    std::mutex mutex;
    std::FILE *file = nullptr;
};

// One HTTP message. `start` holds the three parts of its first line.
struct Message
{
    std::string start[3];
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[known, value] : this->headers) {
            if (strcasecmp(known.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    const std::string &method() const
    {
        return this->start[0];
    }
    std::string path() const
    {
        return this->start[1].substr(0, this->start[1].find('?'));
    }
    int status() const
    {
        return std::atoi(this->start[1].c_str());
    }

    std::string query(const std::string &name) const
    {
        const size_t mark = this->start[1].find('?');
        std::istringstream pairs(mark == std::string::npos ? "" : this->start[1].substr(mark + 1));
        std::string pair;
        while (std::getline(pairs, pair, '&')) {
            const size_t equals = pair.find('=');
            if (pair.substr(0, equals) != name || equals == std::string::npos) {
                continue;
            }
            std::string result;
            for (size_t index = equals + 1; index < pair.size(); ++index) {
                if (pair[index] == '%' && index + 2 < pair.size()) {
                    result += static_cast<char>(std::stoi(pair.substr(index + 1, 2), nullptr, 16));
                    index += 2;
                } else {
                    result += pair[index];
                }
            }
            return result;
        }
        return {};
    }
};

// A connected socket with the bytes that were read ahead.
class Connection
{
public:
    explicit Connection(int descriptor)
        : fd(descriptor)
    {
        const int on = 1;
        ::setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Connection()
    {
        ::close(this->fd);
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::unique_ptr<Connection> open(const std::string &ip, int port, int receiveBuffer = 0)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receiveBuffer > 0) {
            ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<Connection>(fd);
    }

    bool send(const std::string &bytes) const
    {
        size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(this->fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0 && errno != EINTR) {
                return false;
            }
            sent += count > 0 ? static_cast<size_t>(count) : 0;
        }
        return true;
    }

    // Reads some bytes into `buffer`. Returns false at the end, on a reset and at time `end`.
    bool receive(double end)
    {
        pollfd entry{this->fd, POLLIN, 0};
        const double left = end - now();
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left * 1000) + 1) <= 0) {
            this->failure = "timeout";
            return false;
        }
        char block[16384];
        const ssize_t count = ::recv(this->fd, block, sizeof(block), 0);
        if (count > 0) {
            this->buffer.append(block, static_cast<size_t>(count));
            return true;
        }
        this->failure = count == 0 ? "closed" : "reset";
        return false;
    }

    bool isPeerClosed() const
    {
        pollfd entry{this->fd, POLLRDHUP, 0};
        return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    // Closes with a reset when destroyed.
    void resetOnClose() const
    {
        const linger option{1, 0};
        ::setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    }

    bool readHead(Message &message, double end)
    {
        size_t length = std::string::npos;
        while ((length = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->receive(end)) {
                return false;
            }
        }
        std::istringstream head(this->buffer.substr(0, length));
        this->buffer.erase(0, length + 4);
        std::string line;
        std::getline(head, line);
        std::istringstream first(line);
        first >> message.start[0] >> message.start[1] >> message.start[2];
        while (std::getline(head, line)) {
            line.erase(line.find_last_not_of("\r") + 1);
            const size_t colon = line.find(':');
            const size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        }
        return true;
    }

    // Reads a body that has a length or comes in chunks. Returns false if it ends early.
    bool readBody(Message &message, double end)
    {
        if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") != 0) {
            const size_t length = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
            while (this->buffer.size() < length) {
                if (!this->receive(end)) {
                    message.body = this->buffer;
                    return false;
                }
            }
            message.body = this->buffer.substr(0, length);
            this->buffer.erase(0, length);
            return true;
        }
        while (true) {
            size_t lineEnd = std::string::npos;
            while ((lineEnd = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->receive(end)) {
                    return false;
                }
            }
            const size_t size = std::strtoul(this->buffer.c_str(), nullptr, 16);
            while (this->buffer.size() < lineEnd + 2 + size + 2) {
                if (!this->receive(end)) {
                    return false;
                }
            }
            message.body += this->buffer.substr(lineEnd + 2, size);
            this->buffer.erase(0, lineEnd + 2 + size + 2);
            this->lastChunkAt = now();
            if (size == 0) {
                return true;
            }
        }
    }

    const int fd;
    std::string buffer;
    // Why the last read failed.
    std::string failure;
    double lastChunkAt = 0;
};

// A server with one thread for each connection. The handler answers one request, and returns false to close the connection.
class Server
{
public:
    using Handler = std::function<bool(const Message &request, Connection &connection)>;

    Server(std::string serverIp, int serverPort, Handler requestHandler)
        : ip(std::move(serverIp))
        , port(serverPort)
        , handler(std::move(requestHandler))
    {
        this->start();
    }
    ~Server()
    {
        this->stop();
    }

    std::string address() const
    {
        return this->ip + ":" + std::to_string(this->port);
    }

    void start()
    {
        this->stopping = false;
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(this->port));
        ::inet_pton(AF_INET, this->ip.c_str(), &address.sin_addr);
        if (::bind(this->listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 || ::listen(this->listener, 256) != 0) {
            std::fprintf(stderr, "cannot listen at %s\n", this->address().c_str());
            std::exit(2);
        }
        this->acceptor = std::thread([this] { this->accept(); });
    }

    // Ends as a process that is killed: closes the listening socket and resets all connections.
    void stop()
    {
        if (this->stopping.exchange(true)) {
            return;
        }
        this->acceptor.join();
        ::close(this->listener);
        {
            const std::lock_guard lock(this->mutex);
            for (Connection *connection : this->connections) {
                connection->resetOnClose();
                ::shutdown(connection->fd, SHUT_RDWR);
            }
        }
        while (this->active.load() > 0) {
            sleepFor(0.001);
        }
    }

    std::atomic<bool> stopping{true};

private:
    void accept()
    {
        while (!this->stopping) {
            pollfd entry{this->listener, POLLIN, 0};
            if (::poll(&entry, 1, 20) <= 0) {
                continue;
            }
            const int fd = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0) {
                ++this->active;
                std::thread([this, fd] { this->serve(fd); }).detach();
            }
        }
    }

    void serve(int fd)
    {
        {
            Connection connection(fd);
            {
                const std::lock_guard lock(this->mutex);
                this->connections.insert(&connection);
            }
            while (!this->stopping) {
                Message request;
                if (!connection.readHead(request, now() + 15) || !connection.readBody(request, now() + 15) || !this->handler(request, connection)) {
                    break;
                }
            }
            if (this->stopping) {
                connection.resetOnClose();
            }
            const std::lock_guard lock(this->mutex);
            this->connections.erase(&connection);
        }
        --this->active;
    }

    const std::string ip;
    const int port;
    Handler handler;
    int listener = -1;
    std::thread acceptor;
    std::mutex mutex;
    std::set<Connection *> connections;
    std::atomic<int> active{0};
};

inline std::string answerText(int status, const std::vector<std::pair<std::string, std::string>> &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string jsonText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

inline Json::Value parseJson(const std::string &text)
{
    Json::Value value;
    std::istringstream stream(text);
    Json::CharReaderBuilder builder;
    std::string errors;
    Json::parseFromStream(builder, stream, &value, &errors);
    return value;
}

inline std::string encodeBase64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (size_t index = 0; index < bytes.size(); index += 3) {
        uint32_t group = 0;
        for (size_t offset = 0; offset < 3; ++offset) {
            group = (group << 8) | (index + offset < bytes.size() ? static_cast<unsigned char>(bytes[index + offset]) : 0);
        }
        for (int digit = 0; digit < 4; ++digit) {
            result += index + static_cast<size_t>(digit) > bytes.size() ? '=' : digits[(group >> (18 - 6 * digit)) & 63];
        }
    }
    return result;
}

// The platform's store. Values are kept as base64, as they come.
class KeyValueStore
{
public:
    KeyValueStore(const std::string &ip, int port)
        : server(ip, port, [this](const Message &request, Connection &connection) { return this->serve(request, connection); })
    {
    }

    std::string address() const
    {
        return this->server.address();
    }

    // Writes or removes a key for the operator or a worker.
    void put(const std::string &key, const Json::Value &value)
    {
        const std::lock_guard lock(this->mutex);
        this->write(key, encodeBase64(jsonText(value)), 0);
    }
    void remove(const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        this->erase(key);
    }

    // While the store is down it answers nothing ("silent") and its leases pause.
    void setDown(bool isDown)
    {
        const std::lock_guard lock(this->mutex);
        if (isDown == this->down) {
            return;
        }
        this->down = isDown;
        if (isDown) {
            this->downSince = now();
        } else {
            for (auto &[id, lease] : this->leases) {
                lease.end += now() - this->downSince;
            }
        }
    }

private:
    struct Item
    {
        std::string value;
        int64_t revision = 0;
        int64_t created = 0;
        int64_t lease = 0;
    };
    struct Event
    {
        std::string key;
        Item item;
        bool isRemoval = false;
    };
    struct Lease
    {
        double ttl = 0;
        double end = 0;
    };

    void write(const std::string &key, const std::string &value, int64_t lease)
    {
        Item &item = this->items[key];
        ++this->revision;
        item = {value, this->revision, item.created == 0 ? this->revision : item.created, lease};
        this->history.push_back({key, item, false});
        this->changed.notify_all();
    }

    void erase(const std::string &key)
    {
        if (this->items.erase(key) > 0) {
            ++this->revision;
            this->history.push_back({key, {"", this->revision, 0, 0}, true});
            this->changed.notify_all();
        }
    }

    void endLeases()
    {
        for (auto lease = this->leases.begin(); lease != this->leases.end();) {
            if (this->down || lease->second.end > now()) {
                ++lease;
                continue;
            }
            this->endLease(lease->first);
            lease = this->leases.erase(lease);
        }
    }

    void endLease(int64_t id)
    {
        std::vector<std::string> keys;
        for (const auto &[key, item] : this->items) {
            if (item.lease == id) {
                keys.push_back(key);
            }
        }
        for (const std::string &key : keys) {
            this->erase(key);
        }
    }

    static Json::Value encode(const std::string &key, const Item &item)
    {
        Json::Value value;
        value["Key"] = key;
        value["Value"] = item.value;
        value["Revision"] = Json::Int64(item.revision);
        value["Created"] = Json::Int64(item.created);
        value["Lease"] = Json::Int64(item.lease);
        return value;
    }

    std::pair<int, Json::Value> range(const Message &request)
    {
        Json::Value result;
        result["items"] = Json::Value(Json::arrayValue);
        const std::string prefix = request.query("PathPrefix");
        const std::string after = request.query("after");
        bool hasMore = false;
        for (const auto &[key, item] : this->items) {
            if (key.compare(0, prefix.size(), prefix) != 0 || key <= after) {
                continue;
            }
            hasMore = result["items"].size() >= 500;
            if (hasMore) {
                break;
            }
            result["items"].append(encode(key, item));
        }
        result["MorePages"] = hasMore;
        result["StoreRevision"] = Json::Int64(this->revision);
        return {200, result};
    }

    std::pair<int, Json::Value> watch(const Message &request, std::unique_lock<std::mutex> &lock)
    {
        const std::string prefix = request.query("PathPrefix");
        const int64_t after = std::atoll(request.query("after").c_str());
        const double end = now() + std::atof(request.query("WaitMs").c_str()) / 1000;
        Json::Value result;
        result["Events"] = Json::Value(Json::arrayValue);
        while (true) {
            this->endLeases();
            for (const Event &event : this->history) {
                if (event.item.revision <= after || event.key.compare(0, prefix.size(), prefix) != 0) {
                    continue;
                }
                Json::Value value = encode(event.key, event.item);
                if (event.isRemoval) {
                    value = Json::Value();
                    value["Key"] = event.key;
                    value["Revision"] = Json::Int64(event.item.revision);
                    value["Removed"] = true;
                }
                result["Events"].append(value);
            }
            if (!result["Events"].empty() || now() >= end || this->down) {
                result["StoreRevision"] = Json::Int64(this->revision);
                return {200, result};
            }
            this->changed.wait_for(lock, std::chrono::milliseconds(20));
        }
    }

    std::pair<int, Json::Value> transact(const Json::Value &body)
    {
        Json::Value result;
        bool holds = true;
        for (const Json::Value &row : body["Precondition"]) {
            const auto found = this->items.find(row["Key"].asString());
            const int64_t present = found == this->items.end() ? 0 : found->second.revision;
            holds = holds && present == row["Revision"].asInt64();
            if (found != this->items.end()) {
                result["items"].append(encode(found->first, found->second));
            }
        }
        if (!holds) {
            return {412, result};
        }
        for (const Json::Value &put : body["Puts"]) {
            if (put["Lease"].asInt64() != 0 && !this->leases.contains(put["Lease"].asInt64())) {
                return {404, Json::Value(Json::objectValue)};
            }
        }
        for (const Json::Value &put : body["Puts"]) {
            this->write(put["Key"].asString(), put["Value"].asString(), put["Lease"].asInt64());
        }
        for (const Json::Value &key : body["Remove"]) {
            this->erase(key.asString());
        }
        result["Revision"] = Json::Int64(this->revision);
        return {200, result};
    }

    std::pair<int, Json::Value> decide(const Message &request, std::unique_lock<std::mutex> &lock)
    {
        this->endLeases();
        const std::string path = request.path();
        const int64_t lastNumber = std::atoll(path.substr(path.rfind('/') + 1).c_str());
        Json::Value result(Json::objectValue);
        if (path == "/-/kv-range") {
            return this->range(request);
        }
        if (path == "/-/kv-watch") {
            return this->watch(request, lock);
        }
        if (path == "/-/kv-txn") {
            return this->transact(parseJson(request.body));
        }
        if (path == "/-/kv-lease") {
            const double ttl = parseJson(request.body)["TtlMs"].asDouble() / 1000;
            this->leases[++this->lastLease] = {ttl, now() + ttl};
            result["Lease"] = Json::Int64(this->lastLease);
            result["TtlMs"] = Json::Int64(static_cast<int64_t>(ttl * 1000));
            return {200, result};
        }
        if (path.compare(0, 11, "/-/kv-keep/") == 0) {
            const auto found = this->leases.find(lastNumber);
            if (found == this->leases.end()) {
                return {404, result};
            }
            found->second.end = now() + found->second.ttl;
            result["TtlMs"] = Json::Int64(static_cast<int64_t>(found->second.ttl * 1000));
            return {200, result};
        }
        if (path.compare(0, 16, "/-/kv-lease-end/") == 0) {
            this->endLease(lastNumber);
            return {this->leases.erase(lastNumber) > 0 ? 200 : 404, result};
        }
        return {404, result};
    }

    bool serve(const Message &request, Connection &connection)
    {
        int status = 0;
        Json::Value value;
        {
            std::unique_lock lock(this->mutex);
            if (!this->down) {
                std::tie(status, value) = this->decide(request, lock);
            }
            if (this->down) {
                lock.unlock();
                // Silent: the call is never answered.
                while (!connection.isPeerClosed() && !this->server.stopping) {
                    sleepFor(0.01);
                }
                return false;
            }
        }
        return connection.send(answerText(status, {{"Content-Type", "application/json"}}, jsonText(value)));
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::vector<Event> history;
    std::map<int64_t, Lease> leases;
    int64_t revision = 1;
    int64_t lastLease = 100;
    bool down = false;
    double downSince = 0;
    Server server;
};

// Loopback addresses and ports of one run.
class Addresses
{
public:
    Addresses()
        : second(64 + ::getpid() % 128)
        , third(1 + (::getpid() / 128) % 250)
    {
    }

    std::string nextIp()
    {
        return "127." + std::to_string(this->second) + "." + std::to_string(this->third) + "." + std::to_string(++this->fourth);
    }

    // Returns a port that is free at `ip`.
    int freePort(const std::string &ip)
    {
        while (true) {
            const int port = this->nextPort++;
            const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockaddr_in address{};
            address.sin_family = AF_INET;
            address.sin_port = htons(static_cast<uint16_t>(port));
            ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
            const bool isFree = ::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
            ::close(fd);
            if (isFree) {
                return port;
            }
        }
    }

private:
    int second;
    int third;
    int fourth = 0;
    int nextPort = 21000;
};

// One process of the system, started with the command of the deploy file.
class EntryHost
{
public:
    EntryHost(Addresses &addresses, std::string hostName, std::string hostZone, std::string storeAddress, std::string workFolder)
        : name(std::move(hostName))
        , zone(std::move(hostZone))
        , ip(addresses.nextIp())
        , frontPort(addresses.freePort(this->ip))
        , readyPort(addresses.freePort(this->ip))
        , controlPort(addresses.freePort(this->ip))
        , internalPort(addresses.freePort(this->ip))
        , store(std::move(storeAddress))
        , folder(std::move(workFolder))
    {
    }
    ~EntryHost()
    {
        this->signal(SIGKILL);
        this->awaitEnd(5);
    }

    std::string control() const
    {
        return this->ip + ":" + std::to_string(this->controlPort);
    }

    // `run` is the program of the deploy file; its folder is the root of the repository.
    void start(const std::string &run, const std::vector<std::string> &seeds)
    {
        const std::string settings = this->folder + "/" + this->name + ".conf";
        std::ofstream file(settings);
        file << "NodeName=" << this->name << "\nRole=entry\nMachineClass=front\nServes=front,control\nIp=" << this->ip << "\nZone=" << this->zone
             << "\nRegion=trakia\nZones.sungurlare=trakia\nZones.melnik=trakia\nZones.pomorie=trakia\nListenAddresses.Front=" << this->ip << ":"
             << this->frontPort << "\nListenAddresses.Ready=" << this->ip << ":" << this->readyPort << "\nListenAddresses.Control=" << this->control()
             << "\nInternalPortRange=" << this->internalPort << "," << this->internalPort + 15 << "\nSeedNodes=";
        for (size_t index = 0; index < seeds.size(); ++index) {
            file << (index == 0 ? "" : ",") << seeds[index];
        }
        file << "\nBootstrap=true\nLossCounted=false\nLimits.CpuShare=0.25\nLimits.CpuCores=1\nLimits.MemoryMb=260\nLimits.FileDescriptors=4100\n"
                "Limits.BandwidthMbps=1000.0\nLimits.DiskMb=0\nDiscovery=platform\nEntry=virtual_ip\nHeartbeatMs=1200\n"
                "Contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,places,platform\n"
                "FaultTolerance.Machines=2\nFaultTolerance.Zones=1\nFaultTolerance.Regions=0\nBounds.SeedLagS=3\nBounds.AddressReuseS=2\n"
                "Bounds.ContactMs=3000\nBounds.AcknowledgeMs=4000\nBounds.CatchUpS=4\nBounds.DrainMs=2000\nBounds.GraceS=8\nBounds.LossSlackMs=200\n"
                "Bounds.ConfigApplyMs=2000\nBounds.BackMs=250\nBounds.InstabilityMs=5000\nBounds.StrictRevocation=false\nBounds.RevocationMs=5000\n"
                "Bounds.BudgetRatio=0.2\nBounds.BudgetWindowS=10\nBounds.BudgetExtraTries=52\nBounds.ColdOverage=1.5\nBounds.ColdSlack=5\n"
                "Bounds.EvacuationMs=5000\nBounds.RecoveryS=12\nBounds.TransitMs=120\nBounds.ReuseWindowS=20\nBounds.RequireFencing=false\n"
                "Bounds.LeaseMs=3000\nBounds.ThawSlackMs=300\nBounds.VersionMs=15000\nBounds.VersionAllMs=21000\nPlatform.Address="
             << this->store
             << "\nPlatform.form=kv\nPlatform.WritesPerS=400\nPlatform.ReadsPerS=2000\nPlatform.HistoryS=20\nPlatform.ValueBytes=1048576\n"
                "Platform.MinTtlMs=1000\n";
        file.close();
        const std::string log = this->folder + "/" + this->name + ".log";
        const std::string boot = "PIMENTOSAIL_BOOT=" + settings;
        const std::string path = "PATH=" + std::string(std::getenv("PATH") == nullptr ? "/usr/bin:/bin" : std::getenv("PATH"));
        this->pid = ::fork();
        if (this->pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, STDOUT_FILENO);
            ::dup2(output, STDERR_FILENO);
            ::close_range(STDERR_FILENO + 1, ~0U, 0);
            char *const environment[] = {const_cast<char *>(boot.c_str()), const_cast<char *>(path.c_str()), nullptr};
            ::execle(run.c_str(), run.c_str(), nullptr, environment);
            ::_exit(127);
        }
        Record::get().line("started %s (process %d) at %s:%d", this->name.c_str(), this->pid, this->ip.c_str(), this->frontPort);
    }

    bool isReady() const
    {
        const std::unique_ptr<Connection> connection = Connection::open(this->ip, this->readyPort);
        Message answer;
        return connection && connection->send("GET /-/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            && connection->readHead(answer, now() + 1) && answer.status() == 200;
    }

    bool awaitReady(double seconds) const
    {
        for (const double end = now() + seconds; now() < end; sleepFor(0.05)) {
            if (this->isReady()) {
                return true;
            }
        }
        return false;
    }

    void signal(int number) const
    {
        if (this->pid > 0) {
            ::kill(this->pid, number);
        }
    }

    // Returns false if the process has not ended after `seconds`.
    bool awaitEnd(double seconds)
    {
        for (const double end = now() + seconds; this->pid > 0 && now() < end; sleepFor(0.01)) {
            int status = 0;
            if (::waitpid(this->pid, &status, WNOHANG) == this->pid) {
                Record::get().line("%s ended, status %d", this->name.c_str(), status);
                this->pid = -1;
            }
        }
        return this->pid <= 0;
    }

    const std::string name;
    const std::string zone;
    const std::string ip;
    const int frontPort;
    const int readyPort;
    const int controlPort;
    const int internalPort;

private:
    const std::string store;
    const std::string folder;
    pid_t pid = -1;
};

// What a script gets: the folder of the case, a temporary folder and whether the disruption is played.
struct Run
{
    std::string folder;
    std::string temporary;
    std::string program;
    bool hasTrouble = true;

    Run(int argc, char **argv)
        : folder(argc > 1 ? argv[1] : ".")
        , temporary(argc > 2 ? argv[2] : "/tmp")
        , program(argc > 3 ? argv[3] : "target/platform/pimentosail-entry")
        , hasTrouble(std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0")
    {
        ::signal(SIGPIPE, SIG_IGN);
        now();
        Record::get().open(this->folder + "/record.txt");
        Record::get().line("%s", this->hasTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
    }
};

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

inline int finish(int result, const std::string &text)
{
    static const char *const names[] = {"HELD", "BROKEN", "COULD NOT RUN"};
    Record::get().line("%s: %s", names[result], text.c_str());
    std::printf("%s: %s\n", names[result], text.c_str());
    return result;
}

} // namespace standins
