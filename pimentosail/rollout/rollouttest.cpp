#include <criterion/criterion.h>

#include "pimentosail/rollout/announcement.h"
#include "pimentosail/rollout/fencingtoken.h"
#include "pimentosail/rollout/rollout.h"

using namespace pimentosail;

namespace
{

std::vector<RolloutTarget> makeTargets(size_t count)
{
    std::vector<RolloutTarget> targets(count);
    for (size_t index = 0; index < count; ++index) {
        targets[index].id = "t" + std::to_string(index);
        targets[index].version = 1;
        targets[index].requestsInFlight = static_cast<double>(count - index);
    }
    return targets;
}

} // namespace

Test(rollout, only_the_permitted_number_loads_at_once)
{
    std::vector<RolloutTarget> targets = makeTargets(12);
    cr_assert_eq(planRollout(targets, 2, {}).size(), 2);
    cr_assert_eq(planRollout(makeTargets(18), 2, {}).size(), 3);
    cr_assert_eq(planRollout(makeTargets(3), 2, {}).size(), 1);
    targets[4].isLoading = true;
    cr_assert_eq(planRollout(targets, 2, {}).size(), 1);
    targets[5].isLoading = true;
    cr_assert(planRollout(targets, 2, {}).empty());
}

// Guards against late loads that occupy the places of the others, and against orders to all targets, which could then load
// at the same moment.
Test(rollout, late_loads_have_a_bound_of_their_own)
{
    std::vector<RolloutTarget> targets = makeTargets(12);
    cr_assert_eq(maxUnfinishedLoads(12, {}), 9);
    cr_assert_eq(maxUnfinishedLoads(1, {}), 1);
    for (size_t index = 0; index < 7; ++index) {
        targets[index].isLate = true;
    }
    cr_assert_eq(planRollout(targets, 2, {}).size(), 2);
    targets[7].isLoading = true;
    cr_assert_eq(planRollout(targets, 2, {}).size(), 1);
    targets[8].isLate = true;
    cr_assert(planRollout(targets, 2, {}).empty());
}

Test(rollout, targets_with_the_oldest_version_are_selected_first_then_the_least_loaded)
{
    std::vector<RolloutTarget> targets = makeTargets(12);
    for (RolloutTarget &target : targets) {
        target.version = 2;
    }
    targets[0].version = 1;
    const std::vector<std::string> plan = planRollout(targets, 3, {});
    cr_assert_eq(plan[0], "t0");
    cr_assert_eq(plan[1], "t11");
}

Test(rollout, targets_that_have_the_version_or_are_excluded_are_not_selected)
{
    std::vector<RolloutTarget> targets = makeTargets(12);
    for (RolloutTarget &target : targets) {
        target.version = 2;
    }
    cr_assert(planRollout(targets, 2, {}).empty());
    targets[3].version = 1;
    targets[3].isExcluded = true;
    cr_assert(planRollout(targets, 2, {}).empty());
}

// Guards against a limit that drops as soon as one or two targets are missing, which slows the rollout. An earlier limit,
// rounded down, let 11 targets load one at a time and 17 targets two at a time.
Test(rollout, a_few_missing_targets_do_not_slow_the_rollout)
{
    for (const auto &[targets, maxLoads] :
        std::vector<std::pair<size_t, int64_t>>{{12, 2}, {11, 2}, {10, 2}, {18, 3}, {17, 3}, {16, 3}, {90, 18}, {140, 28}, {3, 1}, {1, 1}}) {
        cr_assert_eq(maxConcurrentLoads(targets, {}), maxLoads, "%zu targets", targets);
    }
}

// Guards against announcing a finished load under the currently wanted version: loads of version 2 that finished after
// version 3 had become the wanted one were announced as loads of version 3. The other hosts then sent these targets
// prompts that the targets refused, and the targets never got a load order for version 3.
Test(rollout, a_finished_load_keeps_the_version_it_was_for)
{
    RolloutAnnouncement announcement;
    announcement.fencingToken = 7;
    announcement.loading = {"b"};
    announcement.finished = {{"a", "m", 2}, {"c", "m", 3}};
    announcement.released = {"a"};
    const RolloutAnnouncement decoded = decodeAnnouncement(encodeAnnouncement(announcement));
    cr_assert_eq(decoded.fencingToken, 7);
    cr_assert_eq(decoded.finished.size(), 2);
    cr_assert_eq(decoded.finished[0].version, 2);
    cr_assert_eq(decoded.finished[1].version, 3);
    cr_assert_eq(decoded.loading[0], "b");
    cr_assert_eq(decoded.released[0], "a");
}

// Guards against a new leader whose orders targets refuse, or take for a lost leader's, because revisions are given out again after a restore.
Test(rollout, fencing_tokens_rise_with_era_and_revision_and_are_exact_in_json)
{
    cr_assert_eq(fencingToken({0, 41}).value(), 41);
    cr_assert_lt(fencingToken({0, (int64_t(1) << 40) - 1}).value(), fencingToken({1, 1}).value());
    cr_assert_lt(fencingToken({1, 900}).value(), fencingToken({2, 3}).value());
    cr_assert_lt(fencingToken({2, 3}).value(), fencingToken({2, 4}).value());
    cr_assert_eq(eraOfToken(fencingToken({7, 12}).value()), 7);
    const int64_t highest = fencingToken({8191, (int64_t(1) << 40) - 1}).value();
    cr_assert_eq(static_cast<int64_t>(static_cast<double>(highest)), highest);
    cr_assert_not(fencingToken({8192, 1}).has_value());
    cr_assert_not(fencingToken({1, int64_t(1) << 40}).has_value());
    cr_assert_not(fencingToken({-1, 1}).has_value());
}
