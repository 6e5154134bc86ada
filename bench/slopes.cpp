// pimentosail-slopes: measures, inside one process, how time, memory and message sizes grow with the number of targets,
// prompts, hosts, teams or callers.
//
// Each line of the table contains the sizes, the value measured at each, and the least-squares slope, intercept and largest
// deviation.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <glog/logging.h>

#include "pimentosail/base/hash.h"
#include "pimentosail/config/configuration.h"
#include "pimentosail/decision/scheduler.h"
#include "pimentosail/dispatch/blockshares.h"
#include "pimentosail/dispatch/picker.h"
#include "pimentosail/dispatch/targetspeeds.h"
#include "pimentosail/idempotency/idempotencyrecords.h"
#include "pimentosail/kv/memorykeyvalue.h"
#include "pimentosail/membership/membership.h"
#include "pimentosail/peer/heartbeat.h"

namespace
{

// The largest number of concurrent callers in `measureRecords`.
constexpr size_t MaxCallers = 128;

using namespace pimentosail;

constexpr Duration Second = std::chrono::seconds(1);

// Returns the resident memory of this process in bytes, for pages of 4096 bytes.
double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    long total = 0;
    long resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * 4096;
}

// Returns the mean elapsed time of one call of `body` over `count` calls, in microseconds.
double microseconds(int count, const std::function<void(int)> &body)
{
    const Clock clock;
    const Time start = clock.now();
    for (int index = 0; index < count; ++index) {
        body(index);
    }
    return static_cast<double>((clock.now() - start).count()) / count;
}

// A measured value at one size.
struct Point
{
    double size;
    double value;
};

// Fits a line to `points` by least squares and prints a row of the table.
void printSlope(const std::string &name, const std::string &sizeUnit, const std::string &valueUnit, const std::vector<Point> &points)
{
    double meanSize = 0;
    double meanValue = 0;
    for (const Point &point : points) {
        meanSize += point.size / static_cast<double>(points.size());
        meanValue += point.value / static_cast<double>(points.size());
    }
    double covariance = 0;
    double variance = 0;
    for (const Point &point : points) {
        covariance += (point.size - meanSize) * (point.value - meanValue);
        variance += (point.size - meanSize) * (point.size - meanSize);
    }
    const double slope = variance > 0 ? covariance / variance : 0;
    const double intercept = meanValue - slope * meanSize;
    double largestDeviation = 0;
    std::printf("| %s | ", name.c_str());
    for (const Point &point : points) {
        std::printf("%.0f: %.4g; ", point.size, point.value);
        largestDeviation = std::max(largestDeviation, std::abs(point.value - intercept - slope * point.size));
    }
    std::printf("| %.4g %s per %s | %.4g | %.2g |\n", slope, valueUnit.c_str(), sizeUnit.c_str(), intercept, largestDeviation);
    std::fflush(stdout);
}

std::unique_ptr<Scheduler> makeScheduler(int targets, size_t maxPrompts)
{
    Scheduler::Options options;
    options.maxPrompts = maxPrompts;
    auto scheduler = std::make_unique<Scheduler>(options, PredictedPolicy{});
    Model model;
    model.name = "m";
    model.pool = "m";
    model.cacheBytesPerToken = 20'000;
    scheduler->setModels({model});
    scheduler->describeStore("s");
    for (int index = 0; index < targets; ++index) {
        TargetDescription description;
        description.name = "worker-" + std::to_string(index);
        description.model = "m";
        description.owner = "entry-" + std::to_string(index % 410);
        description.usableSlots = description.warmLimit;
        const TargetIndex target = scheduler->describeTarget(description, Second);
        TargetReport report;
        report.boot = "b";
        report.prefillTokensPerSecond = 20'000;
        scheduler->handle(TargetReported{target, report}, Second);
    }
    return scheduler;
}

RequestInfo makeRequest(RequestId id, uint64_t key, Time now)
{
    RequestInfo info;
    info.id = id;
    info.team = "team-" + std::to_string(key % 430);
    info.model = "m";
    info.priority = Priority::Interactive;
    info.promptTokens = 24'000;
    info.promptKey = key;
    info.firstTokenDeadline = now + Second * 5;
    info.finishDeadline = now + Second * 60;
    for (uint64_t block = 0; block < 6; ++block) {
        info.blocks.push_back(key + block);
    }
    return info;
}

// Runs `count` requests one after another, each to its end; returns the mean elapsed time of one in microseconds.
double decisionCost(Scheduler &scheduler, int count, uint64_t prompts)
{
    static RequestId id = 0;
    return microseconds(count, [&](int) {
        const Time now = Second + Duration(static_cast<int64_t>(id));
        const RequestInfo info = makeRequest(++id, 1 + combineHashes(id, 3) % prompts * 16, now);
        scheduler.handle(RequestArrived{info}, now);
        scheduler.handle(FirstTokenSeen{info.id, -1}, now);
        scheduler.handle(AttemptEnded{info.id, AttemptOutcome::Finished}, now);
    });
}

void measureDecisions()
{
    std::vector<Point> targetMemory;
    for (const int targets : {3000, 10'000, 30'000}) {
        const double before = residentBytes();
        const std::unique_ptr<Scheduler> scheduler = makeScheduler(targets, 10);
        targetMemory.push_back({static_cast<double>(targets), residentBytes() - before});
    }
    printSlope("target table, memory", "target", "bytes", targetMemory);
    std::vector<Point> timeByTargets;
    for (const int targets : {12, 24, 175, 700, 2800}) {
        const std::unique_ptr<Scheduler> scheduler = makeScheduler(targets, 200'000);
        timeByTargets.push_back({static_cast<double>(targets), decisionCost(*scheduler, 20'000, 2000)});
    }
    printSlope("decision, processor time", "target in the model's pool", "us/request", timeByTargets);
    std::vector<Point> timeByPrompts;
    std::vector<Point> memory;
    for (const size_t prompts : {2000UL, 20'000UL, 200'000UL, 840'000UL}) {
        const std::unique_ptr<Scheduler> scheduler = makeScheduler(21, 1'000'000);
        const double before = residentBytes();
        for (uint64_t prompt = 0; prompt < prompts; ++prompt) {
            const RequestInfo info = makeRequest(1'000'000'000 + prompt, 1 + prompt * 16, Second);
            scheduler->handle(RequestArrived{info}, Second);
            scheduler->handle(FirstTokenSeen{info.id, -1}, Second);
            scheduler->handle(AttemptEnded{info.id, AttemptOutcome::Finished}, Second);
        }
        memory.push_back({static_cast<double>(prompts), residentBytes() - before});
        timeByPrompts.push_back({static_cast<double>(prompts), decisionCost(*scheduler, 20'000, prompts)});
    }
    printSlope("decision, processor time", "known prompt", "us/request", timeByPrompts);
    printSlope("prompt table, memory", "known prompt", "bytes", memory);
}

void measureHeartbeats()
{
    std::vector<Point> bytes;
    std::vector<Point> time;
    for (const int targets : {0, 3, 7, 30, 60}) {
        Heartbeat heartbeat;
        heartbeat.from = "entry-123";
        heartbeat.boot = "0123456789abcdef";
        heartbeat.generation = 100'000;
        heartbeat.configRevision = 100'000;
        for (int target = 0; target < targets; ++target) {
            heartbeat.targets.push_back({static_cast<uint32_t>(target) * 7919U, 5, 8, 30'000, 12'000, false, 300, 20'000});
        }
        const std::string datagram = encodeHeartbeat(heartbeat);
        bytes.push_back({static_cast<double>(targets), static_cast<double>(datagram.size())});
        time.push_back({static_cast<double>(targets), microseconds(2000, [&](int) { decodeHeartbeat(encodeHeartbeat(heartbeat)); })});
    }
    printSlope("heartbeat, size", "target summary", "bytes", bytes);
    printSlope("heartbeat, encode and decode", "target summary", "us", time);
}

Membership makeMembership(int hosts, View &view)
{
    view.generation = 7;
    for (int host = 0; host < hosts; ++host) {
        view.members.push_back({"entry-" + std::to_string(host), "zone", "10.0.0.1:8000", "0123456789abcdef", true});
    }
    Membership membership(view.members[0], MembershipTimings{});
    membership.recordLeaseRenewal(Second, view, Second);
    for (int host = 1; host < hosts; ++host) {
        membership.recordHeartbeat({"entry-" + std::to_string(host), 7, Milliseconds(100), false}, Second);
    }
    return membership;
}

void measureMembership()
{
    std::vector<Point> size;
    std::vector<Point> parse;
    std::vector<Point> ownership;
    for (const int hosts : {7, 50, 200, 410}) {
        View view;
        const Membership membership = makeMembership(hosts, view);
        const std::string document = view.toDocument();
        size.push_back({static_cast<double>(hosts), static_cast<double>(document.size())});
        parse.push_back({static_cast<double>(hosts), microseconds(50, [&](int) { View::fromDocument(document); })});
        ownership.push_back(
            {static_cast<double>(hosts), microseconds(500, [&](int role) { membership.usableLimit("target/w-" + std::to_string(role), 8, false, Second); })});
    }
    printSlope("view, size", "host", "bytes", size);
    printSlope("view, parse", "host", "us", parse);
    printSlope("ownership of one role, processor time", "host", "us", ownership);
}

std::string makePlansText(int teams)
{
    std::string text = "plans:\n  - name: p\n    teams:\n";
    for (int team = 0; team < teams; ++team) {
        text += "      - name: team-" + std::to_string(team) + "\n        key_sha256: " + sha256Hex(std::to_string(team)) + "\n";
    }
    return text;
}

void measureConfiguration()
{
    std::vector<Point> size;
    std::vector<Point> parse;
    for (const int teams : {10, 100, 200, 430}) {
        std::string allowances = "models:\n";
        for (int model = 0; model < 16; ++model) {
            allowances += "  - name: model-" + std::to_string(model) + "\n    pool: pool-" + std::to_string(model) + "\n";
        }
        allowances += "allowances:\n  - plan: p\n    tokens_per_second: 5\n";
        const Result<Configuration> configuration = Configuration::fromLists(makePlansText(teams), allowances);
        const std::string document = configuration->toDocument();
        size.push_back({static_cast<double>(teams), static_cast<double>(document.size())});
        parse.push_back({static_cast<double>(teams), microseconds(10, [&](int) { Configuration::fromDocument(document); })});
    }
    printSlope("configuration, size", "team", "bytes", size);
    printSlope("configuration, parse and check", "team", "us", parse);
}

void measureRecords()
{
    std::vector<Point> writes;
    std::vector<Point> memory;
    for (const int callers : {1, 8, 32, 128}) {
        Clock clock;
        auto store = std::make_shared<MemoryKeyValue>(clock);
        IdempotencyRecords records(KeyValueStore::inMemory(store), "host", clock, std::chrono::hours(1), [](int) { return true; });
        constexpr int CallsEach = 10;
        const double before = residentBytes();
        std::vector<std::thread> threads;
        threads.reserve(MaxCallers);
        for (int caller = 0; caller < callers; ++caller) {
            threads.emplace_back([&, caller] {
                for (int call = 0; call < CallsEach; ++call) {
                    const std::string key = std::to_string(caller) + "/" + std::to_string(call);
                    records.run(0, key, 1, clock.now() + Second * 60, [] { return RecordedAnswer{200, "application/json", std::string(300, 'x'), false}; });
                }
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        const double calls = callers * CallsEach;
        writes.push_back({static_cast<double>(callers), static_cast<double>(records.writeCount()) / calls});
        memory.push_back({calls, residentBytes() - before});
    }
    printSlope("key-value writes for each non-idempotent call, one shard", "concurrent caller", "writes/call", writes);
    printSlope("record with a 300-byte answer, memory (with the stand-in store)", "call", "bytes", memory);
}

// Returns the mean time of one choice of a target, in microseconds, with what it needs besides the load of the targets.
double choiceCost(size_t targets, size_t hosts, bool isMixed)
{
    const Clock clock;
    MixedLoad mixedLoad(clock);
    TargetSpeeds speeds(clock);
    BlockShares shares;
    std::vector<Candidate> candidates(targets);
    for (size_t index = 0; index < targets; ++index) {
        Candidate &candidate = candidates[index];
        candidate.target = std::make_shared<TargetState>();
        candidate.target->id = "i-" + sha256Hex(std::to_string(index)).substr(0, 8);
        candidate.target->zone = "zone-" + std::to_string(index % 3);
        candidate.version = 1;
        candidate.requests = static_cast<double>(index % 9);
        candidate.pendingTokens = static_cast<double>(index * 7919 % 20'000);
        candidate.heldTokens = static_cast<double>(index * 6113 % 40'000);
        candidate.capacityTokens = 47'352;
        candidate.maxRuns = 64;
        speeds.record(candidate.target->id, Milliseconds(100), Milliseconds(90 + static_cast<int64_t>(index) % 30));
    }
    for (int index = 0; index < 100; ++index) {
        mixedLoad.recordPrompt("s", {"long", Milliseconds(1200), 2, 9190, 9190, 9199});
        mixedLoad.recordPrompt("s", {"short", Milliseconds(250), 0, 827, 827, 876});
        const int pending = 9190 * (1 + index % 3);
        mixedLoad.recordFirstToken("s", "long", pending, Milliseconds(20 + pending / 41));
    }
    constexpr int Choices = 5000;
    return microseconds(Choices, [&](int index) {
        PickQuery query;
        query.affinity = "block-" + std::to_string(index % 300);
        query.affinityTokens = 7520;
        query.heldTokens = 9199;
        query.localZone = "zone-1";
        query.newestVersion = 1;
        query.prefillTokens = 9190;
        query.targetLatency = Milliseconds(1200);
        query.draw = combineHashes(static_cast<uint64_t>(index), 1);
        query.sampleSize = std::max<size_t>(3, 2 * targets / hosts);
        query.lane = Lane::LongPrompts;
        query.longAnswerShare = 0.4;
        if (isMixed) {
            query.mixed = mixedLoad.profile("s", "long", 2);
            query.sampleSize = MixedSampleSize;
            query.preferredTargets = shares.recordAndCount("s", query.affinity, query.prefillTokens, targets);
            for (Candidate &candidate : candidates) {
                candidate.speed = speeds.factor(candidate.target->id);
            }
        }
        pickTarget(query, candidates);
    });
}

void measureChoices()
{
    for (const bool isMixed : {false, true}) {
        std::vector<Point> time;
        for (const auto &[targets, hosts] : {std::pair<size_t, size_t>(60, 76), std::pair<size_t, size_t>(140, 35)}) {
            time.push_back({static_cast<double>(targets), choiceCost(targets, hosts, isMixed)});
        }
        printSlope(isMixed ? "choice of a target under mixed load" : "choice of a target with lanes", "target", "us/request", time);
    }
}

} // namespace

int main()
{
    FLAGS_minloglevel = google::GLOG_ERROR;
    std::printf("| measured | at sizes | slope | intercept | largest deviation |\n|---|---|---|---|---|\n");
    measureChoices();
    measureDecisions();
    measureHeartbeats();
    measureMembership();
    measureConfiguration();
    measureRecords();
    return 0;
}
