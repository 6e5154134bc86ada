// The operators' order to deliver a new version of a service: to shift the service's traffic to the targets that run this version.
//
//     Result<DeliveryOrder> order = DeliveryOrder::make("chat", "v2", 12.0, item.position());
//
// A value type.
#pragma once

#include <string>

#include "pimentosail/base/clock.h"
#include "pimentosail/base/error.h"
#include "pimentosail/kv/storeposition.h"

namespace pimentosail
{

struct DeliveryOrder
{
    std::string service;
    // Version of the target's software to which the traffic is shifted.
    std::string version;
    // Time from the order to its deadline.
    Duration duration{};
    // Where the order was written; tells it apart from earlier and later orders for the same service.
    StorePosition position;

    // Longest accepted duration. Longer ones are taken for a mistake in the unit.
    static constexpr Duration MaxDuration = std::chrono::hours(24);
    // Longest accepted name of a service or version in bytes. Each state and report repeats the names.
    static constexpr size_t MaxNameLength = 256;

    // Returns the order, or an `InvalidConfiguration` error whose message begins with the name of the faulty field: `service`, `version` or
    // `duration`.
    static Result<DeliveryOrder> make(std::string service, std::string version, double durationSeconds, const StorePosition &position);

    friend bool operator==(const DeliveryOrder &, const DeliveryOrder &) = default;
};

} // namespace pimentosail
