#include "pimentosail/dispatch/sendwindow.h"

#include <algorithm>
#include <cmath>

#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

// About the age of the load of other hosts: a report interval and the way through a relay.
constexpr Duration WindowInterval = Milliseconds(150);
// A prompt is on time if what the target reads before it takes at most this share of its target latency; the rest is for the
// prompt itself.
constexpr double QueueLatencyShare = 0.5;
// A late prompt waits at a target for at most this share of its caller's time, and this multiple of the target latency: callers of
// streams give up soon after.
constexpr double LateTimeShare = 0.25;
constexpr double LateLatencyFactor = 2;

} // namespace

uint64_t windowKey(std::string_view host, Time now)
{
    // The intervals of the hosts begin at different times, so that a target does not open to others for all of them at once.
    const uint64_t hostHash = stableHash(host);
    const Duration phase = Duration(static_cast<int64_t>(hostHash % static_cast<uint64_t>(WindowInterval.count())));
    return combineHashes(hostHash, static_cast<uint64_t>((now + phase) / WindowInterval));
}

double promptPlaces(const PickQuery &query, const Candidate &candidate, double aheadTokens)
{
    const double latency = toSeconds(query.targetLatency);
    const double queueTime = query.isLate ? std::min(LateTimeShare * toSeconds(query.timeLeft), LateLatencyFactor * latency) : QueueLatencyShare * latency;
    const double readTokens = queueTime * 1000 / std::max(query.mixed->readTime * candidate.speed, 1e-6);
    const double queuedTokens = aheadTokens + (query.isLate ? candidate.lateTokens : 0);
    double places = (readTokens - queuedTokens) / std::max(1.0, query.prefillTokens);
    if (candidate.capacityTokens > 0) {
        places = std::min(places, (candidate.capacityTokens - candidate.heldTokens) / std::max(1.0, query.heldTokens));
    }
    return std::max(0.0, places);
}

bool isOpenTo(uint64_t key, const TargetState &target, double places, size_t hosts)
{
    const double share = places / static_cast<double>(std::max<size_t>(1, hosts));
    const double uniform = std::ldexp(static_cast<double>(combineHashes(key, stableHash(target.id)) >> 11U), -53);
    const int sent = target.window.load() == key ? target.windowSends.load() : 0;
    return sent < std::floor(share) + (uniform < share - std::floor(share) ? 1 : 0);
}

void recordWindowSend(uint64_t key, TargetState &target)
{
    // Two threads that begin an interval at once may count one prompt too few.
    if (target.window.exchange(key) != key) {
        target.windowSends.store(0);
    }
    target.windowSends.fetch_add(1);
}

} // namespace pimentosail
