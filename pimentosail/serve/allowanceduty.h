// Charges requests to their team's allowance, over all hosts together. Asks the owner of the team's bucket for a loan
// when the last one is spent.
//
//     AllowanceDuty allowances(clock, membership, peers, configuration);
//     AllowanceCharge charge = allowances.charge(team, terms, tokens);   // throws Failure(AllowanceExceeded)
//     charge.settle(usedTokens);                                         // gives back the rest, once
//
// Thread-safe.
#pragma once

#include <functional>
#include <mutex>
#include <string>

#include "pimentosail/allowance/allowance.h"
#include "pimentosail/config/configuration.h"
#include "pimentosail/peer/peerclient.h"
#include "pimentosail/serve/membershipduty.h"

namespace pimentosail
{

class AllowanceDuty;

// Tokens charged for one request. Movable; settles with nothing used if it is dropped.
class AllowanceCharge
{
public:
    AllowanceCharge(AllowanceDuty *chargingDuty, std::string teamName, int64_t chargedTokens)
        : duty(chargingDuty)
        , team(std::move(teamName))
        , tokens(chargedTokens)
    {
    }
    AllowanceCharge(AllowanceCharge &&other) noexcept
        : duty(std::exchange(other.duty, nullptr))
        , team(std::move(other.team))
        , tokens(other.tokens)
    {
    }
    AllowanceCharge(const AllowanceCharge &) = delete;
    AllowanceCharge &operator=(const AllowanceCharge &) = delete;
    AllowanceCharge &operator=(AllowanceCharge &&) = delete;
    ~AllowanceCharge()
    {
        this->settle(0);
    }

    // Ends the charge: `usedTokens` stay charged, the rest goes back. Only the first call counts.
    void settle(int64_t usedTokens);

private:
    AllowanceDuty *duty;
    std::string team;
    int64_t tokens;
};

class AllowanceDuty
{
public:
    AllowanceDuty(Clock &runtimeClock, MembershipDuty &membershipDuty, PeerClient &peerClient, std::function<ConfigurationPointer()> configurationInForce);

    // Charges `tokens` to `team`. Throws `Failure` (AllowanceExceeded, NotAllowed).
    AllowanceCharge charge(const Team &team, const Allowance &allowance, int64_t tokens);

    // Lends to another host, as the owner of the team's bucket. Throws `Failure` (NotOwner).
    AllowanceLease lend(const AllowanceLeaseRequest &request);

    // Opens the buckets that this host owns now and forgets the others; call it a few times a second.
    void refreshOwnership();

    // Returns the tokens this host has spent for a team.
    int64_t spent(const std::string &team);

private:
    friend class AllowanceCharge;

    AllowanceLease refresh(const Team &team, const Allowance &allowance, int64_t tokens);
    AllowanceLease borrow(const AllowanceLeaseRequest &request, const Allowance &allowance);
    AllowanceLease emergencyLoan(const AllowanceLeaseRequest &request, const Allowance &allowance);
    AllowanceLease lendLocally(const AllowanceLeaseRequest &request, const Allowance &allowance, double part);
    void finish(const std::string &team, int64_t unusedTokens);

    Clock &clock;
    MembershipDuty &membership;
    PeerClient &peers;
    std::function<ConfigurationPointer()> configuration;
    std::mutex mutex;
    AllowanceOwner owner;
    AllowanceClient client;
    // Tokens lent from this host's emergency reserve and not yet paid back, by team.
    std::map<std::string, int64_t> debts;
    std::map<std::string, std::unique_ptr<std::mutex>> borrowing;
};

} // namespace pimentosail
