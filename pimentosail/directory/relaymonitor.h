// Decides whether a follower leaves its relay: one that sends no totals of the load has failed, and one that sends them late is slow, which
// is worse, because it still answers.
//
// Totals name the newest report of this host that they include, so their age is the time since that report was sent. A host that is
// slow itself can't tell whether its relay is. Followers leave a slow relay at different times, so that those that stay longer may find
// that it has caught up.
//
//     RelayMonitor monitor;
//     monitor.follow("front-1", "front-9", now);
//     monitor.recordTotals(sentAt, now);
//     if (monitor.fault(now) != RelayFault::None) { follow another relay }
//
// Thread-safe.
#pragma once

#include <mutex>
#include <string>
#include <string_view>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

enum class RelayFault {
    None,
    // No totals were received for `Timeout`.
    Silent,
    // All totals of more than a second were late.
    Late,
};

// Returns the reason as it stands in logs.
std::string_view relayFaultText(RelayFault fault);

class RelayMonitor
{
public:
    // A relay without totals for this long has failed. A relay sends totals to a host for as long after its last report.
    static constexpr Duration Timeout = std::chrono::seconds(1);

    // Starts to watch another relay.
    void follow(const std::string &ownHost, const std::string &relay, Time now);

    // Records totals; `sentAt` is when this host sent the newest report that they include, or `Time::min()` for one that it no longer
    // remembers.
    void recordTotals(Time sentAt, Time now);

    // Records totals that include no report of this host.
    void recordTotalsWithoutReport(Time now);

    // Records how long an interval of this host took beyond its length.
    void recordOwnDelay(Duration delay);

    RelayFault fault(Time now) const;

private:
    mutable std::mutex mutex;
    // How long totals may be late for this host and relay.
    Duration patience{};
    Time lastTotalsAt{};
    // Since when all totals have been late; zero if the last ones were in time.
    Time lateSince{};
};

} // namespace pimentosail
