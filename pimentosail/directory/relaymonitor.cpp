#include "pimentosail/directory/relaymonitor.h"

#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

// Totals are late if they include no newer report of this host than one of this age.
constexpr Duration MaxTotalsAge = Milliseconds(400);
// How long totals may be late, and a part of the second time more, which differs between hosts.
constexpr Duration LateTimeout = std::chrono::seconds(1);
constexpr Duration LateSpread = std::chrono::seconds(3);
// A host whose own intervals take this much longer is slow itself.
constexpr Duration MaxOwnDelay = Milliseconds(100);

} // namespace

std::string_view relayFaultText(RelayFault fault)
{
    switch (fault) {
    case RelayFault::None:
        return "none";
    case RelayFault::Silent:
        return "no load totals received";
    case RelayFault::Late:
        return "load totals are late";
    }
    return "unknown";
}

void RelayMonitor::follow(const std::string &ownHost, const std::string &relay, Time now)
{
    const uint64_t draw = combineHashes(stableHash(ownHost), stableHash(relay));
    const std::lock_guard lock(this->mutex);
    this->patience = LateTimeout + Duration(static_cast<int64_t>(draw % static_cast<uint64_t>(LateSpread.count())));
    this->lastTotalsAt = now;
    this->lateSince = Time(0);
}

void RelayMonitor::recordTotals(Time sentAt, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->lastTotalsAt = now;
    if (sentAt >= now - MaxTotalsAge) {
        this->lateSince = Time(0);
    } else if (this->lateSince == Time(0)) {
        this->lateSince = now;
    }
}

void RelayMonitor::recordTotalsWithoutReport(Time now)
{
    const std::lock_guard lock(this->mutex);
    this->lastTotalsAt = now;
}

void RelayMonitor::recordOwnDelay(Duration delay)
{
    if (delay > MaxOwnDelay) {
        const std::lock_guard lock(this->mutex);
        this->lateSince = Time(0);
    }
}

RelayFault RelayMonitor::fault(Time now) const
{
    const std::lock_guard lock(this->mutex);
    if (now > this->lastTotalsAt + Timeout) {
        return RelayFault::Silent;
    }
    return this->lateSince != Time(0) && now > this->lateSince + this->patience ? RelayFault::Late : RelayFault::None;
}

} // namespace pimentosail
