// Tests the framing of answers and the reuse of connections against a scripted peer on a loopback socket.
#include <algorithm>
#include <atomic>
#include <cerrno>
#include <functional>
#include <thread>

#include <criterion/criterion.h>

#include <sys/socket.h>
#include <sys/time.h>

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include "pimentosail/upstream/pool.h"

using namespace pimentosail;

namespace
{

constexpr Duration TestWait = Milliseconds(2000);
// Longer than `TestWait`, so that a reader without a bound of its own is noticed by the time that it takes.
constexpr Duration EndlessTime = Milliseconds(3000);

Wait waitFor(Duration duration)
{
    static const Clock clock;
    return Wait{clock, clock.now() + duration};
}

// A peer that runs one script on the first connection.
class ScriptedPeer
{
public:
    using Script = std::function<void(Poco::Net::StreamSocket &socket)>;

    explicit ScriptedPeer(Script peerScript)
        : server(Poco::Net::SocketAddress("127.0.0.1:0"))
        , script(std::move(peerScript))
        , thread([this] {
            Poco::Net::StreamSocket socket = this->server.acceptConnection();
            this->script(socket);
        })
    {
    }
    ~ScriptedPeer()
    {
        this->thread.join();
    }

    std::string address() const
    {
        return this->server.address().toString();
    }

private:
    Poco::Net::ServerSocket server;
    Script script;
    std::thread thread;
};

void sendText(Poco::Net::StreamSocket &socket, const std::string &text)
{
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
}

// Reads until the header of a request has arrived.
void receiveRequestHeader(Poco::Net::StreamSocket &socket)
{
    std::string text;
    char block[4096];
    while (text.find("\r\n\r\n") == std::string::npos) {
        const int count = socket.receiveBytes(block, sizeof(block));
        if (count <= 0) {
            return;
        }
        text.append(block, static_cast<size_t>(count));
    }
}

void resetConnection(Poco::Net::StreamSocket &socket)
{
    socket.setLinger(true, 0);
    socket.close();
}

// Sends `text` again and again, until the peer closes the connection or `limit` has passed.
void sendWithoutEnd(Poco::Net::StreamSocket &socket, const std::string &text, Duration limit)
{
    Clock clock;
    const Time end = clock.now() + limit;
    std::string block;
    while (block.size() < 8192) {
        block += text;
    }
    const timeval sendTimeout{0, 100'000};
    ::setsockopt(socket.impl()->sockfd(), SOL_SOCKET, SO_SNDTIMEO, &sendTimeout, sizeof(sendTimeout));
    size_t sent = 0;
    while (clock.now() < end) {
        const ssize_t count = ::send(socket.impl()->sockfd(), block.data() + sent, block.size() - sent, MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            return;
        }
        sent = (sent + static_cast<size_t>(std::max<ssize_t>(count, 0))) % block.size();
    }
}

struct Exchange
{
    ReadStatus header = ReadStatus::Broken;
    ReadStatus end = ReadStatus::Broken;
    std::string body;
    bool isReusable = false;
    Duration took{};
};

// Sends one request and reads its answer to the end.
Exchange exchangeWith(const std::string &address)
{
    Clock clock;
    Exchange result;
    Result<std::unique_ptr<HttpConnection>> connection = HttpConnection::connect(address, waitFor(TestWait));
    cr_assert(connection);
    const Time start = clock.now();
    const Wait wait{clock, start + TestWait, -1};
    bool anySent = false;
    cr_assert((*connection)->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n", wait, anySent) == SendStatus::Sent);
    AnswerHead header;
    result.header = (*connection)->readHeader(header, true, wait);
    result.took = clock.now() - start;
    if (result.header != ReadStatus::Data) {
        return result;
    }
    do {
        result.end = (*connection)->readBody(result.body, wait);
    } while (result.end == ReadStatus::Data);
    result.isReusable = (*connection)->isReusable();
    result.took = clock.now() - start;
    return result;
}

} // namespace

Test(upstream, a_chunked_answer_is_complete_only_with_its_last_chunk)
{
    ScriptedPeer completePeer([](Poco::Net::StreamSocket &socket) {
        receiveRequestHeader(socket);
        sendText(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
        Clock().sleepFor(Milliseconds(50));
    });
    const Exchange good = exchangeWith(completePeer.address());
    cr_assert(good.end == ReadStatus::End);
    cr_assert_eq(good.body, "hello");

    ScriptedPeer truncatingPeer([](Poco::Net::StreamSocket &socket) {
        receiveRequestHeader(socket);
        sendText(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
    });
    cr_assert(exchangeWith(truncatingPeer.address()).end == ReadStatus::Broken, "a close between chunks is no valid end");
}

Test(upstream, an_answer_shorter_than_its_length_is_reported_as_broken)
{
    ScriptedPeer peer([](Poco::Net::StreamSocket &socket) {
        receiveRequestHeader(socket);
        sendText(socket, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello");
    });
    cr_assert(exchangeWith(peer.address()).end == ReadStatus::Broken);
}

// Guards against an answer of which a part is taken for the next answer on the connection.
Test(upstream, an_answer_whose_length_is_ambiguous_is_reported_as_broken)
{
    for (const char *framing : {"Content-Length: 2\r\nContent-Length: 4\r\n", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 1,0\r\n",
             "Content-Length: +4\r\n", "Content-Length: \r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"}) {
        ScriptedPeer peer([framing](Poco::Net::StreamSocket &socket) {
            receiveRequestHeader(socket);
            sendText(socket, std::string("HTTP/1.1 200 OK\r\n") + framing + "\r\n0\r\n\r\n");
        });
        cr_expect(exchangeWith(peer.address()).header == ReadStatus::Broken, "%s", framing);
    }
    ScriptedPeer peer([](Poco::Net::StreamSocket &socket) {
        receiveRequestHeader(socket);
        sendText(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok");
    });
    cr_expect(exchangeWith(peer.address()).end == ReadStatus::End, "the same length twice");
}

Test(upstream, an_answer_without_length_ends_with_an_orderly_close_only)
{
    ScriptedPeer orderly([](Poco::Net::StreamSocket &socket) {
        receiveRequestHeader(socket);
        sendText(socket, "HTTP/1.1 200 OK\r\n\r\nhello");
    });
    const Exchange good = exchangeWith(orderly.address());
    cr_assert(good.end == ReadStatus::End);
    cr_assert_not(good.isReusable);

    ScriptedPeer broken([](Poco::Net::StreamSocket &socket) {
        receiveRequestHeader(socket);
        sendText(socket, "HTTP/1.1 200 OK\r\n\r\nhello");
        Clock().sleepFor(Milliseconds(50));
        resetConnection(socket);
    });
    cr_assert(exchangeWith(broken.address()).end == ReadStatus::Broken);
}

Test(upstream, bytes_after_an_answer_prevent_reuse_of_the_connection)
{
    ScriptedPeer peer([](Poco::Net::StreamSocket &socket) {
        receiveRequestHeader(socket);
        sendText(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
        Clock().sleepFor(Milliseconds(50));
    });
    const Exchange exchange = exchangeWith(peer.address());
    cr_assert_eq(exchange.body, "ok");
    cr_assert_not(exchange.isReusable);
}

Test(upstream, bytes_that_are_not_an_http_answer_are_reported_as_broken)
{
    ScriptedPeer peer([](Poco::Net::StreamSocket &socket) {
        receiveRequestHeader(socket);
        sendText(socket, "\x01\x02 what is this\r\n\r\n");
    });
    cr_assert(exchangeWith(peer.address()).header == ReadStatus::Broken);
}

Test(upstream, an_early_answer_ends_the_sending_and_the_connection_is_not_reused)
{
    ScriptedPeer peer([](Poco::Net::StreamSocket &socket) {
        receiveRequestHeader(socket);
        sendText(socket, "HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\nno");
        Clock().sleepFor(Milliseconds(300));
    });
    Clock clock;
    Result<std::unique_ptr<HttpConnection>> connection = HttpConnection::connect(peer.address(), waitFor(TestWait));
    cr_assert(connection);
    const Wait wait{clock, clock.now() + TestWait, -1};
    const std::string body(32 * 1024 * 1024, 'x');
    bool anySent = false;
    const SendStatus sent = (*connection)->send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, wait, anySent);
    cr_assert(sent == SendStatus::AnsweredEarly);
    AnswerHead header;
    cr_assert((*connection)->readHeader(header, true, wait) == ReadStatus::Data);
    std::string answer;
    while ((*connection)->readBody(answer, wait) == ReadStatus::Data) { }
    cr_assert_eq(answer, "no");
    cr_assert_not((*connection)->isReusable());
}

Test(upstream, a_caller_that_disconnects_ends_the_wait)
{
    ScriptedPeer peer([](Poco::Net::StreamSocket &socket) {
        receiveRequestHeader(socket);
        Clock().sleepFor(Milliseconds(800));
    });
    int pair[2];
    cr_assert_eq(::socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
    Clock clock;
    Result<std::unique_ptr<HttpConnection>> connection = HttpConnection::connect(peer.address(), waitFor(TestWait));
    cr_assert(connection);
    const Wait wait{clock, clock.now() + TestWait, pair[0]};
    bool anySent = false;
    (*connection)->send("GET / HTTP/1.1\r\n\r\n", wait, anySent);
    std::thread caller([&pair] {
        Clock().sleepFor(Milliseconds(100));
        ::close(pair[1]);
    });
    AnswerHead header;
    const Time before = clock.now();
    cr_assert((*connection)->readHeader(header, true, wait) == ReadStatus::CallerDisconnected);
    cr_assert(clock.now() - before < Milliseconds(500));
    caller.join();
    ::close(pair[0]);
}

Test(upstream, a_refused_connection_proves_that_nothing_was_sent)
{
    Poco::Net::ServerSocket closed(Poco::Net::SocketAddress("127.0.0.1:0"));
    const std::string address = closed.address().toString();
    closed.close();
    const Result<std::unique_ptr<HttpConnection>> connection = HttpConnection::connect(address, waitFor(TestWait));
    cr_assert_not(connection.has_value());
    cr_assert(connection.error().notRun);
}

Test(upstream, an_idle_connection_that_the_target_closed_is_not_reused)
{
    ScriptedPeer peer([](Poco::Net::StreamSocket &socket) {
        receiveRequestHeader(socket);
        sendText(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        Clock().sleepFor(Milliseconds(200));
    });
    Clock clock;
    ConnectionPool pool(clock);
    Result<std::unique_ptr<HttpConnection>> connection = HttpConnection::connect(peer.address(), waitFor(TestWait));
    cr_assert(connection);
    const Wait wait{clock, clock.now() + TestWait, -1};
    bool anySent = false;
    (*connection)->send("GET / HTTP/1.1\r\n\r\n", wait, anySent);
    AnswerHead header;
    std::string body;
    cr_assert((*connection)->readHeader(header, true, wait) == ReadStatus::Data);
    while ((*connection)->readBody(body, wait) == ReadStatus::Data) { }
    cr_assert((*connection)->isReusable());
    pool.put(peer.address(), std::move(*connection));
    cr_assert_eq(pool.size(), 1);
    Clock().sleepFor(Milliseconds(500));
    cr_assert_null(pool.take(peer.address(), "next", std::chrono::seconds(10)).get());
}

// Guards against a read that never ends while the target sends faster than the host reads.
Test(upstream, a_read_ends_at_its_deadline_while_bytes_keep_arriving)
{
    ScriptedPeer peer([](Poco::Net::StreamSocket &socket) {
        receiveRequestHeader(socket);
        sendText(socket, "HTTP/1.1 200 OK\r\n\r\n");
        sendWithoutEnd(socket, "x", EndlessTime);
    });
    Clock clock;
    Result<std::unique_ptr<HttpConnection>> connection = HttpConnection::connect(peer.address(), waitFor(TestWait));
    cr_assert(connection);
    const Time start = clock.now();
    const Wait wait{clock, start + Milliseconds(300), -1};
    bool anySent = false;
    cr_assert((*connection)->send("GET / HTTP/1.1\r\n\r\n", wait, anySent) == SendStatus::Sent);
    AnswerHead header;
    cr_assert((*connection)->readHeader(header, true, wait) == ReadStatus::Data);
    ReadStatus status = ReadStatus::Data;
    std::string body;
    while (status == ReadStatus::Data) {
        body.clear();
        status = (*connection)->readBody(body, wait);
        // Keeps the reader slower than the peer, so that the socket always has bytes.
        clock.sleepFor(Milliseconds(1));
    }
    const Duration took = clock.now() - start;
    connection->reset();
    cr_assert(status == ReadStatus::Timeout);
    cr_assert(took < Milliseconds(1000), "the read ended after %ld ms", static_cast<long>(toMilliseconds(took)));
}

// Guards against a target that holds a request until its deadline with interim answers.
Test(upstream, interim_answers_without_end_are_reported_as_broken)
{
    ScriptedPeer peer([](Poco::Net::StreamSocket &socket) {
        receiveRequestHeader(socket);
        sendWithoutEnd(socket, "HTTP/1.1 100 Continue\r\n\r\n", EndlessTime);
    });
    const Exchange exchange = exchangeWith(peer.address());
    cr_assert(exchange.header == ReadStatus::Broken);
    cr_assert(exchange.took < Milliseconds(1000), "the read ended after %ld ms", static_cast<long>(toMilliseconds(exchange.took)));
}

// Guards against a bound that also refuses the few interim answers of a sound target.
Test(upstream, a_few_interim_answers_are_skipped)
{
    ScriptedPeer peer([](Poco::Net::StreamSocket &socket) {
        receiveRequestHeader(socket);
        sendText(socket, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n");
        sendText(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        Clock().sleepFor(Milliseconds(50));
    });
    const Exchange exchange = exchangeWith(peer.address());
    cr_assert(exchange.end == ReadStatus::End);
    cr_assert_eq(exchange.body, "ok");
    cr_assert(exchange.isReusable);
}

// Guards against a header that takes memory until the deadline.
Test(upstream, a_header_without_end_is_reported_as_broken)
{
    ScriptedPeer peer([](Poco::Net::StreamSocket &socket) {
        receiveRequestHeader(socket);
        sendText(socket, "HTTP/1.1 200 OK\r\n");
        sendWithoutEnd(socket, "X-More: x\r\n", EndlessTime);
    });
    const Exchange exchange = exchangeWith(peer.address());
    cr_assert(exchange.header == ReadStatus::Broken);
    cr_assert(exchange.took < Milliseconds(1000), "the read ended after %ld ms", static_cast<long>(toMilliseconds(exchange.took)));
}

// Guards against bytes in the framing of a body that add nothing to it, and so escape the bounds of the body.
Test(upstream, framing_of_a_chunked_answer_without_end_is_reported_as_broken)
{
    const std::string header = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::pair<std::string, std::string> cases[] = {
        {"0\r\n", "X-Trailer: x\r\n"},
        {"0\r\nX-Trailer: ", "x"},
        {"5\r\nhello", "x"},
        {"5", "0"},
        {"5;extension=", "x"},
    };
    for (const auto &[start, repeated] : cases) {
        ScriptedPeer peer([&header, start = start, repeated = repeated](Poco::Net::StreamSocket &socket) {
            receiveRequestHeader(socket);
            sendText(socket, header + start);
            sendWithoutEnd(socket, repeated, EndlessTime);
        });
        const Exchange exchange = exchangeWith(peer.address());
        cr_expect(exchange.end == ReadStatus::Broken, "after '%s'", start.c_str());
        cr_expect(
            exchange.took < Milliseconds(1000), "after '%s', the read ended after %ld ms", start.c_str(), static_cast<long>(toMilliseconds(exchange.took)));
    }
}

// Guards against requests that reach a silent target after they were given up: the kernel delivers unsent bytes of a connection
// that is closed in the ordinary way, but not of one that is reset.
Test(upstream, a_connection_whose_answer_is_incomplete_is_reset)
{
    std::atomic<bool> wasReset{false};
    ScriptedPeer peer([&wasReset](Poco::Net::StreamSocket &socket) {
        receiveRequestHeader(socket);
        char byte = 0;
        try {
            socket.receiveBytes(&byte, 1);
        } catch (const Poco::Net::ConnectionResetException &) {
            wasReset = true;
        }
    });
    {
        Result<std::unique_ptr<HttpConnection>> connection = HttpConnection::connect(peer.address(), waitFor(TestWait));
        cr_assert(connection);
        bool anySent = false;
        cr_assert((*connection)->send("GET / HTTP/1.1\r\n\r\n", waitFor(TestWait), anySent) == SendStatus::Sent);
        AnswerHead header;
        cr_assert((*connection)->readHeader(header, true, waitFor(Milliseconds(50))) == ReadStatus::Timeout);
    }
    Clock clock;
    clock.sleepFor(Milliseconds(200));
    cr_assert(wasReset.load());
}

namespace
{

// Sends a request with the id `id` and reads its answer, which is empty.
void exchangeNamed(HttpConnection &connection, const std::string &id)
{
    bool anySent = false;
    cr_assert(connection.sendNamed("GET / HTTP/1.1\r\n\r\n", id, waitFor(TestWait), anySent) == SendStatus::Sent);
    AnswerHead header;
    std::string body;
    cr_assert(connection.readHeader(header, true, waitFor(TestWait)) == ReadStatus::Data);
    while (connection.readBody(body, waitFor(TestWait)) == ReadStatus::Data) { }
}

// Answers `count` requests on one connection.
ScriptedPeer::Script answering(size_t count)
{
    return [count](Poco::Net::StreamSocket &socket) {
        for (size_t request = 0; request < count; ++request) {
            receiveRequestHeader(socket);
            sendText(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
        receiveRequestHeader(socket);
    };
}

} // namespace

// Guards against a refusal of an earlier send that is taken for the answer to a later send of the same id.
Test(upstream, a_connection_carries_an_id_once)
{
    ScriptedPeer peer(answering(2));
    Clock clock;
    ConnectionPool pool(clock);
    std::unique_ptr<HttpConnection> connection = std::move(*HttpConnection::connect(peer.address(), waitFor(TestWait)));
    exchangeNamed(*connection, "first");
    bool anySent = false;
    cr_assert(connection->sendNamed("GET / HTTP/1.1\r\n\r\n", "first", waitFor(TestWait), anySent) == SendStatus::IdRepeated);
    cr_assert(connection->sendNamed("GET / HTTP/1.1\r\n\r\n", "", waitFor(TestWait), anySent) == SendStatus::IdRepeated, "without an id, on a used connection");
    cr_assert_not(anySent);
    pool.put(peer.address(), std::move(connection));
    connection = pool.take(peer.address(), "second", std::chrono::seconds(10));
    cr_assert_not_null(connection.get(), "a request with another id uses the connection");
    exchangeNamed(*connection, "second");
    cr_assert(connection->hasCarried("first"));
    pool.put(peer.address(), std::move(connection));
    cr_assert_null(pool.take(peer.address(), "first", std::chrono::seconds(10)).get());
    cr_assert_eq(pool.size(), 0, "the caller opens a connection in its place");
    cr_assert_eq(pool.repeatedIds(), 1);
}

// Guards against a request without an id that is given a connection with answers to others.
Test(upstream, a_request_without_an_id_gets_no_used_connection)
{
    ScriptedPeer peer(answering(1));
    Clock clock;
    ConnectionPool pool(clock);
    std::unique_ptr<HttpConnection> connection = std::move(*HttpConnection::connect(peer.address(), waitFor(TestWait)));
    exchangeNamed(*connection, "first");
    pool.put(peer.address(), std::move(connection));
    cr_assert_null(pool.take(peer.address(), "", std::chrono::seconds(10)).get());
}

// Guards against ids of requests that take more and more memory.
Test(upstream, a_connection_that_has_carried_its_number_of_ids_is_not_kept)
{
    ScriptedPeer peer(answering(HttpConnection::MaxCarriedIds));
    std::unique_ptr<HttpConnection> connection = std::move(*HttpConnection::connect(peer.address(), waitFor(TestWait)));
    for (size_t request = 0; request < HttpConnection::MaxCarriedIds; ++request) {
        cr_assert(request == 0 || connection->isReusable());
        exchangeNamed(*connection, std::to_string(request));
    }
    cr_assert_not(connection->isReusable());
}
