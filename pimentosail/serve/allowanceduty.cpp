#include "pimentosail/serve/allowanceduty.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

constexpr Duration LeaseCallTimeout = Milliseconds(300);
// Duration of a lease that a host grants itself from its reserve, and time until it asks the owner again.
constexpr Duration EmergencyLeaseDuration = Milliseconds(500);
// Longest wait for tokens of a bucket that has just been opened. A new bucket starts empty.
constexpr Duration MaxNewBucketWait = Milliseconds(800);
// Units into which membership splits an allowance among hosts.
constexpr int64_t ShareUnits = 1'000'000;
// Fraction of the burst that the hosts together keep in reserve for the time without a reachable owner. The rest is the
// owner's bucket.
constexpr double ReserveFraction = 0.5;
// Fraction of the concurrent requests that needs no lease. It is divided evenly among the hosts.
constexpr double BaseSlotFraction = 0.25;

std::string roleOf(const std::string &team)
{
    return "allowance/" + team;
}

} // namespace

void AllowanceCharge::settle(int64_t usedTokens)
{
    if (this->duty != nullptr) {
        this->duty->finish(this->team, std::max<int64_t>(0, this->tokens - usedTokens));
        this->duty = nullptr;
    }
}

AllowanceDuty::AllowanceDuty(
    Clock &runtimeClock, MembershipDuty &membershipDuty, PeerClient &peerClient, std::function<ConfigurationPointer()> configurationInForce)
    : clock(runtimeClock)
    , membership(membershipDuty)
    , peers(peerClient)
    , configuration(std::move(configurationInForce))
{
}

AllowanceCharge AllowanceDuty::charge(const Team &team, const Allowance &allowance, int64_t tokens)
{
    const auto ownerBurst = static_cast<int64_t>(static_cast<double>(allowance.burstTokens) * (1 - ReserveFraction));
    if (tokens > ownerBurst) {
        throw Failure(ErrorKind::NotAllowed, "the request needs " + std::to_string(tokens) + " tokens at once; the plan allows " + std::to_string(ownerBurst));
    }
    std::mutex *acquireMutex = nullptr;
    {
        const std::lock_guard lock(this->mutex);
        if (this->client.acquire(team.name, tokens, this->clock.now())) {
            return {this, team.name, tokens};
        }
        std::unique_ptr<std::mutex> &entry = this->acquireMutexes[team.name];
        if (!entry) {
            entry = std::make_unique<std::mutex>();
        }
        acquireMutex = entry.get();
    }
    // Acquires one lease at a time for each team. The requests that wait here use the tokens of that lease.
    const std::lock_guard acquireLock(*acquireMutex);
    {
        const std::lock_guard lock(this->mutex);
        if (this->client.acquire(team.name, tokens, this->clock.now())) {
            return {this, team.name, tokens};
        }
    }
    for (const Time end = this->clock.now() + MaxNewBucketWait;;) {
        const AllowanceLease lease = this->renewLease(team, allowance, tokens);
        {
            const std::lock_guard lock(this->mutex);
            if (this->client.acquire(team.name, tokens, this->clock.now())) {
                return {this, team.name, tokens};
            }
        }
        if (!lease.isNewBucket || this->clock.now() + lease.retryAfter > end) {
            throw Failure(ErrorKind::AllowanceExceeded,
                "the allowance of team '" + team.name + "' is used up; retry in " + std::to_string(toMilliseconds(lease.retryAfter)) + " ms");
        }
        this->clock.sleepFor(lease.retryAfter);
    }
}

// Returns the rest of the last lease and acquires a new one, from the reserve if the owner is unreachable.
AllowanceLease AllowanceDuty::renewLease(const Team &team, const Allowance &allowance, int64_t tokens)
{
    AllowanceLeaseRequest request;
    int64_t debt = 0;
    {
        const std::lock_guard lock(this->mutex);
        request = this->client.prepareRequest(team.name, this->membership.self().name, tokens, this->clock.now());
        debt = this->reserveDebts[team.name];
        request.neededTokens += debt;
        request.wantedTokens += debt;
    }
    AllowanceLease lease;
    bool isEmergency = false;
    try {
        lease = this->acquireLease(request, allowance);
    } catch (const Failure &) {
        request.neededTokens -= debt;
        lease = this->grantFromReserve(request, allowance);
        isEmergency = true;
    }
    const std::lock_guard lock(this->mutex);
    if (!isEmergency && lease.tokens >= debt) {
        lease.tokens -= debt;
        this->reserveDebts[team.name] -= debt;
    }
    const auto members = static_cast<double>(std::max<size_t>(1, this->membership.view().members.size()));
    lease.slots += static_cast<int64_t>(static_cast<double>(allowance.concurrent) * BaseSlotFraction / members);
    this->client.receive(team.name, lease, this->clock.now());
    return lease;
}

AllowanceLease AllowanceDuty::acquireLease(const AllowanceLeaseRequest &request, const Allowance &allowance)
{
    const std::string role = roleOf(request.team);
    const int64_t share = this->membership.usableLimit(role, ShareUnits);
    if (share > 0) {
        return this->grantAsOwner(request, allowance, static_cast<double>(share) / static_cast<double>(ShareUnits));
    }
    std::string ownerName;
    const std::string address = this->membership.ownerAddress(role, &ownerName);
    if (address.empty() || ownerName == this->membership.self().name || !this->membership.hasRecentHeartbeat(ownerName)) {
        throw Failure(ErrorKind::PeerLost, "the owner of the allowance cannot be reached");
    }
    Json::Value arguments;
    arguments["team"] = request.team;
    arguments["host"] = request.host;
    arguments["needed"] = Json::Int64(request.neededTokens);
    arguments["wanted"] = Json::Int64(request.wantedTokens);
    arguments["returned"] = Json::Int64(request.returnedTokens);
    arguments["slots"] = Json::Int64(request.wantedSlots);
    const Json::Value reply = this->peers.call(address, "lend", arguments, LeaseCallTimeout);
    AllowanceLease lease;
    lease.tokens = reply["tokens"].asInt64();
    lease.slots = reply["slots"].asInt64();
    lease.duration = Duration(reply["life_us"].asInt64());
    lease.retryAfter = Duration(reply["retry_us"].asInt64());
    lease.isNewBucket = reply["new"].asBool();
    return lease;
}

AllowanceLease AllowanceDuty::grantAsOwner(const AllowanceLeaseRequest &request, const Allowance &allowance, double share)
{
    AllowanceTerms terms;
    terms.tokensPerSecond = static_cast<double>(allowance.tokensPerSecond) * share;
    terms.burstTokens = static_cast<double>(allowance.burstTokens) * share * (1 - ReserveFraction);
    terms.concurrent = static_cast<int64_t>(static_cast<double>(allowance.concurrent) * share * (1 - BaseSlotFraction));
    const std::lock_guard lock(this->mutex);
    return this->owner.grant(request, terms, this->clock.now());
}

AllowanceLease AllowanceDuty::grantFromReserve(const AllowanceLeaseRequest &request, const Allowance &allowance)
{
    const auto members = static_cast<double>(std::max<size_t>(1, this->membership.view().members.size()));
    const auto reserve = static_cast<int64_t>(static_cast<double>(allowance.burstTokens) * ReserveFraction / members);
    const std::lock_guard lock(this->mutex);
    int64_t &debt = this->reserveDebts[request.team];
    // The tokens that the failed request returned were granted before, so they reduce the debt.
    debt = std::max<int64_t>(0, debt - request.returnedTokens);
    AllowanceLease lease;
    lease.duration = EmergencyLeaseDuration;
    lease.retryAfter = EmergencyLeaseDuration;
    lease.slots = this->client.inFlight(request.team);
    if (reserve - debt >= request.neededTokens) {
        lease.tokens = request.neededTokens;
        debt += lease.tokens;
    }
    return lease;
}

AllowanceLease AllowanceDuty::grantLease(const AllowanceLeaseRequest &request)
{
    const int64_t share = this->membership.usableLimit(roleOf(request.team), ShareUnits);
    if (share <= 0) {
        throw Failure(ErrorKind::NotOwner, "this host does not own the allowance of team '" + request.team + "'");
    }
    const ConfigurationPointer inForce = this->configuration();
    const Team *team = inForce ? inForce->lists.teamByName(request.team) : nullptr;
    if (team == nullptr) {
        throw Failure(ErrorKind::NotFound, "team '" + request.team + "' is not configured");
    }
    return this->grantAsOwner(request, inForce->lists.allowanceOf(*team), static_cast<double>(share) / static_cast<double>(ShareUnits));
}

void AllowanceDuty::refreshOwnership()
{
    const ConfigurationPointer inForce = this->configuration();
    if (!inForce) {
        return;
    }
    for (const Team &team : inForce->lists.teams) {
        const bool mayGrant = this->membership.usableLimit(roleOf(team.name), ShareUnits) > 0;
        const std::lock_guard lock(this->mutex);
        if (mayGrant) {
            this->owner.openBucket(team.name, this->clock.now());
        } else {
            this->owner.removeBucket(team.name);
        }
    }
}

void AllowanceDuty::finish(const std::string &team, int64_t unusedTokens)
{
    const std::lock_guard lock(this->mutex);
    this->client.finish(team, unusedTokens);
}

int64_t AllowanceDuty::consumedTokens(const std::string &team)
{
    const std::lock_guard lock(this->mutex);
    return this->client.consumedTokens(team);
}

} // namespace pimentosail
