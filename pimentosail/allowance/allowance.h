// Enforces each team's allowance (a token bucket and a limit of concurrent requests) over all hosts together, without
// writes to the key-value store.
//
// One host owns a team's bucket (`AllowanceOwner`) and grants short leases on tokens and slots. The other hosts consume
// the leased tokens (`AllowanceClient`) and return the unused ones. A new owner starts with an empty bucket, so that a
// change of owner never grants the same tokens twice.
//
//     AllowanceOwner owner;
//     AllowanceLease lease = owner.grant({"pickers", "entry-2", 5000, 20000, 0, 3}, terms, now);
//     AllowanceClient client;
//     client.receive("pickers", lease, now);
//     bool isAcquired = client.acquire("pickers", 5000, now);
//
// Not thread-safe; `AllowanceDuty` guards both.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

// The allowance of one team, as far as an owner may grant it.
struct AllowanceTerms
{
    double tokensPerSecond = 0;
    double burstTokens = 0;
    int64_t concurrent = 0;
};

// A host's request for a lease on a team's allowance.
struct AllowanceLeaseRequest
{
    std::string team;
    std::string host;
    // Minimum number of tokens; with fewer, the host cannot start the prompt that it asks for.
    int64_t neededTokens = 0;
    // Tokens that the host would like to have.
    int64_t wantedTokens = 0;
    // Unused tokens of the previous lease, which the host returns.
    int64_t returnedTokens = 0;
    // Requests that the host runs or wants to run concurrently.
    int64_t wantedSlots = 0;
};

// What the owner grants. The tokens and slots may be used until `duration` has elapsed.
struct AllowanceLease
{
    int64_t tokens = 0;
    int64_t slots = 0;
    Duration duration{};
    // When to ask again if fewer tokens or slots were granted than requested; otherwise 0.
    Duration retryAfter{};
    // True if the bucket was opened recently, after a change of owner: it fills soon, so the caller should retry.
    bool isNewBucket = false;
};

class AllowanceOwner
{
public:
    // Grants a lease from the team's bucket. The first call for a team opens an empty bucket.
    AllowanceLease grant(const AllowanceLeaseRequest &request, const AllowanceTerms &terms, Time now);

    // Opens an empty bucket for a team when this host becomes its owner. Does nothing if the bucket exists.
    void openBucket(const std::string &team, Time now);

    // Removes the bucket of a team that another host owns now.
    void removeBucket(const std::string &team);

    // Returns the number of buckets that this host owns.
    size_t size() const
    {
        return this->buckets.size();
    }

private:
    struct SlotLease
    {
        int64_t slots = 0;
        Time end{};
    };
    struct Bucket
    {
        double level = 0;
        Time filledAt{};
        Time openedAt{};
        std::map<std::string, SlotLease> slots;
    };

    static void fill(Bucket &bucket, const AllowanceTerms &terms, Time now);
    static int64_t grantSlots(Bucket &bucket, const AllowanceLeaseRequest &request, const AllowanceTerms &terms, Time now);

    std::map<std::string, Bucket> buckets;
};

class AllowanceClient
{
public:
    // Acquires `tokens` and one slot for a request. Returns false if the present lease does not cover them.
    bool acquire(const std::string &team, int64_t tokens, Time now);

    // Returns the lease request to send to the owner for a prompt of `tokens`. It ends the present lease and returns its
    // unused tokens.
    AllowanceLeaseRequest prepareRequest(const std::string &team, const std::string &host, int64_t tokens, Time now);

    // Records a lease that the owner granted.
    void receive(const std::string &team, const AllowanceLease &lease, Time now);

    // Ends a request: frees its slot and credits the tokens that it did not use.
    void finish(const std::string &team, int64_t unusedTokens);

    // Returns the number of requests of a team that this host runs.
    int64_t inFlight(const std::string &team) const;

    // Returns the tokens that this host has consumed for a team, without those that requests left unused.
    int64_t consumedTokens(const std::string &team) const;

private:
    struct Account
    {
        int64_t tokens = 0;
        int64_t slots = 0;
        int64_t inFlight = 0;
        int64_t consumed = 0;
        Time leaseEnd{};
        double tokensPerSecond = 0;
        Time lastAcquired{};
    };

    std::map<std::string, Account> accounts;
};

} // namespace pimentosail
