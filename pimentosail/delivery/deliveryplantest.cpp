#include <criterion/criterion.h>

#include <algorithm>

#include "pimentosail/delivery/deliveryplan.h"

using namespace pimentosail;

namespace
{

const DeliverySettings Settings;

DeliveryOrder makeOrder(const char *version = "v2", StorePosition position = {1, 7}, double seconds = 12)
{
    return *DeliveryOrder::make("chat", version, seconds, position);
}

std::vector<DeliveryTarget> makeTargets(size_t oldTargets, size_t newTargets)
{
    std::vector<DeliveryTarget> targets;
    for (size_t index = 0; index < oldTargets + newTargets; ++index) {
        targets.push_back({.id = "t" + std::to_string(index), .version = index < oldTargets ? "v1" : "v2"});
    }
    return targets;
}

Evidence makeEvidence(EvidenceVerdict verdict, int64_t newAnswers = 100)
{
    return {.verdict = verdict, .reason = "figures", .summary = {.newAnswers = newAnswers}};
}

// A delivery that proceeds step by step.
struct Course
{
    DeliveryInput input{.order = makeOrder(), .targets = makeTargets(10, 10), .evidence = makeEvidence(EvidenceVerdict::Good)};
    int writes = 0;

    DeliveryPhase at(Duration elapsed)
    {
        this->input.elapsed = elapsed;
        const DeliveryStep step = planDelivery(this->input, Settings);
        this->writes += step.mustWrite ? 1 : 0;
        if (step.mustWrite) {
            this->input.previous = step.state;
        }
        return this->input.previous ? this->input.previous->phase : DeliveryPhase::Waiting;
    }

    DeliveryPhase at(int milliseconds)
    {
        return this->at(Duration(Milliseconds(milliseconds)));
    }
};

void setLeaving(std::vector<DeliveryTarget> &targets, const std::string &version)
{
    for (DeliveryTarget &target : targets) {
        target.isLeaving = target.isLeaving || target.version == version;
    }
}

} // namespace

// Failure: the switch takes more than what operators allow for a bad version.
Test(deliveryplan, the_watched_share_and_the_switch_use_what_may_be_exposed)
{
    cr_assert_eq(switchTime(std::chrono::seconds(12), Settings), Duration(std::chrono::seconds(1)));
    cr_assert_eq(switchBegin(std::chrono::seconds(12), Settings), Duration(Milliseconds(9500)));
    cr_assert_float_eq(watchShare(std::chrono::seconds(12), Settings), 0.2 / 11, 1e-9);
    for (const int seconds : {12, 20, 60, 600, 86400}) {
        const Duration duration = std::chrono::seconds(seconds);
        const double inSwitch = toSeconds(switchTime(duration, Settings));
        const double exposed = watchShare(duration, Settings) * (seconds - inSwitch) + inSwitch;
        cr_assert_leq(exposed, 0.1 * seconds + 1e-6, "%d s", seconds);
        cr_assert_leq(switchBegin(duration, Settings).count(), (duration - Milliseconds(1500) - switchTime(duration, Settings)).count());
        cr_assert_geq(toSeconds(switchBegin(duration, Settings)), 0.75 * seconds, "%d s", seconds);
    }
    cr_assert_float_eq(watchShare(std::chrono::seconds(2), Settings), 0.01, 1e-9);
    cr_assert_eq(switchBegin(std::chrono::seconds(1), Settings), Duration(0));
}

// Load: few requests. Failure: there is no answer to judge, or more is exposed than the share and half of the slack.
Test(deliveryplan, with_few_requests_the_slack_raises_the_share)
{
    const DeliverySettings settings{.exposureShare = 0.1, .exposureSlack = 50};
    const Duration duration = std::chrono::seconds(12);
    for (const double rate : {1.0, 30.0, 400.0, 5000.0}) {
        const double share = watchShare(duration, settings, rate);
        cr_assert_leq(share, 0.1);
        cr_assert_geq(share, watchShare(duration, settings));
        cr_assert_leq(rate * (share * 11 + 1), rate * 0.1 * 12 + 25 + 1e-6);
    }
    cr_assert_float_eq(watchShare(duration, settings, 0), 0.2 / 11, 1e-9);
}

// Load: a service with many targets. Failure: a target gets less load than later, which hides a version that is bad under load, or more, which makes
// a good one look bad.
Test(deliveryplan, a_chosen_target_has_about_the_load_of_later)
{
    for (const size_t count : {1, 5, 10, 60, 90, 140, 400}) {
        Course course;
        course.input.targets = makeTargets(count, count);
        course.at(100);
        const DeliveryState &state = *course.input.previous;
        cr_assert_eq(state.phase, DeliveryPhase::Watching);
        const double load = state.share * static_cast<double>(count) / static_cast<double>(state.chosenTargets.size());
        cr_assert_leq(load, 1 + 1e-9, "%zu targets", count);
        if (count >= 60) {
            cr_assert_geq(load, 0.75, "%zu targets", count);
        }
    }
    cr_assert_eq(chosenTargetCount(0.5, 0), 0);
}

// Failure: the chosen targets change from step to step, include one that drains or is gone, or all hosts' hashes choose the same for each version.
Test(deliveryplan, chosen_targets_stay_and_are_replaced_when_they_leave)
{
    Course course;
    course.input.targets = makeTargets(110, 110);
    course.at(100);
    const std::vector<std::string> first = course.input.previous->chosenTargets;
    cr_assert_eq(first.size(), 2);
    std::reverse(course.input.targets.begin(), course.input.targets.end());
    course.at(200);
    cr_assert(course.input.previous->chosenTargets == first);
    for (DeliveryTarget &target : course.input.targets) {
        target.isLeaving = target.id == first[0];
    }
    course.at(300);
    const std::vector<std::string> second = course.input.previous->chosenTargets;
    cr_assert_eq(second.size(), 2);
    cr_assert_eq(second[0], first[1]);
    cr_assert_neq(second[1], first[0]);
    std::erase_if(course.input.targets, [&second](const DeliveryTarget &target) { return target.id == second[0]; });
    course.at(400);
    cr_assert_eq(course.input.previous->chosenTargets[0], second[1]);
    cr_assert_eq(course.input.previous->chosenTargets.size(), 2);
}

// Failure: a service without targets of the version is switched over, or the order is kept for ever.
Test(deliveryplan, an_order_without_targets_waits_until_its_deadline)
{
    Course course;
    course.input.targets = makeTargets(10, 0);
    cr_assert_eq(course.at(0), DeliveryPhase::Waiting);
    cr_assert_eq(course.at(11'900), DeliveryPhase::Waiting);
    cr_assert_eq(course.at(12'000), DeliveryPhase::RolledBack);
    cr_assert_eq(course.at(13'000), DeliveryPhase::RolledBack, "it stays final");
    Course late;
    late.input.targets = makeTargets(10, 0);
    late.at(0);
    late.input.targets = makeTargets(10, 10);
    setLeaving(late.input.targets, "v2");
    cr_assert_eq(late.at(1000), DeliveryPhase::Waiting);
    late.input.targets = makeTargets(10, 10);
    cr_assert_eq(late.at(2000), DeliveryPhase::Watching);
    setLeaving(late.input.targets, "v2");
    cr_assert_eq(late.at(3000), DeliveryPhase::Waiting);
    cr_assert(late.input.previous->chosenTargets.empty());
}

// Failure: the old targets stop while requests still run there, or long runs keep a good version from being completed.
Test(deliveryplan, completion_waits_for_old_runs_until_shortly_before_the_deadline)
{
    Course quick;
    quick.at(0);
    cr_assert_eq(quick.at(9400), DeliveryPhase::Watching);
    cr_assert_eq(quick.at(9500), DeliveryPhase::Switching);
    cr_assert_eq(quick.at(10'400), DeliveryPhase::Switching);
    cr_assert_eq(quick.at(10'500), DeliveryPhase::Completed);
    Course slow;
    slow.input.targets[3].runs = 4;
    slow.at(0);
    slow.at(9500);
    cr_assert_eq(slow.at(11'400), DeliveryPhase::Switching);
    cr_assert_eq(slow.at(11'500), DeliveryPhase::Completed);
    cr_assert_eq(slow.input.previous->oldRuns, 4);
    cr_assert(slow.input.previous->reason.find("4 requests still run") != std::string::npos);
    Course ending;
    ending.input.targets[3].runs = 4;
    ending.at(0);
    ending.at(9500);
    ending.at(10'900);
    ending.input.targets[3].runs = 0;
    cr_assert_eq(ending.at(11'000), DeliveryPhase::Completed);
}

// Failure: a version is completed against the evidence.
Test(deliveryplan, evidence_decides_in_each_phase)
{
    for (const int badAt : {100, 5000, 9500, 9800, 10'500, 11'500}) {
        Course course;
        course.input.targets[0].runs = 1;
        course.at(0);
        course.at(std::min(badAt - 100, 9500));
        course.input.evidence = makeEvidence(EvidenceVerdict::Bad);
        cr_assert_eq(course.at(badAt), DeliveryPhase::RolledBack, "bad at %d ms", badAt);
        cr_assert(course.input.previous->reason.starts_with("bad: figures"));
        cr_assert_eq(course.input.previous->share, 0);
    }
    Course suspicious;
    suspicious.input.evidence.isSuspicious = true;
    suspicious.at(0);
    cr_assert_eq(suspicious.at(9400), DeliveryPhase::Watching);
    cr_assert_eq(suspicious.at(9500), DeliveryPhase::RolledBack);
    Course unclear;
    unclear.input.evidence = makeEvidence(EvidenceVerdict::TooFew, 5);
    unclear.at(0);
    cr_assert_eq(unclear.at(9500), DeliveryPhase::Switching);
    cr_assert_eq(unclear.at(10'600), DeliveryPhase::Switching, "more answers may come");
    unclear.input.evidence.hasBadAnswers = true;
    cr_assert_eq(unclear.at(11'500), DeliveryPhase::RolledBack);
    Course few;
    few.input.evidence = makeEvidence(EvidenceVerdict::TooFew, 0);
    few.at(0);
    few.at(9500);
    cr_assert_eq(few.at(11'500), DeliveryPhase::Completed);
}

// Failure: a removed or replaced order goes on, or the version that was rolled back gets requests as an old one of the next order.
Test(deliveryplan, a_removed_order_is_rolled_back_and_a_second_one_replaces_the_first)
{
    Course removed;
    removed.at(0);
    removed.at(1000);
    removed.input.order.reset();
    removed.input.mayLackOrder = true;
    cr_assert_eq(removed.at(2000), DeliveryPhase::Watching, "a restored store may lack it for some seconds");
    removed.input.mayLackOrder = false;
    cr_assert_eq(removed.at(3000), DeliveryPhase::RolledBack);
    removed.input.targets = makeTargets(10, 0);
    const DeliveryStep gone = planDelivery(removed.input, Settings);
    cr_assert(gone.mustWrite && !gone.state, "the state is removed with the last target that it denies");

    Course second;
    second.at(0);
    second.input.order = makeOrder("v3", {1, 20});
    cr_assert_eq(second.at(0), DeliveryPhase::RolledBack);
    cr_assert_eq(second.input.previous->order.version, "v2");
    second.input.targets.push_back({.id = "x", .version = "v3"});
    cr_assert_eq(second.at(100), DeliveryPhase::Watching);
    cr_assert_eq(second.input.previous->order.version, "v3");
    cr_assert(second.input.previous->withdrawnVersions == std::vector<std::string>{"v2"});
    cr_assert(second.input.previous->oldVersions == std::vector<std::string>{"v1"});
    std::erase_if(second.input.targets, [](const DeliveryTarget &target) { return target.version == "v2"; });
    second.at(200);
    cr_assert(second.input.previous->withdrawnVersions.empty());
}

// Failure: a store that came back from an older copy starts a finished delivery again, or ends one that is in progress.
Test(deliveryplan, an_order_of_another_era_is_the_same_order)
{
    Course running;
    running.at(0);
    running.at(5000);
    running.input.order = makeOrder("v2", {2, 3});
    cr_assert_eq(running.at(5100), DeliveryPhase::Watching);
    cr_assert(running.input.previous->order.position == StorePosition({2, 3}), "it is written anew");
    running.input.evidence = makeEvidence(EvidenceVerdict::Bad);
    running.at(5200);
    running.input.order = makeOrder("v2", {3, 2});
    cr_assert_eq(running.at(100), DeliveryPhase::RolledBack);
    running.input.evidence = makeEvidence(EvidenceVerdict::TooFew);
    running.input.order = makeOrder("v2", {3, 9});
    cr_assert_eq(running.at(0), DeliveryPhase::Watching, "operators order it again");

    Course older;
    older.at(0);
    older.input.order = makeOrder("v0", {2, 1});
    older.input.mayLackOrder = true;
    cr_assert_eq(older.at(1000), DeliveryPhase::Watching, "the copy has a former order until operators write the current one again");
}

// Failure: a faulty order leaves the operators without an answer, or the one before it in progress.
Test(deliveryplan, a_rejected_order_ends_the_delivery_in_progress)
{
    Course course;
    course.at(0);
    const DeliveryOrder faulty{.service = "chat", .version = "v3", .position = {1, 30}};
    course.input.order.reset();
    DeliveryStep step = rejectDelivery(course.input, faulty, "duration: must be a positive number of seconds");
    cr_assert_eq(step.state->phase, DeliveryPhase::RolledBack);
    cr_assert_eq(step.state->order.version, "v2");
    course.input.previous = step.state;
    step = rejectDelivery(course.input, faulty, "duration: must be a positive number of seconds");
    cr_assert(step.mustWrite && step.isPhaseChange);
    cr_assert(step.state->isRejected);
    cr_assert_eq(step.state->order.version, "v3");
    cr_assert(step.state->withdrawnVersions == std::vector<std::string>{"v2"});
    cr_assert(step.state->reason.find("duration") != std::string::npos);
    course.input.previous = step.state;
    cr_assert_not(rejectDelivery(course.input, faulty, "again").mustWrite);
}

// Failure: a rejected order that named the only version in use takes it out of use in the next delivery; or an order for a service that became known
// later is never carried out.
Test(deliveryplan, a_rejected_order_has_no_effect_on_the_next)
{
    Course course;
    course.input.order.reset();
    course.input.previous = rejectDelivery(course.input, makeOrder("v1", {1, 5}), "unknown service").state;
    course.input.order = makeOrder();
    cr_assert_eq(course.at(0), DeliveryPhase::Watching);
    cr_assert(course.input.previous->withdrawnVersions.empty());
    course.input.previous = rejectDelivery({.targets = course.input.targets}, makeOrder(), "unknown service").state;
    cr_assert_eq(course.at(100), DeliveryPhase::Watching);
}

// Failure: a service whose old targets are gone refuses everything until the switch.
Test(deliveryplan, without_old_targets_all_requests_go_to_the_new_ones_at_once)
{
    Course course;
    course.input.targets = makeTargets(0, 10);
    cr_assert_eq(course.at(0), DeliveryPhase::Switching);
    setLeaving(course.input.targets, "v2");
    cr_assert_eq(course.at(500), DeliveryPhase::Switching, "there is nothing to go back to");
    course.input.targets = makeTargets(0, 10);
    cr_assert_eq(course.at(1000), DeliveryPhase::Completed);
}

// Failure: the last new target left in the switch, and requests are denied the old ones.
Test(deliveryplan, the_switch_is_taken_back_without_new_targets)
{
    Course course;
    course.at(0);
    course.at(9500);
    setLeaving(course.input.targets, "v2");
    cr_assert_eq(course.at(9600), DeliveryPhase::RolledBack);
}

// Load: the store's write rate. Failure: each step writes, or a successor does not learn how much time has passed.
Test(deliveryplan, the_state_is_written_about_once_a_second)
{
    Course course;
    for (int milliseconds = 0; milliseconds <= 9400; milliseconds += 100) {
        course.at(milliseconds);
        cr_assert_geq(course.input.previous->elapsed.count(), Duration(Milliseconds(milliseconds - 1000)).count());
    }
    cr_assert_leq(course.writes, 11);
}

// Failure: a successor that takes over long after the deadline, when nobody looks any more, switches the service over.
Test(deliveryplan, a_delivery_without_decider_ends)
{
    Course course;
    course.at(0);
    course.at(5000);
    cr_assert_eq(course.at(22'100), DeliveryPhase::RolledBack);
}

// Failure: the feature acts where nobody has ordered anything.
Test(deliveryplan, without_an_order_there_is_no_state)
{
    const DeliveryStep step = planDelivery({.targets = makeTargets(10, 10)}, Settings);
    cr_assert_not(step.state.has_value());
    cr_assert_not(step.mustWrite);
}
