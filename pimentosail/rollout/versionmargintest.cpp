#include <criterion/criterion.h>

#include "pimentosail/rollout/versionmargin.h"

using namespace pimentosail;

// Load: 140 targets with a limit of 10 s, of which 28 have the newest weights and no room 6 s after the naming. Guards against refusals while
// targets with older weights are idle, and against prompts that are sent there and taken back.
Test(version_margin, older_weights_are_used_while_the_newest_have_no_room)
{
    const WeightsOffer older{Milliseconds(150), false};
    cr_assert(needsOlderWeights(std::nullopt, older, Milliseconds(4000)), "no target with the newest weights may get work");
    cr_assert(needsOlderWeights(WeightsOffer{Milliseconds(900), true}, older, Milliseconds(4000)));
    cr_assert(needsOlderWeights(std::nullopt, older, MinVersionMargin));
    cr_assert_not(needsOlderWeights(std::nullopt, older, MinVersionMargin - Milliseconds(1)));
}

// Load: few requests, so that targets with the newest weights have room. Guards against work on older weights within 4.2 s of their limit,
// which has less value; deployments whose targets load long before the limit are served as before.
Test(version_margin, older_weights_are_not_used_where_the_newest_have_room)
{
    const WeightsOffer older{Milliseconds(1), false};
    cr_assert_not(needsOlderWeights(WeightsOffer{Milliseconds(900), false}, older, Milliseconds(4199)));
    cr_assert_not(needsOlderWeights(WeightsOffer{Milliseconds(900), true}, {Milliseconds(901), false}, Milliseconds(4199)), "they serve it no sooner");
}

// Load: queues at the targets with older weights. Guards against a margin shorter than prompts wait there.
Test(version_margin, the_margin_follows_the_wait_at_the_target)
{
    cr_assert_eq(versionMargin(Duration(0)), MinVersionMargin);
    cr_assert_eq(versionMargin(Milliseconds(1000)), Milliseconds(2300));
    cr_assert_eq(versionMargin(std::chrono::seconds(30)), MaxVersionMargin);
    cr_assert_gt(MinVersionMargin, VersionCutoff, "a prompt would be taken back at once");
    cr_assert_not(needsOlderWeights(std::nullopt, {Milliseconds(1000), true}, Milliseconds(2299)));
    cr_assert(needsOlderWeights(std::nullopt, {Milliseconds(1000), true}, Milliseconds(2300)));
}
