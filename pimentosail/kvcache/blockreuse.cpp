#include "pimentosail/kvcache/blockreuse.h"

#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

// Parts remembered for each route; about a minute of one host's traffic at its peak.
constexpr size_t MaxRemembered = 4096;
constexpr size_t MaxRoutes = 512;
// Old observations fade: the counts settle at about this many.
constexpr double Memory = 500;
// With fewer repeats than this, the last part is taken to belong to one request.
constexpr double ReturningShare = 0.05;
constexpr double MinObservations = 50;

} // namespace

bool BlockReuse::recordLastBlock(const std::string &route, const std::string &part, uint64_t request, bool isRepeatedAttempt)
{
    const std::lock_guard lock(this->mutex);
    if (this->routes.size() >= MaxRoutes && !this->routes.contains(route)) {
        this->routes.clear();
    }
    Seen &seen = this->routes[route];
    const uint64_t hash = stableHash(part);
    const bool oftenReturns = seen.total >= MinObservations && seen.repeated / seen.total >= ReturningShare;
    if (isRepeatedAttempt) {
        return oftenReturns;
    }
    const auto [entry, isNew] = seen.parts.emplace(hash, request);
    const bool isRepeat = !isNew && entry->second != request;
    if (isNew) {
        seen.order.push_back(hash);
        if (seen.order.size() > MaxRemembered) {
            seen.parts.erase(seen.order.front());
            seen.order.pop_front();
        }
    }
    const double keep = 1 - 1 / Memory;
    seen.total = seen.total * keep + 1;
    seen.repeated = seen.repeated * keep + (isRepeat ? 1 : 0);
    return isRepeat || oftenReturns;
}

} // namespace pimentosail
