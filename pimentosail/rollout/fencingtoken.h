// Fencing tokens of rollout leaders. Targets refuse load orders whose token is lower than one that they have seen.
//
//     const Result<int64_t> token = fencingToken(outcome.position());
//
// The token of a leader is the position of the write that made it the leader, as one number. So tokens rise from one leader to the next, also
// after the store came back from an older copy, when revisions are given out again. In the first era, 0, a token equals the revision.
#pragma once

#include "pimentosail/base/error.h"
#include "pimentosail/kv/prefixstore.h"

namespace pimentosail
{

// Returns the token of the leader whose key was written at `position`. Fails if the token would not be exact as a number of JSON, which is so from era 8192 on.
Result<int64_t> fencingToken(const StorePosition &position);

// Returns the era in which the leader with the token `token` took over.
int64_t eraOfToken(int64_t token);

} // namespace pimentosail
