// The state of a delivery, which the decider writes to the platform's key-value store and all hosts obey.
//
//     std::string value = encodeDeliveryState(state);
//     Result<DeliveryState> state = decodeDeliveryState(value);
//
// The functions are pure and thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentosail/base/error.h"
#include "pimentosail/delivery/deliveryorder.h"

namespace pimentosail
{

enum class DeliveryPhase {
    // No target runs the new version yet. All requests go to the old versions.
    Waiting,
    // A share of the requests goes to a few new targets, whose answers are compared with those of the old ones.
    Watching,
    // All new requests go to new targets. Requests that run on old targets finish there.
    Switching,
    // Final: all requests go to new targets, and the old ones stop.
    Completed,
    // Final: all requests go to old targets, and the new ones stop.
    RolledBack,
};

// Returns the name of the phase, as it stands in the store, logs and metrics.
std::string_view deliveryPhaseName(DeliveryPhase phase);

// Returns the phase called `name`, or nothing.
std::optional<DeliveryPhase> deliveryPhaseFromName(std::string_view name);

// Returns true for `Completed` and `RolledBack`.
bool isFinal(DeliveryPhase phase);

// What the decider had seen when it wrote the state, for operators.
struct EvidenceSummary
{
    int64_t newAnswers = 0;
    int64_t newFailures = 0;
    int64_t newSlow = 0;
    int64_t oldAnswers = 0;
    int64_t oldFailures = 0;
    int64_t oldSlow = 0;

    friend bool operator==(const EvidenceSummary &, const EvidenceSummary &) = default;
};

struct DeliveryState
{
    DeliveryOrder order;
    DeliveryPhase phase = DeliveryPhase::Waiting;
    // Share of the service's requests that may go to the new version while it is watched.
    double share = 0;
    // Ids of the new targets that get this share.
    std::vector<std::string> chosenTargets;
    // The other versions whose targets were registered, sorted.
    std::vector<std::string> oldVersions;
    // Versions that were rolled back before this order and whose targets are registered still, sorted. They get no requests.
    std::vector<std::string> withdrawnVersions;
    // Time since the order when this state was written, and when its phase began.
    Duration elapsed{};
    Duration phaseBegan{};
    // Requests in flight on old targets when this state was written.
    int64_t oldRuns = 0;
    // The order was not carried out because it is faulty.
    bool isRejected = false;
    // Why the phase is what it is.
    std::string reason;
    EvidenceSummary evidence;

    friend bool operator==(const DeliveryState &, const DeliveryState &) = default;
};

// Returns the time since the order on a host that received `state` `sinceReceived` ago and, if it knows, the order `sinceOrder` ago. Hosts
// share no clock; the longer of the two times is taken, so that the deadline is rather met early than late.
Duration elapsedSinceOrder(const DeliveryState &state, Duration sinceReceived, std::optional<Duration> sinceOrder);

// Returns `state` as JSON.
std::string encodeDeliveryState(const DeliveryState &state);

// Parses the JSON of a state. Returns a `BadRequest` error that names the field if it is malformed.
Result<DeliveryState> decodeDeliveryState(std::string_view value);

} // namespace pimentosail
