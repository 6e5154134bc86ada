// Holds each team to its allowance over all hosts together, without a write to the key-value service.
//
// One host owns a team's bucket (`AllowanceOwner`) and lends parts of it for a short time; the others spend what
// they were lent (`AllowanceClient`) and give back the rest. A new owner starts with an empty bucket, so that a change
// of owner never hands out the same tokens twice.
//
//     AllowanceOwner owner;
//     Loan loan = owner.lend({"pickers", "entry-2", 5000, 20000, 0, 3}, terms, now);
//     AllowanceClient client;
//     client.receive("pickers", loan, now);
//     bool taken = client.take("pickers", 5000, now);
//
// Not thread-safe; `AllowanceDuty` guards both.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

// The allowance of one team that an owner may hand out.
struct AllowanceTerms
{
    double tokensPerSecond = 0;
    double burstTokens = 0;
    int64_t concurrent = 0;
};

// A host asks for a part of a team's allowance.
struct AllowanceLeaseRequest
{
    std::string team;
    std::string host;
    // Tokens without which the request cannot start.
    int64_t neededTokens = 0;
    // Tokens that the host would like to have.
    int64_t wantedTokens = 0;
    // Unspent tokens that come back.
    int64_t returnedTokens = 0;
    // Requests that the host runs or wants to run at once.
    int64_t wantedSlots = 0;
};

// What the owner lends. The tokens and slots may be used until `life` has passed.
struct AllowanceLease
{
    int64_t tokens = 0;
    int64_t slots = 0;
    Duration duration{};
    // If too little was lent: when to ask again.
    Duration retryAfter{};
    // True if the bucket has only just been opened, after a change of owner: waiting a moment is worth it.
    bool isNewBucket = false;
};

class AllowanceOwner
{
public:
    // Lends from the team's bucket. The first call for a team starts with an empty bucket.
    AllowanceLease grant(const AllowanceLeaseRequest &request, const AllowanceTerms &terms, Time now);

    // Starts the bucket of a team, empty, when this host becomes its owner. Does nothing if there is one.
    void openBucket(const std::string &team, Time now);

    // Forgets a team whose bucket another host owns now.
    void removeBucket(const std::string &team);

    // Returns the teams with a bucket here.
    size_t size() const
    {
        return this->buckets.size();
    }

private:
    struct SlotLoan
    {
        int64_t slots = 0;
        Time end{};
    };
    struct Bucket
    {
        double level = 0;
        Time filledAt{};
        Time openedAt{};
        std::map<std::string, SlotLoan> slots;
    };

    static void fill(Bucket &bucket, const AllowanceTerms &terms, Time now);
    static int64_t lendSlots(Bucket &bucket, const AllowanceLeaseRequest &request, const AllowanceTerms &terms, Time now);

    std::map<std::string, Bucket> buckets;
};

class AllowanceClient
{
public:
    // Takes `tokens` and one slot for a request. Returns false if the loan does not cover them.
    bool acquire(const std::string &team, int64_t tokens, Time now);

    // Returns what to ask of the owner for a request of `tokens`. Unspent tokens of an ended loan go back with it.
    AllowanceLeaseRequest prepareRequest(const std::string &team, const std::string &host, int64_t tokens, Time now);

    // Takes the owner's answer.
    void receive(const std::string &team, const AllowanceLease &loan, Time now);

    // Ends a request: frees its slot and takes back the tokens that it did not use.
    void finish(const std::string &team, int64_t unusedTokens);

    // Returns the requests of a team that this host runs.
    int64_t inFlight(const std::string &team) const;

    // Returns the tokens that this host has spent for a team, net of what came back.
    int64_t consumedTokens(const std::string &team) const;

private:
    struct Account
    {
        int64_t tokens = 0;
        int64_t slots = 0;
        int64_t inFlight = 0;
        int64_t consumed = 0;
        Time loanEnd{};
        double tokensPerSecond = 0;
        Time lastTake{};
    };

    std::map<std::string, Account> accounts;
};

} // namespace pimentosail
