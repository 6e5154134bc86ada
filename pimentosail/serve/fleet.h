// The platform's hosts as this entry host knows them: model engines, plain services and stores, with the zones and
// hosts that operators took out. A snapshot is immutable; `FleetBoard` hands out the newest.
//
//     std::shared_ptr<const Fleet> fleet = board.current();
//     const FleetHost *home = fleet->homeOf("dispatcher", promptKey);
//
// `FleetBoard` is thread-safe.
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
    Engine,
    Service,
    Store,
    Entry,
};

// One host of the platform's host list.
struct FleetHost
{
    std::string name;
    HostKind kind = HostKind::Engine;
    std::string pool;
    std::string zone;
    std::string address;
    TargetAvailability availability = TargetAvailability::Live;
    // Entry host that owns its admission; set for engines and stores.
    std::string owner;
};

struct Fleet
{
    std::vector<FleetHost> hosts;

    // Returns the live engine of `pool` on which a prompt is placed when nothing else is known, or null.
    const FleetHost *homeOf(const std::string &pool, uint64_t promptKey) const;

    // Returns the live engines of `pool`, best home for the prompt first.
    std::vector<const FleetHost *> homesOf(const std::string &pool, uint64_t promptKey) const;

    // Returns the live hosts of a service pool.
    std::vector<const FleetHost *> servicesOf(const std::string &pool) const;

    // Returns the host called `name`, or null.
    const FleetHost *find(const std::string &name) const;
};

// Parses the platform's host list: {"hosts":[{name,kind,pool,zone,address,state}]}. Throws `Failure` (BadRequest).
std::vector<FleetHost> parseHostList(const std::string &text);

// Marks the hosts that the configuration takes out as leaving.
void applyOutages(std::vector<FleetHost> &hosts, const Configuration &configuration);

class FleetBoard
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
