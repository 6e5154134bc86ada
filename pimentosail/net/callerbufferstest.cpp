#include <array>
#include <atomic>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "pimentosail/net/callerbuffers.h"

using namespace pimentosail;

namespace
{

constexpr int64_t Bound = 256 * 1024;
constexpr int SocketBuffer = 4 * 1024;
const std::string Part(8 * 1024, 'p');

// Both ends of a connection without a port: the writer's and the reader's.
class Connection
{
public:
    Connection()
    {
        cr_assert_eq(::socketpair(AF_UNIX, SOCK_STREAM, 0, this->ends.data()), 0);
        ::setsockopt(this->ends[0], SOL_SOCKET, SO_SNDBUF, &SocketBuffer, sizeof(SocketBuffer));
    }
    ~Connection()
    {
        ::close(this->ends[0]);
        this->leave();
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    // Reads up to `bytes` that have arrived.
    std::string read(size_t bytes)
    {
        std::string data(bytes, '\0');
        const ssize_t count = ::recv(this->ends[1], data.data(), data.size(), MSG_DONTWAIT);
        data.resize(count > 0 ? static_cast<size_t>(count) : 0);
        return data;
    }

    void leave()
    {
        if (this->ends[1] >= 0) {
            ::close(this->ends[1]);
            this->ends[1] = -1;
        }
    }

    std::array<int, 2> ends{-1, -1};
};

} // namespace

// Guards against buffers beyond their bound, because a block grows by more than was made room for.
Test(caller_buffers, no_sequence_of_writes_exceeds_the_bound)
{
    Clock clock;
    CallerBuffers buffers(clock, Bound);
    std::list<Connection> connections;
    std::list<CallerWriter> writers;
    for (size_t count = 0; count < 128; ++count) {
        connections.emplace_back();
        CallerWriter &writer = writers.emplace_back(buffers, connections.back().ends[0]);
        for (size_t part = 0; part < 6; ++part) {
            writer.write(std::string(count % 3 == 0 ? 20 + part : 1500 + 700 * (count % 7) + 311 * part, 'd'));
            cr_assert_leq(buffers.bytes(), Bound, "%ld bytes", static_cast<long>(buffers.bytes()));
        }
    }
    cr_assert_gt(buffers.ended(), 0);
}

// Guards against bytes that are lost, repeated or out of order when a connection takes parts of them.
Test(caller_buffers, kept_bytes_are_written_in_order)
{
    Clock clock;
    CallerBuffers buffers(clock, Bound);
    Connection connection;
    CallerWriter writer(buffers, connection.ends[0]);
    std::string expected;
    std::string received;
    for (int count = 0; count < 400; ++count) {
        const std::string data = std::to_string(count) + std::string(static_cast<size_t>(37 * count % 1500), 'd');
        expected += data;
        cr_assert(writer.write(data));
        cr_assert_leq(buffers.bytes(), Bound);
        received += connection.read(900);
    }
    cr_assert(writer.hasPending());
    cr_assert_eq(buffers.readers(), 1);
    while (writer.hasPending()) {
        received += connection.read(3000);
        cr_assert(writer.flush());
    }
    for (std::string data = connection.read(3000); !data.empty(); data = connection.read(3000)) {
        received += data;
    }
    cr_assert(received == expected);
    cr_assert_eq(buffers.bytes(), 0);
    cr_assert_eq(buffers.readers(), 0);
    cr_assert_eq(buffers.ended(), 0);
}

// Guards against the end of another answer than the one of the slowest reader when the bound is reached.
Test(caller_buffers, the_reader_that_lags_most_ends_first)
{
    Clock clock;
    clock.pause();
    CallerBuffers buffers(clock, Bound);
    std::array<Connection, 4> connections;
    CallerWriter small(buffers, connections[0].ends[0]);
    CallerWriter slowest(buffers, connections[1].ends[0]);
    CallerWriter reading(buffers, connections[2].ends[0]);
    CallerWriter latest(buffers, connections[3].ends[0]);
    // It has waited longest, but keeps little.
    while (!small.hasPending()) {
        cr_assert(small.write(Part));
    }
    clock.advance(Milliseconds(20));
    cr_assert(slowest.write(std::string(40'000, 's')));
    clock.advance(Milliseconds(300));
    while (!slowest.wasEnded()) {
        cr_assert(reading.write(Part));
        cr_assert(latest.write(Part));
        connections[2].read(Part.size());
        cr_assert(reading.flush());
        cr_assert_leq(buffers.bytes(), Bound);
        cr_assert(!small.wasEnded() && !reading.wasEnded() && !latest.wasEnded());
        if (slowest.hasPending() && buffers.bytes() > Bound / 2) {
            cr_assert(slowest.write(Part));
        }
    }
    cr_assert_eq(buffers.ended(), 1);
    cr_assert(!slowest.write("x"));
    cr_assert(!slowest.flush());
    char byte = 0;
    // What the connection had taken is read, and then its end.
    while (::recv(connections[1].ends[1], &byte, 1, 0) > 0) { }
    cr_assert(small.write("x"));
}

// Guards against a single answer that takes more than the bound.
Test(caller_buffers, an_answer_beyond_the_bound_ends_itself)
{
    Clock clock;
    CallerBuffers buffers(clock, Bound);
    Connection connection;
    CallerWriter writer(buffers, connection.ends[0]);
    cr_assert(!writer.write(std::string(static_cast<size_t>(Bound) + 100'000, 'x')));
    cr_assert(writer.wasEnded());
    cr_assert_eq(buffers.bytes(), 0);
}

// Guards against a writer that is destroyed while another thread ends its answer.
Test(caller_buffers, answers_of_many_threads_end_and_finish_at_the_same_time)
{
    constexpr int Threads = 8;
    constexpr int Rounds = 300;
    Clock clock;
    CallerBuffers buffers(clock, Bound / 4);
    std::vector<std::thread> threads;
    threads.reserve(Threads);
    std::atomic<int64_t> ended{0};
    for (int number = 0; number < Threads; ++number) {
        threads.emplace_back([&buffers, &ended] {
            for (int round = 0; round < Rounds; ++round) {
                Connection connection;
                CallerWriter writer(buffers, connection.ends[0]);
                while (writer.write(Part) && buffers.ended() < 1'000'000) { }
                ended.fetch_add(writer.wasEnded() ? 1 : 0);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    cr_assert_eq(ended.load(), Threads * Rounds);
    cr_assert_eq(buffers.ended(), ended.load());
    cr_assert_eq(buffers.bytes(), 0);
    cr_assert_eq(buffers.readers(), 0);
}

// Guards against memory that stays counted after a caller has left.
Test(caller_buffers, a_caller_that_has_left_is_noticed_and_its_memory_released)
{
    Clock clock;
    CallerBuffers buffers(clock, Bound);
    Connection connection;
    {
        CallerWriter writer(buffers, connection.ends[0]);
        while (!writer.hasPending()) {
            cr_assert(writer.write(Part));
        }
        connection.leave();
        cr_assert(!writer.write(Part));
        cr_assert(!writer.flush());
        cr_assert(!writer.wasEnded());
    }
    cr_assert_eq(buffers.bytes(), 0);
    cr_assert_eq(buffers.readers(), 0);
}
