#include <criterion/criterion.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "pimentosail/dispatch/sendwindow.h"

using namespace pimentosail;

namespace
{

constexpr double Capacity = 45816;

PickQuery longPrompt()
{
    PickQuery query;
    query.affinity = "block";
    query.affinityTokens = 7520;
    query.heldTokens = 9200;
    query.prefillTokens = 6000;
    query.targetLatency = Milliseconds(600);
    query.timeLeft = Milliseconds(5000);
    query.mixed = MixedProfile{0.02, true, false, 6000, 9200, 885};
    query.sampleSize = MixedSampleSize;
    return query;
}

Candidate makeCandidate(const std::string &id, double heldTokens, double pendingTokens)
{
    Candidate candidate;
    candidate.target = std::make_shared<TargetState>();
    candidate.target->id = id;
    candidate.capacityTokens = Capacity;
    candidate.heldTokens = heldTokens;
    candidate.pendingTokens = pendingTokens;
    candidate.requests = heldTokens / 9200;
    return candidate;
}

// Returns how many prompts `hosts` hosts send to one idle target in one interval, at full load: all other targets have no room, all hosts
// know the load of the last report, and each has `waiting` prompts.
int sendsToIdleTarget(size_t hosts, int waiting, int interval, bool usesWindows)
{
    int sends = 0;
    for (size_t host = 0; host < hosts; ++host) {
        std::vector<Candidate> candidates{makeCandidate("idle", 0, 0)};
        for (int index = 0; index < 8; ++index) {
            candidates.push_back(makeCandidate("full-" + std::to_string(index), Capacity, 40000));
        }
        PickQuery query = longPrompt();
        query.hosts = hosts;
        query.window = usesWindows ? windowKey("host-" + std::to_string(host), Milliseconds(150) * interval) : 0;
        for (int prompt = 0; prompt < waiting; ++prompt) {
            query.draw = static_cast<uint64_t>(prompt) * 7919 + host * 104729;
            const std::optional<TargetChoice> choice = pickTarget(query, candidates);
            if (!choice || choice->target->id != "idle") {
                continue;
            }
            ++sends;
            recordWindowSend(query.window, *choice->target);
            candidates.front().heldTokens += query.heldTokens;
            candidates.front().pendingTokens += query.prefillTokens;
            candidates.front().requests += 1;
        }
    }
    return sends;
}

} // namespace

// Regression: in full load, a target that had just loaded weights got 25 to 30 long prompts of 35 hosts within 0.1 s, since all knew it as
// idle. It was overloaded for three seconds, while no other prompt was sent to it.
Test(send_window, an_idle_target_among_full_ones_gets_the_prompts_that_it_has_room_for_with_late_reports)
{
    constexpr int Intervals = 400;
    const double places = promptPlaces(longPrompt(), makeCandidate("idle", 0, 0), 0);
    cr_assert_float_eq(places, 2.5, 0.01, "half of the target latency: 15,000 tokens");
    double sum = 0;
    int most = 0;
    for (int interval = 1; interval <= Intervals; ++interval) {
        const int sends = sendsToIdleTarget(35, 3, interval, true);
        sum += sends;
        most = std::max(most, sends);
    }
    cr_assert_float_eq(sum / Intervals, places, 0.3, "on average %f", sum / Intervals);
    cr_assert_leq(most, 10, "%d", most);
    cr_assert_geq(sendsToIdleTarget(35, 3, 1, false), 35, "without windows every host sends");
}

// A share of more than one prompt: few hosts before a target with much room send all that it has room for.
Test(send_window, the_shares_of_few_hosts_fill_the_room)
{
    constexpr int Intervals = 300;
    PickQuery query = longPrompt();
    query.prefillTokens = 1000;
    query.heldTokens = 1000;
    const double places = promptPlaces(query, makeCandidate("idle", 0, 0), 0);
    cr_assert_float_eq(places, 15, 0.01);
    int sends = 0;
    for (int interval = 1; interval <= Intervals; ++interval) {
        for (int host = 0; host < 4; ++host) {
            const uint64_t key = windowKey("host-" + std::to_string(host), Milliseconds(150) * interval);
            TargetState target;
            target.id = "idle";
            while (isOpenTo(key, target, places, 4)) {
                recordWindowSend(key, target);
                ++sends;
            }
        }
    }
    cr_assert_float_eq(static_cast<double>(sends) / Intervals, places, 0.5);
}

// Full load: a target whose memory is taken, or at which a prompt would be late, is open to nobody, also not as preferred target.
Test(send_window, a_target_without_room_is_closed)
{
    PickQuery query = longPrompt();
    cr_assert_eq(promptPlaces(query, makeCandidate("full", Capacity, 0), 0), 0);
    cr_assert_eq(promptPlaces(query, makeCandidate("busy", 9200, 15000), 15000), 0);
    query.window = windowKey("host", Milliseconds(150));
    query.hosts = 1;
    cr_assert_not(pickTarget(query, {makeCandidate("full", Capacity, 0), makeCandidate("busy", 9200, 15000)}));
    cr_assert(pickTarget(query, {makeCandidate("full", Capacity, 0), makeCandidate("free", 0, 0)})->target->id == "free");
}

// A prompt that is late already waits longer at a target, but behind other late ones and within the memory.
Test(send_window, a_late_prompt_has_room_where_one_on_time_has_none)
{
    PickQuery query = longPrompt();
    query.isLate = true;
    cr_assert_gt(promptPlaces(query, makeCandidate("busy", 9200, 15000), 15000), 1);
    Candidate behindOthers = makeCandidate("busy", 9200, 15000);
    behindOthers.lateTokens = 60000;
    cr_assert_eq(promptPlaces(query, behindOthers, 15000), 0);
    cr_assert_eq(promptPlaces(query, makeCandidate("full", Capacity, 0), 0), 0);
}

// A target at half speed has half of the room.
Test(send_window, a_slow_target_has_less_room)
{
    Candidate slow = makeCandidate("slow", 0, 0);
    slow.speed = 2;
    cr_assert_float_eq(promptPlaces(longPrompt(), slow, 0), 1.25, 0.01);
}

// Windows are part of the decision under mixed load only: without a profile, a key changes nothing.
Test(send_window, without_mixed_load_the_choice_is_the_one_of_before)
{
    const std::vector<Candidate> candidates{makeCandidate("a", Capacity, 40000), makeCandidate("b", Capacity, 30000), makeCandidate("c", Capacity, 50000)};
    for (uint64_t draw = 0; draw < 200; ++draw) {
        PickQuery query = longPrompt();
        query.mixed.reset();
        query.sampleSize = 0;
        query.draw = draw * 2654435761U;
        const std::optional<TargetChoice> before = pickTarget(query, candidates);
        query.window = windowKey("host", Milliseconds(150));
        query.hosts = 35;
        const std::optional<TargetChoice> after = pickTarget(query, candidates);
        cr_assert(before && after);
        cr_assert_eq(before->target, after->target);
    }
}

// Lanes under mixed load: targets for long answers get no long prompts while answers have long pauses, and all targets are used while they have none.
Test(send_window, lanes_are_kept_as_far_as_pauses_need_them)
{
    std::vector<Candidate> candidates;
    candidates.reserve(10);
    for (int index = 0; index < 10; ++index) {
        candidates.push_back(makeCandidate("target-" + std::to_string(index), 0, 0));
    }
    const auto targetsUsed = [&candidates](double pauseWeight, Lane lane) {
        std::set<std::string> used;
        for (uint64_t draw = 0; draw < 400; ++draw) {
            PickQuery query = longPrompt();
            query.mixed->pauseWeight = pauseWeight;
            query.lane = lane;
            query.longAnswerShare = 0.3;
            query.affinity = "block-" + std::to_string(draw);
            query.draw = draw * 2654435761U;
            used.insert(pickTarget(query, candidates)->target->id);
        }
        return used;
    };
    cr_assert_eq(targetsUsed(0, Lane::LongPrompts).size(), 10);
    const std::set<std::string> longPrompts = targetsUsed(1, Lane::LongPrompts);
    const std::set<std::string> longAnswers = targetsUsed(1, Lane::LongAnswers);
    cr_assert_eq(longPrompts.size(), 7);
    cr_assert_eq(longAnswers.size(), 3);
    for (const std::string &id : longAnswers) {
        cr_assert_not(longPrompts.contains(id));
    }
}
