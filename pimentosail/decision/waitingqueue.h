// Internal to the decision core: requests that wait for a slot, in the order in which they are served. Adding, removing and
// changing a request takes logarithmic time.
//
//     WaitingQueue queue;
//     queue.add(request, Priority::Interactive);
//     for (RequestId id : queue.first(64)) { ... }
//
// Not thread-safe.
#pragma once

#include <array>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "pimentosail/decision/types.h"

namespace pimentosail
{

class WaitingQueue
{
public:
    // Adds a request that is served with `priority`. Replaces a request with the same id.
    void add(const RequestInfo &request, Priority priority);

    // Removes a request if it is in the queue.
    void remove(RequestId id);

    // Sets the priority with which a waiting request is served.
    void setPriority(RequestId id, Priority priority);

    // Returns the first `count` requests: highest priority first, then earliest first-token deadline.
    std::vector<RequestId> first(size_t count) const;

    // Returns the requests whose deadline has passed: the first-token deadline (or the finish deadline if it is earlier), or
    // only the finish deadline if resumed.
    std::vector<RequestId> expired(Time now) const;

    // Returns the number of waiting requests of `model` that are served with `priority` or a higher one.
    int64_t countAtLeast(const std::string &model, Priority priority) const;

    // Returns the waiting request `id`; throws std::out_of_range if it does not wait.
    const RequestInfo &at(RequestId id) const
    {
        return this->entries.at(id).request;
    }

    // Returns the waiting requests that are served with priority Batch, latest deadline first.
    std::vector<RequestId> batch() const;

    size_t size() const
    {
        return this->entries.size();
    }

private:
    struct Key
    {
        int level;
        Time deadline;
        RequestId id;

        bool operator<(const Key &other) const;
    };
    struct Entry
    {
        RequestInfo request;
        Priority priority;
        Time expiry{};
    };

    static Key keyOf(const Entry &entry);
    int64_t &countOf(const Entry &entry);

    std::unordered_map<RequestId, Entry> entries;
    std::set<Key> order;
    std::set<std::pair<Time, RequestId>> expiries;
    std::map<std::string, std::array<int64_t, 3>> counts;
};

} // namespace pimentosail
