#include <atomic>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <criterion/criterion.h>

#include "pimentosail/net/httpclient.h"
#include "pimentosail/net/httpserver.h"

using namespace pimentosail;

namespace
{

// Sends `requests` to a server, begins to read after `pause`, and returns what the server sends until it closes the connection or is silent.
std::string answersTo(int port, const std::string &requests, Duration pause = Duration(0))
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1:" + std::to_string(port)));
    socket.sendBytes(requests.data(), static_cast<int>(requests.size()));
    Clock().sleepFor(pause);
    std::string text;
    char block[65536];
    try {
        while (socket.poll(Poco::Timespan(500'000), Poco::Net::Socket::SELECT_READ)) {
            const int count = socket.receiveBytes(block, sizeof(block));
            if (count <= 0) {
                break;
            }
            text.append(block, static_cast<size_t>(count));
        }
    } catch (const Poco::Exception &) {
        // A reset connection ends the answers too.
    }
    return text;
}

} // namespace

// Guards against a reused connection that keeps the receive timeout of the call that opened it: a later call with a
// longer timeout, such as a watch, would end early.
Test(net, a_reused_connection_has_the_timeout_of_each_call)
{
    HttpServer server("127.0.0.1:18931", 8, [](HttpExchange &exchange) {
        if (exchange.path() == "/slow") {
            Clock().sleepFor(Milliseconds(600));
        }
        exchange.send(200, "text/plain", "ok");
    });
    server.start();
    HttpClient client;
    cr_assert_eq(client.call("127.0.0.1:18931", {"GET", "/quick", {}, ""}, Milliseconds(200)).status, 200);
    cr_assert_eq(client.call("127.0.0.1:18931", {"GET", "/slow", {}, ""}, Milliseconds(3000)).status, 200);
    server.stop();
}

// Guards against an answer that goes on for a caller whose connection has gone silent without an end, while the caller has resumed it elsewhere.
Test(net, connections_of_callers_end_when_nothing_is_acknowledged)
{
    std::atomic<unsigned> userTimeout{0};
    std::atomic<int> keepsAlive{0};
    std::atomic<int> idleSeconds{0};
    HttpServer server("127.0.0.1:18934", 8, [&](HttpExchange &exchange) {
        const auto read = [&exchange](int level, int option) {
            int value = 0;
            socklen_t size = sizeof(value);
            ::getsockopt(exchange.callerSocket(), level, option, &value, &size);
            return value;
        };
        userTimeout = static_cast<unsigned>(read(IPPROTO_TCP, TCP_USER_TIMEOUT));
        keepsAlive = read(SOL_SOCKET, SO_KEEPALIVE);
        idleSeconds = read(IPPROTO_TCP, TCP_KEEPIDLE);
        exchange.send(200, "text/plain", "ok");
    });
    server.start();
    HttpClient client;
    cr_assert_eq(client.call("127.0.0.1:18934", {"GET", "/", {}, ""}, Milliseconds(1000)).status, 200);
    cr_assert_eq(userTimeout.load(), 3000, "%u ms", userTimeout.load());
    cr_assert_eq(keepsAlive.load(), 1);
    cr_assert_eq(idleSeconds.load(), 1);
    server.stop();
}

// Guards against connections that hang: the kernel accepts them into the queue of a listening socket even after the
// server has stopped accepting.
Test(net, a_server_that_stops_accepting_refuses_connections_and_finishes_its_requests)
{
    std::atomic<bool> isRunning{false};
    HttpServer server("127.0.0.1:18932", 8, [&isRunning](HttpExchange &exchange) {
        isRunning = true;
        Clock().sleepFor(Milliseconds(500));
        exchange.send(200, "text/plain", "ok");
    });
    server.start();
    HttpClient client;
    std::atomic<int> status{0};
    std::thread caller([&] { status = client.call("127.0.0.1:18932", {"GET", "/", {}, ""}, Milliseconds(3000)).status; });
    while (!isRunning) {
        Clock().sleepFor(Milliseconds(5));
    }
    server.stopAccepting();
    HttpClient other;
    const Time before = Clock().now();
    cr_assert_throw(other.call("127.0.0.1:18932", {"GET", "/", {}, ""}, Milliseconds(3000)), Failure);
    cr_assert(Clock().now() - before < Milliseconds(1000), "refused, not left waiting");
    caller.join();
    cr_assert_eq(status.load(), 200);
}

// Guards against an order or a call between hosts that counts as carried out although the other side stopped within the head of its answer.
Test(net, an_answer_whose_head_ends_early_is_a_failure)
{
    const std::string head = "HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nContent-Length: 0\r\n\r\n";
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1:18933"));
    std::atomic<size_t> cut{0};
    std::thread server([&] {
        for (size_t connections = 0; connections <= head.size(); ++connections) {
            Poco::Net::StreamSocket socket = listener.acceptConnection();
            char request[4096];
            socket.receiveBytes(request, sizeof(request));
            socket.sendBytes(head.data(), static_cast<int>(cut.load()));
        }
    });
    std::vector<size_t> taken;
    for (cut = 0; cut.load() <= head.size(); ++cut) {
        HttpClient client;
        try {
            client.call("127.0.0.1:18933", {"POST", "/", {}, ""}, Milliseconds(1000));
            taken.push_back(cut.load());
        } catch (const Failure &) {
            // Nothing is known of the outcome.
        }
    }
    server.join();
    cr_assert_eq(taken.front(), head.size(), "an answer was taken that was cut after %zu bytes", taken.front());
}

// Guards against an order that is given the answer to another call: a connection of its own must neither have served one nor serve one later.
Test(net, a_fresh_connection_serves_one_call_only)
{
    std::mutex mutex;
    std::vector<int> callerPorts;
    HttpServer server("127.0.0.1:18935", 8, [&](HttpExchange &exchange) {
        sockaddr_in caller{};
        socklen_t size = sizeof(caller);
        ::getpeername(exchange.callerSocket(), reinterpret_cast<sockaddr *>(&caller), &size);
        const std::lock_guard lock(mutex);
        callerPorts.push_back(caller.sin_port);
        exchange.send(200, "text/plain", "ok");
    });
    server.start();
    HttpClient client;
    for (const ConnectionUse use : {ConnectionUse::Fresh, ConnectionUse::Pooled, ConnectionUse::Pooled, ConnectionUse::Fresh, ConnectionUse::Fresh}) {
        cr_assert_eq(client.call("127.0.0.1:18935", {"GET", "/", {}, ""}, Milliseconds(1000), use).status, 200);
    }
    server.stop();
    cr_assert_eq(callerPorts[2], callerPorts[1], "a call that may share a connection used the kept one");
    cr_assert_eq(std::set<int>(callerPorts.begin(), callerPorts.end()).size(), 4, "a connection of its own served another call");
}

// Guards against answers that all belong to the call before, once a peer has written one too many on a kept connection.
Test(net, an_answer_to_another_call_ends_its_connection)
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1:18936"));
    const auto answer = [](const std::string &body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    std::thread server([&] {
        char request[4096];
        for (const std::vector<std::string> &bodies : std::vector<std::vector<std::string>>{{"1", "1"}, {"2"}, {"1"}}) {
            Poco::Net::StreamSocket socket = listener.acceptConnection();
            for (const std::string &body : bodies) {
                socket.receiveBytes(request, sizeof(request));
                socket.sendBytes(answer(body).data(), static_cast<int>(answer(body).size()));
            }
        }
    });
    HttpClient client;
    const auto call = [&client](const std::string &wanted) {
        HttpRequest request;
        request.accepts = [&wanted](const HttpReply &reply) {
            return reply.body == wanted;
        };
        return client.call("127.0.0.1:18936", request, Milliseconds(1000)).body;
    };
    cr_expect_eq(call("1"), "1");
    cr_expect_eq(call("2"), "2", "the request was not sent again on another connection");
    cr_expect_eq(call("3"), "1", "on a connection of its own, an answer belongs to its request");
    server.join();
}

// Guards against an answer that its caller takes for complete, because the handler failed in the middle of it.
Test(net, a_stream_whose_handler_fails_does_not_end_as_complete)
{
    HttpServer server("127.0.0.1:18937", 8, [](HttpExchange &exchange) {
        exchange.startStream("text/plain");
        exchange.write("part");
        throw std::runtime_error("no memory");
    });
    server.start();
    HttpClient client;
    cr_assert_throw(client.call("127.0.0.1:18937", {"GET", "/", {}, ""}, Milliseconds(1000)), Failure);
    server.stop();
}

// Guards against an answer that its caller takes for that to the request before: a handler sent none, and the connection went on.
Test(net, a_request_that_was_not_answered_ends_the_connection)
{
    HttpServer server("127.0.0.1:18938", 8, [](HttpExchange &exchange) {
        if (exchange.path() != "/silent") {
            exchange.send(200, "text/plain", "ok");
        }
    });
    server.start();
    const std::string answers = answersTo(18938, "GET /silent HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n");
    cr_assert_eq(answers, "", "%s", answers.c_str());
    server.stop();
}

// Guards against the next answer within the body of one that could not be written whole, because its caller read it too slowly.
Test(net, an_answer_that_is_not_written_whole_is_the_last_on_its_connection)
{
    constexpr size_t BodyBytes = 32 * 1024 * 1024;
    HttpServer server("127.0.0.1:18939", 8, [](HttpExchange &exchange) {
        const timeval sendTimeout{0, 100'000};
        ::setsockopt(exchange.callerSocket(), SOL_SOCKET, SO_SNDTIMEO, &sendTimeout, sizeof(sendTimeout));
        exchange.send(200, "text/plain", std::string(exchange.path() == "/large" ? BodyBytes : 1, 'x'));
    });
    server.start();
    const std::string answers = answersTo(18939, "GET /large HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n", Milliseconds(600));
    cr_assert(answers.starts_with("HTTP/1.1 200"));
    cr_assert_eq(answers.find("HTTP/1.1", 1), std::string::npos, "a second answer after %zu bytes", answers.size());
    server.stop();
}
