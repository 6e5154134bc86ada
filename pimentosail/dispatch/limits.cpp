#include "pimentosail/dispatch/limits.h"

#include <algorithm>
#include <cmath>

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
// Number of hosts that share a rate: `HostsPerRate` for each request a second, and `ExtraHosts`. Each host may send at least one
// request in a period, so that more hosts send more in the periods that the target counts.
constexpr double HostsPerRate = 1.5;
constexpr double ExtraHosts = 2;
// Requests a second to a target that takes fewer, or none: without any, no host would learn that its limit has ended.
constexpr double MinRate = 0.25;
// Largest number of requests a second in a host's share, far above what one host sends to one target.
constexpr double MaxShareCount = 500;

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

SendShare coldShare(double requestsPerSecond, const std::string &target, const std::string &ownHost, const std::vector<std::string> &hosts)
{
    const double perHost = requestsPerSecond / static_cast<double>(std::max<size_t>(1, hosts.size()));
    if (perHost >= 1) {
        return {static_cast<int>(std::min(perHost, MaxShareCount)), ColdWindow};
    }
    const size_t rank = rendezvousRank(target, ownHost, hosts);
    return {static_cast<double>(rank) < std::floor(requestsPerSecond) ? 1 : 0, ColdWindow};
}

RateShares::RateShares(
    const std::string &service, const std::string &ownHost, std::vector<std::string> hosts, size_t numberOfHosts, std::vector<std::string> serviceTargets)
    : hostCount(std::max<size_t>(1, std::max(numberOfHosts, hosts.size())))
    , targets(std::move(serviceTargets))
{
    const std::vector<std::string> order = rendezvousOrder(service, std::move(hosts));
    const auto own = std::find(order.begin(), order.end(), ownHost);
    if (own != order.end()) {
        this->position = static_cast<size_t>(own - order.begin());
    }
    std::sort(this->targets.begin(), this->targets.end());
}

SendShare RateShares::shareOf(const std::string &target, double requestsPerSecond) const
{
    const double rate = std::clamp(requestsPerSecond, MinRate, MaxShareCount * static_cast<double>(this->hostCount));
    const double wanted = std::floor(HostsPerRate * rate) + ExtraHosts;
    const size_t sharing = wanted < static_cast<double>(this->hostCount) ? static_cast<size_t>(wanted) : this->hostCount;
    const auto index = static_cast<size_t>(std::lower_bound(this->targets.begin(), this->targets.end(), target) - this->targets.begin());
    const size_t first = index * this->hostCount / std::max<size_t>(1, this->targets.size()) % this->hostCount;
    if (!this->position || (*this->position + this->hostCount - first) % this->hostCount >= sharing) {
        return {0, std::chrono::seconds(1)};
    }
    const double perSecond = rate / static_cast<double>(sharing);
    const double count = std::max(1.0, std::floor(perSecond));
    return {static_cast<int>(count), fromSeconds(count / perSecond)};
}

Time TargetSendLimiter::nextSendLocked(const std::string &target, const std::vector<SendShare> &shares) const
{
    Time next{};
    const auto found = this->sent.find(target);
    for (const SendShare &share : shares) {
        if (share.count <= 0) {
            return Time::max();
        }
        const auto count = static_cast<size_t>(share.count);
        if (found != this->sent.end() && found->second.size() >= count) {
            next = std::max(next, found->second[found->second.size() - count] + share.period);
        }
    }
    return next;
}

Time TargetSendLimiter::nextSend(const std::string &target, const std::vector<SendShare> &shares) const
{
    const std::lock_guard lock(this->mutex);
    return this->nextSendLocked(target, shares);
}

bool TargetSendLimiter::tryAcquire(const std::string &target, const std::vector<SendShare> &shares)
{
    const std::lock_guard lock(this->mutex);
    const Time now = this->clock.now();
    if (this->nextSendLocked(target, shares) > now) {
        return false;
    }
    std::deque<Time> &times = this->sent[target];
    times.push_back(now);
    if (times.size() > static_cast<size_t>(MaxShareCount)) {
        times.pop_front();
    }
    return true;
}

} // namespace pimentosail
