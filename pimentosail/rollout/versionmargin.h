// How long before the limit for outdated weights new work on them ends.
//
//     const Duration margin = versionMargin(older.expectedWait);
//     const bool usesOlder = needsOlderWeights(newest, older, left);
//
// No request may begin on older weights after their limit. A prompt that waits at a target by then is taken back `VersionCutoff` before it, so
// the margin is no part of that rule. It keeps prompts from being sent that would wait in vain. Targets with older weights are used within
// `MaxVersionMargin` only for what the targets with the newest weights cannot take. The functions are pure and thread-safe.
#pragma once

#include <optional>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

// A prompt that still waits at a target with older weights this long before their limit is taken back, so that the target has
// noticed it by then.
constexpr Duration VersionCutoff = Milliseconds(300);
// The margin where targets with the newest weights can take the work: a request may wait at the target for about as long as its deadline allows
// before it starts.
constexpr Duration MaxVersionMargin = Milliseconds(4200);
// The shortest margin. A prompt then has as long to begin as a usual first event takes before it is taken back.
constexpr Duration MinVersionMargin = Milliseconds(600);

// Returns the margin for a prompt that is expected to begin after `expectedWait`, between the two bounds.
Duration versionMargin(Duration expectedWait);

// What a prompt can expect at the best target of a kind.
struct WeightsOffer
{
    // Time until the first event.
    Duration expectedWait{};
    // The first event is expected too late for the target latency, or the target's memory is nearly taken.
    bool isFull = false;
};

// Returns true if a prompt is to be sent to the best target with older weights, because those with the newest weights cannot take it in time and
// the older ones serve it sooner. `newest` is empty if none of them may get work. `left` is the time to the limit for the older weights.
bool needsOlderWeights(const std::optional<WeightsOffer> &newest, const WeightsOffer &older, Duration left);

} // namespace pimentosail
