#include "pimentosail/serve/linkqueue.h"

namespace pimentosail
{

void LinkQueue::submit(const Transfer &transfer)
{
    const std::lock_guard lock(this->mutex);
    this->scheduler.submit(transfer);
}

void LinkQueue::acquireSlot(uint64_t id)
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

void LinkQueue::releaseSlot(uint64_t id, bool cancelRest)
{
    const std::lock_guard lock(this->mutex);
    this->scheduler.finishBlock();
    this->activeTransfer.reset();
    if (cancelRest) {
        this->scheduler.cancel(id);
    }
    this->changed.notify_all();
}

Duration LinkQueue::expectedWait(TransferClass priority) const
{
    const std::lock_guard lock(this->mutex);
    return this->scheduler.expectedWait(priority);
}

} // namespace pimentosail
