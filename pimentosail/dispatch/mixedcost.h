// The cost of a target for a prompt under mixed load (see `MixedLoad`), in prompt tokens that a target could read in the
// same time: the time until the prompt's first token there, and by how much it delays the other requests there.
//
// The load that hosts report of a target does not tell long prompts from others. Their number is estimated from the
// requests and the cache memory that these need, since long prompts need much more of it.
//
//     MixedCost cost = mixedCost(query, candidate, isPreferred);
//
// Depends only on the arguments and is thread-safe.
#pragma once

#include "pimentosail/dispatch/picker.h"

namespace pimentosail
{

struct MixedCost
{
    double total = 0;
    // Tokens that the target reads before this prompt.
    double aheadTokens = 0;
};

// Returns the cost of `candidate`. `query.mixed` must be set. `hasBlocks` is true if the target is expected to have the
// prompt's last shared block in its cache.
MixedCost mixedCost(const PickQuery &query, const Candidate &candidate, bool hasBlocks);

// Returns the cost of a target outside the local zone.
double mixedZoneCost(const PickQuery &query);

} // namespace pimentosail
