#include <criterion/criterion.h>

#include "pimentosail/kvcache/targetclock.h"

using namespace pimentosail;

Test(target_clock, the_fastest_of_the_recent_answers_counts)
{
    TargetClock clock;
    cr_assert_not(clock.at(Milliseconds(1000)), "no answer yet");
    clock.record(50040, Milliseconds(1060));
    clock.record(50100, Milliseconds(1102));
    clock.record(50200, Milliseconds(1290));
    cr_assert_eq(*clock.at(Milliseconds(1300)), 50298);
}

// The estimate follows a clock that was set back, within two intervals, and is not used once answers have been missing.
Test(target_clock, old_answers_do_not_count)
{
    TargetClock clock;
    clock.record(50000, Milliseconds(1000));
    for (int64_t second = 2; second < 14; ++second) {
        clock.record(40000 + second * 1000, std::chrono::seconds(second));
    }
    cr_assert_eq(*clock.at(std::chrono::seconds(14)), 54000);
    cr_assert_not(clock.at(std::chrono::seconds(40)));
}
