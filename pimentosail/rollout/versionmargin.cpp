#include "pimentosail/rollout/versionmargin.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

// Requests wait up to about this multiple of the forecast.
constexpr int WaitFactor = 2;

} // namespace

Duration versionMargin(Duration expectedWait)
{
    return std::clamp(VersionCutoff + WaitFactor * expectedWait, MinVersionMargin, MaxVersionMargin);
}

bool needsOlderWeights(const std::optional<WeightsOffer> &newest, const WeightsOffer &older, Duration left)
{
    if (left < versionMargin(older.expectedWait)) {
        return false;
    }
    return !newest || (newest->isFull && older.expectedWait < newest->expectedWait);
}

} // namespace pimentosail
