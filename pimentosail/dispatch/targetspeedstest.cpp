// Tests what the cost of targets under mixed load depends on: learnt speeds, shares of prompt blocks, and the engine's priorities.
#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>

#include "pimentosail/dispatch/blockshares.h"
#include "pimentosail/dispatch/enginepriority.h"
#include "pimentosail/dispatch/targetspeeds.h"

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

} // namespace

// Guards against a target that is avoided long after it was slow.
Test(targetspeeds, an_observation_loses_its_weight)
{
    PausedClock clock;
    TargetSpeeds speeds(clock);
    cr_assert_eq(speeds.factor("a"), 1);
    speeds.record("a", Milliseconds(100), Milliseconds(200));
    cr_assert_float_eq(speeds.factor("a"), std::sqrt(2), 1e-6);
    for (int index = 0; index < 50; ++index) {
        speeds.record("a", Milliseconds(100), Milliseconds(200));
        speeds.record("b", Milliseconds(100), Milliseconds(9000));
    }
    cr_assert(speeds.factor("a") > 1.6 && speeds.factor("a") < 2, "%f", speeds.factor("a"));
    cr_assert_leq(speeds.factor("b"), 4);
    clock.advance(std::chrono::seconds(10));
    cr_assert_lt(speeds.factor("a"), 1.25);
    clock.advance(std::chrono::seconds(20));
    cr_assert_float_eq(speeds.factor("a"), 1, 0.01);
}

// Guards against a prompt whose team or route is less urgent and that is read first, and against urgent ones read as late ones.
Test(enginepriority, the_configured_priority_decides_before_the_time_that_is_left)
{
    ConfiguredPriorities two;
    two.add(0);
    two.add(2);
    cr_assert_eq(two.enginePriority(0, 1), 3);
    cr_assert_eq(two.enginePriority(0, 0.1), 0);
    cr_assert_eq(two.enginePriority(2, 1), 7);
    cr_assert_eq(two.enginePriority(2, -0.5), 4);
    ConfiguredPriorities one;
    one.add(4);
    cr_assert_eq(one.enginePriority(4, 1), 8);
    cr_assert_eq(one.enginePriority(4, 0), 0);
    ConfiguredPriorities all;
    for (int priority = 0; priority < 20; ++priority) {
        all.add(priority);
    }
    for (int priority = 0; priority < 20; ++priority) {
        cr_assert_eq(all.enginePriority(priority, 0.5), std::min(priority, 8));
    }
}

// Guards against a session with much of the traffic whose prompts all have the same preferred target.
Test(blockshares, a_session_has_as_many_preferred_targets_as_its_share_needs)
{
    BlockShares shares;
    cr_assert_eq(shares.recordAndCount("desk", "block", 1000, 140), 1, "one prompt says little");
    size_t hot = 0;
    size_t rare = 0;
    for (int index = 0; index < 2000; ++index) {
        hot = shares.recordAndCount("desk", index % 2 == 0 ? "hot" : "block-" + std::to_string(index % 600), 1000, 140);
        rare = index % 2 == 0 ? rare : hot;
        hot = index % 2 == 0 ? hot : 0;
    }
    hot = shares.recordAndCount("desk", "hot", 1000, 140);
    cr_assert(hot > 65 && hot < 75, "%zu", hot);
    cr_assert_eq(rare, 1);
}
