// Pattern: long prompts with short answers beside short prompts with long answers, on the same engines.
#include <criterion/criterion.h>

#include "pimentosail/dispatch/picker.h"
#include "pimentosail/dispatch/workmix.h"

using namespace pimentosail;

namespace
{

void noteMany(WorkMix &mix, int count)
{
    for (int index = 0; index < count; ++index) {
        mix.note("verses", 9000, 6);
        mix.note("letters", 800, 32);
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

Test(workmix, routes_that_differ_are_kept_apart)
{
    WorkMix mix;
    cr_assert_eq(mix.laneOf("verses"), Lane::Any);
    noteMany(mix, 100);
    cr_assert_eq(mix.laneOf("verses"), Lane::LongPrompts);
    cr_assert_eq(mix.laneOf("letters"), Lane::LongAnswers);
    cr_assert_eq(mix.laneOf("unknown"), Lane::Any);
    // Letters are 8 % of the tokens; three times their part goes to them.
    cr_assert(mix.longAnswerShare() > 0.15 && mix.longAnswerShare() < 0.3, "%f", mix.longAnswerShare());
}

Test(workmix, routes_alike_share_all_targets)
{
    WorkMix mix;
    for (int index = 0; index < 200; ++index) {
        mix.note("a", 3000, 20);
        mix.note("b", 2000, 40);
    }
    cr_assert_eq(mix.laneOf("a"), Lane::Any);
    cr_assert_eq(mix.longAnswerShare(), 0.0);
}

Test(workmix, long_prompts_stay_away_from_the_targets_of_long_answers_until_the_others_are_much_busier)
{
    std::vector<Candidate> candidates = engines(20);
    std::set<std::string> quiet;
    std::set<std::string> busy;
    for (uint64_t draw = 1; draw < 20000; draw += 50) {
        PickQuery query;
        query.affinity = "part-" + std::to_string(draw);
        query.draw = draw;
        query.longAnswerShare = 0.2;
        query.lane = Lane::LongAnswers;
        quiet.insert(pickTarget(query, candidates)->target->id);
        query.lane = Lane::LongPrompts;
        busy.insert(pickTarget(query, candidates)->target->id);
    }
    cr_assert_eq(quiet.size(), 4);
    for (const std::string &id : quiet) {
        cr_assert_not(busy.contains(id), "%s gets both", id.c_str());
    }
    for (Candidate &candidate : candidates) {
        candidate.pendingTokens = quiet.contains(candidate.target->id) ? 0 : 40000;
    }
    PickQuery query;
    query.affinity = "part";
    query.draw = 1;
    query.longAnswerShare = 0.2;
    query.lane = Lane::LongPrompts;
    cr_assert(quiet.contains(pickTarget(query, candidates)->target->id), "a burst of long prompts uses every target");
}
