// The hosts of the platform's host list: model engines, plain services, cache stores and entry hosts. Hosts that
// operators took out of service, alone or with their zone, are marked as leaving. A published `Fleet` is an immutable
// snapshot; `FleetRegistry` returns the newest one.
//
//     std::shared_ptr<const Fleet> fleet = registry.current();
//     const FleetHost *target = fleet->preferredTarget("dispatcher", promptKey);
//
// `FleetRegistry` is thread-safe.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "pimentosail/config/configuration.h"
#include "pimentosail/decision/types.h"

namespace pimentosail
{

enum class HostKind {
    // A model engine. The decision core calls it a target.
    Engine,
    // A host of a plain service.
    Service,
    // A cache store.
    Store,
    Entry,
};

// One host of the platform's host list.
struct FleetHost
{
    std::string name;
    HostKind kind = HostKind::Engine;
    // Hosts of one pool serve the same model or the same service.
    std::string pool;
    std::string zone;
    std::string address;
    TargetAvailability availability = TargetAvailability::Live;
    // Entry host that owns the role of this host (`targetRole`, `storeRole`); set for engines and cache stores.
    std::string owner;
};

// All hosts of the host list at one moment.
struct Fleet
{
    std::vector<FleetHost> hosts;

    // Returns the live engine of `pool` that is preferred for a prompt in the absence of other information, or null if the
    // pool has no live engine.
    const FleetHost *preferredTarget(const std::string &pool, uint64_t promptKey) const;

    // Returns the live engines of `pool`, the preferred one for the prompt first. The order depends only on the names of
    // these engines and on the prompt, so that all entry hosts agree on it.
    std::vector<const FleetHost *> targetsByPreference(const std::string &pool, uint64_t promptKey) const;

    // Returns the live hosts of a service pool.
    std::vector<const FleetHost *> servicesOf(const std::string &pool) const;

    // Returns the host called `name`, or null.
    const FleetHost *find(const std::string &name) const;
};

// Parses the platform's host list: {"hosts":[{name,kind,pool,zone,address,state}]}. Throws `Failure` (BadRequest).
std::vector<FleetHost> parseHostList(const std::string &text);

// Marks the live hosts that the configuration takes out, by name or by zone, as leaving.
void applyOutages(std::vector<FleetHost> &hosts, const Configuration &configuration);

// Gives all threads the newest snapshot of the fleet.
class FleetRegistry
{
public:
    std::shared_ptr<const Fleet> current() const
    {
        const std::lock_guard lock(this->mutex);
        return this->fleet;
    }
    void publish(Fleet next)
    {
        auto pointer = std::make_shared<const Fleet>(std::move(next));
        const std::lock_guard lock(this->mutex);
        this->fleet = std::move(pointer);
    }

private:
    mutable std::mutex mutex;
    std::shared_ptr<const Fleet> fleet = std::make_shared<const Fleet>();
};

} // namespace pimentosail
