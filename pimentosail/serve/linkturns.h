// Lets threads move pieces over one link of a store in the order that its scheduler chooses, one piece at a time.
//
//     link.submit({id, pieces, pieceBytes, TransferClass::Import});
//     for each piece: link.takeTurn(id); move it; link.endTurn(id, failed);
//
// Thread-safe.
#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>

#include "pimentosail/decision/linkscheduler.h"

namespace pimentosail
{

class LinkTurns
{
public:
    // Shares a link of `bytesPerSecond`.
    explicit LinkTurns(double bytesPerSecond)
        : scheduler(bytesPerSecond)
    {
    }

    // Adds a transfer; its id must be unique.
    void submit(const Transfer &transfer);

    // Blocks until the next piece of transfer `id` may move.
    void takeTurn(uint64_t id);

    // Ends the piece of transfer `id`; `cancelRest` drops its other pieces.
    void endTurn(uint64_t id, bool cancelRest);

    // Returns how long a new transfer of `priority` would wait.
    Duration waitFor(TransferClass priority) const;

private:
    mutable std::mutex mutex;
    std::condition_variable changed;
    LinkScheduler scheduler;
    std::optional<uint64_t> turn;
};

} // namespace pimentosail
