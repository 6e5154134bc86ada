// A soak of real entry host processes before targets that fail in every way, with hosts that are paused, starved of processor time, killed,
// stopped and restarted. It checks that nothing runs twice, that refusals are true and that answers are whole.
//
// A longer run by hand: PIMENTOSAIL_SOAK_SEED=17 PIMENTOSAIL_SOAK_SECONDS=60 build/testing/soak_test
// PIMENTOSAIL_SOAK_NETWORK=N (0 to 255) uses the addresses 127.0.N.*, so that several soaks can run at once.
// PIMENTOSAIL_SOAK_STARVED=N starves the first N hosts, and PIMENTOSAIL_SOAK_STARVED_RUN_MS sets how long they run in each tenth of a second.
// PIMENTOSAIL_SOAK_FAULTS limits the faults of targets to those named ("repeated refusals", "no statement", "contradiction").
#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <criterion/criterion.h>

#include "platform/standin/deployment.h"
#include "platform/standin/hostprocess.h"
#include "platform/standin/httpstore.h"
#include "platform/standin/rawtarget.h"
#include "platform/standin/soakcaller.h"
#include "platform/standin/soakledger.h"
#include "platform/standin/soaktarget.h"

using namespace pimentosail;
using namespace pimentosail::platform;

namespace
{

constexpr int HostCount = 6;
constexpr int TargetCount = 6;
constexpr int CallerCount = 32;
constexpr const char *StorePort = ":24000";
constexpr int FirstTargetPort = 24100;
constexpr int FirstHostOctet = 21;
constexpr int HostMemoryMegabytes = 88;
constexpr int64_t MegaByte = 1024 * 1024;
constexpr Duration ReadyTimeout = std::chrono::seconds(30);
constexpr Duration EndTimeout = std::chrono::seconds(15);
// A starved host runs at the beginning of each of these periods.
constexpr Duration StarvedPeriod = Milliseconds(100);
// Broken promises of one kind that are printed.
constexpr int MaxPrinted = 5;

std::string environment(const char *name, const std::string &fallback)
{
    const char *value = std::getenv(name);
    return value == nullptr ? fallback : value;
}

struct SoakPlan
{
    uint64_t seed = 1;
    Duration duration = std::chrono::seconds(15);
    TargetFaults faults;
    // Hosts are paused, killed, stopped and restarted.
    bool disturbsHosts = true;
    // Number of hosts that run for a part of the time only.
    int starvedHosts = 0;
    // How long they run in each `StarvedPeriod`.
    Duration starvedRun = Milliseconds(25);
};

// The hosts, targets and callers of one soak.
class Soak
{
public:
    explicit Soak(const SoakPlan &soakPlan)
        : plan(soakPlan)
        , random(soakPlan.seed)
    {
        const std::string directory = environment("PIMENTOSAIL_OUT", "out") + "/soak-" + network() + "-" + std::to_string(this->plan.seed);
        std::filesystem::remove_all(directory);
        std::filesystem::create_directories(directory);
        this->deployment.configure(
            {.routes = platform::AllRoutes, .services = R"({"Name":"desk","HealthPath":"/h","ConnectionLimit":400,"ColdS":0,"ColdPerS":0})"});
        for (int index = 0; index < TargetCount; ++index) {
            const std::string name = "t" + std::to_string(index + 1);
            this->targets.push_back(std::make_unique<SoakTarget>(name, address(1) + ":" + std::to_string(FirstTargetPort + index), this->ledger,
                this->plan.faults, this->plan.seed * 100 + static_cast<uint64_t>(index)));
            this->deployment.addTarget(name, this->targets.back()->address());
        }
        for (int index = 0; index < HostCount; ++index) {
            const std::string ip = address(FirstHostOctet + index);
            const std::string peer = HostProcess::peerAddress(address(FirstHostOctet + (index + 1) % HostCount));
            this->hosts.push_back(std::make_unique<HostProcess>(HostProcessPlan{.name = "front-" + std::to_string(index + 1),
                                                                    .ip = ip,
                                                                    .storeAddress = address(1) + StorePort,
                                                                    .peers = {peer},
                                                                    .memoryMegabytes = HostMemoryMegabytes},
                environment("PIMENTOSAIL_BUILD", "build"), directory));
        }
    }

    // Runs the soak and returns the promises that were broken.
    std::vector<std::string> run()
    {
        for (const std::unique_ptr<HostProcess> &host : this->hosts) {
            host->start();
        }
        for (const std::unique_ptr<HostProcess> &host : this->hosts) {
            cr_assert(host->awaitReady(ReadyTimeout), "%s did not become ready", host->name().c_str());
        }
        const Time end = this->deployment.clock.now() + this->plan.duration;
        std::vector<std::thread> threads;
        threads.reserve(CallerCount);
        for (int index = 0; index < CallerCount; ++index) {
            threads.emplace_back([this, index, end] { this->runCaller(index, end); });
        }
        this->disturb(end);
        for (std::thread &thread : threads) {
            thread.join();
        }
        this->targets.clear();
        return this->ledger.violations();
    }

    std::string report() const
    {
        const SoakTotals totals = this->ledger.totals();
        return "seed " + std::to_string(this->plan.seed) + ": " + std::to_string(totals.answers) + " attempts, " + std::to_string(totals.runs) + " runs, "
            + std::to_string(totals.successes) + " successes, " + std::to_string(totals.refusals) + " refusals, " + std::to_string(totals.lost)
            + " without an answer, at most " + std::to_string(this->peakMegabytes) + " MB a host, " + std::to_string(totals.stalledRuns)
            + " runs of targets that stalled";
    }

private:
    static std::string network()
    {
        return environment("PIMENTOSAIL_SOAK_NETWORK", "0");
    }
    static std::string address(int lastOctet)
    {
        return "127.0." + network() + "." + std::to_string(lastOctet);
    }

    void runCaller(int index, Time end)
    {
        std::vector<SoakHost> addresses;
        for (const std::unique_ptr<HostProcess> &host : this->hosts) {
            addresses.push_back({host->name(), host->callerAddress()});
        }
        SoakCaller(this->ledger, addresses, "c" + std::to_string(index), this->plan.seed * 1000 + static_cast<uint64_t>(index)).run(end);
    }

    int between(int first, int last)
    {
        return std::uniform_int_distribution<int>(first, last)(this->random);
    }

    // Steps in time with the starved hosts' periods, and disturbs other hosts at random moments.
    void disturb(Time end)
    {
        Time next = this->deployment.clock.now() + Milliseconds(500);
        while (this->deployment.clock.now() < end) {
            for (int index = 0; index < this->plan.starvedHosts; ++index) {
                this->hosts[static_cast<size_t>(index)]->signal(SIGCONT);
            }
            this->deployment.clock.sleepFor(this->plan.starvedRun);
            for (int index = 0; index < this->plan.starvedHosts; ++index) {
                this->hosts[static_cast<size_t>(index)]->signal(SIGSTOP);
            }
            this->deployment.clock.sleepFor(StarvedPeriod - this->plan.starvedRun);
            this->finishDisturbances(false);
            if (this->plan.disturbsHosts && this->deployment.clock.now() >= next) {
                this->beginDisturbance();
                next = this->deployment.clock.now() + Milliseconds(this->between(100, 1500));
            }
        }
        this->finishDisturbances(true);
        for (int index = 0; index < this->plan.starvedHosts; ++index) {
            this->hosts[static_cast<size_t>(index)]->signal(SIGCONT);
        }
        for (const std::unique_ptr<HostProcess> &host : this->hosts) {
            if (host->hasEndedByItself()) {
                this->ledger.recordViolation("LOST: " + host->name() + " ended by itself");
            }
            const int64_t memory = host->peakMemory() / MegaByte;
            this->peakMegabytes = std::max(this->peakMegabytes, memory);
            if (memory > HostMemoryMegabytes) {
                this->ledger.recordViolation("LOST: " + host->name() + " took " + std::to_string(memory) + " MB of memory");
            }
        }
    }

    // A host that is paused, or that is to be started again when it has ended.
    struct Disturbance
    {
        HostProcess *host = nullptr;
        bool isPause = false;
        Time until{};
    };

    void beginDisturbance()
    {
        HostProcess &host = *this->hosts[static_cast<size_t>(this->between(this->plan.starvedHosts, HostCount - 1))];
        for (const Disturbance &disturbance : this->disturbances) {
            if (disturbance.host == &host) {
                return;
            }
        }
        static constexpr std::array<int, 4> Signals{SIGSTOP, SIGSTOP, SIGKILL, SIGTERM};
        const int signalNumber = Signals[static_cast<size_t>(this->between(0, Signals.size() - 1))];
        this->ledger.recordDisturbance(host.name());
        host.signal(signalNumber);
        this->disturbances.push_back({&host, signalNumber == SIGSTOP, this->deployment.clock.now() + Milliseconds(this->between(100, 2500))});
    }

    void finishDisturbances(bool atOnce)
    {
        std::erase_if(this->disturbances, [this, atOnce](const Disturbance &disturbance) {
            if (!atOnce && this->deployment.clock.now() < disturbance.until) {
                return false;
            }
            if (disturbance.isPause) {
                disturbance.host->signal(SIGCONT);
            } else if (disturbance.host->awaitEnd(atOnce ? EndTimeout : Duration(0)) < 0) {
                return false;
            } else {
                disturbance.host->start();
            }
            this->ledger.recordDisturbance(disturbance.host->name());
            return true;
        });
    }

    SoakPlan plan;
    std::mt19937_64 random;
    platform::Deployment deployment;
    platform::HttpStoreStandIn store{address(1) + StorePort, this->deployment.store};
    SoakLedger ledger{this->deployment.clock};
    std::vector<std::unique_ptr<SoakTarget>> targets;
    std::vector<std::unique_ptr<HostProcess>> hosts;
    std::vector<Disturbance> disturbances;
    int64_t peakMegabytes = 0;
};

// Runs a soak and fails with the first broken promises.
void assertKept(SoakPlan plan)
{
    plan.seed = std::stoull(environment("PIMENTOSAIL_SOAK_SEED", std::to_string(plan.seed)));
    plan.duration = std::chrono::seconds(std::stoi(environment("PIMENTOSAIL_SOAK_SECONDS", std::to_string(plan.duration / std::chrono::seconds(1)))));
    plan.starvedHosts = std::stoi(environment("PIMENTOSAIL_SOAK_STARVED", std::to_string(plan.starvedHosts)));
    plan.starvedRun = Milliseconds(std::stoi(environment("PIMENTOSAIL_SOAK_STARVED_RUN_MS", std::to_string(toMilliseconds(plan.starvedRun)))));
    const std::string faults = environment("PIMENTOSAIL_SOAK_FAULTS", "repeated refusals, no statement, contradiction");
    plan.faults.repeatsRefusals = faults.find("repeated refusals") != std::string::npos;
    plan.faults.answersWithoutStatement = faults.find("no statement") != std::string::npos;
    plan.faults.contradictsItself = faults.find("contradiction") != std::string::npos;
    Soak soak(plan);
    const std::vector<std::string> violations = soak.run();
    std::cerr << soak.report() << "\n";
    std::map<std::string, int> counts;
    for (const std::string &violation : violations) {
        const size_t comma = violation.find(", by ");
        const std::string kind = violation.substr(0, violation.find(':')) + (comma == std::string::npos ? "" : violation.substr(comma));
        if (++counts[kind] <= MaxPrinted) {
            std::cerr << violation << "\n";
        }
    }
    for (const auto &[kind, count] : counts) {
        std::cerr << kind << ": " << count << "\n";
    }
    cr_assert(violations.empty(), "%zu promises broken", violations.size());
}

} // namespace

// Guards against refusals of earlier requests that are taken for the present one, and against statuses that mean "not run" of requests that ran.
Test(answer_soak, nothing_runs_twice_and_refusals_are_true_while_targets_fail)
{
    assertKept({.seed = 1, .disturbsHosts = false});
}

// The same while hosts are paused, killed, stopped and restarted.
Test(answer_soak, nothing_runs_twice_and_refusals_are_true_while_hosts_fail)
{
    assertKept({.seed = 2});
}

// The same with hosts that get a quarter of a processor.
Test(answer_soak, nothing_runs_twice_and_refusals_are_true_on_starved_hosts)
{
    assertKept({.seed = 3, .starvedHosts = 2});
}
