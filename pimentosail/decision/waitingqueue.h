// Internal to the decision core: requests that wait for a slot, in the order in which they are served, with the cost of
// each operation growing with the logarithm of their number.
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
    // Adds a request that counts as `priority`. A request that waits already is replaced.
    void add(const RequestInfo &request, Priority priority);

    // Removes a request, if it waits.
    void remove(RequestId id);

    // Changes the priority as which a waiting request counts.
    void raise(RequestId id, Priority priority);

    // Returns the first `count` requests: highest priority first, then earliest first-token deadline.
    std::vector<RequestId> first(size_t count) const;

    // Returns the requests whose deadline has passed: that of the first token, or of the whole answer if resumed.
    std::vector<RequestId> expired(Time now) const;

    // Returns the requests of `model` that count as `priority` or higher.
    int64_t countAtLeast(const std::string &model, Priority priority) const;

    // Returns a waiting request.
    const RequestInfo &at(RequestId id) const
    {
        return this->entries.at(id).request;
    }

    // Returns the waiting requests that count as batch work.
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
