// Predicts whether the last block of a prompt will be reused by other requests of its route.
//
// A block that only one request uses must not take space in a cache store, and does not indicate where a prompt's cache
// is.
//
//     const bool isReused = reuse.recordLastBlock(route, lastBlockId, requestFingerprint, false);
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
    // Records the last block of a request. Returns true if another request had the same last block before, or if last
    // blocks of the route are often reused. `request` identifies the request and is the same for all its attempts. Repeated
    // attempts of one request do not count as reuse; an attempt with `isRepeatedAttempt` is not recorded at all.
    bool recordLastBlock(const std::string &route, const std::string &block, uint64_t request, bool isRepeatedAttempt);

private:
    struct RouteHistory
    {
        // The first request with each last block, by the hash of the block's id.
        std::unordered_map<uint64_t, uint64_t> firstRequests;
        std::deque<uint64_t> insertionOrder;
        // Decaying counts of all recorded blocks and of the reused ones among them.
        double total = 0;
        double reused = 0;
    };

    std::mutex mutex;
    std::map<std::string, RouteHistory> routes;
};

} // namespace pimentosail
