// What this host believes of the deployment: the configuration in force, the wanted weight versions, the other hosts
// and the targets that take orders. Written by the mirror's listener, read by request threads.
//
// Thread-safe. Nothing here goes back to an older version within a process.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/routing/serving.h"

namespace pimentosail
{

// The version that a model's targets should have.
struct WantedVersion
{
    int64_t version = 0;
    // When this host learnt of it.
    Time since{};
};

// Another entry host.
struct HostEntry
{
    std::string name;
    // Address for calls between hosts.
    std::string address;
    std::string zone;
};

class EntryState
{
public:
    // Takes a configuration if it is newer than the one in force. Returns true if it is.
    bool offerServing(ServingPointer serving, Time now)
    {
        const std::lock_guard lock(this->mutex);
        if (this->currentServing && serving->all().version <= this->currentServing->all().version) {
            return false;
        }
        this->currentServing = std::move(serving);
        this->servingAt = now;
        return true;
    }

    ServingPointer serving() const
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

    // Takes a wanted version if it is newer. Returns true if it is.
    bool offerVersion(const std::string &model, int64_t version, Time now)
    {
        const std::lock_guard lock(this->mutex);
        WantedVersion &wanted = this->versions[model];
        if (version <= wanted.version) {
            return false;
        }
        wanted = {version, now};
        return true;
    }

    WantedVersion wanted(const std::string &model) const
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->versions.find(model);
        return found == this->versions.end() ? WantedVersion{} : found->second;
    }

    std::map<std::string, WantedVersion> allWanted() const
    {
        const std::lock_guard lock(this->mutex);
        return this->versions;
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

    // Returns the number of hosts by which shared limits are divided.
    size_t sharing() const
    {
        const std::lock_guard lock(this->mutex);
        return std::max(this->sharingHosts, std::max(MinSharing, this->hostEntries.size()));
    }

    std::atomic<bool> isDraining{false};

private:
    // A vanished host's lease has ended, and so has its work, after this time.
    static constexpr Duration ShareHold = std::chrono::seconds(5);
    // Limits are shared by at least so many while the other hosts are not known yet.
    static constexpr size_t MinSharing = 3;

    mutable std::mutex mutex;
    ServingPointer currentServing;
    Time servingAt{};
    std::map<std::string, WantedVersion> versions;
    std::vector<HostEntry> hostEntries;
    size_t sharingHosts = 0;
    Time shrinkAt{};
};

} // namespace pimentosail
