// Tests the choice of targets under mixed load, on a small model of hosts and targets: a target reads prompts in chunks, the
// most urgent first, and generates one token of each of its answers between two chunks. Each host knows its own requests at
// once and those of the others as they were at the last report.
#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <numbers>
#include <numeric>
#include <random>

#include "pimentosail/dispatch/blockshares.h"
#include "pimentosail/dispatch/picker.h"
#include "pimentosail/dispatch/targetspeeds.h"

using namespace pimentosail;

namespace
{

struct PausedClock : Clock
{
    PausedClock()
    {
        this->pause();
    }
};

struct Kind
{
    double tokens;
    int answer;
    double latency;
    int priority;
};
constexpr Kind Long{9190, 9, 1200, 2};
constexpr Kind Short{827, 49, 250, 0};
// The same of another deployment.
constexpr Kind OtherLong{9190, 10, 600, 1};
constexpr Kind OtherShort{827, 58, 500, 0};
constexpr double ReportInterval = 100;
constexpr int WaveSteps = 60;

struct Request
{
    const Kind *kind;
    size_t host;
    double sentAt;
    double left;
    // When the host expects the first token, in ms after the send.
    double expected;
    int answerLeft;
};

struct Engine
{
    double slowness = 1;
    double freeAt = 0;
    int arrivals = 0;
    std::vector<Request> waiting;
    std::vector<Request> running;
};

struct Load
{
    double requests = 0;
    double pending = 0;
    double held = 0;
};

struct Options
{
    size_t targets = 60;
    size_t hosts = 12;
    double rate = 41.4;
    double chunk = 1024;
    double step = 4.63;
    bool isMixed = true;
    size_t zones = 3;
    // All callers are in the first zone.
    bool isOneZone = false;
    // Share of the long prompts that belong to one session.
    double sessionShare = 0;
    bool learnsSpeeds = true;
    Kind longKind = Long;
    Kind shortKind = Short;
    double capacity = 47352;
    int maxRuns = 64;
};

struct Outcome
{
    int sent = 0;
    int late = 0;
};

class Model
{
public:
    explicit Model(const Options &modelOptions, uint64_t seed = 1)
        : options(modelOptions)
        , random(seed)
        , engines(modelOptions.targets)
        , reported(modelOptions.hosts, std::vector<Load>(modelOptions.targets))
    {
        for (size_t index = 0; index < this->options.targets; ++index) {
            Candidate candidate;
            candidate.target = std::make_shared<TargetState>();
            candidate.target->id = "engine-" + std::to_string(index);
            candidate.target->zone = "z" + std::to_string(index % this->options.zones);
            candidate.version = 1;
            candidate.capacityTokens = this->options.capacity;
            candidate.maxRuns = this->options.maxRuns;
            this->candidates.push_back(std::move(candidate));
        }
        for (size_t host = 0; host < this->options.hosts; ++host) {
            this->speeds.push_back(std::make_unique<TargetSpeeds>(this->clock));
        }
    }

    // Runs `milliseconds` with `longRate` and `shortRate` requests per second.
    void run(int milliseconds, double longRate, double shortRate)
    {
        std::uniform_real_distribution<double> uniform(0, 1000);
        for (int end = static_cast<int>(this->now) + milliseconds; this->now < end; this->now += 1) {
            this->clock.advance(Milliseconds(1));
            if (static_cast<int>(this->now) % static_cast<int>(ReportInterval) == 0) {
                this->report();
            }
            for (const auto &[kind, rate] : {std::pair(&this->options.longKind, longRate), std::pair(&this->options.shortKind, shortRate)}) {
                std::poisson_distribution<int> arrivals(rate / 1000);
                for (int count = arrivals(this->random); count > 0; --count) {
                    this->send(*kind);
                }
            }
            for (Engine &engine : this->engines) {
                this->advance(engine);
            }
        }
    }

    void send(const Kind &kind)
    {
        const Kind &longKind = this->options.longKind;
        const Kind &shortKind = this->options.shortKind;
        const bool isLong = kind.tokens == longKind.tokens;
        size_t host = this->random() % this->options.hosts;
        host -= this->options.isOneZone ? host % this->options.zones : 0;
        PickQuery query;
        query.draw = this->random();
        const bool isSession = isLong && static_cast<double>(this->random() % 1000) < 1000 * this->options.sessionShare;
        query.affinity = isSession ? "session" : "block-" + std::to_string(this->random() % 400);
        query.affinityTokens = isLong ? 7520 : 500;
        query.heldTokens = kind.tokens + kind.answer;
        query.localZone = "z" + std::to_string(host % this->options.zones);
        query.newestVersion = 1;
        query.prefillTokens = kind.tokens;
        query.targetLatency = fromSeconds(kind.latency / 1000);
        query.sampleSize = this->options.isMixed ? MixedSampleSize : std::max<size_t>(3, 2 * this->options.targets / this->options.hosts);
        if (this->options.isMixed) {
            query.mixed = MixedProfile{
                1 / this->options.rate, isLong, !isLong, longKind.tokens, longKind.tokens + longKind.answer, shortKind.tokens + shortKind.answer};
            query.preferredTargets = this->shares.recordAndCount("desk", query.affinity, kind.tokens, this->options.targets);
        } else {
            query.lane = isLong ? Lane::LongPrompts : Lane::LongAnswers;
            query.longAnswerShare = 0.5;
        }
        for (size_t index = 0; index < this->engines.size(); ++index) {
            Load load = this->reported.at(host).at(index);
            this->add(load, this->engines[index], host, true);
            this->candidates[index].requests = load.requests;
            this->candidates[index].pendingTokens = load.pending;
            this->candidates[index].heldTokens = load.held;
            this->candidates[index].speed = this->options.learnsSpeeds ? this->speeds[host]->factor(this->candidates[index].target->id) : 1;
        }
        const std::optional<TargetChoice> choice = pickTarget(query, this->candidates);
        const auto chosen
            = std::find_if(this->candidates.begin(), this->candidates.end(), [&](const Candidate &other) { return other.target == choice->target; });
        Engine &engine = this->engines[static_cast<size_t>(chosen - this->candidates.begin())];
        ++engine.arrivals;
        ++this->outcomes[kind.tokens].sent;
        this->otherZoneSends += choice->target->zone == query.localZone ? 0 : 1;
        const double expected
            = this->options.step + (choice->pendingTokens + kind.tokens) * (1 / this->options.rate + this->options.step / this->options.chunk);
        engine.waiting.push_back({&kind, host, this->now, kind.tokens, expected, kind.answer});
    }

    // Returns the busiest target's arrivals, as a multiple of the mean.
    double busiest() const
    {
        int most = 0;
        int sum = 0;
        for (const Engine &engine : this->engines) {
            most = std::max(most, engine.arrivals);
            sum += engine.arrivals;
        }
        return most * static_cast<double>(this->engines.size()) / std::max(1, sum);
    }
    double lateShare(const Kind &kind)
    {
        const Outcome &outcome = this->outcomes[kind.tokens];
        return outcome.late / std::max(1.0, static_cast<double>(outcome.sent));
    }
    double otherZoneShare() const
    {
        return this->otherZoneSends / std::max(1.0, this->arrivals());
    }
    double arrivals() const
    {
        return std::accumulate(this->engines.begin(), this->engines.end(), 0.0, [](double sum, const Engine &engine) { return sum + engine.arrivals; });
    }
    // Returns how many targets have no work, and the largest number of tokens that wait at a target.
    std::pair<size_t, double> idleAndFullest() const
    {
        size_t idle = 0;
        double fullest = 0;
        for (const Engine &engine : this->engines) {
            double pending = 0;
            for (const Request &request : engine.waiting) {
                pending += request.left;
            }
            idle += engine.waiting.empty() ? 1 : 0;
            fullest = std::max(fullest, pending);
        }
        return {idle, fullest};
    }

    Options options;
    std::mt19937_64 random;
    std::vector<Engine> engines;
    std::vector<Candidate> candidates;
    int otherZoneSends = 0;
    double longestPause = 0;

private:
    // Adds the engine's requests that `host` sent, or that all other hosts sent.
    static void add(Load &load, const Engine &engine, size_t host, bool isOwn)
    {
        for (const std::vector<Request> *requests : {&engine.waiting, &engine.running}) {
            for (const Request &request : *requests) {
                if ((request.host == host) == isOwn) {
                    load.requests += 1;
                    load.held += request.kind->tokens + request.kind->answer;
                    // A host knows that a prompt was read, but not which part of it.
                    load.pending += requests == &engine.waiting ? request.kind->tokens : 0;
                }
            }
        }
    }

    void report()
    {
        for (size_t host = 0; host < this->reported.size(); ++host) {
            for (size_t index = 0; index < this->engines.size(); ++index) {
                this->reported[host][index] = Load{};
                add(this->reported[host][index], this->engines[index], host, false);
            }
        }
    }

    void advance(Engine &engine)
    {
        while (engine.freeAt <= this->now && !(engine.waiting.empty() && engine.running.empty())) {
            const double start = std::max(engine.freeAt, this->now - 1);
            double time = this->options.step;
            std::stable_sort(
                engine.waiting.begin(), engine.waiting.end(), [](const Request &a, const Request &b) { return a.kind->priority < b.kind->priority; });
            double budget = this->options.chunk;
            std::vector<Request> begun;
            while (budget > 0 && !engine.waiting.empty()) {
                Request &next = engine.waiting.front();
                const double read = std::min(budget, next.left);
                budget -= read;
                next.left -= read;
                time += read / this->options.rate * engine.slowness;
                if (next.left <= 0) {
                    begun.push_back(next);
                    engine.waiting.erase(engine.waiting.begin());
                }
            }
            this->longestPause = engine.running.empty() ? this->longestPause : std::max(this->longestPause, time);
            for (Request &request : engine.running) {
                --request.answerLeft;
            }
            std::erase_if(engine.running, [](const Request &request) { return request.answerLeft <= 0; });
            for (const Request &request : begun) {
                const double taken = start + time - request.sentAt;
                this->outcomes[request.kind->tokens].late += taken > request.kind->latency ? 1 : 0;
                const auto index = static_cast<size_t>(&engine - this->engines.data());
                this->speeds[request.host]->record(this->candidates[index].target->id, fromSeconds(request.expected / 1000), fromSeconds(taken / 1000));
                engine.running.push_back(request);
            }
            engine.freeAt = start + time;
        }
    }

    double now = 0;
    PausedClock clock;
    std::vector<std::unique_ptr<TargetSpeeds>> speeds;
    // By host and target: the requests of all other hosts at the last report.
    std::vector<std::vector<Load>> reported;
    // By the tokens of the kind.
    std::map<double, Outcome> outcomes;
    BlockShares shares;
};

} // namespace

// Guards against lanes, of which one is full at the peak while targets of the other are idle: then prompts are late that other
// targets could have read in time.
Test(mixedcost, at_the_peak_of_a_wave_no_target_is_full_while_others_are_idle)
{
    std::map<bool, int> blockedSteps;
    std::map<bool, double> late;
    for (const uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
        for (const bool isMixed : {false, true}) {
            Model model({.isMixed = isMixed}, seed);
            for (int step = 0; step < WaveSteps; ++step) {
                const double factor = 1 + 0.6 * std::sin(step * std::numbers::pi / WaveSteps);
                model.run(100, 84 * factor, 357 * factor);
                const auto [idle, fullest] = model.idleAndFullest();
                // Tokens that a target reads within the target latency of long prompts.
                const double full = Long.latency * 1024 / (1024 / model.options.rate + model.options.step);
                blockedSteps[isMixed] += fullest >= full && idle >= model.engines.size() / 4 ? 1 : 0;
            }
            late[isMixed] += model.lateShare(Long);
            cr_assert(!isMixed || (model.lateShare(Long) < 0.01 && model.lateShare(Short) < 0.01), "%f %f", model.lateShare(Long), model.lateShare(Short));
        }
    }
    cr_assert_leq(blockedSteps[true], blockedSteps[false] / 10, "%d of %d", blockedSteps[true], blockedSteps[false]);
    cr_assert_lt(late[true], late[false] / 10);
}

// Guards against long prompts that block short ones, and against several on one target while others have none.
Test(mixedcost, a_burst_of_long_prompts_does_not_delay_short_ones)
{
    for (const uint64_t seed : {1U, 2U, 3U}) {
        Model model({}, seed);
        model.run(1000, 42, 357);
        for (size_t index = 0; index < model.engines.size(); ++index) {
            model.send(Long);
        }
        model.run(2000, 42, 357);
        cr_assert_lt(model.lateShare(Short), 0.01);
        cr_assert_lt(model.lateShare(Long), 0.05, "%f", model.lateShare(Long));
        cr_assert_lt(model.longestPause, 100);
    }
}

// Guards against a kind that is starved when targets are busy all the time.
Test(mixedcost, both_kinds_are_on_time_at_full_load)
{
    for (const uint64_t seed : {1U, 2U, 3U}) {
        Model model({}, seed);
        model.run(6000, 125, 531);
        cr_assert_lt(model.lateShare(Long), 0.02, "%f", model.lateShare(Long));
        cr_assert_lt(model.lateShare(Short), 0.02, "%f", model.lateShare(Short));
        const Options options{.targets = 140,
            .hosts = 35,
            .rate = 50.7,
            .chunk = 4096,
            .step = 5.95,
            .longKind = OtherLong,
            .shortKind = OtherShort,
            .capacity = 45816,
            .maxRuns = 24};
        Model other(options, seed);
        other.run(6000, 470, 236);
        cr_assert_lt(other.lateShare(OtherLong), 0.05, "%f", other.lateShare(OtherLong));
        cr_assert_lt(other.lateShare(OtherShort), 0.01, "%f", other.lateShare(OtherShort));
        cr_assert_lt(other.busiest(), 1.5, "%f", other.busiest());
    }
}

// Guards against a preferred target that gets far more than its share, because the other hosts' reports come too late.
Test(mixedcost, a_session_with_most_of_the_traffic_does_not_fill_a_target)
{
    for (const uint64_t seed : {1U, 2U, 3U}) {
        for (const double share : {0.2, 0.8}) {
            Model model({.sessionShare = share}, seed);
            model.run(6000, 84, 357);
            cr_assert_lt(model.busiest(), 2, "%f", model.busiest());
            cr_assert_lt(model.lateShare(Long), 0.01, "%f", model.lateShare(Long));
        }
    }
}

// Guards against bytes between zones that do not help callers, and against callers that wait while other zones' targets are idle.
Test(mixedcost, a_wave_in_one_zone_uses_the_targets_of_others)
{
    for (const uint64_t seed : {1U, 2U, 3U}) {
        Model quiet({.isOneZone = true}, seed);
        quiet.run(5000, 12, 50);
        cr_assert_lt(quiet.otherZoneShare(), 0.2, "%f", quiet.otherZoneShare());
        Model wave({.isOneZone = true}, seed);
        wave.run(5000, 84, 357);
        cr_assert_gt(wave.otherZoneShare(), 0.4, "%f", wave.otherZoneShare());
        cr_assert_lt(wave.lateShare(Long), 0.01, "%f", wave.lateShare(Long));
        cr_assert_lt(wave.lateShare(Short), 0.01, "%f", wave.lateShare(Short));
    }
}

// Guards against a slow target that gets as many prompts as others, and against one that is avoided after it has recovered.
Test(mixedcost, a_target_at_half_speed_gets_less_until_it_recovers)
{
    std::map<bool, double> shares;
    for (const uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
        for (const bool learnsSpeeds : {false, true}) {
            Model model({.learnsSpeeds = learnsSpeeds}, seed);
            const auto shareOfFirst = [&model](int milliseconds) {
                const int before = model.engines.front().arrivals;
                const double sumBefore = model.arrivals();
                model.run(milliseconds, 110, 468);
                return (model.engines.front().arrivals - before) * static_cast<double>(model.engines.size()) / (model.arrivals() - sumBefore);
            };
            model.run(2000, 110, 468);
            model.engines.front().slowness = 2;
            const double whileSlow = shareOfFirst(6000);
            shares[learnsSpeeds] += whileSlow;
            model.engines.front().slowness = 1;
            model.run(4000, 110, 468);
            const double afterwards = shareOfFirst(6000);
            cr_assert(!learnsSpeeds || (whileSlow > 0.3 && whileSlow < 0.75), "%f", whileSlow);
            cr_assert(afterwards > 0.75 && afterwards < 1.25, "%f", afterwards);
        }
    }
    cr_assert_lt(shares[true], 0.9 * shares[false], "the learnt speed counts");
}

// Guards against other decisions where the load is not mixed: there the choice does not depend on what only mixed load uses.
Test(mixedcost, without_mixed_load_the_choice_is_the_former_one)
{
    Model model({.isMixed = false});
    model.run(500, 84, 357);
    std::mt19937_64 random(1);
    for (int index = 0; index < 1000; ++index) {
        PickQuery query;
        query.affinity = "block-" + std::to_string(index);
        query.affinityTokens = 5000;
        query.heldTokens = 9200;
        query.localZone = "z1";
        query.draw = random();
        query.sampleSize = 4;
        const std::string former = pickTarget(query, model.candidates)->target->id;
        query.prefillTokens = 9000;
        query.targetLatency = Milliseconds(250);
        std::vector<Candidate> candidates = model.candidates;
        for (Candidate &candidate : candidates) {
            candidate.speed = 1 + static_cast<double>(random() % 4);
        }
        cr_assert_eq(pickTarget(query, candidates)->target->id, former);
    }
}
