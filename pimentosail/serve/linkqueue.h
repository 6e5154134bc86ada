// Lets several threads move blocks over one link of a cache store, one block at a time, in the order that the link's
// `LinkScheduler` chooses.
//
//     link.submit({id, blocks, blockBytes, TransferClass::Import});
//     for each block: link.acquireSlot(id); move it; link.releaseSlot(id, failed);
//
// Thread-safe.
#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>

#include "pimentosail/decision/linkscheduler.h"

namespace pimentosail
{

class LinkQueue
{
public:
    // Schedules a link of `bytesPerSecond`.
    explicit LinkQueue(double bytesPerSecond)
        : scheduler(bytesPerSecond)
    {
    }

    // Adds a transfer; its id must be unique.
    void submit(const Transfer &transfer);

    // Blocks until the next block of transfer `id` may move.
    void acquireSlot(uint64_t id);

    // Frees the link after a block of transfer `id` has moved or failed; `cancelRest` drops the other blocks of the
    // transfer.
    void releaseSlot(uint64_t id, bool cancelRest);

    // Returns how long a new transfer of `priority` would wait before its first block moves.
    Duration expectedWait(TransferClass priority) const;

private:
    mutable std::mutex mutex;
    std::condition_variable changed;
    LinkScheduler scheduler;
    // Transfer whose block may move now; empty while the link is free.
    std::optional<uint64_t> activeTransfer;
};

} // namespace pimentosail
