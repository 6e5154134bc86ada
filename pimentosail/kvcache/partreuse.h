// Learns whether the last part of a route's prompts returns, or belongs to one request only.
//
// A part that does not return must not take room in a store, and says nothing about where a prompt's cache is.
//
//     const bool returns = reuse.note(route, lastPartId);
//
// Thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <unordered_set>

namespace pimentosail
{

class PartReuse
{
public:
    // Records one last part of `route`. Returns true if it has been seen before, or if those of the route often are.
    bool note(const std::string &route, const std::string &part);

private:
    struct Seen
    {
        std::unordered_set<uint64_t> parts;
        std::deque<uint64_t> order;
        // Decaying counts of all parts and of those that were seen before.
        double total = 0;
        double repeated = 0;
    };

    std::mutex mutex;
    std::map<std::string, Seen> routes;
};

} // namespace pimentosail
