// Learns how long targets take to load weights, so that a load's first status query comes when the load is expected to be done.
//
//     LoadTime loadTime;
//     const bool isProbe = loadTime.beginLoad();                   // when the target has accepted the order
//     Time queryAt = orderedAt + loadTime.firstQueryDelay(isProbe);
//     loadTime.recordFirstQuery(isProbe, elapsed, isDone);         // `elapsed` is counted from the order
//     loadTime.recordLaterQuery(elapsed);                          // a later query that showed the load done
//     loadTime.endProbe();                                         // whenever a probe's load has ended
//
// The time includes the lag of the targets' reports. A load that is done at its first query shows only an upper bound of the time. One
// load at a time is therefore a probe: its first query comes between the longest time at which a probe still ran and the time that is
// expected now. If it still runs then, its next query comes at the expected time. When the two are close there are no more probes, so loads that
// take as long as expected cost at most four queries more in the life of the object. The expected time is never longer than `InitialLoadTime`.
// Not thread-safe.
#pragma once

#include "pimentosail/base/clock.h"

namespace pimentosail
{

// The expected time before any load is finished. It suits loads of 1.8 s: the status lags by a few hundred ms.
constexpr Duration InitialLoadTime = Milliseconds(1900);

class LoadTime
{
public:
    // Returns true if the load that begins now is a probe.
    bool beginLoad();

    // Returns the time from a load's order to its first status query.
    Duration firstQueryDelay(bool isProbe) const;

    // Records the first query of a load, made `elapsed` after the order.
    void recordFirstQuery(bool isProbe, Duration elapsed, bool isDone);

    // Records that a later query, made `elapsed` after the order, was the first to show the load done.
    void recordLaterQuery(Duration elapsed);

    // Permits the next probe.
    void endProbe();

    Duration expected() const
    {
        return this->expectedTime;
    }

private:
    Duration expectedTime = InitialLoadTime;
    // Longest time after which the load of a probe still ran.
    Duration runningAt{};
    bool hasProbe = false;
};

} // namespace pimentosail
