#include "pimentosail/decision/linkscheduler.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

int64_t bytesOf(const std::deque<Transfer> &queue)
{
    int64_t bytes = 0;
    for (const Transfer &transfer : queue) {
        bytes += transfer.blocks * transfer.blockBytes;
    }
    return bytes;
}

} // namespace

void LinkScheduler::submit(const Transfer &transfer)
{
    this->queues.at(static_cast<size_t>(transfer.priority)).push_back(transfer);
}

std::optional<Transfer> LinkScheduler::start()
{
    if (this->current) {
        return std::nullopt;
    }
    for (std::deque<Transfer> &queue : this->queues) {
        if (queue.empty()) {
            continue;
        }
        this->current = queue.front();
        --queue.front().blocks;
        if (queue.front().blocks <= 0) {
            queue.pop_front();
        }
        return this->current;
    }
    return std::nullopt;
}

std::optional<uint64_t> LinkScheduler::finishBlock()
{
    if (!this->current) {
        return std::nullopt;
    }
    const Transfer finished = *this->current;
    this->current.reset();
    return finished.blocks <= 1 ? std::optional<uint64_t>(finished.id) : std::nullopt;
}

void LinkScheduler::cancel(uint64_t id)
{
    for (std::deque<Transfer> &queue : this->queues) {
        queue.erase(std::remove_if(queue.begin(), queue.end(), [id](const Transfer &transfer) { return transfer.id == id; }), queue.end());
    }
}

Duration LinkScheduler::expectedWait(TransferClass priority) const
{
    int64_t bytes = this->current ? this->current->blockBytes : 0;
    for (size_t index = 0; index <= static_cast<size_t>(priority); ++index) {
        bytes += bytesOf(this->queues.at(index));
    }
    return fromSeconds(static_cast<double>(bytes) / this->rate);
}

int64_t LinkScheduler::waitingBytes() const
{
    int64_t bytes = 0;
    for (const std::deque<Transfer> &queue : this->queues) {
        bytes += bytesOf(queue);
    }
    return bytes;
}

} // namespace pimentosail
