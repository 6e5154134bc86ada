// What the failure tests share: a small deployment of real processes, and checks of whole answers.
//
//     FailureFixture fixture;
//     fixture.fleet.signal("entry-1", SIGKILL);
//     assertWhole(completion, prompt, 60);
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
constexpr size_t MaxTestThreads = 128;
constexpr int64_t ShortPrompt = 2000;

inline std::string environment(const char *name, const char *fallback)
{
    const char *value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

// A small winery: three daemons, four engines, two stores, three services.
class FailureFixture
{
public:
    explicit FailureFixture(const std::function<void(FleetPlan &)> &change = {})
        : fleet(makePlan(change), environment("PIMENTOSAIL_BUILD", "build"), environment("PIMENTOSAIL_OUT", "out"), FailureFirstPort)
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
        plan.settings = {{"lease_ttl_ms", "3000"}, {"progress_timeout_ms", "1500"}, {"load_poll_ms", "1000"}};
        if (change) {
            change(plan);
        }
        return plan;
    }

    LocalFleet fleet;
    Clock clock;
};

inline void assertWhole(const Completion &completion, const std::string &prompt, int64_t tokens)
{
    cr_assert(completion.whole, "status %d, error %s after %ld tokens", completion.status, completion.errorKind.c_str(), static_cast<long>(completion.tokens));
    cr_assert_eq(completion.text, expectedAnswer(prompt, tokens), "got %ld tokens", static_cast<long>(completion.tokens));
}

// Streams an answer and calls `disturb` once, after its fifth token.
inline Completion streamWith(const Caller &caller, const std::string &prompt, int64_t tokens, const std::function<void()> &disturb)
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

inline void replaceText(std::string &text, const std::string &from, const std::string &to)
{
    const size_t place = text.find(from);
    cr_assert_neq(place, std::string::npos);
    text.replace(place, from.size(), to);
}

} // namespace pimentosail::testing
