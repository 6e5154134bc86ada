// Parts of a target's cost for a prompt, in prompt tokens, that do not depend on whether the load is mixed.
#pragma once

#include <algorithm>

#include "pimentosail/dispatch/picker.h"

namespace pimentosail
{

// Cost, in prompt tokens, of each request in flight: it slows down the engine steps of all others.
constexpr double RequestTokens = 250;
// Fraction of the block's tokens that the preferred target is expected to have in its cache.
constexpr double PreferredTargetSaving = 0.5;
// Cost, per token, of fetching the block from a cache store in another zone: the transfer occupies the store's link for
// twice as long and delays other transfers.
constexpr double OtherZoneFetchCost = 0.8;
// Cost of each token that exceeds a target's cache memory: the prompt waits for memory, or the engine preempts another
// run and has to process its prompt again.
constexpr double OverflowCost = 2;
// Cost, in prompt tokens, of each request that waits until another run ends.
constexpr double WaitingRequestTokens = 3000;

// Returns the cost of a target's lack of cache memory and runs.
inline double capacityCost(const PickQuery &query, const Candidate &candidate)
{
    double cost = 0;
    if (candidate.capacityTokens > 0) {
        cost += OverflowCost * std::max(0.0, candidate.heldTokens + query.heldTokens - candidate.capacityTokens);
    }
    if (candidate.maxRuns > 0) {
        cost += WaitingRequestTokens * std::max(0.0, candidate.requests + 1 - candidate.maxRuns);
    }
    return cost;
}

} // namespace pimentosail
