// Tests lanes: routes with long prompts and short answers, and routes with short prompts and long answers, on the same
// engines.
#include <criterion/criterion.h>

#include "pimentosail/dispatch/picker.h"
#include "pimentosail/dispatch/workmix.h"

using namespace pimentosail;

namespace
{

void recordRequests(WorkMix &mix, int count)
{
    for (int index = 0; index < count; ++index) {
        mix.record("verses", 9000, 6);
        mix.record("letters", 800, 32);
    }
}

std::vector<Candidate> engines(int count)
{
    std::vector<Candidate> result;
    for (int index = 0; index < count; ++index) {
        Candidate candidate;
        candidate.target = std::make_shared<TargetState>();
        candidate.target->id = "engine-" + std::to_string(index);
        candidate.target->zone = "z1";
        candidate.version = 1;
        result.push_back(std::move(candidate));
    }
    return result;
}

} // namespace

Test(workmix, routes_that_differ_get_separate_lanes)
{
    WorkMix mix;
    cr_assert_eq(mix.laneOf("verses"), Lane::Any);
    recordRequests(mix, 100);
    cr_assert_eq(mix.laneOf("verses"), Lane::LongPrompts);
    cr_assert_eq(mix.laneOf("letters"), Lane::LongAnswers);
    cr_assert_eq(mix.laneOf("unknown"), Lane::Any);
    // The route `letters` has 8 % of the prompt tokens; each of its tokens weighs three times as much as another.
    cr_assert(mix.longAnswerShare() > 0.15 && mix.longAnswerShare() < 0.3, "%f", mix.longAnswerShare());
}

Test(workmix, similar_routes_share_all_targets)
{
    WorkMix mix;
    for (int index = 0; index < 200; ++index) {
        mix.record("a", 3000, 20);
        mix.record("b", 2000, 40);
    }
    cr_assert_eq(mix.laneOf("a"), Lane::Any);
    cr_assert_eq(mix.longAnswerShare(), 0.0);
}

Test(workmix, long_prompts_avoid_the_targets_for_long_answers_until_the_others_are_much_busier)
{
    std::vector<Candidate> candidates = engines(20);
    std::set<std::string> longAnswerTargets;
    std::set<std::string> longPromptTargets;
    for (uint64_t draw = 1; draw < 20000; draw += 50) {
        PickQuery query;
        query.affinity = "part-" + std::to_string(draw);
        query.draw = draw;
        query.longAnswerShare = 0.2;
        query.lane = Lane::LongAnswers;
        longAnswerTargets.insert(pickTarget(query, candidates)->target->id);
        query.lane = Lane::LongPrompts;
        longPromptTargets.insert(pickTarget(query, candidates)->target->id);
    }
    cr_assert_eq(longAnswerTargets.size(), 4);
    for (const std::string &id : longAnswerTargets) {
        cr_assert_not(longPromptTargets.contains(id), "%s gets both lanes", id.c_str());
    }
    for (Candidate &candidate : candidates) {
        candidate.pendingTokens = longAnswerTargets.contains(candidate.target->id) ? 0 : 40000;
    }
    PickQuery query;
    query.affinity = "part";
    query.draw = 1;
    query.longAnswerShare = 0.2;
    query.lane = Lane::LongPrompts;
    cr_assert(longAnswerTargets.contains(pickTarget(query, candidates)->target->id), "a burst of long prompts uses every target");
}
