// Starts a small deployment of real processes for the failure tests and checks that answers are complete.
//
//     FailureFixture fixture;
//     fixture.fleet.signal("entry-1", SIGKILL);
//     assertComplete(completion, prompt, 60);
//
// Ports are fixed (from `FailureFirstPort`), so that only one fixture can exist at a time. `caller` is thread-safe.
#pragma once

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"
#include "testing/caller.h"
#include "testing/localfleet.h"

namespace pimentosail::testing
{

constexpr int FailureFirstPort = 20000;
// Capacity reserved for the threads of a test; no test starts more.
constexpr size_t MaxTestThreads = 128;
// Length in tokens of a prompt that is prefilled quickly.
constexpr int64_t ShortPrompt = 2000;

// Returns the environment variable `name`, or `fallback` if it isn't set.
inline std::string environment(const char *name, const char *fallback)
{
    const char *value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

// A reduced winery deployment: three entry daemons, four engines, two cache stores and three services.
class FailureFixture
{
public:
    // Starts the deployment after applying `change` to its plan.
    explicit FailureFixture(const std::function<void(FleetPlan &)> &change = {})
        : fleet(makePlan(change), environment("PIMENTOSAIL_BUILD", "build"), environment("PIMENTOSAIL_OUT", "out"), FailureFirstPort)
    {
        this->fleet.start();
    }

    Caller caller(const std::string &entry, const std::string &team = "pickers") const
    {
        return {this->fleet.callerAddress(entry), "key-" + team};
    }

    // Sends a prompt once, so that `host` and `target` of the result name its owner and the target that caches it.
    Completion probe(const std::string &prompt)
    {
        CompletionOptions options;
        options.maxTokens = 1;
        const Completion completion = this->caller("entry-1").complete("dispatcher", prompt, options);
        cr_assert(completion.complete, "the probe failed: %s", completion.errorKind.c_str());
        return completion;
    }

    // Returns an entry host other than `name`.
    static std::string entryOtherThan(const std::string &name)
    {
        return name == "entry-1" ? "entry-2" : "entry-1";
    }

    // Returns how many requests an engine has served.
    int64_t served(const std::string &engine)
    {
        return this->fleet.getJson(engine, "/stats")["served"].asInt64();
    }

    // Returns the plan with short timeouts, so that failures are detected within the time of a test.
    static FleetPlan makePlan(const std::function<void(FleetPlan &)> &change)
    {
        FleetPlan plan = FleetPlan::fromExample(environment("PIMENTOSAIL_SOURCE", "."), "winery", 3, true);
        plan.settings = {{"lease_ttl_ms", "3000"}, {"progress_timeout_ms", "1500"}, {"load_poll_ms", "1000"}};
        if (change) {
            change(plan);
        }
        return plan;
    }

    LocalFleet fleet;
    Clock clock;
};

// Checks that the answer is complete and is the expected one.
inline void assertComplete(const Completion &completion, const std::string &prompt, int64_t tokens)
{
    cr_assert(
        completion.complete, "status %d, error %s after %ld tokens", completion.status, completion.errorKind.c_str(), static_cast<long>(completion.tokens));
    cr_assert_eq(completion.text, expectedAnswer(prompt, tokens), "got %ld tokens", static_cast<long>(completion.tokens));
}

// Streams an answer and calls `disturb` after its fifth token.
inline Completion streamAndDisturb(const Caller &caller, const std::string &prompt, int64_t tokens, const std::function<void()> &disturb)
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

// Replaces the first occurrence of `from`, which must exist.
inline void replaceText(std::string &text, const std::string &from, const std::string &to)
{
    const size_t position = text.find(from);
    cr_assert_neq(position, std::string::npos);
    text.replace(position, from.size(), to);
}

} // namespace pimentosail::testing
