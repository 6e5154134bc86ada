#include "rig.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <json/reader.h>
#include <json/writer.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig
{

namespace
{

constexpr size_t ReadBlock = 65536;
constexpr Milliseconds ServerSilence(60000);
// The same on all hosts, which differ in their addresses.
int frontPort = 0;
int readyPort = 0;
int controlPort = 0;
int internalPort = 0;

sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

std::string trim(const std::string &text)
{
    const size_t first = text.find_first_not_of(" \t");
    return first == std::string::npos ? "" : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::string print(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value parse(const std::string &text)
{
    Json::Value value;
    std::istringstream stream(text);
    std::string errors;
    Json::parseFromStream(Json::CharReaderBuilder(), stream, &value, &errors);
    return value;
}

std::string encodeBase64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (size_t index = 0; index < bytes.size(); index += 3) {
        uint32_t group = 0;
        const size_t count = std::min<size_t>(3, bytes.size() - index);
        for (size_t part = 0; part < 3; ++part) {
            group = group << 8 | (part < count ? static_cast<unsigned char>(bytes[index + part]) : 0);
        }
        for (size_t part = 0; part < 4; ++part) {
            result += part <= count ? digits[group >> (18 - 6 * part) & 63] : '=';
        }
    }
    return result;
}

std::string unescape(const std::string &text)
{
    std::string result;
    for (size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
            index += 2;
        } else {
            result += text[index];
        }
    }
    return result;
}

std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> result;
    const size_t start = target.find('?');
    std::istringstream parts(start == std::string::npos ? "" : target.substr(start + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        const size_t equals = part.find('=');
        result[part.substr(0, equals)] = equals == std::string::npos ? "" : unescape(part.substr(equals + 1));
    }
    return result;
}

std::string answerText(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool isToken(const std::string &name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char character) {
        return std::isalnum(character) != 0 || std::strchr("!#$%&'*+-.^_`|~", character) != nullptr;
    });
}

bool isNumber(const std::string &text)
{
    return !text.empty() && text.size() < 10 && text.find_first_not_of("0123456789") == std::string::npos;
}

// Takes `size` bytes of the body.
bool take(Connection &connection, size_t size, std::string &body, Milliseconds timeout)
{
    while (connection.buffer.size() < size) {
        if (!connection.fill(timeout)) {
            return false;
        }
    }
    body += connection.buffer.substr(0, size);
    connection.buffer.erase(0, size);
    return true;
}

bool takeLine(Connection &connection, std::string &line, Milliseconds timeout)
{
    size_t end = 0;
    while ((end = connection.buffer.find("\r\n")) == std::string::npos) {
        if (!connection.fill(timeout)) {
            return false;
        }
    }
    line = connection.buffer.substr(0, end);
    connection.buffer.erase(0, end + 2);
    return true;
}

int freePort(const std::string &ip, int type)
{
    const int descriptor = ::socket(AF_INET, type, 0);
    sockaddr_in address = socketAddress(ip, 0);
    ::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    socklen_t size = sizeof(address);
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    ::close(descriptor);
    return ntohs(address.sin_port);
}

} // namespace

void sleepFor(Milliseconds time)
{
    std::this_thread::sleep_for(time);
}

bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

Record::Record(const std::string &path)
    : file(path)
{
}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(this->mutex);
    std::string printable;
    for (const char character : line) {
        printable += character == '\r' ? "\\r" : character == '\n' ? "\\n" : std::string(1, character);
    }
    this->file << std::chrono::duration_cast<Milliseconds>(now() - this->start).count() << " ms " << printable << std::endl;
}

Connection::~Connection()
{
    if (this->socket >= 0) {
        ::close(this->socket);
    }
}

int Connection::connect(const std::string &address, Milliseconds timeout)
{
    const size_t colon = address.rfind(':');
    const sockaddr_in peer = socketAddress(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{timeout.count() / 1000, (timeout.count() % 1000) * 1000};
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)) != 0) {
        ::close(descriptor);
        return -1;
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return descriptor;
}

int Connection::beginConnect(const std::string &address)
{
    const size_t colon = address.rfind(':');
    const sockaddr_in peer = socketAddress(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    // The caller learns of the outcome when the socket becomes writable.
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)) != 0 && errno != EINPROGRESS) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

bool Connection::send(const std::string &bytes)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(this->socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<size_t>(count);
    }
    return true;
}

bool Connection::fill(Milliseconds timeout)
{
    pollfd entry{this->socket, POLLIN, 0};
    if (::poll(&entry, 1, static_cast<int>(timeout.count())) <= 0) {
        return false;
    }
    std::string block(ReadBlock, '\0');
    const ssize_t count = ::recv(this->socket, block.data(), block.size(), 0);
    if (count <= 0) {
        return false;
    }
    this->buffer.append(block, 0, static_cast<size_t>(count));
    return true;
}

void Connection::reset()
{
    const linger drop{1, 0};
    ::setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &drop, sizeof(drop));
    ::close(this->socket);
    this->socket = -1;
}

std::vector<std::string> Message::all(const std::string &name) const
{
    std::vector<std::string> result;
    for (const auto &[key, text] : this->headers) {
        if (key == name) {
            result.push_back(text);
        }
    }
    return result;
}

std::string Message::value(const std::string &name) const
{
    std::string result;
    for (const std::string &text : this->all(name)) {
        result += (result.empty() ? "" : " | ") + text;
    }
    return result;
}

std::string Message::method() const
{
    return this->startLine.substr(0, this->startLine.find(' '));
}

std::string Message::target() const
{
    const size_t start = this->startLine.find(' ') + 1;
    return this->startLine.substr(start, this->startLine.find(' ', start) - start);
}

int Message::status() const
{
    return std::atoi(this->startLine.substr(std::min(this->startLine.size(), this->startLine.find(' '))).c_str());
}

std::optional<Message> readMessage(Connection &connection, Milliseconds timeout)
{
    Message message;
    // An empty line before a message is ignored (RFC 9112, 2.2).
    if (!takeLine(connection, message.startLine, timeout) || (message.startLine.empty() && !takeLine(connection, message.startLine, timeout))) {
        return std::nullopt;
    }
    if (message.startLine.find("HTTP/1.1") == std::string::npos) {
        message.fault = "malformed first line: " + message.startLine;
        return message;
    }
    std::string line;
    while (true) {
        if (!takeLine(connection, line, timeout)) {
            return std::nullopt;
        }
        if (line.empty()) {
            break;
        }
        const size_t colon = line.find(':');
        const std::string name = line.substr(0, colon);
        if (colon == std::string::npos || !isToken(name)) {
            message.fault = "malformed header line: " + line;
            continue;
        }
        message.headers.emplace_back(lower(name), trim(line.substr(colon + 1)));
    }
    const std::vector<std::string> lengths = message.all("content-length");
    const std::vector<std::string> encodings = message.all("transfer-encoding");
    if (lengths.size() + encodings.size() > 1 || (!lengths.empty() && !isNumber(lengths.front()))
        || (!encodings.empty() && lower(encodings.front()) != "chunked")) {
        message.fault = "the length of the body is not clear";
    }
    if (!message.fault.empty()) {
        return message;
    }
    if (!lengths.empty()) {
        return take(connection, static_cast<size_t>(std::stoul(lengths.front())), message.body, timeout) ? std::optional(message) : std::nullopt;
    }
    size_t size = encodings.empty() ? 0 : 1;
    while (size > 0) {
        std::string end;
        if (!takeLine(connection, line, timeout)) {
            return std::nullopt;
        }
        size = static_cast<size_t>(std::strtoul(line.c_str(), nullptr, 16));
        if (!take(connection, size, message.body, timeout) || !take(connection, 2, end, timeout)) {
            return std::nullopt;
        }
    }
    return message;
}

Listener::Listener(const std::string &ip, int port, std::function<void(Connection &)> connectionHandler)
    : handler(std::move(connectionHandler))
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = socketAddress(ip, port);
    socklen_t size = sizeof(address);
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address), size) != 0 || ::listen(descriptor, 256) != 0) {
        std::exit(2);
    }
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    this->listenAddress = ip + ":" + std::to_string(ntohs(address.sin_port));
    std::thread([this, descriptor] {
        while (true) {
            const int accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                continue;
            }
            const int enabled = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
            std::thread([this, accepted] {
                Connection connection(accepted);
                this->handler(connection);
            }).detach();
        }
    }).detach();
}

StoreStandIn::StoreStandIn(const std::string &ip, int port)
    : listener(ip, port, [this](Connection &connection) { this->serve(connection); })
{
    std::thread([this] {
        while (true) {
            sleepFor(Milliseconds(50));
            this->expireLeases();
        }
    }).detach();
}

Json::Value StoreStandIn::encode(const std::string &key, const Item &item)
{
    Json::Value value;
    value["Key"] = key;
    value["Value"] = item.value;
    value["Revision"] = Json::Int64(item.revision);
    value["Created"] = Json::Int64(item.created);
    value["Lease"] = Json::Int64(item.lease);
    return value;
}

void StoreStandIn::putLocked(const std::string &key, const std::string &encoded, int64_t lease)
{
    ++this->revision;
    Item &item = this->items[key];
    item = {encoded, this->revision, item.created == 0 ? this->revision : item.created, lease};
    this->history.push_back(encode(key, item));
    this->changed.notify_all();
}

void StoreStandIn::removeLocked(const std::string &key)
{
    if (this->items.erase(key) > 0) {
        Json::Value event;
        event["Key"] = key;
        event["Revision"] = Json::Int64(++this->revision);
        event["Removed"] = true;
        this->history.push_back(event);
        this->changed.notify_all();
    }
}

void StoreStandIn::expireLeases()
{
    const std::lock_guard lock(this->mutex);
    std::set<int64_t> ended;
    for (const auto &[id, lease] : this->leases) {
        if (now() > lease.end) {
            ended.insert(id);
        }
    }
    for (const int64_t id : ended) {
        this->leases.erase(id);
        std::vector<std::string> keys;
        for (const auto &[key, item] : this->items) {
            if (item.lease == id) {
                keys.push_back(key);
            }
        }
        for (const std::string &key : keys) {
            this->removeLocked(key);
        }
    }
}

void StoreStandIn::put(const std::string &key, const Json::Value &value)
{
    const std::lock_guard lock(this->mutex);
    this->putLocked(key, encodeBase64(print(value)), 0);
}

void StoreStandIn::remove(const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    this->removeLocked(key);
}

std::pair<int, Json::Value> StoreStandIn::watch(const std::map<std::string, std::string> &query)
{
    const int64_t after = std::stoll(query.at("after"));
    const std::string prefix = query.contains("PathPrefix") ? query.at("PathPrefix") : "";
    const SteadyTime end = now() + Milliseconds(std::stoll(query.at("WaitMs")));
    std::unique_lock lock(this->mutex);
    Json::Value answer;
    answer["Events"] = Json::Value(Json::arrayValue);
    while (true) {
        for (const Json::Value &event : this->history) {
            if (event["Revision"].asInt64() > after && event["Key"].asString().starts_with(prefix)) {
                answer["Events"].append(event);
            }
        }
        if (!answer["Events"].empty() || this->changed.wait_until(lock, end) == std::cv_status::timeout) {
            break;
        }
    }
    answer["StoreRevision"] = Json::Int64(this->revision);
    return {200, answer};
}

std::pair<int, Json::Value> StoreStandIn::transact(const Json::Value &body)
{
    const std::lock_guard lock(this->mutex);
    Json::Value answer;
    answer["items"] = Json::Value(Json::arrayValue);
    bool isMet = true;
    for (const Json::Value &row : body["Precondition"]) {
        const auto found = this->items.find(row["Key"].asString());
        isMet = isMet && (found == this->items.end() ? 0 : found->second.revision) == row["Revision"].asInt64();
        if (found != this->items.end()) {
            answer["items"].append(encode(found->first, found->second));
        }
    }
    if (!isMet) {
        return {412, answer};
    }
    for (const Json::Value &row : body["Puts"]) {
        if (row["Lease"].asInt64() != 0 && !this->leases.contains(row["Lease"].asInt64())) {
            return {404, Json::Value(Json::objectValue)};
        }
    }
    for (const Json::Value &row : body["Puts"]) {
        this->putLocked(row["Key"].asString(), row["Value"].asString(), row["Lease"].asInt64());
    }
    for (const Json::Value &key : body["Remove"]) {
        this->removeLocked(key.asString());
    }
    answer = Json::Value();
    answer["Revision"] = Json::Int64(this->revision);
    return {200, answer};
}

std::pair<int, Json::Value> StoreStandIn::answer(const Message &request)
{
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    std::map<std::string, std::string> query = queryOf(target);
    const int64_t id = std::atoll(path.substr(path.rfind('/') + 1).c_str());
    Json::Value answer(Json::objectValue);
    if (path == "/-/kv-watch") {
        return this->watch(query);
    }
    if (path == "/-/kv-txn") {
        return this->transact(parse(request.body));
    }
    const std::lock_guard lock(this->mutex);
    if (path == "/-/kv-range") {
        answer["items"] = Json::Value(Json::arrayValue);
        for (const auto &[key, item] : this->items) {
            if (key.starts_with(query["PathPrefix"]) && key > query["after"]) {
                answer["items"].append(encode(key, item));
            }
        }
        answer["MorePages"] = false;
        answer["StoreRevision"] = Json::Int64(this->revision);
        return {200, answer};
    }
    if (path == "/-/kv-lease") {
        const int64_t ttl = parse(request.body)["TtlMs"].asInt64();
        this->leases[++this->lastLease] = {now() + Milliseconds(ttl), ttl};
        answer["Lease"] = Json::Int64(this->lastLease);
        answer["TtlMs"] = Json::Int64(ttl);
        return {200, answer};
    }
    const auto lease = this->leases.find(id);
    if (path.starts_with("/-/kv-keep/") && lease != this->leases.end()) {
        lease->second.end = now() + Milliseconds(lease->second.ttl);
        answer["TtlMs"] = Json::Int64(lease->second.ttl);
        return {200, answer};
    }
    if (path.starts_with("/-/kv-lease-end/") && lease != this->leases.end()) {
        lease->second.end = SteadyTime{};
        return {200, answer};
    }
    return {404, answer};
}

void StoreStandIn::serve(Connection &connection)
{
    while (const std::optional<Message> request = readMessage(connection, ServerSilence)) {
        const auto [status, body] = this->answer(*request);
        if (!connection.send(answerText(status, "Content-Type: application/json\r\n", print(body)))) {
            return;
        }
    }
}

WorkerStandIn::WorkerStandIn(const std::string &ip, int port, std::string workerId, Record &runRecord)
    : id(std::move(workerId))
    , record(runRecord)
    , listener(ip, port, [this](Connection &connection) { this->serve(connection); })
{
}

Json::Value WorkerStandIn::registration(const std::string &service, const std::string &zone) const
{
    Json::Value value;
    value["Service"] = service;
    value["Address"] = this->address();
    value["Zone"] = zone;
    value["Version"] = "v1";
    value["Slots"] = 6;
    value["State"] = "ready";
    value["ColdRemainingMs"] = 0;
    value["Sequence"] = 1;
    value["born"] = Json::Int64(1700000000000);
    return value;
}

std::vector<Run> WorkerStandIn::runs() const
{
    const std::lock_guard lock(this->mutex);
    return this->recordedRuns;
}

void WorkerStandIn::serve(Connection &connection)
{
    while (const std::optional<Message> request = readMessage(connection, ServerSilence)) {
        const std::string requestId = request->value("x-pimentosail-request-id");
        const std::string idHeader = "X-Pimentosail-Request-Id: " + requestId + "\r\n";
        if (!request->fault.empty()) {
            this->record.write("worker " + this->id + " refuses " + request->startLine + " as malformed: " + request->fault);
            connection.send(answerText(400, idHeader + "X-Pimentosail-Not-Executed: 1\r\nConnection: close\r\n", ""));
            return;
        }
        const std::string expected = request->value("x-pimentosail-expected-instance");
        if (!expected.empty() && expected != this->id) {
            this->record.write("worker " + this->id + " answers 421 to " + request->startLine);
            connection.send(answerText(421, idHeader + "X-Pimentosail-Instance-Id: " + this->id + "\r\n", ""));
            continue;
        }
        const Run run{requestId, request->value("x-pimentosail-tenant"), request->method(), request->target(), request->body};
        this->count.fetch_add(1);
        if (!this->isQuiet.load()) {
            this->record.write(
                "worker " + this->id + " runs " + run.method + " " + run.target + " id=" + run.id + " tenant=" + run.tenants + " body=" + run.body);
            const std::lock_guard lock(this->mutex);
            this->recordedRuns.push_back(run);
        }
        const std::string headers = idHeader + "X-Pimentosail-Response-Signature: sig." + requestId + "\r\n";
        const bool isPrompt = !request->value("x-pimentosail-model").empty();
        const std::string answer = isPrompt ? "HTTP/1.1 200 OK\r\n" + headers
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n13\r\nid: 1\ndata: first\n\n\r\n14\r\nid: 2\ndata: "
                  "second\n\n\r\n0\r\n\r\n"
                                            : answerText(200, headers, "done " + requestId);
        if (!connection.send(answer)) {
            return;
        }
    }
}

void HostProcess::choosePorts()
{
    frontPort = freePort("127.0.0.11", SOCK_STREAM);
    readyPort = freePort("127.0.0.11", SOCK_STREAM);
    controlPort = freePort("127.0.0.11", SOCK_STREAM);
    internalPort = freePort("127.0.0.11", SOCK_DGRAM);
}

HostProcess::HostProcess(HostPlan hostPlan, std::string workFolder)
    : plan(std::move(hostPlan))
    , folder(std::move(workFolder))
{
    if (frontPort == 0) {
        HostProcess::choosePorts();
    }
}

HostProcess::~HostProcess()
{
    this->kill();
}

std::string HostProcess::callerAddress() const
{
    return this->plan.ip + ":" + std::to_string(frontPort);
}

std::string HostProcess::controlAddress() const
{
    return this->plan.ip + ":" + std::to_string(controlPort);
}

void HostProcess::start()
{
    const std::string settings = this->folder + "/" + this->plan.name + ".conf";
    {
        std::ofstream file(settings);
        file << "NodeName=" << this->plan.name << "\nRole=entry\nMachineClass=front\nServes=front,control\nIp=" << this->plan.ip << "\nZone=" << this->plan.zone
             << "\nListenAddresses.Front=" << this->callerAddress() << "\nListenAddresses.Ready=" << this->plan.ip << ":" << readyPort
             << "\nListenAddresses.Control=" << this->controlAddress() << "\nInternalPortRange=" << internalPort << "," << internalPort + 15 << "\nSeedNodes=";
        for (size_t index = 0; index < this->plan.seeds.size(); ++index) {
            file << (index == 0 ? "" : ",") << this->plan.seeds[index];
        }
        file << "\nBootstrap=true\nLimits.CpuShare=0.25\nLimits.CpuCores=1\nLimits.MemoryMb=" << this->plan.memoryMegabytes
             << "\nLimits.FileDescriptors=4100\nLimits.DiskMb=0\nDiscovery=platform\nEntry=virtual_ip\nHeartbeatMs=1200\n"
                "Bounds.ContactMs=3000\nBounds.DrainMs=2000\nBounds.GraceS=8\nBounds.LossSlackMs=200\nBounds.ConfigApplyMs=2000\nBounds.BackMs=250\n"
                "Bounds.BudgetRatio=0.2\nBounds.BudgetWindowS=10\nBounds.BudgetExtraTries=52\nBounds.ColdOverage=1.5\nBounds.ColdSlack=5\n"
                "Bounds.EvacuationMs=5000\nBounds.RequireFencing=false\nBounds.LeaseMs=3000\nBounds.ThawSlackMs=300\nBounds.VersionMs=15000\n"
                "Bounds.VersionAllMs=21000\nPlatform.form=kv\nPlatform.WritesPerS=400\nPlatform.ReadsPerS=2000\nPlatform.HistoryS=20\n"
                "Platform.ValueBytes=1048576\nPlatform.MinTtlMs=1000\nPlatform.Address="
             << this->plan.storeAddress << "\n";
    }
    const std::string log = this->folder + "/" + this->plan.name + ".log";
    const std::string environment = "PIMENTOSAIL_BOOT=" + settings;
    this->process = ::fork();
    if (this->process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        // The descriptors of a machine of the deployments.
        rlimit files{};
        ::getrlimit(RLIMIT_NOFILE, &files);
        files.rlim_cur = std::min<rlim_t>(files.rlim_cur, 4100);
        ::setrlimit(RLIMIT_NOFILE, &files);
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        const char *program = "target/platform/pimentosail-entry";
        const char *arguments[] = {program, nullptr};
        const char *variables[] = {environment.c_str(), "PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C", nullptr};
        ::execve(program, const_cast<char *const *>(arguments), const_cast<char *const *>(variables));
        ::_exit(127);
    }
}

bool HostProcess::awaitReady(Milliseconds timeout) const
{
    const std::string address = this->plan.ip + ":" + std::to_string(readyPort);
    const SteadyTime end = now() + timeout;
    while (now() < end) {
        const std::vector<Message> answers = call(address, {"GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n"}, 1, Milliseconds(500));
        if (!answers.empty() && answers.front().status() == 200) {
            return true;
        }
        sleepFor(Milliseconds(50));
    }
    return false;
}

void HostProcess::signal(int number) const
{
    ::kill(this->process, number);
}

void HostProcess::kill()
{
    if (this->process > 0) {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
        this->process = 0;
    }
}

std::pair<int64_t, int64_t> HostProcess::memoryAndThreads() const
{
    std::ifstream file("/proc/" + std::to_string(this->process) + "/status");
    std::pair<int64_t, int64_t> result;
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with("VmRSS:")) {
            result.first = std::atoll(line.c_str() + 6) * 1024;
        } else if (line.starts_with("Threads:")) {
            result.second = std::atoll(line.c_str() + 8);
        }
    }
    return result;
}

bool HostProcess::hasEnded()
{
    if (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) == this->process) {
        this->process = 0;
    }
    return this->process == 0;
}

std::vector<Message> call(const std::string &address, const std::vector<std::string> &parts, size_t count, Milliseconds silence, Milliseconds pause)
{
    std::vector<Message> result;
    Connection connection(Connection::connect(address, Milliseconds(1000)));
    for (size_t index = 0; index < parts.size(); ++index) {
        sleepFor(index == 0 ? Milliseconds(0) : pause);
        if (!connection.send(parts[index])) {
            return result;
        }
    }
    while (result.size() < count) {
        std::optional<Message> answer = readMessage(connection, silence);
        if (!answer) {
            break;
        }
        result.push_back(std::move(*answer));
    }
    return result;
}

} // namespace rig
