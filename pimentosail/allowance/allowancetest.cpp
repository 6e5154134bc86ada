#include <random>

#include <criterion/criterion.h>

#include "pimentosail/allowance/allowance.h"

using namespace pimentosail;

namespace
{

constexpr Duration Second = std::chrono::seconds(1);
const AllowanceTerms Terms{1000, 5000, 10};

} // namespace

Test(allowance, a_new_owner_starts_with_an_empty_bucket)
{
    AllowanceOwner owner;
    const Time start = Second;
    cr_assert_eq(owner.grant({"t", "a", 100, 100, 0, 1}, Terms, start).tokens, 0);
    cr_assert_eq(owner.grant({"t", "a", 100, 100, 0, 1}, Terms, start + Second).tokens, 100);
}

Test(allowance, a_refused_lease_says_when_to_ask_again)
{
    AllowanceOwner owner;
    owner.openBucket("t", Second);
    const AllowanceLease lease = owner.grant({"t", "a", 2000, 2000, 0, 1}, Terms, Second * 2);
    cr_assert_eq(lease.tokens, 0);
    cr_assert_eq(lease.retryAfter.count(), 1'000'000);
}

Test(allowance, slots_are_shared_and_freed_when_a_lease_ends)
{
    AllowanceOwner owner;
    owner.openBucket("t", Time(0));
    cr_assert_eq(owner.grant({"t", "a", 0, 0, 0, 8}, Terms, Second).slots, 8);
    cr_assert_eq(owner.grant({"t", "b", 0, 0, 0, 8}, Terms, Second).slots, 2);
    cr_assert_eq(owner.grant({"t", "b", 0, 0, 0, 8}, Terms, Second * 10).slots, 8);
}

Test(allowance, a_lease_cannot_be_used_after_its_end)
{
    AllowanceClient client;
    client.receive("t", {100, 1, Second, Duration(0)}, Second);
    cr_assert_not(client.acquire("t", 10, Second * 3));
}

// Several hosts acquire tokens as fast as they can, and each request leaves some unused. The total must stay within the
// allowance.
Test(allowance, the_total_over_hosts_stays_within_the_allowance)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        AllowanceOwner owner;
        std::vector<AllowanceClient> clients(6);
        owner.openBucket("t", Time(0));
        const Duration length = Second * 200;
        int64_t consumed = 0;
        for (Time now{0}; now < length; now += Milliseconds(20)) {
            AllowanceClient &client = clients[random() % clients.size()];
            const int64_t cost = 1 + static_cast<int64_t>(random() % 200);
            const std::string host = std::to_string(&client - clients.data());
            if (!client.acquire("t", cost, now)) {
                const AllowanceLease lease = owner.grant(client.prepareRequest("t", host, cost, now), Terms, now);
                client.receive("t", lease, now);
                if (!client.acquire("t", cost, now)) {
                    continue;
                }
            }
            const int64_t unused = static_cast<int64_t>(random() % static_cast<unsigned>(cost));
            client.finish("t", unused);
            consumed += cost - unused;
        }
        const double allowed = Terms.burstTokens + Terms.tokensPerSecond * toSeconds(length);
        cr_assert_leq(static_cast<double>(consumed), allowed);
        // Unused tokens return to the bucket, so that almost the full allowance can be consumed.
        cr_assert_geq(static_cast<double>(consumed), 0.95 * Terms.tokensPerSecond * toSeconds(length), "seed %u: %ld", seed, static_cast<long>(consumed));
    }
}
