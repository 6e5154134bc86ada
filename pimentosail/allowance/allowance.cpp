#include "pimentosail/allowance/allowance.h"

#include <algorithm>
#include <cmath>

namespace pimentosail
{

namespace
{

constexpr Duration LeaseDuration = std::chrono::seconds(2);
// Beyond the tokens that it needs at once, a host asks for its expected consumption in this time, in seconds.
constexpr double DemandSeconds = 0.5;
// Weight of a new sample in the moving average of the consumption rate.
constexpr double ConsumptionRateGain = 0.2;
// Age up to which a bucket is reported as new (`AllowanceLease::isNewBucket`).
constexpr Duration MaxNewBucketAge = std::chrono::seconds(3);
constexpr Duration ShortestRetry = Milliseconds(50);
constexpr Duration LongestRetry = std::chrono::seconds(60);
// Slots that a host requests in addition to those that it needs now.
constexpr int64_t SpareSlots = 2;

} // namespace

void AllowanceOwner::fill(Bucket &bucket, const AllowanceTerms &terms, Time now)
{
    const double seconds = toSeconds(now - bucket.filledAt);
    bucket.level = std::min(terms.burstTokens, bucket.level + seconds * terms.tokensPerSecond);
    bucket.filledAt = now;
}

int64_t AllowanceOwner::grantSlots(Bucket &bucket, const AllowanceLeaseRequest &request, const AllowanceTerms &terms, Time now)
{
    int64_t otherSlots = 0;
    for (auto lease = bucket.slots.begin(); lease != bucket.slots.end();) {
        if (lease->second.end <= now) {
            lease = bucket.slots.erase(lease);
            continue;
        }
        otherSlots += lease->first == request.host ? 0 : lease->second.slots;
        ++lease;
    }
    const int64_t slots = std::clamp<int64_t>(terms.concurrent - otherSlots, 0, request.wantedSlots);
    bucket.slots[request.host] = {slots, now + LeaseDuration};
    return slots;
}

AllowanceLease AllowanceOwner::grant(const AllowanceLeaseRequest &request, const AllowanceTerms &terms, Time now)
{
    this->openBucket(request.team, now);
    Bucket &bucket = this->buckets.at(request.team);
    fill(bucket, terms, now);
    bucket.level = std::min(terms.burstTokens, bucket.level + static_cast<double>(request.returnedTokens));
    AllowanceLease lease;
    lease.duration = LeaseDuration;
    lease.isNewBucket = now - bucket.openedAt < MaxNewBucketAge;
    lease.slots = grantSlots(bucket, request, terms, now);
    if (bucket.level < static_cast<double>(request.neededTokens)) {
        const double missing = static_cast<double>(request.neededTokens) - bucket.level;
        const Duration wait = terms.tokensPerSecond > 0 ? fromSeconds(std::min(missing / terms.tokensPerSecond, toSeconds(LongestRetry))) : LongestRetry;
        lease.retryAfter = std::max(wait, ShortestRetry);
        return lease;
    }
    lease.tokens = std::min<int64_t>(std::max(request.wantedTokens, request.neededTokens), static_cast<int64_t>(bucket.level));
    bucket.level -= static_cast<double>(lease.tokens);
    if (lease.slots < request.wantedSlots) {
        lease.retryAfter = ShortestRetry;
    }
    return lease;
}

void AllowanceOwner::openBucket(const std::string &team, Time now)
{
    const auto [found, created] = this->buckets.try_emplace(team);
    if (created) {
        found->second.filledAt = now;
        found->second.openedAt = now;
    }
}

void AllowanceOwner::removeBucket(const std::string &team)
{
    this->buckets.erase(team);
}

bool AllowanceClient::acquire(const std::string &team, int64_t tokens, Time now)
{
    Account &account = this->accounts[team];
    if (now >= account.leaseEnd || account.tokens < tokens || account.inFlight >= account.slots) {
        return false;
    }
    const double seconds = std::max(toSeconds(now - account.lastAcquired), 0.001);
    const double rate = static_cast<double>(tokens) / seconds;
    account.tokensPerSecond += ConsumptionRateGain * (rate - account.tokensPerSecond);
    account.lastAcquired = now;
    account.tokens -= tokens;
    account.consumed += tokens;
    ++account.inFlight;
    return true;
}

AllowanceLeaseRequest AllowanceClient::prepareRequest(const std::string &team, const std::string &host, int64_t tokens, Time now)
{
    Account &account = this->accounts[team];
    AllowanceLeaseRequest request;
    request.team = team;
    request.host = host;
    request.returnedTokens = account.tokens;
    request.neededTokens = tokens;
    request.wantedTokens = tokens + static_cast<int64_t>(account.tokensPerSecond * DemandSeconds);
    request.wantedSlots = account.inFlight + 1 + SpareSlots;
    account.tokens = 0;
    account.leaseEnd = now;
    return request;
}

void AllowanceClient::receive(const std::string &team, const AllowanceLease &lease, Time now)
{
    Account &account = this->accounts[team];
    account.tokens += lease.tokens;
    account.slots = lease.slots;
    account.leaseEnd = now + lease.duration;
}

void AllowanceClient::finish(const std::string &team, int64_t unusedTokens)
{
    Account &account = this->accounts[team];
    account.inFlight = std::max<int64_t>(0, account.inFlight - 1);
    account.tokens += unusedTokens;
    account.consumed -= unusedTokens;
}

int64_t AllowanceClient::inFlight(const std::string &team) const
{
    const auto found = this->accounts.find(team);
    return found == this->accounts.end() ? 0 : found->second.inFlight;
}

int64_t AllowanceClient::consumedTokens(const std::string &team) const
{
    const auto found = this->accounts.find(team);
    return found == this->accounts.end() ? 0 : found->second.consumed;
}

} // namespace pimentosail
