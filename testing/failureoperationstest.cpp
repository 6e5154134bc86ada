// Failures while operators change configuration lists, zones, hosts, weights and daemons.

#include "testing/failurefixture.h"

using namespace pimentosail;
using namespace pimentosail::testing;

Test(failure, a_graceful_shutdown_interrupts_no_request)
{
    FailureFixture fixture;
    const std::string prompt = makePrompt("graceful", ShortPrompt);
    const std::string owner = fixture.probe(prompt).host;
    fixture.fleet.fault("trucks-1", "delay_ms", 2500);
    Completion direct;
    Booking booking;
    // The leaving host serves a stream to its own caller, runs a stream forwarded by another host, and runs a booking.
    std::thread directCaller([&] {
        CompletionOptions options;
        options.maxTokens = 150;
        direct = fixture.caller(owner).complete("dispatcher", prompt, options);
    });
    std::thread bookingCaller([&] { booking = fixture.caller(owner).book("truck-booking/book", "k", "{}"); });
    const Completion forwarded
        = streamAndDisturb(fixture.caller(FailureFixture::entryOtherThan(owner)), prompt, 150, [&] { fixture.fleet.signal(owner, SIGTERM); });
    directCaller.join();
    bookingCaller.join();
    assertComplete(forwarded, prompt, 150);
    assertComplete(direct, prompt, 150);
    cr_assert_eq(booking.status, 200, "%s", booking.body.c_str());
    cr_assert_eq(fixture.fleet.waitForEnd(owner, std::chrono::seconds(20)), 0);
}

Test(failure, no_request_fails_while_all_daemons_are_replaced_one_by_one)
{
    FailureFixture fixture;
    std::atomic<bool> stop{false};
    std::atomic<int> completed{0};
    std::atomic<int> failed{0};
    std::vector<std::thread> callers;
    callers.reserve(MaxTestThreads);
    for (int index = 0; index < 4; ++index) {
        callers.emplace_back([&, index] {
            for (int number = 0; !stop.load(); ++number) {
                const std::string prompt = makePrompt("rolling-" + std::to_string(index) + "-" + std::to_string(number), 500);
                CompletionOptions options;
                options.maxTokens = 20;
                // Acts as the load balancer: skips hosts that aren't ready and tries the next host if a request was not run.
                Completion completion;
                for (int attempt = 0; attempt < 6 && !completion.complete; ++attempt) {
                    const std::string entry = "entry-" + std::to_string((number + attempt) % 3 + 1);
                    if (!fixture.fleet.isReady(entry)) {
                        continue;
                    }
                    completion = fixture.caller(entry).complete("dispatcher", prompt, options);
                    if (!completion.complete && !completion.notRun) {
                        break;
                    }
                }
                if (!completion.complete) {
                    std::fprintf(stderr, "status %d error %s not run %d\n", completion.status, completion.errorKind.c_str(), completion.notRun);
                }
                (completion.complete && completion.text == expectedAnswer(prompt, 20) ? completed : failed) += 1;
            }
        });
    }
    for (const char *entry : {"entry-1", "entry-2", "entry-3"}) {
        fixture.fleet.signal(entry, SIGTERM);
        cr_assert_eq(fixture.fleet.waitForEnd(entry, std::chrono::seconds(20)), 0, "%s did not exit cleanly", entry);
        fixture.fleet.restart(entry);
        cr_assert(fixture.fleet.waitReady(entry, std::chrono::seconds(30)), "%s did not come back", entry);
    }
    stop.store(true);
    for (std::thread &caller : callers) {
        caller.join();
    }
    cr_assert_eq(failed.load(), 0, "%d failed, %d complete", failed.load(), completed.load());
    cr_assert_gt(completed.load(), 50);
    cr_assert_eq(fixture.fleet.getJson("entry-1", "/debug/state")["configuration"]["revision"].asInt64(), 1);
}

Test(failure, a_configuration_reaches_all_hosts_when_watches_are_silent)
{
    FailureFixture fixture;
    fixture.fleet.fault("key-value", "watch_silent", 1);
    Json::Value outage;
    outage["kind"] = "zone";
    outage["name"] = "melnik";
    outage["out"] = true;
    outage["author"] = "test";
    fixture.fleet.postJson("entry-1", "/admin/v1/outage", outage);
    const Time end = fixture.clock.now() + std::chrono::seconds(6);
    size_t upToDate = 0;
    while (upToDate < 3 && fixture.clock.now() < end) {
        upToDate = 0;
        for (const std::string &entry : fixture.fleet.names("entry")) {
            upToDate += fixture.fleet.getJson(entry, "/debug/state")["configuration"]["revision"].asInt64() == 2 ? 1 : 0;
        }
    }
    cr_assert_eq(upToDate, 3U);
}

Test(failure, one_of_several_racing_operators_succeeds_and_its_revision_survives_a_restart)
{
    FailureFixture fixture;
    const Json::Value inForce = fixture.fleet.getJson("entry-1", "/admin/v1/configuration");
    std::atomic<int> accepted{0};
    std::atomic<int> conflicts{0};
    std::vector<std::thread> operators;
    operators.reserve(MaxTestThreads);
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
    // A host that restarts during an outage of the key-value service obtains the newest revision from its peers.
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

Test(failure, a_zone_that_is_out_gets_no_requests_until_it_is_back)
{
    FailureFixture fixture;
    Json::Value outage;
    outage["kind"] = "zone";
    outage["name"] = "sungurlare";
    outage["out"] = true;
    outage["author"] = "test";
    // During an outage of the key-value service, a change is refused and has no effect.
    fixture.fleet.fault("key-value", "down", 1);
    cr_assert_throw(fixture.fleet.postJson("entry-2", "/admin/v1/outage", outage), Failure);
    fixture.fleet.fault("key-value", "down", 0);
    fixture.fleet.postJson("entry-2", "/admin/v1/outage", outage);
    fixture.clock.sleepFor(std::chrono::seconds(3));
    const int64_t before = fixture.served("dispatcher-1");
    const auto sendTwenty = [&](const std::string &name) {
        for (int index = 0; index < 20; ++index) {
            const std::string prompt = makePrompt(name + std::to_string(index), ShortPrompt);
            assertComplete(fixture.caller("entry-" + std::to_string(index % 3 + 1)).complete("dispatcher", prompt), prompt, 8);
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

Test(failure, a_leaving_target_gets_no_new_requests)
{
    FailureFixture fixture;
    Json::Value state;
    state["name"] = "dispatcher-2";
    state["state"] = "leaving";
    fixture.fleet.postJson("platform", "/hosts/state", state);
    fixture.clock.sleepFor(std::chrono::seconds(3));
    const int64_t before = fixture.served("dispatcher-2");
    for (int index = 0; index < 15; ++index) {
        const std::string prompt = makePrompt("leaving-" + std::to_string(index), ShortPrompt);
        assertComplete(fixture.caller("entry-" + std::to_string(index % 3 + 1)).complete("dispatcher", prompt), prompt, 8);
    }
    cr_assert_eq(fixture.served("dispatcher-2"), before);
}

Test(failure, new_weights_are_loaded_in_waves_while_requests_are_answered)
{
    FailureFixture fixture;
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
    size_t upToDate = 0;
    int answered = 0;
    int sent = 0;
    while (upToDate < 3 && fixture.clock.now() < end) {
        upToDate = 0;
        for (const char *engine : {"dispatcher-1", "dispatcher-2", "dispatcher-3"}) {
            upToDate += fixture.fleet.getJson(engine, "/load")["version"].asInt64() == 2 ? 1 : 0;
        }
        CompletionOptions options;
        options.maxTokens = 2;
        ++sent;
        answered += fixture.caller("entry-" + std::to_string(sent % 3 + 1), "parcel-history")
                        .complete("dispatcher", makePrompt("swap-" + std::to_string(sent), 500), options)
                        .complete
            ? 1
            : 0;
    }
    cr_assert_eq(upToDate, 3U);
    cr_assert_eq(answered, sent, "%d of %d answered", answered, sent);
    cr_assert_leq(fixture.fleet.getJson("platform", "/weights/0")["peak_loading"].asInt64(), 2);
}
