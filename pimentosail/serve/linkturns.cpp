#include "pimentosail/serve/linkturns.h"

namespace pimentosail
{

void LinkTurns::submit(const Transfer &transfer)
{
    const std::lock_guard lock(this->mutex);
    this->scheduler.submit(transfer);
}

void LinkTurns::takeTurn(uint64_t id)
{
    std::unique_lock lock(this->mutex);
    while (this->activeTransfer != id) {
        if (!this->activeTransfer) {
            if (const std::optional<Transfer> next = this->scheduler.start()) {
                this->activeTransfer = next->id;
                this->changed.notify_all();
                continue;
            }
        }
        this->changed.wait(lock);
    }
}

void LinkTurns::endTurn(uint64_t id, bool cancelRest)
{
    const std::lock_guard lock(this->mutex);
    this->scheduler.pieceMoved();
    this->activeTransfer.reset();
    if (cancelRest) {
        this->scheduler.cancel(id);
    }
    this->changed.notify_all();
}

Duration LinkTurns::waitFor(TransferClass priority) const
{
    const std::lock_guard lock(this->mutex);
    return this->scheduler.waitFor(priority);
}

} // namespace pimentosail
