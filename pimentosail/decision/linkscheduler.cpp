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
        bytes += transfer.pieces * transfer.pieceBytes;
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
    if (this->moving) {
        return std::nullopt;
    }
    for (std::deque<Transfer> &queue : this->queues) {
        if (queue.empty()) {
            continue;
        }
        this->moving = queue.front();
        --queue.front().pieces;
        if (queue.front().pieces <= 0) {
            queue.pop_front();
        }
        return this->moving;
    }
    return std::nullopt;
}

std::optional<uint64_t> LinkScheduler::pieceMoved()
{
    if (!this->moving) {
        return std::nullopt;
    }
    const Transfer moved = *this->moving;
    this->moving.reset();
    return moved.pieces <= 1 ? std::optional<uint64_t>(moved.id) : std::nullopt;
}

void LinkScheduler::cancel(uint64_t id)
{
    for (std::deque<Transfer> &queue : this->queues) {
        queue.erase(std::remove_if(queue.begin(), queue.end(), [id](const Transfer &transfer) { return transfer.id == id; }), queue.end());
    }
}

Duration LinkScheduler::waitFor(TransferClass priority) const
{
    int64_t bytes = this->moving ? this->moving->pieceBytes : 0;
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
