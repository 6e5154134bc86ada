#include "pimentosail/serve/allowanceduty.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

constexpr Duration LendTimeout = Milliseconds(300);
constexpr Duration EmergencyLoanLife = Milliseconds(500);
// Longest wait for tokens of a bucket that has just been opened.
constexpr Duration LongestWait = Milliseconds(800);
// Precision with which membership splits an allowance.
constexpr int64_t Parts = 1'000'000;
// Part of the burst that hosts keep as reserve for the time without an owner; the rest is the owner's bucket.
constexpr double ReserveFraction = 0.5;
// Part of the concurrent requests that each host may run without a loan, split over the hosts.
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
    std::mutex *borrowMutex = nullptr;
    {
        const std::lock_guard lock(this->mutex);
        if (this->client.acquire(team.name, tokens, this->clock.now())) {
            return {this, team.name, tokens};
        }
        std::unique_ptr<std::mutex> &entry = this->borrowing[team.name];
        if (!entry) {
            entry = std::make_unique<std::mutex>();
        }
        borrowMutex = entry.get();
    }
    // One loan at a time for each team: the others use what it brings.
    const std::lock_guard borrowLock(*borrowMutex);
    {
        const std::lock_guard lock(this->mutex);
        if (this->client.acquire(team.name, tokens, this->clock.now())) {
            return {this, team.name, tokens};
        }
    }
    for (const Time end = this->clock.now() + LongestWait;;) {
        const AllowanceLease loan = this->refresh(team, allowance, tokens);
        {
            const std::lock_guard lock(this->mutex);
            if (this->client.acquire(team.name, tokens, this->clock.now())) {
                return {this, team.name, tokens};
            }
        }
        if (!loan.isNewBucket || this->clock.now() + loan.retryAfter > end) {
            throw Failure(ErrorKind::AllowanceExceeded,
                "the allowance of team '" + team.name + "' is used up; retry in " + std::to_string(toMilliseconds(loan.retryAfter)) + " ms");
        }
        this->clock.sleepFor(loan.retryAfter);
    }
}

// Gives back what is left of the last loan and takes a new one.
AllowanceLease AllowanceDuty::refresh(const Team &team, const Allowance &allowance, int64_t tokens)
{
    AllowanceLeaseRequest request;
    int64_t debt = 0;
    {
        const std::lock_guard lock(this->mutex);
        request = this->client.prepareRequest(team.name, this->membership.self().name, tokens, this->clock.now());
        debt = this->debts[team.name];
        request.neededTokens += debt;
        request.wantedTokens += debt;
    }
    AllowanceLease loan;
    bool isEmergency = false;
    try {
        loan = this->borrow(request, allowance);
    } catch (const Failure &) {
        request.neededTokens -= debt;
        loan = this->emergencyLoan(request, allowance);
        isEmergency = true;
    }
    const std::lock_guard lock(this->mutex);
    if (!isEmergency && loan.tokens >= debt) {
        loan.tokens -= debt;
        this->debts[team.name] -= debt;
    }
    const auto members = static_cast<double>(std::max<size_t>(1, this->membership.view().members.size()));
    loan.slots += static_cast<int64_t>(static_cast<double>(allowance.concurrent) * BaseSlotFraction / members);
    this->client.receive(team.name, loan, this->clock.now());
    return loan;
}

AllowanceLease AllowanceDuty::borrow(const AllowanceLeaseRequest &request, const Allowance &allowance)
{
    const std::string role = roleOf(request.team);
    const int64_t part = this->membership.usable(role, Parts);
    if (part > 0) {
        return this->lendLocally(request, allowance, static_cast<double>(part) / static_cast<double>(Parts));
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
    const Json::Value reply = this->peers.call(address, "lend", arguments, LendTimeout);
    AllowanceLease loan;
    loan.tokens = reply["tokens"].asInt64();
    loan.slots = reply["slots"].asInt64();
    loan.duration = Duration(reply["life_us"].asInt64());
    loan.retryAfter = Duration(reply["retry_us"].asInt64());
    loan.isNewBucket = reply["new"].asBool();
    return loan;
}

AllowanceLease AllowanceDuty::lendLocally(const AllowanceLeaseRequest &request, const Allowance &allowance, double part)
{
    AllowanceTerms terms;
    terms.tokensPerSecond = static_cast<double>(allowance.tokensPerSecond) * part;
    terms.burstTokens = static_cast<double>(allowance.burstTokens) * part * (1 - ReserveFraction);
    terms.concurrent = static_cast<int64_t>(static_cast<double>(allowance.concurrent) * part * (1 - BaseSlotFraction));
    const std::lock_guard lock(this->mutex);
    return this->owner.grant(request, terms, this->clock.now());
}

AllowanceLease AllowanceDuty::emergencyLoan(const AllowanceLeaseRequest &request, const Allowance &allowance)
{
    const auto members = static_cast<double>(std::max<size_t>(1, this->membership.view().members.size()));
    const auto reserve = static_cast<int64_t>(static_cast<double>(allowance.burstTokens) * ReserveFraction / members);
    const std::lock_guard lock(this->mutex);
    int64_t &debt = this->debts[request.team];
    // What the client gave back with the failed request was already lent to it.
    debt = std::max<int64_t>(0, debt - request.returnedTokens);
    AllowanceLease loan;
    loan.duration = EmergencyLoanLife;
    loan.retryAfter = EmergencyLoanLife;
    loan.slots = this->client.inFlight(request.team);
    if (reserve - debt >= request.neededTokens) {
        loan.tokens = request.neededTokens;
        debt += loan.tokens;
    }
    return loan;
}

AllowanceLease AllowanceDuty::lend(const AllowanceLeaseRequest &request)
{
    const int64_t part = this->membership.usable(roleOf(request.team), Parts);
    if (part <= 0) {
        throw Failure(ErrorKind::NotOwner, "this host does not own the allowance of team '" + request.team + "'");
    }
    const ConfigurationPointer inForce = this->configuration();
    const Team *team = inForce ? inForce->lists.teamByName(request.team) : nullptr;
    if (team == nullptr) {
        throw Failure(ErrorKind::NotFound, "team '" + request.team + "' is not configured");
    }
    return this->lendLocally(request, inForce->lists.allowanceOf(*team), static_cast<double>(part) / static_cast<double>(Parts));
}

void AllowanceDuty::refreshOwnership()
{
    const ConfigurationPointer inForce = this->configuration();
    if (!inForce) {
        return;
    }
    for (const Team &team : inForce->lists.teams) {
        const bool mayLend = this->membership.usable(roleOf(team.name), Parts) > 0;
        const std::lock_guard lock(this->mutex);
        if (mayLend) {
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

int64_t AllowanceDuty::spent(const std::string &team)
{
    const std::lock_guard lock(this->mutex);
    return this->client.consumedTokens(team);
}

} // namespace pimentosail
