// Schedules the transfers over one link of a cache store, one cache block at a time. Imports that a caller waits for go
// first, then other imports, then background copies. Only one block is transferred at a time, so that the link is never
// asked for more than its rate and an urgent import waits for at most one block of another transfer.
//
//     LinkScheduler link(bytesPerSecond);
//     link.submit({1, 10, blockBytes, TransferClass::UrgentImport});
//     while (auto transfer = link.start()) { /* transfer one block of transfer->id */ link.finishBlock(); }
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

// Priority class of a transfer, highest first.
enum class TransferClass {
    UrgentImport,
    Import,
    Background,
};
constexpr size_t TransferClassCount = 3;

// A transfer of `blocks` cache blocks of `blockBytes` bytes each.
struct Transfer
{
    uint64_t id = 0;
    int64_t blocks = 0;
    int64_t blockBytes = 0;
    TransferClass priority = TransferClass::Import;
};

class LinkScheduler
{
public:
    // Creates a scheduler for a link with a rate of `bytesPerSecond`, which must be positive.
    explicit LinkScheduler(double bytesPerSecond)
        : rate(bytesPerSecond)
    {
    }

    // Queues a transfer behind the others of its class.
    void submit(const Transfer &transfer);

    // Returns the transfer whose next block is to be transferred now, or nothing if a block is being transferred already or
    // no transfer waits.
    std::optional<Transfer> start();

    // Marks the current block as transferred. Returns the id of its transfer if that was the last block.
    std::optional<uint64_t> finishBlock();

    // Removes a transfer from the queue; a block that is being transferred ends normally.
    void cancel(uint64_t id);

    // Returns how long a new transfer of `priority` would wait before its first block is transferred.
    Duration expectedWait(TransferClass priority) const;

    double bytesPerSecond() const
    {
        return this->rate;
    }

    // Returns the bytes of all queued blocks, of all classes.
    int64_t waitingBytes() const;

private:
    double rate;
    std::array<std::deque<Transfer>, TransferClassCount> queues;
    std::optional<Transfer> current;
};

} // namespace pimentosail
