#include "pimentosail/kvcache/blockreuse.h"

#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

// Blocks remembered for each route: about one minute of one host's peak traffic.
constexpr size_t MaxBlocksPerRoute = 4096;
constexpr size_t MaxRoutes = 512;
// Decay window of the counts: the total converges to this number of observations.
constexpr double DecayWindow = 500;
// If a smaller fraction of a route's last blocks is reused, a new last block is assumed to belong to one request.
constexpr double MinReusedFraction = 0.05;
constexpr double MinObservations = 50;

} // namespace

bool BlockReuse::recordLastBlock(const std::string &route, const std::string &block, uint64_t request, bool isRepeatedAttempt)
{
    const std::lock_guard lock(this->mutex);
    if (this->routes.size() >= MaxRoutes && !this->routes.contains(route)) {
        this->routes.clear();
    }
    RouteHistory &history = this->routes[route];
    const uint64_t hash = stableHash(block);
    const bool isOftenReused = history.total >= MinObservations && history.reused / history.total >= MinReusedFraction;
    if (isRepeatedAttempt) {
        return isOftenReused;
    }
    const auto [entry, isNew] = history.firstRequests.emplace(hash, request);
    const bool isReused = !isNew && entry->second != request;
    if (isNew) {
        history.insertionOrder.push_back(hash);
        if (history.insertionOrder.size() > MaxBlocksPerRoute) {
            history.firstRequests.erase(history.insertionOrder.front());
            history.insertionOrder.pop_front();
        }
    }
    const double decay = 1 - 1 / DecayWindow;
    history.total = history.total * decay + 1;
    history.reused = history.reused * decay + (isReused ? 1 : 0);
    return isReused || isOftenReused;
}

} // namespace pimentosail
