// Spreads the hosts over the targets between two load reports, under mixed load.
//
// Hosts know each other's requests at a target only with the next report. A target that has just become free, for example
// after a load of weights, would get a request of every host at once and be overloaded for seconds. So in each interval of
// the reports a target is open to as many hosts, on average, as it has room for prompts: in its cache memory, and in the
// time in which a prompt is still on time. A hash of host, target and interval decides, so that no messages are needed; a
// host that restarts, or that the store refuses, counts like any other. A target that is open to no host in an interval
// gets no prompt from any, except one that prefers it and for which it has room.
//
//     const double places = promptPlaces(query, candidate, aheadTokens);
//     if (isOpenTo(windowKey("front-1", now), *candidate.target, places, hosts)) { ... }
//     recordWindowSend(windowKey("front-1", now), *candidate.target);
//
// Thread-safe.
#pragma once

#include <string>
#include <string_view>

#include "pimentosail/base/clock.h"
#include "pimentosail/dispatch/picker.h"

namespace pimentosail
{

// Returns a number that is the same for `host` during one interval of the load reports.
uint64_t windowKey(std::string_view host, Time now);

// Returns how many prompts like that of `query` the candidate has room for: whole ones and a fraction, at least 0.
// `aheadTokens` are the tokens that it reads before the prompt. `query.mixed` must be set.
double promptPlaces(const PickQuery &query, const Candidate &candidate, double aheadTokens);

// Returns true if `target`, which has room for `places` prompts of all `hosts` hosts, is open to the host of `key`: it may send its
// share of them in each interval, and one more with the probability of the fraction.
bool isOpenTo(uint64_t key, const TargetState &target, double places, size_t hosts);

// Records that the host of `key` sends a prompt to `target`.
void recordWindowSend(uint64_t key, TargetState &target);

} // namespace pimentosail
