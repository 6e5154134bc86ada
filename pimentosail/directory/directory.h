// The directory of the registered targets: their addresses, whether they may receive requests, and the requests of this
// host that are in flight at each.
//
// An adapter passes in the registrations of the platform's key-value store. A target gets no new requests as soon as it
// reports draining. A registration that disappears while the store is unreachable, or soon after, is kept for a short
// time, because a live target registers again within that time.
//
// A store that comes back from an older copy lists targets that have left since. A target that had left gets no requests until it registers
// anew, or until `RewriteTime` after its entry came back.
//
//     TargetDirectory directory(clock);
//     directory.apply(registrations, true, Time(0));
//     std::vector<TargetView> registered = directory.all("chat", "model-a");
//
// Whether something may be sent to a target is decided by `SendGate`, which asks the directory for the target's standing.
//
// Thread-safe. A `TargetState` is shared: its atomic members may be used without a lock, its other variable members are
// guarded by the mutex of the directory.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/kv/storeposition.h"
#include "pimentosail/routing/servingconfiguration.h"

namespace pimentosail
{

// The entry that a target writes about itself to the platform's key-value store.
struct Registration
{
    // Identifies the target's incarnation (one run of its process). Most restarts change it; `startedAt` reveals those that
    // do not.
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    int slots = 0;
    bool isDraining = false;
    // Time for which the target was still cold when it wrote this entry.
    Duration coldRemaining{};
    // Version of the target's software, which is not that of the weights; empty if it states none.
    std::string softwareVersion;
    // Start of the target in Unix ms, which reveals a restart under the same id. 0 if unknown.
    int64_t startedAt = 0;
    // Weight version by model.
    std::map<std::string, int64_t> modelVersions;
    // Store revision at which the entry was written, 0 if unknown, and its era.
    int64_t revision = 0;
    int64_t era = 0;

    StorePosition position() const
    {
        return {this->era, this->revision};
    }
};

// The state of one incarnation of a target as this host sees it. Request threads update the counters.
struct TargetState
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    // Empty if the target states none.
    std::string softwareVersion;
    int slots = 0;
    int64_t startedAt = 0;

    // Requests of this host that are in flight at the target, and their prompt tokens that are not prefilled yet.
    std::atomic<int> inFlight{0};
    std::atomic<int64_t> pendingTokens{0};
    // The same tokens of late requests, which are expected to miss the target latency of their route and run at a lower
    // priority than all others; not part of `pendingTokens`.
    std::atomic<int64_t> lateTokens{0};
    // Prompt and answer tokens of all requests in flight, as a measure of the cache memory that they occupy.
    std::atomic<int64_t> heldTokens{0};
    // No request is sent before this time (us), because the target refused one, could not be reached or loads weights.
    std::atomic<int64_t> avoidUntil{0};
    // The target counts as cold until this time (us).
    std::atomic<int64_t> coldUntil{0};
    // The last interval in which this host sent prompts to the target under mixed load (see `windowKey`), and their number.
    std::atomic<uint64_t> window{0};
    std::atomic<int> windowSends{0};
    // Consecutive connection failures.
    std::atomic<int> connectFailures{0};
    // Moving average of the share of failed attempts, in thousandths.
    std::atomic<int> failurePermille{0};
    // Moving average of the time from sending to the first event or answer, in us. 0 before the first.
    std::atomic<int64_t> responseTime{0};
    // Time at which the target last sent a first event or an answer to this host (us).
    std::atomic<int64_t> lastResponse{0};

    // Guarded by the directory's mutex.
    bool draining = false;
    bool removed = false;
    std::map<std::string, int64_t> modelVersions;
    // Position of the last applied registration.
    StorePosition position;
};
using TargetPointer = std::shared_ptr<TargetState>;

// A target and the weight version that it serves.
struct TargetView
{
    TargetPointer target;
    // Weight version of the model asked for; 0 if the target does not serve it.
    int64_t version = 0;
};

// What the platform's store says about a target at this moment.
struct TargetStanding
{
    // The target has left, or has restarted as another incarnation.
    bool isRemoved = false;
    bool isDraining = false;
    // Operators have taken the target's zone out of service.
    bool isEvacuated = false;
};

class TargetDirectory
{
public:
    explicit TargetDirectory(const Clock &runtimeClock)
        : clock(runtimeClock)
    {
    }

    // Replaces the set of registrations. `storeReachable` is false while the store is unreachable. `storeRecoveredAt` is
    // the time at which the store became reachable again after the last outage, or zero if there was none. `storeEra` is the era
    // of the registrations.
    void apply(const std::vector<Registration> &registrations, bool storeReachable, Time storeRecoveredAt, int64_t storeEra = 0);

    // Sets the availability zones whose targets get no requests.
    void setEvacuated(std::set<std::string> zones);

    // Sets how long a started target of each service counts as cold, by service name.
    void setColdDurations(std::map<std::string, Duration> durations);

    // Records a weight version that a target or the rollout leader reported, which the registration may not show yet.
    void recordVersion(const std::string &id, const std::string &model, int64_t version);

    // Returns all registered targets of `service`, including those that drain or are in backoff, with their versions of `model`.
    // `model` may be empty.
    std::vector<TargetView> all(const std::string &service, const std::string &model) const;

    // Returns the registered targets of all services.
    std::vector<TargetPointer> allTargets() const;

    // Returns the target `id`, or nullptr.
    TargetPointer find(const std::string &id) const;

    TargetStanding standing(const TargetState &target) const;

    // Records that `target` could not be reached or closed its connection. It is put in backoff and afterwards counts as
    // cold, since it may have restarted.
    void recordUnreachable(TargetState &target);

    size_t size() const;

private:
    // An incarnation that has left.
    struct Departure
    {
        std::string address;
        // Era of the store when its entry was gone.
        int64_t era = 0;
        Time at{};
        // Position of its entry that the first listing of a restored store has, and until when that entry is not believed.
        std::optional<StorePosition> listedAt;
        Time doubtUntil{};
    };

    void update(TargetState &state, const Registration &registration, Time now);
    void recordDeparture(const TargetState &state, Time now, int64_t era);
    // Finds out which of the targets that have left a restored store lists, from its first listing.
    void enterEra(const std::vector<Registration> &registrations, Time now, int64_t storeEra);
    // Returns true if the entry is one that a restored store still has of a target that had left.
    bool isListedByCopy(const Registration &registration, Time now);

    const Clock &clock;
    mutable std::mutex mutex;
    std::map<std::string, TargetPointer> targets;
    // Time at which a registration was first found missing, by target id.
    std::map<std::string, Time> missingSince;
    // Incarnations that left lately, by target id and start.
    std::map<std::pair<std::string, int64_t>, Departure> departures;
    // Era of the last registrations.
    int64_t era = 0;
    std::set<std::string> evacuated;
    std::map<std::string, Duration> coldDurations;
    // A registration has been applied. Targets of the first set were there before this host and are not taken as cold.
    bool hasAppliedRegistrations = false;
};

// Adds the outcome of an attempt to the moving average of failures.
void recordOutcome(TargetState &target, bool failedRun);

// Adds a response time to the moving average.
void recordResponseTime(TargetState &target, Duration time);

} // namespace pimentosail
