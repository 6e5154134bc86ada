// Failures during service calls that may run only once.

#include "testing/failurefixture.h"

using namespace pimentosail;
using namespace pimentosail::testing;

Test(failure, a_booking_runs_once_through_any_host_and_is_replayed)
{
    FailureFixture fixture;
    std::set<std::string> bodies;
    for (int index = 0; index < 9; ++index) {
        const Booking booking = fixture.caller("entry-" + std::to_string(index % 3 + 1)).book("truck-booking/book", "key-1", "{\"load\":1}");
        cr_assert_eq(booking.status, 200, "%s", booking.body.c_str());
        bodies.insert(booking.body);
    }
    cr_assert_eq(bodies.size(), 1U);
    cr_assert_eq(fixture.fleet.getJson("trucks-1", "/runs").size(), 1U);
    cr_assert_eq(fixture.caller("entry-2").book("truck-booking/book", "key-1", "{\"load\":2}").errorKind, std::string("idempotency_mismatch"));
    // Idempotency keys are separate for each team.
    cr_assert_eq(fixture.caller("entry-2", "drivers").book("truck-booking/book", "key-1", "{\"load\":2}").status, 200);
    cr_assert_eq(fixture.fleet.getJson("trucks-1", "/runs").size(), 2U);
}

Test(failure, concurrent_bookings_with_one_key_run_once)
{
    FailureFixture fixture;
    fixture.fleet.fault("trucks-1", "delay_ms", 300);
    std::atomic<int> confirmed{0};
    std::vector<std::thread> callers;
    callers.reserve(MaxTestThreads);
    for (int index = 0; index < 12; ++index) {
        callers.emplace_back(
            [&, index] { confirmed += fixture.caller("entry-" + std::to_string(index % 3 + 1)).book("truck-booking/book", "k", "{}").status == 200 ? 1 : 0; });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    cr_assert_eq(confirmed.load(), 12);
    cr_assert_eq(fixture.fleet.getJson("trucks-1", "/runs").size(), 1U);
}

Test(failure, a_booking_whose_record_owner_is_killed_or_frozen_runs_once)
{
    FailureFixture fixture;
    fixture.fleet.fault("trucks-1", "delay_ms", 500);
    int bookingCount = 0;
    // Kills one host and freezes another while bookings run; each owns the records of some of them.
    for (const auto &[victim, signal] : {std::pair("entry-1", SIGKILL), std::pair("entry-2", SIGSTOP)}) {
        std::vector<std::thread> callers;
        callers.reserve(MaxTestThreads);
        for (int index = 0; index < 8; ++index) {
            const std::string key = std::string(victim) + "-" + std::to_string(index);
            callers.emplace_back([&, key] {
                for (int attempt = 0; attempt < 3; ++attempt) {
                    fixture.caller("entry-3").book("truck-booking/book", key, "{}");
                }
            });
            ++bookingCount;
        }
        fixture.clock.sleepFor(Milliseconds(250));
        fixture.fleet.signal(victim, signal);
        for (std::thread &caller : callers) {
            caller.join();
        }
        if (signal == SIGKILL) {
            fixture.fleet.restart(victim);
            cr_assert(fixture.fleet.waitReady(victim, std::chrono::seconds(30)));
        } else {
            fixture.fleet.signal(victim, SIGCONT);
            fixture.clock.sleepFor(std::chrono::seconds(2));
        }
    }
    std::set<std::string> keys;
    const Json::Value runs = fixture.fleet.getJson("trucks-1", "/runs");
    for (const Json::Value &run : runs) {
        cr_assert(keys.insert(run["key"].asString()).second, "%s ran twice", run["key"].asCString());
    }
    cr_assert_gt(keys.size(), 4U, "only %zu of %d ran", keys.size(), bookingCount);
}

Test(failure, a_lost_answer_of_the_service_is_reported_as_unknown_outcome)
{
    FailureFixture fixture;
    fixture.fleet.fault("trucks-1", "lose_answers", 1);
    const Booking first = fixture.caller("entry-1").book("truck-booking/book", "k", "{}");
    cr_assert_eq(first.errorKind, std::string("outcome_unknown"), "%s", first.body.c_str());
    cr_assert_not(first.notRun);
    const Booking again = fixture.caller("entry-2").book("truck-booking/book", "k", "{}");
    cr_assert_eq(again.errorKind, std::string("outcome_unknown"));
    cr_assert_eq(fixture.fleet.getJson("trucks-1", "/runs").size(), 1U);
}

Test(failure, completions_continue_and_bookings_are_not_run_without_the_key_value_service)
{
    FailureFixture fixture;
    fixture.caller("entry-1").book("truck-booking/book", "before", "{}");
    fixture.fleet.fault("key-value", "down", 1);
    // Waits until the leases (3 s) have expired.
    fixture.clock.sleepFor(std::chrono::seconds(8));
    for (int index = 0; index < 9; ++index) {
        const std::string prompt = makePrompt("outage-" + std::to_string(index), ShortPrompt);
        assertComplete(fixture.caller("entry-" + std::to_string(index % 3 + 1)).complete("dispatcher", prompt), prompt, 8);
    }
    const Booking refused = fixture.caller("entry-2").book("truck-booking/book", "during", "{}");
    cr_assert_eq(refused.errorKind, std::string("records_unavailable"), "%s", refused.body.c_str());
    cr_assert(refused.notRun);
    cr_assert_eq(fixture.fleet.getJson("trucks-1", "/runs").size(), 1U);
    fixture.fleet.fault("key-value", "down", 0);
    fixture.clock.sleepFor(std::chrono::seconds(5));
    cr_assert_eq(fixture.caller("entry-2").book("truck-booking/book", "during", "{}").status, 200);
}

Test(failure, lost_answers_of_the_key_value_service_do_not_repeat_a_booking)
{
    FailureFixture fixture;
    for (int index = 0; index < 6; ++index) {
        fixture.fleet.fault("key-value", "lose_answers", 1);
        fixture.caller("entry-" + std::to_string(index % 3 + 1)).book("truck-booking/book", "k" + std::to_string(index), "{}");
        fixture.caller("entry-1").book("truck-booking/book", "k" + std::to_string(index), "{}");
    }
    std::set<std::string> keys;
    const Json::Value runs = fixture.fleet.getJson("trucks-1", "/runs");
    for (const Json::Value &run : runs) {
        cr_assert(keys.insert(run["key"].asString()).second, "%s ran twice", run["key"].asCString());
    }
    cr_assert_eq(keys.size(), 6U);
}
