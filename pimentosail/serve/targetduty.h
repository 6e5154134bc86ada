// Keeps the description of the fleet current: reads the platform's host list, determines which targets this host may
// use and how many of their slots, polls the load of these targets, and sends load orders to targets that lack the
// configured weight version.
//
//     TargetDuty targets(clock, settings);
//     targets.attach(context);
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

    // Records whether the authority of `host` is confirmed, as its last heartbeat reported.
    void receiveAuthority(const std::string &host, bool hasAuthority);

    // Returns the entry hosts of the host list, or nothing if the list was never read or names none.
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
    void sendLoadOrders();
    bool isUnconfirmed(const std::string &host) const;

    Clock &clock;
    const Settings &settings;
    Context *context = nullptr;
    mutable std::mutex mutex;
    std::optional<std::vector<FleetHost>> listedHosts;
    // All targets that were ever listed, so that those no longer listed can be described as removed
    // (`TargetAvailability::Removed`).
    std::map<std::string, TargetDescription> describedTargets;
    // Entry hosts that reported that their authority is not confirmed.
    std::set<std::string> unconfirmedHosts;
    // Targets that this host polls now.
    std::vector<FleetHost> polledTargets;
    // Time of the next load report of each polled target, by name.
    std::map<std::string, Time> nextPolls;
    std::map<std::string, int64_t> pollCounts;
    // Sequence number of the last cache event read from each target, with the boot id of the target process that
    // published it.
    std::map<std::string, std::pair<std::string, int64_t>> eventSequences;
    std::atomic<bool> stopping{false};
    DutyThread fleetThread;
    std::vector<std::unique_ptr<DutyThread>> pollThreads;
};

} // namespace pimentosail
