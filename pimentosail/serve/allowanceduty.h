// Charges requests to their team's allowance, which all hosts share. Acquires an allowance lease (tokens and slots for a
// short time) from the owner of the team's bucket when the last one is consumed. While the owner is unreachable, the host
// grants itself tokens of a small reserve and subtracts them from the next lease of the owner.
//
//     AllowanceDuty allowances(clock, membership, peers, configurationInForce);
//     AllowanceCharge charge = allowances.charge(team, allowance, tokens);   // throws Failure(AllowanceExceeded)
//     charge.settle(usedTokens);                                             // returns the rest, once
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

// Tokens charged for one request. Movable. Its destructor returns all tokens unless `settle` was called.
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

    // Ends the charge: `usedTokens` stay charged and the rest is returned. Only the first call has an effect.
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

    // Charges `tokens` to `team`; may block while a lease is acquired. Throws `Failure`: NotAllowed if the request needs
    // more than the plan ever grants at once, AllowanceExceeded otherwise.
    AllowanceCharge charge(const Team &team, const Allowance &allowance, int64_t tokens);

    // Grants a lease to another host, as the owner of the team's bucket. Throws `Failure` (NotOwner, NotFound).
    AllowanceLease grantLease(const AllowanceLeaseRequest &request);

    // Opens the buckets that this host owns now and removes the others. Call it a few times per second.
    void refreshOwnership();

    // Returns the tokens that a team has consumed through this host.
    int64_t consumedTokens(const std::string &team);

private:
    friend class AllowanceCharge;

    AllowanceLease renewLease(const Team &team, const Allowance &allowance, int64_t tokens);
    AllowanceLease acquireLease(const AllowanceLeaseRequest &request, const Allowance &allowance);
    AllowanceLease grantFromReserve(const AllowanceLeaseRequest &request, const Allowance &allowance);
    AllowanceLease grantAsOwner(const AllowanceLeaseRequest &request, const Allowance &allowance, double share);
    void finish(const std::string &team, int64_t unusedTokens);

    Clock &clock;
    MembershipDuty &membership;
    PeerClient &peers;
    std::function<ConfigurationPointer()> configuration;
    std::mutex mutex;
    AllowanceOwner owner;
    AllowanceClient client;
    // Tokens granted from this host's emergency reserve and not yet subtracted from a lease of the owner, by team.
    std::map<std::string, int64_t> reserveDebts;
    // One mutex per team: only one request at a time acquires a lease.
    std::map<std::string, std::unique_ptr<std::mutex>> acquireMutexes;
};

} // namespace pimentosail
