#include <atomic>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <poll.h>
#include <sys/socket.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <criterion/criterion.h>

#include "pimentosail/net/httpserver.h"

using namespace pimentosail;

namespace
{

constexpr int AnswerMilliseconds = 1000;
const std::string Request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

// A caller with one connection.
class Caller
{
public:
    explicit Caller(int port)
        : socket(Poco::Net::SocketAddress("127.0.0.1:" + std::to_string(port)))
    {
    }

    void send(const std::string &bytes)
    {
        this->socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }

    // Returns what arrives first; "closed" if the connection ends and "silent" if nothing comes.
    std::string receive(int milliseconds = AnswerMilliseconds)
    {
        char block[4096];
        pollfd entry{this->socket.impl()->sockfd(), POLLIN, 0};
        if (::poll(&entry, 1, milliseconds) <= 0) {
            return "silent";
        }
        const ssize_t count = ::recv(entry.fd, block, sizeof(block), 0);
        return count > 0 ? std::string(block, static_cast<size_t>(count)) : "closed";
    }

    // Sends a request and returns the status of its answer, or as `receive`.
    std::string ask()
    {
        this->send(Request);
        const std::string answer = this->receive();
        return answer.starts_with("HTTP/1.1 ") ? answer.substr(9, 3) : answer;
    }

private:
    Poco::Net::StreamSocket socket;
};

using Callers = std::vector<std::unique_ptr<Caller>>;

Callers connectCallers(int port, int count)
{
    Callers callers;
    for (int index = 0; index < count; ++index) {
        callers.push_back(std::make_unique<Caller>(port));
    }
    return callers;
}

int threadsOfProcess()
{
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("Threads:")) {
            return std::atoi(line.c_str() + 8);
        }
    }
    return 0;
}

void answerOk(HttpExchange &exchange)
{
    exchange.send(200, "text/plain", "ok");
}

} // namespace

// Guards against a host whose memory grows with the number of its idle connections until the process ends: each had a thread (review/14).
Test(connection_server, idle_connections_have_no_threads)
{
    constexpr int Connections = 400;
    HttpServer server("127.0.0.1:18951", {.connections = 1000, .threads = 8}, answerOk);
    server.start();
    const int before = threadsOfProcess();
    const Callers callers = connectCallers(18951, Connections);
    for (int round = 0; round < 2; ++round) {
        for (const auto &caller : callers) {
            cr_assert_eq(caller->ask(), "200");
        }
    }
    cr_assert_eq(server.openConnections(), Connections);
    cr_assert_leq(threadsOfProcess(), before + 9, "%d threads", threadsOfProcess() - before);
}

// Guards against connections beyond the limit that the kernel accepts and nobody reads (review/15): the one that has been idle for longest is closed.
Test(connection_server, beyond_the_limit_the_longest_idle_connection_is_closed)
{
    HttpServer server("127.0.0.1:18952", {.connections = 8, .threads = 2}, answerOk);
    server.start();
    const Callers callers = connectCallers(18952, 7);
    for (const auto &caller : callers) {
        cr_assert_eq(caller->ask(), "200");
    }
    const Callers later = connectCallers(18952, 3);
    for (const auto &caller : later) {
        cr_assert_eq(caller->ask(), "200");
    }
    cr_assert_leq(server.openConnections(), 8);
    cr_assert_eq(callers[0]->receive(), "closed");
    cr_assert_eq(callers[6]->ask(), "200", "one that was used later is kept");
}

// Guards against a close that crosses a request: near the limit, answers say that their connection ends.
Test(connection_server, near_the_limit_connections_end_with_their_answers)
{
    HttpServer server("127.0.0.1:18953", {.connections = 8, .threads = 2}, answerOk);
    server.start();
    const Callers callers = connectCallers(18953, 8);
    while (server.openConnections() < 8) {
        Clock().sleepFor(Milliseconds(5));
    }
    callers[0]->send(Request);
    const std::string answer = callers[0]->receive();
    cr_assert_neq(answer.find("Connection: Close"), std::string::npos, "%s", answer.c_str());
    cr_assert_eq(callers[0]->receive(), "closed");
    callers[1]->send(Request);
    const std::string next = callers[1]->receive();
    cr_assert_neq(next.find("Connection: Keep-Alive"), std::string::npos, "%s", next.c_str());
}

// Guards against requests that wait unread while all threads are busy.
Test(connection_server, a_request_is_refused_at_once_while_all_threads_are_busy)
{
    std::atomic<bool> isReleased{false};
    HttpServer server("127.0.0.1:18954", {.connections = 50, .threads = 2}, [&isReleased](HttpExchange &exchange) {
        while (exchange.path() == "/slow" && !isReleased) {
            Clock().sleepFor(Milliseconds(5));
        }
        answerOk(exchange);
    });
    server.start();
    const Callers slow = connectCallers(18954, 2);
    for (const auto &caller : slow) {
        caller->send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    while (server.running() < 2) {
        Clock().sleepFor(Milliseconds(5));
    }
    for (const auto &caller : connectCallers(18954, 20)) {
        const Time start = Clock().now();
        cr_assert_eq(caller->ask(), "503");
        cr_assert_lt((Clock().now() - start).count(), Duration(Milliseconds(300)).count());
        cr_assert_eq(caller->receive(), "closed");
    }
    isReleased = true;
    for (const auto &caller : slow) {
        cr_assert(caller->receive().starts_with("HTTP/1.1 200"));
    }
    cr_assert_eq(connectCallers(18954, 1)[0]->ask(), "200");
}

// Guards against callers that send slowly and hold the threads that others need.
Test(connection_server, slow_heads_and_bodies_leave_threads_to_other_requests)
{
    Clock clock;
    HttpServer server("127.0.0.1:18955", {.connections = 200, .threads = 4}, [&clock](HttpExchange &exchange) {
        try {
            exchange.readBody(1000, clock, std::chrono::seconds(5));
            answerOk(exchange);
        } catch (const Failure &failure) {
            exchange.sendError(failure.error, "");
        }
    });
    server.start();
    const Callers slowHeads = connectCallers(18955, 50);
    for (const auto &caller : slowHeads) {
        caller->send("GET / HTTP/1.1\r\nHo");
    }
    const Callers slowBodies = connectCallers(18955, 20);
    for (const auto &caller : slowBodies) {
        caller->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
    }
    const Callers others = connectCallers(18955, 10);
    for (int round = 0; round < 5; ++round) {
        for (const auto &caller : others) {
            cr_assert_eq(caller->ask(), "200");
        }
    }
    // A head that comes in parts is served once it is complete, and so is a body that waits among few.
    slowHeads[0]->send("st: h\r\n\r\n");
    cr_assert(slowHeads[0]->receive().starts_with("HTTP/1.1 200"));
    int served = 0;
    for (const auto &caller : slowBodies) {
        const std::string early = caller->receive(0);
        if (early == "silent") {
            caller->send("cd");
            cr_assert(caller->receive().starts_with("HTTP/1.1 200"));
            ++served;
        } else {
            cr_assert(early.starts_with("HTTP/1.1 503"), "%s", early.c_str());
        }
    }
    cr_assert_gt(served, 0);
}

// Guards against a request that is not served because it arrived together with the one before it, or in parts.
Test(connection_server, each_complete_request_is_served_however_its_bytes_arrive)
{
    HttpServer server("127.0.0.1:18956", {.connections = 8, .threads = 2}, answerOk);
    server.start();
    Caller caller(18956);
    const std::string requests = Request + "\r\n" + Request + Request;
    size_t answers = 0;
    std::string text;
    for (size_t start = 0; start < requests.size(); start += 7) {
        caller.send(requests.substr(start, 7));
        Clock().sleepFor(Milliseconds(2));
    }
    while (answers < 3) {
        text += caller.receive();
        cr_assert_eq(text.find("silent"), std::string::npos, "%s", text.c_str());
        answers = 0;
        for (size_t at = text.find("HTTP/1.1 200"); at != std::string::npos; at = text.find("HTTP/1.1 200", at + 1)) {
            ++answers;
        }
    }
}

// Guards against a server that does not end because connections are idle or requests run.
Test(connection_server, a_server_that_stops_ends_idle_and_served_connections)
{
    std::atomic<bool> isRunning{false};
    auto server = std::make_unique<HttpServer>("127.0.0.1:18957", ConnectionLimits{.connections = 20, .threads = 4}, [&isRunning](HttpExchange &exchange) {
        isRunning = true;
        while (!exchange.isCallerDisconnected()) {
            Clock().sleepFor(Milliseconds(5));
        }
    });
    server->start();
    const Callers callers = connectCallers(18957, 10);
    callers[0]->send(Request);
    while (!isRunning) {
        Clock().sleepFor(Milliseconds(5));
    }
    server.reset();
    for (const auto &caller : callers) {
        cr_assert_eq(caller->receive(), "closed");
    }
}
