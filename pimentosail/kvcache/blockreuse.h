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
#include <unordered_map>

namespace pimentosail
{

class BlockReuse
{
public:
    // Records the last part of a request. Returns true if another request had it before, or if those of the route often
    // return. `request` is the same for repeated attempts of one request, which say nothing; neither does an attempt
    // that is known to be one (`isRepeatedAttempt`).
    bool recordLastBlock(const std::string &route, const std::string &part, uint64_t request, bool isRepeatedAttempt);

private:
    struct Seen
    {
        // The request that each part was first seen with.
        std::unordered_map<uint64_t, uint64_t> parts;
        std::deque<uint64_t> order;
        // Decaying counts of all parts and of those that were seen before.
        double total = 0;
        double repeated = 0;
    };

    std::mutex mutex;
    std::map<std::string, Seen> routes;
};

} // namespace pimentosail
