#include <cstdlib>

#include <criterion/criterion.h>

#include "pimentosail/dispatch/forecast.h"

using namespace pimentosail;

Test(forecast, the_rate_is_estimated_from_observed_times)
{
    FirstTokenForecast forecast;
    cr_assert(forecast.predict("loom", 28000) > Milliseconds(400));
    for (int observation = 0; observation < 200; ++observation) {
        forecast.record("loom", 1000, Milliseconds(40));
        forecast.record("loom", 20000, Milliseconds(240));
    }
    const Duration idle = forecast.predict("loom", 1000);
    const Duration busy = forecast.predict("loom", 40000);
    cr_assert(idle > Milliseconds(35) && idle < Milliseconds(45));
    cr_assert(busy > Milliseconds(380) && busy < Milliseconds(500), "%ld ms", static_cast<long>(toMilliseconds(busy)));
}

Test(forecast, a_shorter_timeout_than_usual_counts_as_time_already_waited)
{
    FirstTokenForecast forecast;
    for (int call = 0; call < 20; ++call) {
        cr_assert_eq(forecast.estimateElapsed("route", Milliseconds(4000)).count(), 0);
    }
    cr_assert_eq(forecast.estimateElapsed("route", Milliseconds(2900)), Milliseconds(1100));
}

// If the longest timeout counted as the usual one, one caller with a timeout of a minute would make every other request of
// its route look late.
Test(forecast, one_very_long_timeout_does_not_make_other_requests_late)
{
    FirstTokenForecast forecast;
    for (int call = 0; call < 20; ++call) {
        forecast.estimateElapsed("route", Milliseconds(4000));
    }
    forecast.estimateElapsed("route", Milliseconds(60000));
    cr_assert_eq(forecast.estimateElapsed("route", Milliseconds(4000)).count(), 0);
}

// Under steady load, prompts always wait behind a few others. If their time counted as that of an idle target, the tokens
// ahead of them would be counted twice, and prompts that are in time would be sent as late, at the lowest priority.
Test(forecast, prompts_behind_a_few_others_are_predicted_accurately)
{
    FirstTokenForecast forecast;
    for (int observation = 0; observation < 300; ++observation) {
        const int pending = 2000 + 1000 * (observation % 7);
        forecast.record("loom", pending, Milliseconds(40 + pending / 56));
    }
    for (const int pending : {2000, 5000, 8000}) {
        const auto expected = toMilliseconds(forecast.predict("loom", pending));
        const int64_t actual = 40 + pending / 56;
        cr_assert(std::abs(expected - actual) < actual / 10, "%ld ms for %ld", static_cast<long>(expected), static_cast<long>(actual));
    }
}
