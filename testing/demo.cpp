// pimentosail-demo: starts a deployment on this machine, sends requests through it and checks what the system guarantees:
// complete and correct answers, and service calls that run once.
//
// Exit codes: 0 all checks passed, 1 a check failed, 2 bad command line or a process did not start.

#include <csignal>
#include <cstdio>
#include <iostream>

#include <cxxopts.hpp>

#include "pimentosail/base/json.h"
#include "testing/caller.h"
#include "testing/localfleet.h"

namespace
{

using namespace pimentosail;
using namespace pimentosail::testing;

constexpr int FirstPort = 18000;
constexpr int64_t DossierTokens = 24'000;
constexpr int64_t AnswerTokens = 6;

volatile std::sig_atomic_t stopping = 0;

void onSignal(int /*signal*/)
{
    stopping = 1;
}

// Names that differ between the two deployments. Calls of `repeatableService` need no idempotency key; calls of
// `onceService` have one and run once.
struct DeploymentNames
{
    std::string model;
    std::string team;
    std::string repeatableService;
    std::string repeatablePool;
    std::string onceService;
    std::string oncePool;
};

DeploymentNames namesOf(const std::string &deployment)
{
    if (deployment == "winery") {
        return {"dispatcher", "pickers", "weather", "weather-1", "truck-booking", "trucks-1"};
    }
    return {"phrase-loom", "editor-families", "calendar", "calendar-1", "card-orders", "orders-1"};
}

class Demo
{
public:
    Demo(LocalFleet &localFleet, DeploymentNames deploymentNames)
        : fleet(localFleet)
        , names(std::move(deploymentNames))
    {
    }

    // Sends all requests and prints them. Returns whether all checks passed.
    bool run()
    {
        std::printf("%-34s %-8s %-15s %-13s %10s %8s\n", "request", "entry", "target", "source", "first ms", "cached");
        const std::vector<std::string> entries = this->fleet.names("entry");
        for (int round = 0; round < 2; ++round) {
            for (size_t index = 0; index < entries.size(); ++index) {
                // In the second round, each prompt arrives at another host than in the first.
                const std::string &entry = entries[(index + static_cast<size_t>(round)) % entries.size()];
                this->complete(entry, "dossier " + std::to_string(index + 1) + (round == 0 ? ", first" : ", returning"), index);
            }
        }
        this->callService(entries);
        std::printf("\nrecomputed share of prompt tokens: %.0f%% (%lld of %lld)\n",
            100.0 * static_cast<double>(this->computedTokens) / static_cast<double>(this->promptTokens), static_cast<long long>(this->computedTokens),
            static_cast<long long>(this->promptTokens));
        return this->allPassed;
    }

private:
    void check(bool condition, const std::string &expectation)
    {
        if (!condition) {
            std::printf("CHECK FAILED: %s\n", expectation.c_str());
            this->allPassed = false;
        }
    }

    void complete(const std::string &entry, const std::string &label, size_t dossier)
    {
        const Caller caller(this->fleet.callerAddress(entry), "key-" + this->names.team);
        const std::string prompt = makePrompt("dossier-" + std::to_string(dossier), DossierTokens);
        CompletionOptions options;
        options.maxTokens = AnswerTokens;
        const Completion completion = caller.complete(this->names.model, prompt, options);
        std::printf("%-34s %-8s %-15s %-13s %10.1f %8lld\n", label.c_str(), entry.c_str(), completion.target.c_str(), completion.source.c_str(),
            toSeconds(completion.firstToken) * 1000, static_cast<long long>(completion.cachedTokens));
        this->check(completion.complete, "the answer is complete (" + completion.errorKind + ")");
        this->check(completion.text == expectedAnswer(prompt, AnswerTokens), "the answer belongs to its request");
        this->promptTokens += completion.promptTokens;
        this->computedTokens += completion.promptTokens - std::min(completion.cachedTokens, completion.promptTokens);
    }

    void callService(const std::vector<std::string> &entries)
    {
        const Caller first(this->fleet.callerAddress(entries.front()), "key-" + this->names.team);
        const Caller second(this->fleet.callerAddress(entries.back()), "key-" + this->names.team);
        const Booking plain = first.book(this->names.repeatableService + "/now", "", "{}");
        std::printf("%-34s %-8s status %d\n", (this->names.repeatableService + " (plain call)").c_str(), entries.front().c_str(), plain.status);
        this->check(plain.status == 200, "the plain call is answered");
        const Booking one = first.book(this->names.onceService + "/book", "demo-key-1", "{\"load\":7}");
        const Booking two = second.book(this->names.onceService + "/book", "demo-key-1", "{\"load\":7}");
        std::printf("%-34s %-8s status %d\n", (this->names.onceService + " (key sent first)").c_str(), entries.front().c_str(), one.status);
        std::printf("%-34s %-8s status %d\n", (this->names.onceService + " (same key again)").c_str(), entries.back().c_str(), two.status);
        this->check(one.status == 200 && two.status == 200, "the booking is confirmed to both callers");
        this->check(one.body == two.body, "the replayed answer is the same byte for byte");
        const Json::Value runs = this->fleet.getJson(this->names.oncePool, "/runs");
        std::printf("%-34s the service ran it %u time(s)\n", "", runs.size());
        this->check(runs.size() == 1, "the booking ran exactly once");
    }

    LocalFleet &fleet;
    DeploymentNames names;
    bool allPassed = true;
    int64_t promptTokens = 0;
    int64_t computedTokens = 0;
};

void printExampleCommands(const LocalFleet &fleet, const DeploymentNames &names)
{
    std::cout << "\nThe deployment is running; end it with Ctrl-C. Try:\n";
    for (const std::string &entry : fleet.names("entry")) {
        std::cout << "  " << entry << ": callers " << fleet.callerAddress(entry) << ", operators " << fleet.address(entry) << "\n";
    }
    const std::string caller = fleet.callerAddress("entry-1");
    const std::string operators = fleet.address("entry-1");
    std::cout << "  curl -N http://" << caller << "/v1/completions -H 'Authorization: Bearer key-" << names.team << "' -d '{\"model\":\"" << names.model
              << "\",\"prompt\":\"pick, wait or move?\",\"max_tokens\":50,\"stream\":true}'\n"
              << "  curl http://" << caller << "/v1/services/" << names.onceService << "/book -H 'Authorization: Bearer key-" << names.team
              << "' -H 'Idempotency-Key: k1' -d '{}'\n"
              << "  curl http://" << operators << "/debug/state\n"
              << "  build/cli/pimentosail --host " << operators << " status\n"
              << "  curl http://" << fleet.address(fleet.names("engine").front()) << "/fault -d '{\"name\":\"hang\",\"value\":1}'\n";
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("pimentosail-demo", "Starts a deployment on this machine and sends traffic through it");
    options.add_options()("deployment", "winery or krathong", cxxopts::value<std::string>()->default_value("winery"))("stay", "keep it running until Ctrl-C")(
        "entries", "number of entry daemons", cxxopts::value<int>()->default_value("3"))("source", "source directory",
        cxxopts::value<std::string>()->default_value("."))("build", "build directory", cxxopts::value<std::string>()->default_value("build"))(
        "work", "directory for logs", cxxopts::value<std::string>()->default_value("out"))("h,help", "show this help");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        const std::string deployment = arguments["deployment"].as<std::string>();
        if (arguments.count("help") != 0 || (deployment != "winery" && deployment != "krathong")) {
            std::cout << options.help();
            return arguments.count("help") != 0 ? 0 : 2;
        }
        std::signal(SIGINT, onSignal);
        std::signal(SIGTERM, onSignal);
        const DeploymentNames names = namesOf(deployment);
        LocalFleet fleet(FleetPlan::fromExample(arguments["source"].as<std::string>(), deployment, arguments["entries"].as<int>(), false),
            arguments["build"].as<std::string>(), arguments["work"].as<std::string>(), FirstPort);
        std::cout << "starting the " << deployment << " deployment\n";
        fleet.start();
        const bool allPassed = Demo(fleet, names).run();
        std::cout << (allPassed ? "all checks passed\n" : "some checks failed\n");
        if (arguments.count("stay") != 0) {
            printExampleCommands(fleet, names);
            Clock clock;
            while (stopping == 0) {
                clock.sleepFor(Milliseconds(200));
            }
        }
        return allPassed ? 0 : 1;
    } catch (const std::exception &exception) {
        std::cerr << exception.what() << "\n";
        return 2;
    }
}
