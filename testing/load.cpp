// pimentosail-load: measures real processes on this machine under load.
//
//     pimentosail-load --overhead                      first-token time that entry hosts add to that of the engine
//     pimentosail-load --policies predicted,sticky_hash,round_robin --seconds 30 --rate 10
//
// Starts and stops its own deployment. Duration and rate are bounded; all traffic uses the loopback interface.
// Exit codes: 0 success, 2 bad command line or a process did not start.

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <iostream>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

#include <cxxopts.hpp>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"
#include "pimentosail/target/engineclient.h"
#include "testing/caller.h"
#include "testing/localfleet.h"

namespace
{

using namespace pimentosail;
using namespace pimentosail::testing;

constexpr int FirstPort = 22000;
// Upper bounds of --rate (requests per second) and --seconds.
constexpr int64_t MaxRate = 100;
constexpr int64_t MaxSeconds = 600;
constexpr size_t CallerThreads = 64;
constexpr Duration ConnectTimeout = std::chrono::seconds(2);

// Returns the quantile `quantile` (0 to 1) of `values`, or 0 if there are none.
double quantileOf(std::vector<double> values, double quantile)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<size_t>(quantile * static_cast<double>(values.size() - 1))];
}

// Sends a prompt directly to an engine; returns the time to the first token.
Duration engineFirstTokenTime(const std::string &address, const std::string &prompt, uint64_t salt)
{
    Clock clock;
    const Time start = clock.now();
    EngineCall call;
    call.requestId = "direct";
    call.model = "dispatcher";
    call.prompt = prompt;
    call.maxTokens = 1;
    call.salt = salt;
    const std::unique_ptr<EngineStream> stream = EngineStream::open(address, call, ConnectTimeout);
    while (true) {
        const EngineEvent event = stream->next(std::chrono::seconds(5));
        if (std::holds_alternative<EngineToken>(event)) {
            return clock.now() - start;
        }
        if (!std::holds_alternative<EngineIdle>(event)) {
            throw Failure(ErrorKind::TargetLost, "the engine did not answer");
        }
    }
}

// Prints the first-token times of cached prompts: directly from the engine, through the prompt's owner, and through
// another host that forwards to the owner.
void measureOverhead(const std::string &source, const std::string &build, const std::string &work, int samples)
{
    LocalFleet fleet(FleetPlan::fromExample(source, "winery", 3, false), build, work, FirstPort);
    fleet.start();
    std::printf("| prompt tokens | path | first token p50 ms | p95 ms | added p50 ms |\n|---|---|---|---|---|\n");
    for (const int64_t tokens : {500, 4000, 24'000}) {
        const std::string prompt = makePrompt("overhead-" + std::to_string(tokens), tokens);
        CompletionOptions options;
        options.maxTokens = 1;
        const Completion probe = Caller(fleet.callerAddress("entry-1"), "key-pickers").complete("dispatcher", prompt, options);
        std::vector<double> direct;
        std::vector<double> viaOwner;
        std::vector<double> viaOtherHost;
        for (int sample = 0; sample < samples; ++sample) {
            direct.push_back(1000 * toSeconds(engineFirstTokenTime(fleet.address(probe.target), prompt, cacheSalt("pickers", "dispatcher", 1))));
            for (const std::string &entry : fleet.names("entry")) {
                const Completion completion = Caller(fleet.callerAddress(entry), "key-pickers").complete("dispatcher", prompt, options);
                if (completion.complete && completion.target == probe.target) {
                    (entry == completion.host ? viaOwner : viaOtherHost).push_back(1000 * toSeconds(completion.firstToken));
                }
            }
        }
        const double base = quantileOf(direct, 0.5);
        const auto print = [&](const char *path, const std::vector<double> &values) {
            std::printf("| %lld | %s | %.2f | %.2f | %.2f |\n", static_cast<long long>(tokens), path, quantileOf(values, 0.5), quantileOf(values, 0.95),
                quantileOf(values, 0.5) - base);
        };
        print("engine, directly", direct);
        print("through its owner", viaOwner);
        print("through another host", viaOtherHost);
    }
}

// Counts and times of the measured requests.
struct LoadResult
{
    std::mutex mutex;
    std::vector<double> firstTokens;
    int64_t promptTokens = 0;
    int64_t computedTokens = 0;
    long failed = 0;
    long wrongAnswers = 0;
};

// Sends `rate` requests per second for `seconds`, each with one of `prompts` prompts of `tokens` tokens.
void sendLoad(const LocalFleet &fleet, int64_t rate, int64_t seconds, int prompts, int64_t tokens, LoadResult &result)
{
    Clock clock;
    const Time start = clock.now();
    std::atomic<int64_t> next{0};
    const std::vector<std::string> entries = fleet.names("entry");
    std::vector<std::thread> threads;
    for (size_t thread = 0; thread < CallerThreads; ++thread) {
        threads.emplace_back([&] {
            for (int64_t number = next.fetch_add(1); number < rate * seconds; number = next.fetch_add(1)) {
                const Duration due = fromSeconds(static_cast<double>(number) / static_cast<double>(rate));
                clock.sleepFor(std::max(Duration(0), start + due - clock.now()));
                const uint64_t choice = combineHashes(static_cast<uint64_t>(number), 17) % static_cast<uint64_t>(prompts);
                const std::string prompt = makePrompt("load-" + std::to_string(choice), tokens);
                CompletionOptions options;
                options.maxTokens = 2;
                const Completion completion
                    = Caller(fleet.callerAddress(entries[static_cast<size_t>(number) % entries.size()]), "key-pickers").complete("dispatcher", prompt, options);
                const std::lock_guard lock(result.mutex);
                // The first third of the requests only fills the caches.
                if (number < rate * seconds / 3) {
                    continue;
                }
                if (!completion.complete) {
                    ++result.failed;
                    continue;
                }
                result.wrongAnswers += completion.text == expectedAnswer(prompt, 2) ? 0 : 1;
                result.firstTokens.push_back(toSeconds(completion.firstToken));
                result.promptTokens += completion.promptTokens;
                result.computedTokens += completion.promptTokens - std::min(completion.cachedTokens, completion.promptTokens);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
}

// Runs the same load with each policy and prints a row for each.
void comparePolicies(const cxxopts::ParseResult &arguments)
{
    const int64_t rate = std::min<int64_t>(arguments["rate"].as<int64_t>(), MaxRate);
    const int64_t seconds = std::min<int64_t>(arguments["seconds"].as<int64_t>(), MaxSeconds);
    std::istringstream policies(arguments["policies"].as<std::string>());
    std::printf(
        "| policy | requests | first token p50 s | p95 s | p99 s | refused or failed | wrong answers | recomputed %% |\n|---|---|---|---|---|---|---|---|\n");
    for (std::string policy; std::getline(policies, policy, ',');) {
        FleetPlan plan = FleetPlan::fromExample(arguments["source"].as<std::string>(), "winery", static_cast<int>(arguments["entries"].as<int64_t>()), false);
        plan.settings["policy"] = policy;
        for (FleetProcess &process : plan.processes) {
            if (process.kind == "engine") {
                process.options["cache_pieces"] = "16";
            }
        }
        LocalFleet fleet(plan, arguments["build"].as<std::string>(), arguments["work"].as<std::string>(), FirstPort);
        fleet.start();
        LoadResult result;
        sendLoad(fleet, rate, seconds, static_cast<int>(arguments["prompts"].as<int64_t>()), arguments["tokens"].as<int64_t>(), result);
        std::printf("| %s | %zu | %.3f | %.3f | %.3f | %ld | %ld | %.1f |\n", policy.c_str(), result.firstTokens.size(), quantileOf(result.firstTokens, 0.5),
            quantileOf(result.firstTokens, 0.95), quantileOf(result.firstTokens, 0.99), result.failed, result.wrongAnswers,
            result.promptTokens == 0 ? 0.0 : 100.0 * static_cast<double>(result.computedTokens) / static_cast<double>(result.promptTokens));
        std::fflush(stdout);
    }
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("pimentosail-load", "Measures real processes on this machine");
    options.add_options()("overhead", "measure the added first-token time")("samples", "samples of the overhead", cxxopts::value<int>()->default_value("100"))(
        "policies", "comma-separated policies to compare", cxxopts::value<std::string>()->default_value("predicted,sticky_hash,least_loaded,round_robin"))(
        "rate", "requests a second", cxxopts::value<int64_t>()->default_value("10"))("seconds", "length", cxxopts::value<int64_t>()->default_value("30"))(
        "prompts", "number of different prompts", cxxopts::value<int64_t>()->default_value("90"))("tokens", "tokens of a prompt",
        cxxopts::value<int64_t>()->default_value("16500"))("entries", "entry daemons", cxxopts::value<int64_t>()->default_value("3"))("source",
        "source directory",
        cxxopts::value<std::string>()->default_value("."))("build", "build directory", cxxopts::value<std::string>()->default_value("build"))(
        "work", "directory for logs", cxxopts::value<std::string>()->default_value("out"))("h,help", "show this help");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        if (arguments.count("overhead") != 0) {
            measureOverhead(arguments["source"].as<std::string>(), arguments["build"].as<std::string>(), arguments["work"].as<std::string>(),
                arguments["samples"].as<int>());
        } else {
            comparePolicies(arguments);
        }
        return 0;
    } catch (const std::exception &exception) {
        std::cerr << exception.what() << "\n";
        return 2;
    }
}
