// The connection of a caller: its socket, and the bytes that were received and not used yet.
//
//     CallerConnection connection(::accept(listener, nullptr, nullptr));
//     connection.receive(clock.now() + timeout, clock);
//     std::string block = connection.take(size);
//
// Not thread-safe: a connection belongs to one thread at a time.
#pragma once

#include <string>
#include <string_view>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

enum class ReceiveStatus {
    // At least one byte was received.
    Data,
    // The caller has closed its connection, or it has failed.
    Closed,
    Timeout,
};

class CallerConnection
{
public:
    // Maximum number of bytes that one call of `receive` reads.
    static constexpr size_t MaxReceiveBytes = 16 * 1024;

    // Takes ownership of the connected socket `descriptor`.
    explicit CallerConnection(int descriptor);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    int descriptor() const
    {
        return this->socket;
    }

    // Returns true if bytes, or the end of the connection, have arrived and were not received yet.
    bool hasInput() const;

    // Returns the bytes that were received and not taken.
    std::string_view received() const
    {
        return this->input;
    }

    // Waits until `end` for further bytes.
    ReceiveStatus receive(const Clock &clock, Time end);

    // Removes up to `size` bytes from those that were received and returns them.
    std::string take(size_t size);

    // Sends all bytes, and waits for a caller that reads slowly. Returns false if the connection has failed or the caller reads nothing for too
    // long.
    bool send(std::string_view bytes);

    // Ends the sending direction and drops what the caller still sends, until it closes the connection or `end`. A connection that is closed with
    // unread bytes is reset, and the caller may lose the last answer.
    void drain(const Clock &clock, Time end);

    // Ends both directions. The caller sees that an answer is not complete.
    void shutDown();

private:
    const int socket;
    std::string input;
};

} // namespace pimentosail
