// What this host believes of the deployment: the configuration in force, the wanted weight versions, the other hosts
// and the targets that take orders. Written by the mirror's listener, read by request threads.
//
// Thread-safe. Nothing here goes back to an older version within a process.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/directory/relays.h"
#include "pimentosail/routing/servingconfiguration.h"

namespace pimentosail
{

// The version that a model's targets should have.
struct WantedVersion
{
    int64_t version = 0;
    // When this host learnt of it.
    Time since{};
};

// The latest announcement of orders to targets.
struct RolloutNotice
{
    int64_t fence = 0;
    Time at{};
    // This host saw it being written, and did not find it at its start.
    bool isSeen = false;
};

class EntryState
{
public:
    // Takes a configuration if it is newer than the one in force. Returns true if it is.
    bool offerServing(ServingConfigurationPointer serving, Time now)
    {
        const std::lock_guard lock(this->mutex);
        if (this->currentServing && serving->all().version <= this->currentServing->all().version) {
            return false;
        }
        this->currentServing = std::move(serving);
        this->servingAt = now;
        return true;
    }

    ServingConfigurationPointer serving() const
    {
        const std::lock_guard lock(this->mutex);
        return this->currentServing;
    }

    // Returns when the configuration in force was taken.
    Time servingSince() const
    {
        const std::lock_guard lock(this->mutex);
        return this->servingAt;
    }

    // Takes a wanted version and when it was named; an earlier time replaces a later one. Returns true if the version
    // is new to this host.
    bool offerVersion(const std::string &model, int64_t version, Time since)
    {
        const std::lock_guard lock(this->mutex);
        const auto [entry, isNew] = this->versions[model].emplace(version, since);
        entry->second = std::min(entry->second, since);
        return isNew;
    }

    // Returns the newest wanted version of `model`, or version 0.
    WantedVersion wanted(const std::string &model) const
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->versions.find(model);
        return found == this->versions.end() ? WantedVersion{} : WantedVersion{found->second.rbegin()->first, found->second.rbegin()->second};
    }

    // Returns the oldest version on which work may begin: the newest that was named at least `limit` ago.
    int64_t oldestAllowed(const std::string &model, Time now, Duration limit) const
    {
        const std::lock_guard lock(this->mutex);
        int64_t oldest = 0;
        const auto found = this->versions.find(model);
        if (found != this->versions.end()) {
            for (const auto &[version, since] : found->second) {
                oldest = since + limit <= now ? version : oldest;
            }
        }
        return oldest;
    }

    // Returns the newest wanted version of every model.
    std::map<std::string, WantedVersion> allWanted() const
    {
        const std::lock_guard lock(this->mutex);
        std::map<std::string, WantedVersion> result;
        for (const auto &[model, named] : this->versions) {
            result[model] = {named.rbegin()->first, named.rbegin()->second};
        }
        return result;
    }

    // Records that the holder with `fence` announced orders; `at` is on the clock that counts suspension.
    void noteRollout(int64_t fence, Time at, bool isSeen)
    {
        const std::lock_guard lock(this->mutex);
        this->announced = {fence, at, isSeen};
    }

    RolloutNotice rollout() const
    {
        const std::lock_guard lock(this->mutex);
        return this->announced;
    }

    void setHosts(std::vector<HostEntry> entries, Time now)
    {
        const std::lock_guard lock(this->mutex);
        // Hosts that vanished may still send for a while, so shares shrink at once and grow late.
        if (entries.size() >= this->sharingHosts || now >= this->shrinkAt) {
            this->sharingHosts = entries.size();
            this->shrinkAt = now + ShareHold;
        }
        this->hostEntries = std::move(entries);
    }

    std::vector<HostEntry> hosts() const
    {
        const std::lock_guard lock(this->mutex);
        return this->hostEntries;
    }

    // Sets who reads shared state at its source.
    void setRelayPlan(RelayPlan plan)
    {
        const std::lock_guard lock(this->mutex);
        this->relayPlan = std::move(plan);
    }

    // Returns true if this host reads shared state at its source.
    bool readsItself() const
    {
        const std::lock_guard lock(this->mutex);
        return this->relayPlan.readsItself;
    }

    std::vector<HostEntry> relays() const
    {
        const std::lock_guard lock(this->mutex);
        return this->relayPlan.relays;
    }

    // Returns the relay to ask now, or nothing.
    std::optional<HostEntry> relay() const
    {
        const std::lock_guard lock(this->mutex);
        if (this->relayPlan.relaysByPreference.empty()) {
            return std::nullopt;
        }
        return this->relayPlan.relaysByPreference[this->relayTurn % this->relayPlan.relaysByPreference.size()];
    }

    // Records that a relay did not answer or is out of date: the next in order is asked.
    void skipRelay(const std::string &name)
    {
        const std::lock_guard lock(this->mutex);
        const std::vector<HostEntry> &order = this->relayPlan.relaysByPreference;
        if (!order.empty() && order[this->relayTurn % order.size()].name == name) {
            ++this->relayTurn;
        }
    }

    // Returns the number of hosts by which shared limits are divided.
    size_t sharing() const
    {
        const std::lock_guard lock(this->mutex);
        return std::max(this->sharingHosts, std::max(MinSharing, this->hostEntries.size()));
    }

    // The process is shutting down: answers close their connections.
    std::atomic<bool> isDraining{false};
    // No further request is taken: the balancer has had time to notice.
    std::atomic<bool> isClosing{false};

private:
    // A vanished host's lease has ended, and so has its work, after this time.
    static constexpr Duration ShareHold = std::chrono::seconds(5);
    // Limits are shared by at least so many while the other hosts are not known yet.
    static constexpr size_t MinSharing = 3;

    mutable std::mutex mutex;
    ServingConfigurationPointer currentServing;
    Time servingAt{};
    // When each version of a model was named.
    std::map<std::string, std::map<int64_t, Time>> versions;
    RolloutNotice announced;
    std::vector<HostEntry> hostEntries;
    RelayPlan relayPlan;
    size_t relayTurn = 0;
    size_t sharingHosts = 0;
    Time shrinkAt{};
};

} // namespace pimentosail
