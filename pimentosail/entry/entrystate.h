// The state of the deployment as far as this host has received it: the configuration in force, the wanted weight versions,
// the latest rollout announcement, the other hosts and the relays. The listener of the key-value store's mirror updates
// it; request threads and duties read it.
//
//     state.updateServing(configuration, clock.now());
//     const int64_t version = state.wantedVersion("huvo11a").version;
//
// Thread-safe. Configuration and wanted versions never go back to an older version within a process.
#pragma once

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/base/interrupt.h"
#include "pimentosail/directory/relays.h"
#include "pimentosail/kv/prefixstore.h"
#include "pimentosail/routing/servingconfiguration.h"

namespace pimentosail
{

// An earliest time that is not known. Limits that count from it are over.
inline constexpr Time UnknownPast = Duration::min() / 2;

// When a version became the wanted one: between these two times of `Clock::nowWithSuspend`, since callers count time in
// which this host is suspended. Work on older weights stops by the earliest; what cannot be undone waits for the latest.
struct TimeBounds
{
    Time earliest = UnknownPast;
    Time latest{};
};

// What this host knows of when a version became the wanted one.
struct VersionTime
{
    // From when this host heard of the version.
    TimeBounds heard;
    // From the age marks in the key-value store (`rollout/versionage`). They may be removed late, so that the version seems younger than it is.
    TimeBounds marked{UnknownPast, Time::max()};

    // Returns false if the marks have been removed so late that the times contradict each other.
    bool isConsistent() const
    {
        return this->marked.earliest <= std::min(this->heard.latest, this->marked.latest);
    }

    // Returns the times that are certain: marks that contradict them tell only that the version is at least as old.
    TimeBounds bounds() const
    {
        const Time latest = std::min(this->heard.latest, this->marked.latest);
        return {this->isConsistent() ? std::max(this->heard.earliest, this->marked.earliest) : std::min(this->heard.earliest, latest), latest};
    }
};

// The weight version that the targets of a model should have.
struct WantedVersion
{
    int64_t version = 0;
    TimeBounds setTime;
};

// The latest rollout announcement that this host received: the rollout leader publishes one before it sends load orders.
struct LatestRollout
{
    // Fencing token of the leader that wrote it; 0 if there was no announcement.
    int64_t fencingToken = 0;
    // When this host received it.
    Time at{};
    // The announcement was written while this host was running; it was not read at this host's start.
    bool isReceivedLive = false;
    // Position of its write.
    StorePosition position;
    // The targets that it names; empty if it is unreadable or of a former version of the program.
    std::optional<std::vector<std::string>> ordered;
    std::map<std::string, int64_t> loading;
    // The leader gave up the leadership with it.
    bool isHandOver = false;
};

class EntryState
{
public:
    // Puts a configuration in force if it is newer than the one in force. Returns true if it is.
    bool updateServing(ServingConfigurationPointer serving, Time now)
    {
        const std::lock_guard lock(this->mutex);
        if (this->servingInForce && serving->all().version <= this->servingInForce->all().version) {
            return false;
        }
        this->servingInForce = std::move(serving);
        this->servingAt = now;
        return true;
    }

    ServingConfigurationPointer serving() const
    {
        const std::lock_guard lock(this->mutex);
        return this->servingInForce;
    }

    // Returns when the configuration in force was put in force on this host.
    Time servingSince() const
    {
        const std::lock_guard lock(this->mutex);
        return this->servingAt;
    }

    // Records a wanted version when this host first sees it. Returns true if the version was not recorded before.
    bool addWantedVersion(const std::string &model, int64_t version, const TimeBounds &setTime)
    {
        const std::lock_guard lock(this->mutex);
        return this->versions[model].emplace(version, VersionTime{setTime, {UnknownPast, Time::max()}}).second;
    }

    // Records when a version was set by its age marks, in place of an earlier reading. Returns false if that contradicts what is known.
    bool recordMarkedTime(const std::string &model, int64_t version, const TimeBounds &setTime)
    {
        const std::lock_guard lock(this->mutex);
        VersionTime &known = this->versions[model].emplace(version, VersionTime{{UnknownPast, setTime.latest}, {UnknownPast, Time::max()}}).first->second;
        known.marked = {setTime.earliest, std::min(known.marked.latest, setTime.latest)};
        return known.isConsistent();
    }

    // Sets the versions of which the key-value store has age marks, by model.
    void setMarkedVersions(std::map<std::string, std::set<int64_t>> marked)
    {
        const std::lock_guard lock(this->mutex);
        this->markedVersions = std::move(marked);
    }

    // Returns when this host heard of a version, or nothing if it has not.
    std::optional<TimeBounds> heardTime(const std::string &model, int64_t version) const
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->versions.find(model);
        if (found == this->versions.end() || !found->second.contains(version)) {
            return std::nullopt;
        }
        return found->second.at(version).heard;
    }

    // Returns when the version that follows `version` of `model` was set, as far as this host knows the versions. `version` must
    // not be the newest wanted one.
    TimeBounds setTimeAfter(const std::string &model, int64_t version) const
    {
        const std::lock_guard lock(this->mutex);
        return this->versions.at(model).upper_bound(version)->second.bounds();
    }

    // Returns the newest wanted version of `model`, or version 0 if none is recorded.
    WantedVersion wantedVersion(const std::string &model) const
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->versions.find(model);
        return found == this->versions.end() ? WantedVersion{} : WantedVersion{found->second.rbegin()->first, found->second.rbegin()->second.bounds()};
    }

    // Returns the oldest version on which work may begin: the newest version that may have been wanted for `limit`. `now` is a
    // time of `Clock::nowWithSuspend`.
    int64_t oldestAllowedVersion(const std::string &model, Time now, Duration limit) const
    {
        const std::lock_guard lock(this->mutex);
        return this->newestVersion(model, [now, limit](int64_t /*version*/, const VersionTime &time) { return time.bounds().earliest + limit <= now; });
    }

    // Returns the oldest version on which no host may forbid work yet: the newest version that certainly has been wanted for `limit`, on
    // this host and by its age marks. Other hosts may know its age from the marks alone.
    int64_t oldestPossibleVersion(const std::string &model, Time now, Duration limit) const
    {
        const std::lock_guard lock(this->mutex);
        const auto marked = this->markedVersions.find(model);
        return this->newestVersion(model, [this, now, limit, marked](int64_t version, const VersionTime &time) {
            return time.bounds().latest + limit <= now && (marked == this->markedVersions.end() || !marked->second.contains(version));
        });
    }

    // Returns the newest wanted version of every model.
    std::map<std::string, WantedVersion> allWantedVersions() const
    {
        const std::lock_guard lock(this->mutex);
        std::map<std::string, WantedVersion> result;
        for (const auto &[model, wanted] : this->versions) {
            result[model] = {wanted.rbegin()->first, wanted.rbegin()->second.bounds()};
        }
        return result;
    }

    // Records an announcement of load orders by the rollout leader. `latest.at` is a time of `Clock::nowWithSuspend`, which also advances while
    // the machine is suspended.
    void recordRollout(const LatestRollout &latest)
    {
        const std::lock_guard lock(this->mutex);
        this->lastRollout = latest;
    }

    LatestRollout rollout() const
    {
        const std::lock_guard lock(this->mutex);
        return this->lastRollout;
    }

    void setHosts(std::vector<HostEntry> entries, Time now)
    {
        const std::lock_guard lock(this->mutex);
        // A host that is no longer listed may still send requests for a while. The number of sharing hosts therefore
        // increases at once and decreases only after `ShareHoldTime`, so that the shares together stay within the limit.
        if (entries.size() >= this->sharingHosts) {
            this->sharingHosts = entries.size();
            this->fewerHostsSince.reset();
        } else if (!this->fewerHostsSince) {
            this->fewerHostsSince = now;
        }
        this->hostEntries = std::move(entries);
    }

    // Decreases the number of sharing hosts if fewer have been listed for `ShareHoldTime`. Called about twice a second.
    void updateSharingHosts(Time now)
    {
        const std::lock_guard lock(this->mutex);
        if (this->fewerHostsSince && now >= *this->fewerHostsSince + ShareHoldTime) {
            this->sharingHosts = this->hostEntries.size();
            this->fewerHostsSince.reset();
        }
    }

    std::vector<HostEntry> hosts() const
    {
        const std::lock_guard lock(this->mutex);
        return this->hostEntries;
    }

    size_t hostCount() const
    {
        const std::lock_guard lock(this->mutex);
        return this->hostEntries.size();
    }

    // Sets which hosts are relays and the order in which this host asks them.
    void setRelayPlan(RelayPlan plan)
    {
        const std::lock_guard lock(this->mutex);
        this->relayPlan = std::move(plan);
    }

    // Returns true if this host reads shared state from its source and not through a relay.
    bool readsFromSource() const
    {
        const std::lock_guard lock(this->mutex);
        return this->relayPlan.readsFromSource;
    }

    bool hasRelays() const
    {
        const std::lock_guard lock(this->mutex);
        return !this->relayPlan.relays.empty();
    }

    std::vector<HostEntry> relays() const
    {
        const std::lock_guard lock(this->mutex);
        return this->relayPlan.relays;
    }

    // Returns true if this host watches the key-value store and does not ask other hosts for its changes.
    bool watchesStore() const
    {
        const std::lock_guard lock(this->mutex);
        return this->relayPlan.watchesStore;
    }

    // Returns the host that this host asks for changes of the key-value store now, or nothing if there is none. A follower asks its
    // relay.
    std::optional<HostEntry> storeSource() const
    {
        const std::lock_guard lock(this->mutex);
        const std::vector<HostEntry> &sources = this->relayPlan.storeSources;
        const size_t index = this->relayPlan.readsFromSource ? this->storeSourceIndex : this->relayIndex;
        return sources.empty() ? std::nullopt : std::optional<HostEntry>(sources[index % sources.size()]);
    }

    // Switches to the next store source because `name` did not answer or has lost the store.
    void skipStoreSource(const std::string &name)
    {
        {
            const std::lock_guard lock(this->mutex);
            if (this->relayPlan.readsFromSource) {
                ++this->storeSourceIndex;
                return;
            }
        }
        this->skipRelay(name);
    }

    // Returns the relay that this host asks now, or nothing if there is none.
    std::optional<HostEntry> relay() const
    {
        const std::lock_guard lock(this->mutex);
        if (this->relayPlan.relaysByPreference.empty()) {
            return std::nullopt;
        }
        return this->relayPlan.relaysByPreference[this->relayIndex % this->relayPlan.relaysByPreference.size()];
    }

    // Switches to the next relay because the relay `name` did not answer or is out of date. Does nothing if `name` is not
    // the current relay.
    void skipRelay(const std::string &name)
    {
        const std::lock_guard lock(this->mutex);
        const std::vector<HostEntry> &order = this->relayPlan.relaysByPreference;
        if (!order.empty() && order[this->relayIndex % order.size()].name == name) {
            ++this->relayIndex;
        }
    }

    // Returns the number of hosts among which shared limits are divided.
    size_t sharingHostCount() const
    {
        const std::lock_guard lock(this->mutex);
        return std::max(this->sharingHosts, std::max(MinSharingHosts, this->hostEntries.size()));
    }

    // The process is shutting down; connections of callers are closed after the next answer.
    std::atomic<bool> isDraining{false};
    // New requests are refused, because the load balancer has had time to notice the shutdown.
    std::atomic<bool> isClosing{false};
    // The process is about to exit. Requests that still run are answered with what is known of them.
    Interrupt shutdownEnd;

private:
    // After this time, the lease and all requests of a host that is no longer listed have ended.
    static constexpr Duration ShareHoldTime = std::chrono::seconds(5);
    // Minimum number of hosts among which limits are divided, in case the other hosts are not listed yet.
    static constexpr size_t MinSharingHosts = 3;

    // Returns the newest version of `model` that meets `condition`, or 0 if there is none; for the caller that holds `mutex`.
    template <typename Condition>
    int64_t newestVersion(const std::string &model, const Condition &condition) const
    {
        int64_t newest = 0;
        const auto found = this->versions.find(model);
        if (found != this->versions.end()) {
            for (const auto &[version, time] : found->second) {
                newest = condition(version, time) ? version : newest;
            }
        }
        return newest;
    }

    mutable std::mutex mutex;
    ServingConfigurationPointer servingInForce;
    Time servingAt{};
    // For each model, its wanted versions and when each was set.
    std::map<std::string, std::map<int64_t, VersionTime>> versions;
    std::map<std::string, std::set<int64_t>> markedVersions;
    LatestRollout lastRollout;
    std::vector<HostEntry> hostEntries;
    RelayPlan relayPlan;
    size_t relayIndex = 0;
    size_t storeSourceIndex = 0;
    size_t sharingHosts = 0;
    // Since when fewer hosts are listed than share the limits.
    std::optional<Time> fewerHostsSince;
};

} // namespace pimentosail
