// A first-in first-out queue with a capacity that passes items between threads. `tryPush` refuses an item when the
// queue is full; only `push` may exceed the capacity.
//
//     BoundedQueue<Event> queue(1024);
//     if (!queue.tryPush(event)) { /* overloaded */ }
//     std::optional<Event> next = queue.pop(Milliseconds(100));
//
// All functions are thread-safe.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

template <typename T>
class BoundedQueue
{
public:
    // Creates a queue that accepts up to `queueCapacity` items by `tryPush`.
    explicit BoundedQueue(size_t queueCapacity)
        : capacity(queueCapacity)
    {
    }

    // Adds `item`; returns false and drops it if the queue is full or closed.
    bool tryPush(T item)
    {
        const std::lock_guard lock(this->mutex);
        if (this->closed || this->items.size() >= this->capacity) {
            return false;
        }
        this->items.push_back(std::move(item));
        this->changed.notify_one();
        return true;
    }

    // Adds `item` even if the queue is full; for events whose loss would break an invariant and whose
    // number is bounded elsewhere. Returns false only if the queue is closed.
    bool push(T item)
    {
        const std::lock_guard lock(this->mutex);
        if (this->closed) {
            return false;
        }
        this->items.push_back(std::move(item));
        this->changed.notify_one();
        return true;
    }

    // Removes the oldest item, waiting at most `wait`. Returns nothing after a timeout or once the queue is closed and empty.
    std::optional<T> pop(Duration wait)
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait_for(lock, wait, [this] { return this->closed || !this->items.empty(); });
        if (this->items.empty()) {
            return std::nullopt;
        }
        T item = std::move(this->items.front());
        this->items.pop_front();
        return item;
    }

    // Refuses further items and wakes all threads that wait in `pop`.
    void close()
    {
        const std::lock_guard lock(this->mutex);
        this->closed = true;
        this->changed.notify_all();
    }

    // Returns true once `close` was called and every item was removed.
    bool isClosed() const
    {
        const std::lock_guard lock(this->mutex);
        return this->closed && this->items.empty();
    }

    // Returns the number of items in the queue.
    size_t size() const
    {
        const std::lock_guard lock(this->mutex);
        return this->items.size();
    }

private:
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::deque<T> items;
    size_t capacity;
    bool closed = false;
};

} // namespace pimentosail
