#include "pimentosail/dispatch/limits.h"

#include <algorithm>

#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

// Fraction of the shared bounds that the hosts use. The rest covers hosts that the others do not count yet.
constexpr double SafeShare = 0.8;
// Slightly longer than the second for which the limit holds: requests may arrive at shorter intervals than they were
// sent.
constexpr Duration ColdWindow = Milliseconds(1100);

} // namespace

void SharedRetryBudget::recordFirstSend(const std::string &service)
{
    const std::lock_guard lock(this->mutex);
    this->services[service].firstSends.add(this->clock.now());
}

bool SharedRetryBudget::tryAcquire(const std::string &service, size_t hosts)
{
    const std::lock_guard lock(this->mutex);
    const Time now = this->clock.now();
    Counts &counts = this->services[service];
    const auto firstSends = static_cast<double>(counts.firstSends.count(now, this->bounds.window));
    const auto retries = static_cast<double>(counts.retries.count(now, this->bounds.window));
    const double allowed = SafeShare * (this->bounds.ratio * firstSends + this->bounds.extra / static_cast<double>(std::max<size_t>(1, hosts)));
    if (retries + 1 > allowed) {
        return false;
    }
    counts.retries.add(now);
    return true;
}

int ColdTargetLimiter::hostShare(double requestsPerSecond, const std::string &target, const std::string &ownHost, const std::vector<std::string> &hosts)
{
    const double perHost = requestsPerSecond / static_cast<double>(std::max<size_t>(1, hosts.size()));
    if (perHost >= 1) {
        return static_cast<int>(perHost);
    }
    const std::vector<std::string> order = rendezvousOrder(target, hosts);
    const auto rank = std::find(order.begin(), order.end(), ownHost) - order.begin();
    return rank < static_cast<int64_t>(requestsPerSecond) ? 1 : 0;
}

bool ColdTargetLimiter::tryAcquire(const std::string &target, int allowed)
{
    const std::lock_guard lock(this->mutex);
    SlidingWindowCounter &count = this->sent[target];
    const Time now = this->clock.now();
    if (count.count(now, ColdWindow) >= static_cast<size_t>(std::max(0, allowed))) {
        return false;
    }
    count.add(now);
    return true;
}

bool ColdTargetLimiter::canAcquire(const std::string &target, int allowed)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->sent.find(target);
    return found == this->sent.end() ? allowed > 0 : found->second.count(this->clock.now(), ColdWindow) < static_cast<size_t>(std::max(0, allowed));
}

} // namespace pimentosail
