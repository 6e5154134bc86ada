// Tests when the load of a service counts as mixed: long prompts whose reading endangers the target latency of short ones.
#include <criterion/criterion.h>

#include <random>

#include "pimentosail/dispatch/mixedload.h"

using namespace pimentosail;

namespace
{

struct PausedClock : Clock
{
    PausedClock()
    {
        this->pause();
    }
};

constexpr double ShortTokens = 827;

struct Deployment
{
    double longTokens;
    Duration longLatency;
    Duration shortLatency;
    // Tokens per ms.
    double rate;
    // Standard deviation of first-token times, in ms.
    double noise = 30;
};

// Records `count` prompts of each kind, one of each in 100 ms, behind up to two other long prompts.
void recordTraffic(PausedClock &clock, MixedLoad &mixed, const Deployment &deployment, int count, uint64_t seed = 1)
{
    std::mt19937_64 random(seed);
    std::normal_distribution<double> noise(0, deployment.noise);
    for (int index = 0; index < count; ++index) {
        mixed.recordPrompt("desk", {"verses", deployment.longLatency, 2, deployment.longTokens, deployment.longTokens, deployment.longTokens + 9});
        mixed.recordPrompt("desk", {"letters", deployment.shortLatency, 0, ShortTokens, ShortTokens, ShortTokens + 49});
        for (const double own : {deployment.longTokens, ShortTokens}) {
            const double pending = own + deployment.longTokens * static_cast<double>(random() % 3);
            const double time = std::max(5.0, 20 + pending / deployment.rate + noise(random));
            mixed.recordFirstToken("desk", own == ShortTokens ? "letters" : "verses", pending, fromSeconds(time / 1000));
        }
        clock.advance(Milliseconds(100));
    }
}

} // namespace

Test(mixedload, long_prompts_that_endanger_short_ones_are_mixed_load)
{
    const std::vector<Deployment> deployments{
        {9190, Milliseconds(1200), Milliseconds(250), 41.4},
        {9190, Milliseconds(600), Milliseconds(500), 50.7},
    };
    for (const Deployment &deployment : deployments) {
        for (const uint64_t seed : {1U, 2U, 3U}) {
            PausedClock clock;
            MixedLoad mixed(clock);
            cr_assert_not(mixed.profile("desk", "letters", 0));
            recordTraffic(clock, mixed, deployment, 60, seed);
            const std::optional<MixedProfile> letters = mixed.profile("desk", "letters", 0);
            const std::optional<MixedProfile> verses = mixed.profile("desk", "verses", 2);
            cr_assert(letters && !letters->isLong && letters->overtakesLong, "%f tokens/ms", deployment.rate);
            cr_assert(verses && verses->isLong && !verses->overtakesLong);
            cr_assert_float_eq(verses->readTime, 1 / deployment.rate, 0.2 / deployment.rate);
            cr_assert_float_eq(verses->longPrefill, 9190, 1);
            cr_assert_float_eq(letters->shortHeld, 876, 1);
            cr_assert_not(mixed.profile("other", "letters", 0));
        }
    }
}

// Guards against new decisions in deployments whose targets read long prompts fast enough.
Test(mixedload, long_prompts_that_are_read_quickly_are_not_mixed_load)
{
    const std::vector<Deployment> deployments{
        {9190, Milliseconds(1000), Milliseconds(600), 112},
        {11992, Milliseconds(1500), Milliseconds(1000), 81.9},
        {11992, Milliseconds(1000), Milliseconds(1500), 81.9},
    };
    for (const Deployment &deployment : deployments) {
        for (const uint64_t seed : {1U, 2U, 3U}) {
            PausedClock clock;
            MixedLoad mixed(clock);
            for (int second = 0; second < 60; ++second) {
                recordTraffic(clock, mixed, deployment, 10, seed + 10 * static_cast<uint64_t>(second));
                cr_assert_not(mixed.profile("desk", "letters", 0), "%f tokens/ms", deployment.rate);
            }
        }
    }
}

// Guards against overload that counts as slow reading: prompts that wait for memory or runs take longer the more tokens wait.
Test(mixedload, overload_of_targets_that_read_quickly_is_not_mixed_load)
{
    for (const uint64_t seed : {1U, 2U, 3U}) {
        PausedClock clock;
        MixedLoad mixed(clock);
        recordTraffic(clock, mixed, {9190, Milliseconds(1000), Milliseconds(600), 112}, 100, seed);
        for (int step = 0; step < 100; ++step) {
            recordTraffic(clock, mixed, {9190, Milliseconds(1000), Milliseconds(600), 35}, 1, seed + 100 + static_cast<uint64_t>(step));
            cr_assert_not(mixed.profile("desk", "letters", 0), "after %d observations", step);
        }
    }
}

// Guards against hosts that change between the two ways of choosing targets while the reading time is near the limit.
Test(mixedload, the_decision_does_not_change_back_and_forth)
{
    PausedClock clock;
    MixedLoad mixed(clock);
    // 9,190 tokens are read in 125 ms at 73.5 tokens per ms, and in 100 ms at 91.9.
    int changes = 0;
    bool isMixed = false;
    for (int second = 0; second < 120; ++second) {
        recordTraffic(clock, mixed, {9190, Milliseconds(600), Milliseconds(500), second % 2 == 0 ? 70.0 : 77.0}, 10, static_cast<uint64_t>(second));
        const bool isMixedNow = mixed.profile("desk", "letters", 0).has_value();
        changes += isMixedNow != isMixed ? 1 : 0;
        isMixed = isMixedNow;
    }
    cr_assert_leq(changes, 1);
    recordTraffic(clock, mixed, {9190, Milliseconds(600), Milliseconds(500), 150}, 400, 7);
    cr_assert_not(mixed.profile("desk", "letters", 0), "targets that read much faster end it");
}

Test(mixedload, a_route_without_prompts_is_forgotten)
{
    PausedClock clock;
    MixedLoad mixed(clock);
    recordTraffic(clock, mixed, {9190, Milliseconds(1200), Milliseconds(250), 41.4}, 60);
    cr_assert_eq(mixed.mixedServices().size(), 1);
    clock.advance(std::chrono::seconds(61));
    for (int index = 0; index < 20; ++index) {
        mixed.recordPrompt("desk", {"letters", Milliseconds(250), 0, ShortTokens, ShortTokens, ShortTokens + 49});
        mixed.recordFirstToken("desk", "letters", ShortTokens, Milliseconds(40));
    }
    cr_assert(mixed.mixedServices().empty());
}

// Guards against long prompts that stretch the pauses of answers beside them: on a deployment whose engines read chunks of 4,096 tokens, a fifth of
// the answers had a pause over its limit without lanes.
Test(mixedload, pauses_over_their_limit_count_until_they_are_rare)
{
    PausedClock clock;
    MixedLoad mixed(clock);
    recordTraffic(clock, mixed, {9190, Milliseconds(600), Milliseconds(500), 50.7}, 60);
    cr_assert_eq(mixed.profile("desk", "letters", 0)->pauseWeight, 0);
    for (int answer = 0; answer < 100; ++answer) {
        mixed.recordPauses("desk", "letters", answer % 5 == 0);
    }
    cr_assert_gt(mixed.profile("desk", "letters", 0)->pauseWeight, 0.9, "a fifth of the answers is late");
    cr_assert_gt(mixed.profile("desk", "verses", 2)->pauseWeight, 0.9, "the service's long prompts go by it, too");
    for (int answer = 0; answer < 300; ++answer) {
        mixed.recordPauses("desk", "letters", answer % 100 == 0);
    }
    cr_assert_lt(mixed.profile("desk", "letters", 0)->pauseWeight, 0.1, "one in a hundred is late");
    for (int answer = 0; answer < 100; ++answer) {
        mixed.recordPauses("desk", "verses", true);
        mixed.recordPauses("other", "letters", true);
    }
    cr_assert_lt(mixed.profile("desk", "letters", 0)->pauseWeight, 0.1, "answers of long prompts and other services do not count");
}
