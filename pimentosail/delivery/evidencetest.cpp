#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>

#include "pimentosail/delivery/evidence.h"

using namespace pimentosail;

namespace
{

// Returns the answers of one route: of the new version, failures or slow ones among them, and the same of the old versions.
RouteOutcomes failures(int64_t answers, int64_t bad, int64_t oldAnswers, int64_t oldBad)
{
    return {{.answers = answers, .failures = bad}, {.answers = oldAnswers, .failures = oldBad}};
}

RouteOutcomes slow(int64_t answers, int64_t bad, int64_t oldAnswers, int64_t oldBad)
{
    return {{.answers = answers, .slow = bad}, {.answers = oldAnswers, .slow = oldBad}};
}

EvidenceVerdict verdict(const RouteOutcomes &outcomes)
{
    return judgeOutcomes({{"/a", outcomes}}, {}).verdict;
}

std::vector<OutcomeRow> rows(const OutcomeCounts &newCounts, const OutcomeCounts &oldCounts)
{
    return {{{"chat", "v2", "/a"}, newCounts, {}}, {{"chat", "v1", "/a"}, oldCounts, {}}, {{"other", "v2", "/a"}, {.answers = 900, .failures = 900}, {}}};
}

} // namespace

// Failure: a bad version gets 50 bad answers before it is found, or one accident is taken for evidence.
Test(evidence, a_fifth_of_failures_is_found_well_before_50)
{
    cr_assert_neq(verdict(failures(5, 1, 1000, 10)), EvidenceVerdict::Bad);
    cr_assert_neq(verdict(failures(15, 3, 1000, 10)), EvidenceVerdict::Bad);
    cr_assert_eq(verdict(failures(60, 12, 1000, 10)), EvidenceVerdict::Bad);
    cr_assert_eq(verdict(failures(5, 5, 1000, 10)), EvidenceVerdict::Bad);
    cr_assert_eq(verdict(failures(200, 40, 300, 15)), EvidenceVerdict::Bad);
    cr_assert_eq(verdict(slow(40, 20, 1000, 100)), EvidenceVerdict::Bad);
    cr_assert_eq(verdict(slow(8, 8, 1000, 0)), EvidenceVerdict::Bad);
}

// Failure: a good version is found bad for the failures that the old one has too.
Test(evidence, what_the_old_versions_have_too_is_ordinary)
{
    cr_assert_eq(verdict(failures(300, 3, 3000, 30)), EvidenceVerdict::Good);
    cr_assert_eq(verdict(failures(300, 90, 3000, 900)), EvidenceVerdict::Good);
    cr_assert_eq(verdict(slow(300, 60, 3000, 600)), EvidenceVerdict::Good);
    cr_assert_eq(verdict(failures(2000, 20, 20'000, 0)), EvidenceVerdict::Good, "one in a hundred is ordinary for any version");
}

// Failure: a version is judged without answers of its own or of the old ones.
Test(evidence, too_few_answers_are_said_to_be_so)
{
    cr_assert_eq(verdict({}), EvidenceVerdict::TooFew);
    cr_assert_eq(verdict(failures(10, 0, 1000, 0)), EvidenceVerdict::TooFew);
    cr_assert_eq(verdict(failures(40, 0, 1000, 0)), EvidenceVerdict::Good);
    cr_assert_neq(verdict(failures(20, 20, 0, 0)), EvidenceVerdict::Bad, "there is nothing to compare with");
    const Evidence unclear = judgeOutcomes({{"/a", failures(3, 1, 1000, 0)}}, {});
    cr_assert_eq(unclear.verdict, EvidenceVerdict::TooFew);
    cr_assert(unclear.hasBadAnswers);
    cr_assert_not(judgeOutcomes({{"/a", failures(3, 1, 1000, 50)}}, {}).hasBadAnswers, "the old versions have such failures");
    cr_assert_not(judgeOutcomes({{"/a", slow(3, 1, 1000, 0)}}, {}).hasBadAnswers, "one slow answer may be an accident");
}

// Failure: a route that always fails, in both versions, makes a version bad that gets more of it.
Test(evidence, routes_are_compared_with_themselves)
{
    const Evidence evidence = judgeOutcomes({{"/a", failures(100, 1, 9000, 90)}, {"/broken", failures(60, 30, 300, 150)}}, {});
    cr_assert_neq(evidence.verdict, EvidenceVerdict::Bad, "%s", evidence.reason.c_str());
    const Evidence oneRoute = judgeOutcomes({{"/a", failures(400, 4, 9000, 90)}, {"/b", failures(20, 10, 300, 3)}}, {});
    cr_assert_eq(oneRoute.verdict, EvidenceVerdict::Bad);
    cr_assert(oneRoute.reason.find("/b") != std::string::npos, "%s", oneRoute.reason.c_str());
}

// Failure: many good answers at first hide that a version turned bad; and a bad version becomes usable again.
Test(evidence, a_version_that_turns_bad_is_found_in_the_last_seconds_and_stays_bad)
{
    EvidenceWindows windows("chat", "v2");
    Time now{};
    int64_t answers = 0;
    for (; now < std::chrono::seconds(60); now += Milliseconds(100)) {
        answers += 10;
        windows.record(rows({.answers = answers}, {.answers = 10 * answers}), now);
        cr_assert_neq(windows.judge(DeliveryPhase::Watching).verdict, EvidenceVerdict::Bad);
    }
    cr_assert_eq(windows.judge(DeliveryPhase::Watching).verdict, EvidenceVerdict::Good);
    int64_t bad = 0;
    while (windows.judge(DeliveryPhase::Watching).verdict != EvidenceVerdict::Bad && bad < 50) {
        now += Milliseconds(100);
        answers += 10;
        bad += 2;
        windows.record(rows({.answers = answers, .failures = bad}, {.answers = 10 * answers}), now);
    }
    std::printf("found after %ld failures in %ld answers\n", bad, answers);
    cr_assert_lt(bad, 30);
    windows.record(rows({.answers = 2 * answers}, {.answers = 20 * answers}), now + std::chrono::seconds(60));
    cr_assert_eq(windows.judge(DeliveryPhase::Watching).verdict, EvidenceVerdict::Bad);
}

// Load: new targets with empty caches. Failure: their first slow answers are taken for a slow version.
Test(evidence, first_answers_of_new_targets_may_be_slow)
{
    EvidenceWindows windows("chat", "v2");
    for (Time now{}; now <= std::chrono::seconds(8); now += Milliseconds(100)) {
        const int64_t answers = now / Milliseconds(100);
        windows.record(rows({.answers = answers, .slow = std::min<int64_t>(answers, 12)}, {.answers = 20 * answers}), now);
        cr_assert_neq(windows.judge(DeliveryPhase::Watching).verdict, EvidenceVerdict::Bad, "at %ld", now.count());
    }
    cr_assert_eq(windows.judge(DeliveryPhase::Watching).verdict, EvidenceVerdict::Good);
}

// Failure: after a change to a relay that has heard less, differences of sums are negative and are taken for evidence.
Test(evidence, sums_that_decrease_are_no_evidence)
{
    EvidenceWindows windows("chat", "v2");
    Time now{};
    for (int64_t step = 1; step <= 40; ++step) {
        now += Milliseconds(100);
        const int64_t answers = step < 20 ? 1000 + 10 * step : 10 * step;
        windows.record(rows({.answers = answers, .failures = answers / 100}, {.answers = 10 * answers, .failures = answers / 10}), now);
        cr_assert_neq(windows.judge(DeliveryPhase::Watching).verdict, EvidenceVerdict::Bad);
    }
}

// Load: the switch, after which hardly any answer comes from old versions. Failure: the new one is compared with nothing.
Test(evidence, in_the_switch_the_old_versions_answers_before_it_count)
{
    EvidenceWindows windows("chat", "v2");
    Time now{};
    for (int64_t step = 1; step <= 50; ++step) {
        now += Milliseconds(100);
        windows.record(rows({.answers = step, .failures = step / 4}, {.answers = 40 * step, .failures = 10 * step}), now);
        cr_assert_neq(windows.judge(DeliveryPhase::Watching).verdict, EvidenceVerdict::Bad);
    }
    for (int64_t step = 1; step <= 20; ++step) {
        now += Milliseconds(100);
        windows.record(rows({.answers = 50 + 40 * step, .failures = 12 + 10 * step}, {.answers = 2000, .failures = 500}), now);
        const Evidence evidence = windows.judge(DeliveryPhase::Switching);
        cr_assert_neq(evidence.verdict, EvidenceVerdict::Bad, "%s", evidence.reason.c_str());
    }
    now += Milliseconds(500);
    windows.record(rows({.answers = 1050, .failures = 412}, {.answers = 2000, .failures = 500}), now);
    cr_assert_eq(windows.judge(DeliveryPhase::Switching).verdict, EvidenceVerdict::Bad);
}
