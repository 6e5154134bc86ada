// Failures of whole processes: each test starts daemons and stand-ins, breaks something and checks a promise.

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <set>
#include <thread>

#include <criterion/criterion.h>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"
#include "testing/caller.h"
#include "testing/localfleet.h"

using namespace pimentosail;
using namespace pimentosail::testing;

namespace
{

constexpr int FirstPort = 20000;
constexpr int64_t ShortPrompt = 2000;

std::string environment(const char *name, const char *fallback)
{
    const char *value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

// A small winery: three daemons, four engines, two stores, three services.
class Fixture
{
public:
    explicit Fixture(const std::function<void(FleetPlan &)> &change = {})
        : fleet(makePlan(change), environment("PIMENTOSAIL_BUILD", "build"), environment("PIMENTOSAIL_OUT", "out"), FirstPort)
    {
        this->fleet.start();
    }

    Caller caller(const std::string &entry, const std::string &team = "pickers") const
    {
        return {this->fleet.callerAddress(entry), "key-" + team};
    }

    // Returns the name of the entry host that runs a prompt, and of its target, by asking once.
    Completion probe(const std::string &prompt)
    {
        CompletionOptions options;
        options.maxTokens = 1;
        const Completion completion = this->caller("entry-1").complete("dispatcher", prompt, options);
        cr_assert(completion.whole, "the probe failed: %s", completion.errorKind.c_str());
        return completion;
    }

    // Returns an entry host other than `name`.
    static std::string otherThan(const std::string &name)
    {
        return name == "entry-1" ? "entry-2" : "entry-1";
    }

    int64_t served(const std::string &engine)
    {
        return this->fleet.getJson(engine, "/stats")["served"].asInt64();
    }

    static FleetPlan makePlan(const std::function<void(FleetPlan &)> &change)
    {
        FleetPlan plan = FleetPlan::fromExample(environment("PIMENTOSAIL_SOURCE", "."), "winery", 3, true);
        plan.settings = {{"lease_ttl_ms", "3000"}, {"progress_timeout_ms", "1500"}};
        if (change) {
            change(plan);
        }
        return plan;
    }

    LocalFleet fleet;
    Clock clock;
};

void assertWhole(const Completion &completion, const std::string &prompt, int64_t tokens)
{
    cr_assert(completion.whole, "status %d, error %s after %ld tokens", completion.status, completion.errorKind.c_str(), static_cast<long>(completion.tokens));
    cr_assert_eq(completion.text, expectedAnswer(prompt, tokens), "got %ld tokens", static_cast<long>(completion.tokens));
}

// Streams an answer and calls `disturb` once, after its fifth token.
Completion streamWith(const Caller &caller, const std::string &prompt, int64_t tokens, const std::function<void()> &disturb)
{
    CompletionOptions options;
    options.maxTokens = tokens;
    options.onToken = [&disturb](int64_t count) {
        if (count == 5) {
            disturb();
        }
    };
    return caller.complete("dispatcher", prompt, options);
}

void replaceText(std::string &text, const std::string &from, const std::string &to)
{
    const size_t place = text.find(from);
    cr_assert_neq(place, std::string::npos);
    text.replace(place, from.size(), to);
}

} // namespace

Test(failure, an_answer_is_whole_though_its_engine_is_killed)
{
    Fixture fixture;
    const std::string prompt = makePrompt("engine-killed", ShortPrompt);
    const std::string target = fixture.probe(prompt).target;
    const Completion completion = streamWith(fixture.caller("entry-2"), prompt, 60, [&] { fixture.fleet.signal(target, SIGKILL); });
    assertWhole(completion, prompt, 60);
    cr_assert_neq(completion.target, target);
}

Test(failure, an_answer_is_whole_though_its_home_is_killed)
{
    Fixture fixture;
    const std::string prompt = makePrompt("home-killed", ShortPrompt);
    const std::string home = fixture.probe(prompt).host;
    const Completion completion = streamWith(fixture.caller(Fixture::otherThan(home)), prompt, 60, [&] { fixture.fleet.signal(home, SIGKILL); });
    assertWhole(completion, prompt, 60);
}

Test(failure, an_answer_is_whole_though_its_home_freezes)
{
    Fixture fixture;
    const std::string prompt = makePrompt("home-frozen", ShortPrompt);
    const std::string home = fixture.probe(prompt).host;
    const Completion completion = streamWith(fixture.caller(Fixture::otherThan(home)), prompt, 60, [&] { fixture.fleet.signal(home, SIGSTOP); });
    assertWhole(completion, prompt, 60);
    fixture.fleet.signal(home, SIGCONT);
}

Test(failure, an_answer_is_whole_though_connections_go_silent)
{
    Fixture fixture;
    const std::string prompt = makePrompt("silent", ShortPrompt);
    const std::string target = fixture.probe(prompt).target;
    const Completion completion = streamWith(fixture.caller("entry-3"), prompt, 60, [&] { fixture.fleet.fault(target, "silent", 1); });
    assertWhole(completion, prompt, 60);
}

Test(failure, a_target_that_turns_cold_without_warning_loses_no_answer)
{
    Fixture fixture;
    const std::string prompt = makePrompt("turned-cold", ShortPrompt);
    const std::string target = fixture.probe(prompt).target;
    const Completion completion = streamWith(fixture.caller("entry-1"), prompt, 60, [&] { fixture.fleet.fault(target, "restart", 1); });
    assertWhole(completion, prompt, 60);
}

Test(failure, a_request_that_kills_engines_kills_two_at_the_most)
{
    Fixture fixture([](FleetPlan &plan) {
        // Enough engines that a third death would be seen.
        for (int index = 4; index <= 6; ++index) {
            plan.processes.push_back({"dispatcher-" + std::to_string(index), "engine", "dispatcher", plan.zones[0], {{"prefill_rate", "20000"}}});
        }
    });
    const std::string innocentPrompt = makePrompt("innocent", ShortPrompt);
    std::atomic<int> wholeInnocents{0};
    std::vector<std::thread> innocents;
    for (int index = 0; index < 6; ++index) {
        innocents.emplace_back([&, index] {
            CompletionOptions options;
            options.maxTokens = 80;
            const std::string prompt = innocentPrompt + std::to_string(index);
            const Completion completion = fixture.caller("entry-" + std::to_string(index % 3 + 1)).complete("dispatcher", prompt, options);
            wholeInnocents += completion.whole && completion.text == expectedAnswer(prompt, 80) ? 1 : 0;
        });
    }
    const std::string killer = "CRASH-THE-ENGINE " + makePrompt("killer", ShortPrompt);
    for (const char *entry : {"entry-1", "entry-2", "entry-3", "entry-1"}) {
        const Completion completion = fixture.caller(entry).complete("dispatcher", killer);
        cr_assert_not(completion.whole);
        cr_assert_eq(completion.errorKind, std::string("quarantined"), "%s", completion.errorKind.c_str());
        cr_assert_not(completion.notRun);
    }
    for (std::thread &innocent : innocents) {
        innocent.join();
    }
    int dead = 0;
    for (const std::string &engine : fixture.fleet.names("engine")) {
        dead += fixture.fleet.waitForEnd(engine, Duration(0)) >= 0 ? 1 : 0;
    }
    cr_assert_eq(dead, 2, "%d engines died", dead);
    cr_assert_eq(wholeInnocents.load(), 6, "%d of 6 innocent answers are whole", wholeInnocents.load());
}

Test(failure, a_booking_runs_once_through_any_host_and_is_replayed)
{
    Fixture fixture;
    std::set<std::string> bodies;
    for (int index = 0; index < 9; ++index) {
        const Booking booking = fixture.caller("entry-" + std::to_string(index % 3 + 1)).book("truck-booking/book", "key-1", "{\"load\":1}");
        cr_assert_eq(booking.status, 200, "%s", booking.body.c_str());
        bodies.insert(booking.body);
    }
    cr_assert_eq(bodies.size(), 1U);
    cr_assert_eq(fixture.fleet.getJson("trucks-1", "/runs").size(), 1U);
    cr_assert_eq(fixture.caller("entry-2").book("truck-booking/book", "key-1", "{\"load\":2}").errorKind, std::string("idempotency_mismatch"));
    // The same key of another team is another booking.
    cr_assert_eq(fixture.caller("entry-2", "drivers").book("truck-booking/book", "key-1", "{\"load\":2}").status, 200);
    cr_assert_eq(fixture.fleet.getJson("trucks-1", "/runs").size(), 2U);
}

Test(failure, concurrent_bookings_with_one_key_run_once)
{
    Fixture fixture;
    fixture.fleet.fault("trucks-1", "delay_ms", 300);
    std::atomic<int> confirmed{0};
    std::vector<std::thread> callers;
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

Test(failure, a_booking_whose_keeper_is_killed_or_frozen_runs_once)
{
    Fixture fixture;
    fixture.fleet.fault("trucks-1", "delay_ms", 500);
    int tried = 0;
    // Disturbs each host in turn while bookings are under way, some of which it keeps.
    for (const auto &[victim, signal] : {std::pair("entry-1", SIGKILL), std::pair("entry-2", SIGSTOP)}) {
        std::vector<std::thread> callers;
        for (int index = 0; index < 8; ++index) {
            const std::string key = std::string(victim) + "-" + std::to_string(index);
            callers.emplace_back([&, key] {
                for (int attempt = 0; attempt < 3; ++attempt) {
                    fixture.caller("entry-3").book("truck-booking/book", key, "{}");
                }
            });
            ++tried;
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
    cr_assert_gt(keys.size(), 4U, "only %zu of %d ran", keys.size(), tried);
}

Test(failure, a_lost_answer_of_the_service_is_an_unknown_outcome)
{
    Fixture fixture;
    fixture.fleet.fault("trucks-1", "lose_answers", 1);
    const Booking first = fixture.caller("entry-1").book("truck-booking/book", "k", "{}");
    cr_assert_eq(first.errorKind, std::string("outcome_unknown"), "%s", first.body.c_str());
    cr_assert_not(first.notRun);
    const Booking again = fixture.caller("entry-2").book("truck-booking/book", "k", "{}");
    cr_assert_eq(again.errorKind, std::string("outcome_unknown"));
    cr_assert_eq(fixture.fleet.getJson("trucks-1", "/runs").size(), 1U);
}

Test(failure, without_the_key_value_service_answers_go_on_and_bookings_are_truly_not_run)
{
    Fixture fixture;
    fixture.caller("entry-1").book("truck-booking/book", "before", "{}");
    fixture.fleet.fault("key-value", "down", 1);
    // Well past the lease time.
    fixture.clock.sleepFor(std::chrono::seconds(8));
    for (int index = 0; index < 9; ++index) {
        const std::string prompt = makePrompt("outage-" + std::to_string(index), ShortPrompt);
        assertWhole(fixture.caller("entry-" + std::to_string(index % 3 + 1)).complete("dispatcher", prompt), prompt, 8);
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
    Fixture fixture;
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

Test(failure, a_graceful_shutdown_cuts_nothing)
{
    Fixture fixture;
    const std::string prompt = makePrompt("graceful", ShortPrompt);
    const std::string home = fixture.probe(prompt).host;
    fixture.fleet.fault("trucks-1", "delay_ms", 2500);
    Completion direct;
    Booking booking;
    // The host that leaves serves a caller's stream itself, runs another host's stream, and has a booking under way.
    std::thread own([&] {
        CompletionOptions options;
        options.maxTokens = 150;
        direct = fixture.caller(home).complete("dispatcher", prompt, options);
    });
    std::thread booker([&] { booking = fixture.caller(home).book("truck-booking/book", "k", "{}"); });
    const Completion forwarded = streamWith(fixture.caller(Fixture::otherThan(home)), prompt, 150, [&] { fixture.fleet.signal(home, SIGTERM); });
    own.join();
    booker.join();
    assertWhole(forwarded, prompt, 150);
    assertWhole(direct, prompt, 150);
    cr_assert_eq(booking.status, 200, "%s", booking.body.c_str());
    cr_assert_eq(fixture.fleet.waitForEnd(home, std::chrono::seconds(20)), 0);
}

Test(failure, all_daemons_are_replaced_one_after_another_under_traffic)
{
    Fixture fixture;
    std::atomic<bool> stop{false};
    std::atomic<int> whole{0};
    std::atomic<int> failed{0};
    std::vector<std::thread> callers;
    for (int index = 0; index < 4; ++index) {
        callers.emplace_back([&, index] {
            for (int number = 0; !stop.load(); ++number) {
                const std::string prompt = makePrompt("rolling-" + std::to_string(index) + "-" + std::to_string(number), 500);
                CompletionOptions options;
                options.maxTokens = 20;
                // The balancer sends callers to hosts that say they are ready, and a refused one to the next.
                Completion completion;
                for (int attempt = 0; attempt < 6 && !completion.whole; ++attempt) {
                    const std::string entry = "entry-" + std::to_string((number + attempt) % 3 + 1);
                    if (!fixture.fleet.isReady(entry)) {
                        continue;
                    }
                    completion = fixture.caller(entry).complete("dispatcher", prompt, options);
                    if (!completion.whole && !completion.notRun) {
                        break;
                    }
                }
                if (!completion.whole) {
                    std::fprintf(stderr, "status %d error %s not run %d\n", completion.status, completion.errorKind.c_str(), completion.notRun);
                }
                (completion.whole && completion.text == expectedAnswer(prompt, 20) ? whole : failed) += 1;
            }
        });
    }
    for (const char *entry : {"entry-1", "entry-2", "entry-3"}) {
        fixture.fleet.signal(entry, SIGTERM);
        cr_assert_eq(fixture.fleet.waitForEnd(entry, std::chrono::seconds(20)), 0, "%s cut a request", entry);
        fixture.fleet.restart(entry);
        cr_assert(fixture.fleet.waitReady(entry, std::chrono::seconds(30)), "%s did not come back", entry);
    }
    stop.store(true);
    for (std::thread &caller : callers) {
        caller.join();
    }
    cr_assert_eq(failed.load(), 0, "%d failed, %d whole", failed.load(), whole.load());
    cr_assert_gt(whole.load(), 50);
    cr_assert_eq(fixture.fleet.getJson("entry-1", "/debug/state")["configuration"]["revision"].asInt64(), 1);
}

Test(failure, a_configuration_is_in_force_everywhere_though_watches_are_silent)
{
    Fixture fixture;
    fixture.fleet.fault("key-value", "watch_silent", 1);
    Json::Value outage;
    outage["kind"] = "zone";
    outage["name"] = "melnik";
    outage["out"] = true;
    outage["author"] = "test";
    fixture.fleet.postJson("entry-1", "/admin/v1/outage", outage);
    const Time end = fixture.clock.now() + std::chrono::seconds(6);
    size_t current = 0;
    while (current < 3 && fixture.clock.now() < end) {
        current = 0;
        for (const std::string &entry : fixture.fleet.names("entry")) {
            current += fixture.fleet.getJson(entry, "/debug/state")["configuration"]["revision"].asInt64() == 2 ? 1 : 0;
        }
    }
    cr_assert_eq(current, 3U);
}

Test(failure, of_two_racing_operators_one_gets_a_conflict_and_nothing_reverts)
{
    Fixture fixture;
    const Json::Value inForce = fixture.fleet.getJson("entry-1", "/admin/v1/configuration");
    std::atomic<int> accepted{0};
    std::atomic<int> conflicts{0};
    std::vector<std::thread> operators;
    for (const char *entry : {"entry-1", "entry-2", "entry-3"}) {
        operators.emplace_back([&, entry] {
            Json::Value body;
            body["plans"] = inForce["plans"];
            body["allowances"] = inForce["allowances"];
            body["base_revision"] = inForce["revision"];
            body["author"] = entry;
            body["summary"] = "race";
            try {
                fixture.fleet.postJson(entry, "/admin/v1/configuration", body);
                ++accepted;
            } catch (const Failure &failure) {
                conflicts += failure.error.kind == ErrorKind::Conflict ? 1 : 0;
            }
        });
    }
    for (std::thread &operatorThread : operators) {
        operatorThread.join();
    }
    cr_assert_eq(accepted.load(), 1);
    cr_assert_eq(conflicts.load(), 2);
    // Restarted in an outage of the service, a host still has the newest revision, from its peers.
    fixture.clock.sleepFor(std::chrono::seconds(2));
    fixture.fleet.fault("key-value", "down", 1);
    fixture.fleet.signal("entry-3", SIGKILL);
    fixture.fleet.restart("entry-3");
    int64_t revision = 0;
    const Time end = fixture.clock.now() + std::chrono::seconds(10);
    while (revision < 2 && fixture.clock.now() < end) {
        try {
            revision = fixture.fleet.getJson("entry-3", "/debug/state")["configuration"]["revision"].asInt64();
        } catch (const std::exception &) {
            // Not listening yet.
        }
        fixture.clock.sleepFor(Milliseconds(100));
    }
    cr_assert_eq(revision, 2);
}

Test(failure, a_zone_that_is_out_gets_no_new_work_and_works_again_when_it_is_back)
{
    Fixture fixture;
    Json::Value outage;
    outage["kind"] = "zone";
    outage["name"] = "sungurlare";
    outage["out"] = true;
    outage["author"] = "test";
    // During an outage of the key-value service a change is refused, never half accepted.
    fixture.fleet.fault("key-value", "down", 1);
    cr_assert_throw(fixture.fleet.postJson("entry-2", "/admin/v1/outage", outage), Failure);
    fixture.fleet.fault("key-value", "down", 0);
    fixture.fleet.postJson("entry-2", "/admin/v1/outage", outage);
    fixture.clock.sleepFor(std::chrono::seconds(3));
    const int64_t before = fixture.served("dispatcher-1");
    const auto sendTwenty = [&](const std::string &name) {
        for (int index = 0; index < 20; ++index) {
            const std::string prompt = makePrompt(name + std::to_string(index), ShortPrompt);
            assertWhole(fixture.caller("entry-" + std::to_string(index % 3 + 1)).complete("dispatcher", prompt), prompt, 8);
        }
    };
    sendTwenty("out-");
    cr_assert_eq(fixture.served("dispatcher-1"), before);
    outage["out"] = false;
    fixture.fleet.postJson("entry-3", "/admin/v1/outage", outage);
    fixture.clock.sleepFor(std::chrono::seconds(3));
    sendTwenty("in-");
    cr_assert_gt(fixture.served("dispatcher-1"), before);
}

Test(failure, a_leaving_target_gets_no_new_work)
{
    Fixture fixture;
    Json::Value state;
    state["name"] = "dispatcher-2";
    state["state"] = "leaving";
    fixture.fleet.postJson("platform", "/hosts/state", state);
    fixture.clock.sleepFor(std::chrono::seconds(3));
    const int64_t before = fixture.served("dispatcher-2");
    for (int index = 0; index < 15; ++index) {
        const std::string prompt = makePrompt("leaving-" + std::to_string(index), ShortPrompt);
        assertWhole(fixture.caller("entry-" + std::to_string(index % 3 + 1)).complete("dispatcher", prompt), prompt, 8);
    }
    cr_assert_eq(fixture.served("dispatcher-2"), before);
}

Test(failure, cold_targets_get_no_more_than_they_bear_from_all_hosts_together)
{
    Fixture fixture([](FleetPlan &plan) {
        for (FleetProcess &process : plan.processes) {
            if (process.pool == "dispatcher") {
                process.options["cold_seconds"] = "25";
                process.options["prefill_rate"] = "40000";
            }
        }
    });
    std::vector<std::thread> callers;
    std::atomic<int> whole{0};
    for (int index = 0; index < 24; ++index) {
        callers.emplace_back([&, index] {
            CompletionOptions options;
            options.maxTokens = 20;
            const std::string prompt = makePrompt("cold-" + std::to_string(index), 1000);
            // Batch work, which waits for a slot as long as it takes.
            whole += fixture.caller("entry-" + std::to_string(index % 2 + 1), "audits").complete("dispatcher", prompt, options).whole ? 1 : 0;
        });
    }
    // An owner dies while its cold targets are full.
    fixture.clock.sleepFor(Milliseconds(300));
    fixture.fleet.signal("entry-3", SIGKILL);
    for (std::thread &caller : callers) {
        caller.join();
    }
    cr_assert_eq(whole.load(), 24, "%d of 24 answered", whole.load());
    for (const std::string &engine : fixture.fleet.names("engine")) {
        cr_assert_eq(fixture.fleet.getJson(engine, "/stats")["cold_overloads"].asInt64(), 0, "%s was overloaded", engine.c_str());
    }
}

Test(failure, one_team_never_uses_the_cache_of_another)
{
    Fixture fixture;
    const std::string prompt = makePrompt("shared-words", 12'000);
    CompletionOptions options;
    options.maxTokens = 2;
    cr_assert_eq(fixture.caller("entry-1", "pickers").complete("dispatcher", prompt, options).cachedTokens, 0);
    cr_assert_eq(fixture.caller("entry-2", "pickers").complete("dispatcher", prompt, options).cachedTokens, 12'000);
    cr_assert_eq(fixture.caller("entry-1", "drivers").complete("dispatcher", prompt, options).cachedTokens, 0);
}

// One engine whose cache holds two prompts, so that four prompts in turn come back after their eviction.
Test(failure, an_evicted_prompt_comes_back_from_a_store_for_its_own_team_only)
{
    Fixture fixture([](FleetPlan &plan) {
        plan.processes.erase(std::remove_if(plan.processes.begin(), plan.processes.end(),
                                 [](const FleetProcess &process) { return process.name == "dispatcher-2" || process.name == "dispatcher-3"; }),
            plan.processes.end());
        for (FleetProcess &process : plan.processes) {
            if (process.pool == "dispatcher") {
                process.options["cache_pieces"] = "6";
                process.options["prefill_rate"] = "12000";
            }
        }
    });
    CompletionOptions options;
    options.maxTokens = 2;
    int imported = 0;
    for (int round = 0; round < 4; ++round) {
        for (int index = 0; index < 4; ++index) {
            const std::string prompt = makePrompt("stored-" + std::to_string(index), 12'000);
            const Completion completion = fixture.caller("entry-" + std::to_string(index % 3 + 1), "audits").complete("dispatcher", prompt, options);
            assertWhole(completion, prompt, 2);
            imported += completion.source == "store_import" && completion.cachedTokens == 12'000 ? 1 : 0;
        }
        fixture.clock.sleepFor(Milliseconds(500));
    }
    cr_assert_gt(imported, 0);
    const std::string prompt = makePrompt("stored-0", 12'000);
    cr_assert_eq(fixture.caller("entry-1", "vintage-reports").complete("dispatcher", prompt, options).cachedTokens, 0);
    // A store that dies costs time only.
    fixture.fleet.signal("dossier-cache", SIGKILL);
    fixture.fleet.signal("dossier-spare", SIGKILL);
    for (int index = 0; index < 4; ++index) {
        const std::string again = makePrompt("stored-" + std::to_string(index), 12'000);
        assertWhole(fixture.caller("entry-1", "audits").complete("dispatcher", again, options), again, 2);
    }
}

Test(failure, a_plan_is_held_to_its_allowance_over_all_hosts)
{
    constexpr double TokensPerSecond = 4000;
    constexpr double Burst = 20'000;
    Fixture fixture([](FleetPlan &plan) {
        replaceText(plan.allowancesText, "tokens_per_second: 200000\n    burst_tokens: 2000000", "tokens_per_second: 4000\n    burst_tokens: 20000");
    });
    const Time start = fixture.clock.now();
    const Time end = start + std::chrono::seconds(12);
    std::atomic<int64_t> used{0};
    std::atomic<int> refused{0};
    std::vector<std::thread> callers;
    for (int index = 0; index < 6; ++index) {
        callers.emplace_back([&, index] {
            for (int number = 0; fixture.clock.now() < end; ++number) {
                CompletionOptions options;
                options.maxTokens = 4;
                const std::string prompt = makePrompt("allowance-" + std::to_string(index) + "-" + std::to_string(number), 400);
                const Completion completion = fixture.caller("entry-" + std::to_string((index + number) % 3 + 1)).complete("dispatcher", prompt, options);
                used += completion.whole ? completion.promptTokens + completion.tokens : 0;
                refused += completion.errorKind == "allowance_exceeded" ? 1 : 0;
                if (!completion.whole) {
                    fixture.clock.sleepFor(Milliseconds(20));
                }
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    const double allowed = Burst + TokensPerSecond * toSeconds(fixture.clock.now() - start);
    cr_assert_leq(static_cast<double>(used.load()), allowed * 1.01, "%ld of %.0f", static_cast<long>(used.load()), allowed);
    cr_assert_geq(static_cast<double>(used.load()), 0.8 * TokensPerSecond * 12, "%ld used", static_cast<long>(used.load()));
    cr_assert_gt(refused.load(), 0);
}

Test(failure, new_weights_are_loaded_in_waves_and_answers_go_on)
{
    Fixture fixture;
    Json::Value inForce = fixture.fleet.getJson("entry-1", "/admin/v1/configuration");
    std::string allowances = inForce["allowances"].asString();
    replaceText(allowances, "version: 1", "version: 2");
    Json::Value body;
    body["plans"] = inForce["plans"];
    body["allowances"] = allowances;
    body["base_revision"] = inForce["revision"];
    body["author"] = "test";
    fixture.fleet.postJson("entry-1", "/admin/v1/configuration", body);
    const Time end = fixture.clock.now() + std::chrono::seconds(30);
    size_t current = 0;
    int answered = 0;
    int sent = 0;
    while (current < 3 && fixture.clock.now() < end) {
        current = 0;
        for (const char *engine : {"dispatcher-1", "dispatcher-2", "dispatcher-3"}) {
            current += fixture.fleet.getJson(engine, "/load")["version"].asInt64() == 2 ? 1 : 0;
        }
        CompletionOptions options;
        options.maxTokens = 2;
        ++sent;
        answered += fixture.caller("entry-" + std::to_string(sent % 3 + 1), "parcel-history")
                        .complete("dispatcher", makePrompt("swap-" + std::to_string(sent), 500), options)
                        .whole
            ? 1
            : 0;
    }
    cr_assert_eq(current, 3U);
    cr_assert_eq(answered, sent, "%d of %d answered", answered, sent);
    cr_assert_leq(fixture.fleet.getJson("platform", "/weights/0")["peak_loading"].asInt64(), 2);
}

Test(failure, bad_input_gets_a_clear_error_and_does_no_harm)
{
    Fixture fixture;
    const std::string address = fixture.fleet.callerAddress("entry-1");
    const Headers key{{"Authorization", "Bearer key-pickers"}};
    const auto expect = [&](const std::string &path, const Headers &headers, const std::string &body, const std::string &kind) {
        const HttpReply reply = fixture.fleet.post(address, path, headers, body, std::chrono::seconds(10));
        const Json::Value value = parseJson(reply.body);
        cr_assert_eq(jsonString(value["error"], "kind"), kind, "%s: %s", path.c_str(), reply.body.c_str());
        cr_assert(jsonBoolean(value["error"], "not_run"));
        cr_assert_not(jsonString(value["error"], "request_id").empty());
    };
    expect("/v1/completions", key, "{\"model\":", "bad_request");
    expect("/v1/completions", key, "[1]", "bad_request");
    expect("/v1/completions", key, "{\"model\":\"dispatcher\",\"prompt\":\"\xff\xfe\"}", "bad_request");
    expect("/v1/completions", key, "{\"model\":\"dispatcher\",\"prompt\":7}", "bad_request");
    expect("/v1/completions", key, "{\"model\":\"dispatcher\",\"prompt\":\"x\",\"max_tokens\":0}", "bad_request");
    expect("/v1/completions", key, "{\"model\":\"dispatcher\",\"prompt\":\"x\",\"priority\":\"now\"}", "bad_request");
    expect("/v1/completions", key, "{\"model\":\"nobody\",\"prompt\":\"x\"}", "unknown_model");
    expect("/v1/completions", key, "{\"model\":\"cellar-desk\",\"prompt\":\"x\"}", "not_allowed");
    expect("/v1/completions", {}, "{}", "unauthorized");
    expect("/v1/completions", {{"Authorization", "Bearer wrong"}}, "{}", "unauthorized");
    expect("/v1/chat/completions", key, "{\"model\":\"dispatcher\",\"messages\":[]}", "bad_request");
    expect("/v1/completions", key, std::string(5 << 20, 'x'), "body_too_large");
    expect("/v1/services/nobody/x", key, "{}", "unknown_service");
    expect("/v1/services/truck-booking/x", {{"Authorization", "Bearer key-audits"}}, "{}", "not_allowed");
    expect("/nowhere", key, "{}", "not_found");
    // A flood of headers is refused by the server before a handler runs.
    Headers flood = key;
    for (int index = 0; index < 300; ++index) {
        flood.emplace_back("X-Flood-" + std::to_string(index), "x");
    }
    try {
        cr_assert_geq(fixture.fleet.post(address, "/v1/completions", flood, "{}", std::chrono::seconds(10)).status, 400);
    } catch (const Failure &) {
        // Closing the connection is an answer too.
    }
    const std::string prompt = makePrompt("after-bad-input", ShortPrompt);
    assertWhole(fixture.caller("entry-1").complete("dispatcher", prompt), prompt, 8);
}
