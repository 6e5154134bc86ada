#include <deque>
#include <random>
#include <vector>

#include <criterion/criterion.h>

#include "pimentosail/admission/memoryadmission.h"

using namespace pimentosail;

namespace
{

// One engine in steps of 10 ms. It reads `TokensPerStep` prompt tokens in a step, and each run holds its memory until its answer is
// complete. If the runs need more memory than there is, the newest run of the lowest priority is preempted and read again.
class Engine
{
public:
    struct Run
    {
        int priority = 0;
        int64_t tokens = 0;
        int64_t unread = 0;
        int stepsLeft = 0;
        int startedAt = 0;
        int latencySteps = 0;
        bool hasBegun = false;
    };

    double heldShare() const
    {
        int64_t held = 0;
        for (const Run &run : this->runs) {
            held += run.tokens;
        }
        return static_cast<double>(held) / Memory;
    }

    void send(const Run &run)
    {
        this->runs.push_back(run);
    }

    void step(int now)
    {
        // What is admitted to memory: the most urgent first, then in the order of arrival.
        std::vector<Run *> order;
        for (Run &run : this->runs) {
            order.push_back(&run);
        }
        std::stable_sort(order.begin(), order.end(), [](const Run *first, const Run *second) { return first->priority < second->priority; });
        int64_t used = 0;
        int64_t budget = TokensPerStep;
        for (Run *run : order) {
            if (used + run->tokens > Memory) {
                this->readAgain += run->unread < run->tokens ? run->tokens - run->unread : 0;
                run->unread = run->tokens;
                continue;
            }
            used += run->tokens;
            const int64_t read = std::min(budget, run->unread);
            run->unread -= read;
            budget -= read;
            if (run->unread > 0) {
                continue;
            }
            if (!run->hasBegun) {
                run->hasBegun = true;
                this->inTime += now - run->startedAt <= run->latencySteps ? 1 : 0;
            }
            // Reading prompts slows the other runs down.
            run->stepsLeft -= budget == 0 ? 0 : 1;
        }
        std::erase_if(this->runs, [](const Run &run) { return run.hasBegun && run.stepsLeft <= 0; });
    }

    static constexpr int64_t Memory = 144'000;
    static constexpr int64_t TokensPerStep = 300;
    int inTime = 0;
    int64_t readAgain = 0;

private:
    std::deque<Run> runs;
};

struct Outcome
{
    int inTime = 0;
    int64_t readAgain = 0;
    int refusedLarge = 0;
    int refusedSmall = 0;
};

// Plays 60 s: large prompts of low and small ones of high priority, with a burst between 10 and 16 s.
Outcome play(uint64_t seed, bool isAdmitting)
{
    std::mt19937_64 random(seed);
    const auto happens = [&random](double perSecond) {
        return std::uniform_real_distribution<>(0, 1)(random) < perSecond / 100;
    };
    Engine engine;
    std::deque<std::pair<int, Engine::Run>> waiting;
    Outcome outcome;
    for (int now = 0; now < 6000; ++now) {
        const double load = now >= 1000 && now < 1600 ? 2 : 1;
        if (happens(2.4 * load)) {
            waiting.push_back({now, {2, 12'000, 6'000, 300, now, 80}});
        }
        if (happens(6 * load)) {
            waiting.push_back({now, {0, 2'400, 900, 20, now, 100}});
        }
        for (size_t count = waiting.size(); count > 0; --count) {
            const auto [since, run] = waiting.front();
            waiting.pop_front();
            const PromptDemand demand{
                engine.heldShare(), run.priority, run.latencySteps * Milliseconds(10), (now - since) * Milliseconds(10), std::chrono::seconds(10), random()};
            const AdmissionVerdict verdict = isAdmitting ? admitPrompt(demand).verdict : AdmissionVerdict::Send;
            if (verdict == AdmissionVerdict::Send) {
                engine.send(run);
            } else if (verdict == AdmissionVerdict::Wait) {
                waiting.push_back({since, run});
            } else {
                ++(run.priority == 0 ? outcome.refusedSmall : outcome.refusedLarge);
            }
        }
        engine.step(now);
    }
    outcome.inTime = engine.inTime;
    outcome.readAgain = engine.readAgain;
    return outcome;
}

} // namespace

// Load: a burst after which the targets' memory stays full. Guards against targets that go on preempting runs and reading their prompts
// again when the burst is over.
Test(admission, a_burst_does_not_leave_targets_that_read_prompts_again_and_again)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        const Outcome without = play(seed, false);
        const Outcome with = play(seed, true);
        cr_assert_gt(with.inTime, without.inTime, "seed %lu: %d in time, %d without admission", seed, with.inTime, without.inTime);
        cr_assert_lt(with.readAgain, without.readAgain / 4, "seed %lu: %ld tokens read again, %ld without admission", seed, with.readAgain, without.readAgain);
        cr_assert_lt(with.refusedSmall, 10, "seed %lu: urgent prompts wait behind the others", seed);
    }
}

Test(admission, a_prompt_is_sent_while_the_memory_of_a_target_is_free_or_unknown)
{
    const Duration latency = Milliseconds(800);
    cr_assert_eq(admitPrompt({0, 5, latency, latency, latency, 0}).verdict, AdmissionVerdict::Send);
    cr_assert_eq(admitPrompt({0.89, 5, latency, latency, latency, 0}).verdict, AdmissionVerdict::Send);
    cr_assert_eq(admitPrompt({1.05, 0, latency, latency, latency, 0}).verdict, AdmissionVerdict::Send);
    cr_assert_eq(admitPrompt({1.05, 1, latency, Duration(0), latency, 0}).verdict, AdmissionVerdict::Wait);
    cr_assert_eq(memoryLimit(-3), memoryLimit(0));
    cr_assert_float_eq(memoryLimit(100), memoryLimit(2), 1e-9);
}

// Load: callers that are refused. Guards against a Retry-After that they don't follow, and against callers that return together.
Test(admission, refused_callers_return_within_their_patience_and_spread)
{
    const Duration timeLeft = std::chrono::seconds(9);
    Duration earliest = timeLeft;
    Duration latest{};
    std::mt19937_64 random(7);
    for (int caller = 0; caller < 1000; ++caller) {
        const AdmissionDecision decision = admitPrompt({2, 1, Milliseconds(800), Milliseconds(400), timeLeft, random()});
        cr_assert_eq(decision.verdict, AdmissionVerdict::Refuse);
        earliest = std::min(earliest, decision.retryAfter);
        latest = std::max(latest, decision.retryAfter);
    }
    cr_assert_geq(earliest, Duration(Milliseconds(1790)));
    cr_assert_leq(latest, Duration(std::chrono::seconds(3)));
    cr_assert_gt(latest - earliest, Duration(std::chrono::seconds(1)));
    cr_assert_eq(admitPrompt({2, 1, Milliseconds(800), Milliseconds(400), Milliseconds(-5), 1}).retryAfter, Duration(0));
}
