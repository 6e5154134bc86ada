// Shares one link of a store between transfers, a cache piece at a time: an import that a caller waits for goes
// before other imports, and these before background copies. At most one piece moves at once, so the link is never
// asked for more than its rate and an urgent import waits for one piece at the most.
//
//     LinkScheduler link(rate);
//     link.submit({1, 10, pieceBytes, TransferClass::UrgentImport});
//     while (auto id = link.start()) { move a piece of *id; link.pieceMoved(); }
//
// Not thread-safe.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

enum class TransferClass {
    UrgentImport,
    Import,
    Background,
};
constexpr size_t TransferClassCount = 3;

struct Transfer
{
    uint64_t id = 0;
    int64_t pieces = 0;
    int64_t pieceBytes = 0;
    TransferClass priority = TransferClass::Import;
};

class LinkScheduler
{
public:
    // Schedules a link of `bytesPerSecond`.
    explicit LinkScheduler(double bytesPerSecond)
        : rate(bytesPerSecond)
    {
    }

    // Adds a transfer behind those of its class.
    void submit(const Transfer &transfer);

    // Returns the transfer whose next piece is to be moved now, or nothing if a piece is moving or none waits.
    std::optional<Transfer> start();

    // Ends the moving piece. Returns the transfer's id if that was its last piece.
    std::optional<uint64_t> pieceMoved();

    // Drops a transfer; a piece that is moving ends normally.
    void cancel(uint64_t id);

    // Returns how long a new transfer of `priority` would wait before its first piece moves.
    Duration waitFor(TransferClass priority) const;

    double bytesPerSecond() const
    {
        return this->rate;
    }

    // Returns the bytes that wait, in all classes.
    int64_t waitingBytes() const;

private:
    double rate;
    std::array<std::deque<Transfer>, TransferClassCount> queues;
    std::optional<Transfer> moving;
};

} // namespace pimentosail
