// Keeps the fleet current: reads the platform's host list, works out which targets this host may use and how far,
// polls their load, and orders weights to be loaded where the configured version is missing.
//
//     TargetDuty targets(context);
//     targets.start();
//
// Thread-safe.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include "pimentosail/base/duty.h"
#include "pimentosail/serve/context.h"

namespace pimentosail
{

class TargetDuty
{
public:
    TargetDuty(Clock &runtimeClock, const Settings &processSettings);

    // Connects the duty to the process. Call once, before `start`.
    void attach(Context &processContext);

    void start();
    void stop();

    // Takes the part of a heartbeat that tells whether its sender's authority is confirmed.
    void heardAuthority(const std::string &host, bool hasAuthority);

    // Returns the entry hosts of the host list, or nothing if it has never been read.
    std::optional<std::vector<std::string>> listedEntryHosts() const;

private:
    void runFleet();
    void runPoll(size_t worker);
    void readHostList();
    void publishFleet();
    FleetUpdate describeTargets(const Fleet &fleet, const Configuration &configuration);
    std::vector<FleetHost> duePolls(size_t worker);
    bool isEventReadDue(const std::string &target);
    void poll(const FleetHost &host);
    std::vector<uint64_t> pollEvictions(const FleetHost &host, const std::string &boot);
    void orderLoads();
    bool isUnconfirmed(const std::string &host) const;

    Clock &clock;
    const Settings &settings;
    Context *context = nullptr;
    mutable std::mutex mutex;
    std::optional<std::vector<FleetHost>> listed;
    // Targets ever described, so that those no longer listed are described as gone.
    std::map<std::string, TargetDescription> described;
    std::set<std::string> unconfirmedHosts;
    // Targets that this host polls now, by name.
    std::vector<FleetHost> polled;
    std::map<std::string, Time> nextPolls;
    std::map<std::string, int64_t> pollCounts;
    // Last cache event read from each target, with the run of the target that published it.
    std::map<std::string, std::pair<std::string, int64_t>> eventSequences;
    std::atomic<bool> stopping{false};
    DutyThread fleetThread;
    std::vector<std::unique_ptr<DutyThread>> pollThreads;
};

} // namespace pimentosail
