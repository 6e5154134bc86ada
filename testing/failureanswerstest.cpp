// Failures during completions. Each test disturbs the deployment while answers are streamed and checks that answers are
// complete, that no team uses the cache of another, and that limits are kept.

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "testing/failurefixture.h"

using namespace pimentosail;
using namespace pimentosail::testing;

Test(failure, an_answer_is_complete_when_its_engine_is_killed)
{
    FailureFixture fixture;
    const std::string prompt = makePrompt("engine-killed", ShortPrompt);
    const std::string engine = fixture.probe(prompt).target;
    const Completion completion = streamAndDisturb(fixture.caller("entry-2"), prompt, 60, [&] { fixture.fleet.signal(engine, SIGKILL); });
    assertComplete(completion, prompt, 60);
    cr_assert_neq(completion.target, engine);
}

Test(failure, an_answer_is_complete_when_its_owner_is_killed)
{
    FailureFixture fixture;
    const std::string prompt = makePrompt("home-killed", ShortPrompt);
    const std::string owner = fixture.probe(prompt).host;
    const Completion completion
        = streamAndDisturb(fixture.caller(FailureFixture::entryOtherThan(owner)), prompt, 60, [&] { fixture.fleet.signal(owner, SIGKILL); });
    assertComplete(completion, prompt, 60);
}

Test(failure, an_answer_is_complete_when_its_owner_freezes)
{
    FailureFixture fixture;
    const std::string prompt = makePrompt("home-frozen", ShortPrompt);
    const std::string owner = fixture.probe(prompt).host;
    const Completion completion
        = streamAndDisturb(fixture.caller(FailureFixture::entryOtherThan(owner)), prompt, 60, [&] { fixture.fleet.signal(owner, SIGSTOP); });
    assertComplete(completion, prompt, 60);
    fixture.fleet.signal(owner, SIGCONT);
}

Test(failure, an_answer_is_complete_when_its_engine_stops_sending)
{
    FailureFixture fixture;
    const std::string prompt = makePrompt("silent", ShortPrompt);
    const std::string engine = fixture.probe(prompt).target;
    const Completion completion = streamAndDisturb(fixture.caller("entry-3"), prompt, 60, [&] { fixture.fleet.fault(engine, "silent", 1); });
    assertComplete(completion, prompt, 60);
}

Test(failure, an_answer_is_complete_when_its_engine_restarts_cold)
{
    FailureFixture fixture;
    const std::string prompt = makePrompt("turned-cold", ShortPrompt);
    const std::string engine = fixture.probe(prompt).target;
    const Completion completion = streamAndDisturb(fixture.caller("entry-1"), prompt, 60, [&] { fixture.fleet.fault(engine, "restart", 1); });
    assertComplete(completion, prompt, 60);
}

// Guards against work for a caller that left before its request was read: a host that was slow or frozen finds the request and the
// end of the connection in its socket together.
Test(failure, a_request_that_is_read_after_its_caller_has_left_runs_on_no_engine)
{
    FailureFixture fixture;
    fixture.probe(makePrompt("before", ShortPrompt));
    const auto servedByAll = [&fixture] {
        int64_t total = 0;
        for (const std::string &engine : fixture.fleet.names("engine")) {
            total += fixture.served(engine);
        }
        return total;
    };
    const int64_t servedBefore = servedByAll();
    fixture.fleet.signal("entry-1", SIGSTOP);
    {
        const std::string body = R"({"model":"dispatcher","prompt":")" + makePrompt("left", ShortPrompt) + R"(","max_tokens":1,"stream":true})";
        const std::string bytes = "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-pickers\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        Poco::Net::StreamSocket caller(Poco::Net::SocketAddress(fixture.fleet.callerAddress("entry-1")));
        caller.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }
    fixture.clock.sleepFor(Milliseconds(300));
    fixture.fleet.signal("entry-1", SIGCONT);
    fixture.clock.sleepFor(std::chrono::seconds(3));
    cr_assert_eq(servedByAll(), servedBefore);
}

Test(failure, a_request_that_kills_engines_kills_two_at_most)
{
    FailureFixture fixture([](FleetPlan &plan) {
        // Adds engines, so that the request could crash a third one if it were sent again.
        for (int index = 4; index <= 6; ++index) {
            plan.processes.push_back({"dispatcher-" + std::to_string(index), "engine", "dispatcher", plan.zones[0], {{"prefill_rate", "20000"}}});
        }
    });
    const std::string otherPrompt = makePrompt("innocent", ShortPrompt);
    std::atomic<int> completeOthers{0};
    std::vector<std::thread> others;
    others.reserve(MaxTestThreads);
    for (int index = 0; index < 6; ++index) {
        others.emplace_back([&, index] {
            CompletionOptions options;
            options.maxTokens = 80;
            const std::string prompt = otherPrompt + std::to_string(index);
            const Completion completion = fixture.caller("entry-" + std::to_string(index % 3 + 1)).complete("dispatcher", prompt, options);
            completeOthers += completion.complete && completion.text == expectedAnswer(prompt, 80) ? 1 : 0;
        });
    }
    const std::string crashingPrompt = "CRASH-THE-ENGINE " + makePrompt("killer", ShortPrompt);
    for (const char *entry : {"entry-1", "entry-2", "entry-3", "entry-1"}) {
        const Completion completion = fixture.caller(entry).complete("dispatcher", crashingPrompt);
        cr_assert_not(completion.complete);
        cr_assert_eq(completion.errorKind, std::string("quarantined"), "%s", completion.errorKind.c_str());
        cr_assert_not(completion.notRun);
    }
    for (std::thread &other : others) {
        other.join();
    }
    int crashedEngines = 0;
    for (const std::string &engine : fixture.fleet.names("engine")) {
        crashedEngines += fixture.fleet.waitForEnd(engine, Duration(0)) >= 0 ? 1 : 0;
    }
    cr_assert_eq(crashedEngines, 2, "%d engines died", crashedEngines);
    cr_assert_eq(completeOthers.load(), 6, "%d of 6 other answers are complete", completeOthers.load());
}

Test(failure, cold_engines_are_not_overloaded_by_all_hosts_together)
{
    FailureFixture fixture([](FleetPlan &plan) {
        for (FleetProcess &process : plan.processes) {
            if (process.pool == "dispatcher") {
                process.options["cold_seconds"] = "25";
                process.options["prefill_rate"] = "40000";
            }
        }
    });
    std::vector<std::thread> callers;
    callers.reserve(MaxTestThreads);
    std::atomic<int> completed{0};
    for (int index = 0; index < 24; ++index) {
        callers.emplace_back([&, index] {
            CompletionOptions options;
            options.maxTokens = 20;
            const std::string prompt = makePrompt("cold-" + std::to_string(index), 1000);
            // This team has batch priority and a first-token limit of an hour, so that its requests wait for a free slot.
            completed += fixture.caller("entry-" + std::to_string(index % 2 + 1), "audits").complete("dispatcher", prompt, options).complete ? 1 : 0;
        });
    }
    // Kills an owner of engines while these are cold and full.
    fixture.clock.sleepFor(Milliseconds(300));
    fixture.fleet.signal("entry-3", SIGKILL);
    for (std::thread &caller : callers) {
        caller.join();
    }
    cr_assert_eq(completed.load(), 24, "%d of 24 answered", completed.load());
    for (const std::string &engine : fixture.fleet.names("engine")) {
        cr_assert_eq(fixture.fleet.getJson(engine, "/stats")["cold_overloads"].asInt64(), 0, "%s was overloaded", engine.c_str());
    }
}

Test(failure, one_team_never_uses_the_cache_of_another)
{
    FailureFixture fixture;
    const std::string prompt = makePrompt("shared-words", 12'000);
    CompletionOptions options;
    options.maxTokens = 2;
    cr_assert_eq(fixture.caller("entry-1", "pickers").complete("dispatcher", prompt, options).cachedTokens, 0);
    cr_assert_eq(fixture.caller("entry-2", "pickers").complete("dispatcher", prompt, options).cachedTokens, 12'000);
    cr_assert_eq(fixture.caller("entry-1", "drivers").complete("dispatcher", prompt, options).cachedTokens, 0);
}

// A single engine whose cache has room for two prompts, so that each of four prompts is evicted before it is sent again.
Test(failure, an_evicted_prompt_is_imported_from_a_store_for_its_own_team_only)
{
    FailureFixture fixture([](FleetPlan &plan) {
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
            assertComplete(completion, prompt, 2);
            imported += completion.source == "store_import" && completion.cachedTokens == 12'000 ? 1 : 0;
        }
        fixture.clock.sleepFor(Milliseconds(500));
    }
    cr_assert_gt(imported, 0);
    const std::string prompt = makePrompt("stored-0", 12'000);
    cr_assert_eq(fixture.caller("entry-1", "vintage-reports").complete("dispatcher", prompt, options).cachedTokens, 0);
    // Without the cache stores, prompts are computed again.
    fixture.fleet.signal("dossier-cache", SIGKILL);
    fixture.fleet.signal("dossier-spare", SIGKILL);
    for (int index = 0; index < 4; ++index) {
        const std::string again = makePrompt("stored-" + std::to_string(index), 12'000);
        assertComplete(fixture.caller("entry-1", "audits").complete("dispatcher", again, options), again, 2);
    }
}

Test(failure, a_plan_stays_within_its_allowance_across_all_hosts)
{
    constexpr double TokensPerSecond = 4000;
    constexpr double Burst = 20'000;
    FailureFixture fixture([](FleetPlan &plan) {
        replaceText(plan.allowancesText, "tokens_per_second: 200000\n    burst_tokens: 2000000", "tokens_per_second: 4000\n    burst_tokens: 20000");
    });
    const Time start = fixture.clock.now();
    const Time end = start + std::chrono::seconds(12);
    std::atomic<int64_t> used{0};
    std::atomic<int> refused{0};
    std::vector<std::thread> callers;
    callers.reserve(MaxTestThreads);
    for (int index = 0; index < 6; ++index) {
        callers.emplace_back([&, index] {
            for (int number = 0; fixture.clock.now() < end; ++number) {
                CompletionOptions options;
                options.maxTokens = 4;
                const std::string prompt = makePrompt("allowance-" + std::to_string(index) + "-" + std::to_string(number), 400);
                const Completion completion = fixture.caller("entry-" + std::to_string((index + number) % 3 + 1)).complete("dispatcher", prompt, options);
                used += completion.complete ? completion.promptTokens + completion.tokens : 0;
                refused += completion.errorKind == "allowance_exceeded" ? 1 : 0;
                if (!completion.complete) {
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

Test(failure, bad_input_is_refused_with_its_error_kind)
{
    FailureFixture fixture;
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
    // The server refuses too many headers before a handler runs.
    Headers flood = key;
    for (int index = 0; index < 300; ++index) {
        flood.emplace_back("X-Flood-" + std::to_string(index), "x");
    }
    try {
        cr_assert_geq(fixture.fleet.post(address, "/v1/completions", flood, "{}", std::chrono::seconds(10)).status, 400);
    } catch (const Failure &) {
        // The server may also close the connection.
    }
    const std::string prompt = makePrompt("after-bad-input", ShortPrompt);
    assertComplete(fixture.caller("entry-1").complete("dispatcher", prompt), prompt, 8);
}
