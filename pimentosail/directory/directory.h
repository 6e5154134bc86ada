// The targets that this host knows: where they are, whether they may get work, and what this host has in flight there.
//
// An adapter feeds it registrations as the platform's store reports them. A target leaves at once when it reports
// draining; a registration that vanished while the store was out of reach is kept for a short time after the store
// has come back, since a live target registers again within that time.
//
//     TargetDirectory directory(clock);
//     directory.apply(registrations, storeStatus);
//     std::vector<TargetView> usable = directory.usable("huvo11a");
//
// Thread-safe.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/routing/servingconfiguration.h"

namespace pimentosail
{

// What a target says of itself in the platform's store.
struct Registration
{
    // Name of this incarnation, unique for most starts.
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    int slots = 0;
    bool isDraining = false;
    Duration coldRemaining{};
    // Start of the target in Unix ms; tells a restart under the same id. 0 if unknown.
    int64_t startedAt = 0;
    // Weight version by model.
    std::map<std::string, int64_t> modelVersions;
    // Revision of the store at which this was written.
    int64_t revision = 0;
};

// What this host has learnt of one incarnation of a target. Counters are updated by request threads.
struct TargetState
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    int slots = 0;
    int64_t startedAt = 0;

    // Requests of this host that the target works on, and their prompt tokens that are still to be read.
    std::atomic<int> inFlight{0};
    std::atomic<int64_t> pendingTokens{0};
    // The same for requests that are late already and yield to all others.
    std::atomic<int64_t> lateTokens{0};
    // Tokens of the prompts and answers of all runs: the memory that they need there.
    std::atomic<int64_t> heldTokens{0};
    // No request is sent before this time (us): the target refused, failed to connect, or is taking an order.
    std::atomic<int64_t> avoidUntil{0};
    // The target counts as cold until this time (us).
    std::atomic<int64_t> coldUntil{0};
    // Consecutive failures to connect.
    std::atomic<int> connectFailures{0};
    // Moving average of failed runs, in thousandths.
    std::atomic<int> failurePermille{0};
    // Moving average of the time from sending to the first event or answer, in us. 0 before the first.
    std::atomic<int64_t> responseTime{0};
    // When the target last sent a first event or answer to this host (us).
    std::atomic<int64_t> lastResponse{0};

    // Guarded by the directory's mutex.
    bool draining = false;
    bool gone = false;
    std::map<std::string, int64_t> modelVersions;
    // Revision of the registration applied last.
    int64_t revision = 0;
};
using TargetPointer = std::shared_ptr<TargetState>;

// A target and the weights it has now.
struct TargetView
{
    TargetPointer target;
    // Weight version of the model asked for; 0 if the target does not serve it.
    int64_t version = 0;
};

class TargetDirectory
{
public:
    explicit TargetDirectory(const Clock &runtimeClock)
        : clock(runtimeClock)
    {
    }

    // Replaces what is registered. `storeBackSince` is when the store was reached again after an outage (zero: no
    // outage is known); `storeReachable` is false while it is out of reach.
    void apply(const std::vector<Registration> &registrations, bool storeReachable, Time storeBackSince);

    // Sets the zones that get no work.
    void setEvacuated(std::set<std::string> zones);

    // Cold time of each service, from the configuration.
    void setColdDurations(std::map<std::string, Duration> durations);

    // Takes a weight version that a target or the rollout reported, before its registration shows it.
    void noteVersion(const std::string &id, const std::string &model, int64_t version);

    // Returns the targets of `service` that may get work now, with their version of `model` (may be empty).
    std::vector<TargetView> usable(const std::string &service, const std::string &model) const;

    // Returns all live targets of a service, draining and avoided ones included.
    std::vector<TargetView> all(const std::string &service, const std::string &model) const;

    // Returns every live target of every service.
    std::vector<TargetPointer> everything() const;

    // Returns the target `id`, or nullptr.
    TargetPointer find(const std::string &id) const;

    // Returns true if `target` may get new work at this moment. Asked again right before a request is sent.
    bool mayReceive(const TargetState &target) const;

    // Records that a target could not be reached or broke its connection: it may have restarted and be cold.
    void noteUnreachable(TargetState &target);

    size_t size() const;

private:
    bool mayReceiveLocked(const TargetState &target) const;
    void update(TargetState &state, const Registration &registration, Time now);

    const Clock &clock;
    mutable std::mutex mutex;
    std::map<std::string, TargetPointer> targets;
    // When a registration was first seen to be missing.
    std::map<std::string, Time> missingSince;
    std::set<std::string> evacuated;
    std::map<std::string, Duration> coldDurations;
    bool populated = false;
};

// Folds one outcome into a moving average of failures in thousandths.
void noteOutcome(TargetState &target, bool failedRun);

// Folds one response time into the moving average.
void noteResponseTime(TargetState &target, Duration time);

} // namespace pimentosail
