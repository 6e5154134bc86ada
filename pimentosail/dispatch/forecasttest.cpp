#include <criterion/criterion.h>

#include "pimentosail/dispatch/forecast.h"

using namespace pimentosail;

Test(forecast, the_rate_is_learnt_from_what_requests_waited)
{
    FirstTokenForecast forecast;
    cr_assert(forecast.predict("loom", 28000) > Milliseconds(400));
    for (int observation = 0; observation < 200; ++observation) {
        forecast.note("loom", 1000, Milliseconds(40));
        forecast.note("loom", 20000, Milliseconds(240));
    }
    const Duration idle = forecast.predict("loom", 0);
    const Duration busy = forecast.predict("loom", 40000);
    cr_assert(idle > Milliseconds(30) && idle < Milliseconds(60));
    cr_assert(busy > Milliseconds(380) && busy < Milliseconds(500), "%ld ms", static_cast<long>(toMilliseconds(busy)));
}

Test(forecast, a_caller_that_comes_back_has_waited_before)
{
    FirstTokenForecast forecast;
    for (int call = 0; call < 20; ++call) {
        cr_assert_eq(forecast.spent("route", Milliseconds(4000)).count(), 0);
    }
    cr_assert_eq(forecast.spent("route", Milliseconds(2900)), Milliseconds(1100));
}

// Pattern: one caller that waits for a minute once made every other request of its route look late.
Test(forecast, one_very_patient_caller_makes_no_other_late)
{
    FirstTokenForecast forecast;
    for (int call = 0; call < 20; ++call) {
        forecast.spent("route", Milliseconds(4000));
    }
    forecast.spent("route", Milliseconds(60000));
    cr_assert_eq(forecast.spent("route", Milliseconds(4000)).count(), 0);
}
