#include "pimentosail/dispatch/mixedcost.h"

#include <algorithm>

#include "pimentosail/dispatch/costs.h"

namespace pimentosail
{

namespace
{

// Engines read prompts in chunks of about this many tokens, with a step of their other runs after each. A more urgent prompt
// waits for the rest of the present chunk, and an answer's next event for the whole.
constexpr double ChunkTokens = 2048;
// Long and other runs are told apart if a long one needs at least this multiple of the memory.
constexpr double MinHeldFactor = 1.5;
// Cost of a target in another zone, as a share of the prompt's target latency. A caller does not notice so short a time, so
// bytes go to another zone only if the first token comes sooner by more than this.
constexpr double OtherZoneLatencyShare = 1.0 / 16;

double longRuns(const MixedProfile &profile, const Candidate &candidate)
{
    if (profile.longHeld < MinHeldFactor * profile.shortHeld) {
        return 0;
    }
    const double excess = candidate.heldTokens - candidate.requests * profile.shortHeld;
    return std::clamp(excess / (profile.longHeld - profile.shortHeld), 0.0, candidate.requests);
}

} // namespace

MixedCost mixedCost(const PickQuery &query, const Candidate &candidate, bool hasBlocks)
{
    const MixedProfile &profile = *query.mixed;
    const double runs = longRuns(profile, candidate);
    const double longPending = std::min(candidate.pendingTokens, runs * profile.longPrefill);
    const bool isCachedHere = query.cacheZones.empty() || query.cacheZones.contains(candidate.target->zone);
    MixedCost cost;
    double time = query.prefillTokens + candidate.requests * RequestTokens;
    time -= hasBlocks ? PreferredTargetSaving * static_cast<double>(query.affinityTokens) : 0;
    time += isCachedHere ? 0 : OtherZoneFetchCost * static_cast<double>(query.affinityTokens);
    cost.aheadTokens = candidate.pendingTokens;
    double delays = 0;
    if (profile.overtakesLong) {
        cost.aheadTokens -= longPending;
        // The long prompts that wait stretch the pauses of this prompt's answer, too.
        time += std::max(std::min(longPending, ChunkTokens) / 2, profile.pauseWeight * longPending);
        delays = profile.longPrefill > 0 ? query.prefillTokens * longPending / profile.longPrefill : 0;
    } else if (profile.isLong) {
        delays = std::max(std::min(query.prefillTokens, ChunkTokens), profile.pauseWeight * query.prefillTokens) * (candidate.requests - runs);
    }
    cost.total = candidate.speed * (time + cost.aheadTokens + delays) + capacityCost(query, candidate);
    return cost;
}

double mixedZoneCost(const PickQuery &query)
{
    return OtherZoneLatencyShare * toSeconds(query.targetLatency) * 1000 / query.mixed->readTime;
}

} // namespace pimentosail
