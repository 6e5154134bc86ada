// Decides the course of a delivery: how much the new version gets, which of its targets, when all requests are switched over, when it is completed or
// rolled back. Only the decider calls this; all other hosts obey the state.
//
//     DeliveryStep step = planDelivery({.previous = state, .order = order, .targets = targets, .evidence = evidence, .elapsed = elapsed}, settings);
//     if (step.mustWrite) { write step.state, on condition of the leadership }
//
// The functions are pure: the same input gives the same result. They are safe to call from any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pimentosail/delivery/deliveryorder.h"
#include "pimentosail/delivery/deliverystate.h"
#include "pimentosail/delivery/evidence.h"

namespace pimentosail
{

// What operators allow.
struct DeliverySettings
{
    // Largest share of the service's requests between the order and its deadline that a bad version may get.
    double exposureShare = 0.1;
    // Requests that a bad version may get beside that share.
    double exposureSlack = 0;
};

// A registered target of the service.
struct DeliveryTarget
{
    std::string id;
    std::string version;
    // The target gets no new requests: it drains, leaves or is removed.
    bool isLeaving = false;
    // Requests of all hosts in flight there.
    int64_t runs = 0;
};

struct DeliveryInput
{
    // The state of the service that was last written or read, of this order or of an earlier one.
    std::optional<DeliveryState> previous;
    // The valid order in the store.
    std::optional<DeliveryOrder> order;
    // The store came back from an older copy a short time ago, and may lack the order. Nothing is concluded from its absence then.
    bool mayLackOrder = false;
    std::vector<DeliveryTarget> targets;
    Evidence evidence;
    // Time since `order`, see `elapsedSinceOrder`.
    Duration elapsed{};
};

struct DeliveryStep
{
    // The state from now on; nothing if there is none, or if the state is to be removed from the store.
    std::optional<DeliveryState> state;
    // The store's state is to be replaced by `state` (or removed), since it differs in more than `elapsed`, or `elapsed` there is out of date.
    bool mustWrite = false;
    // The phase or the order changed: to be logged, and the operators' status to be written.
    bool isPhaseChange = false;
};

// Returns the time for which the new version may get all requests before the delivery is completed or rolled back.
Duration switchTime(Duration duration, const DeliverySettings &settings);

// Returns the time after the order at which the switch begins.
Duration switchBegin(Duration duration, const DeliverySettings &settings);

// Returns the share of the requests that the new version gets while it is watched, if the number of its targets does not limit it. With few requests it
// is larger by half of `exposureSlack`, so that there are answers to judge; `requestsPerSecond` is the rate of the service, 0 if it is not known.
double watchShare(Duration duration, const DeliverySettings &settings, double requestsPerSecond = 0);

// Returns how many of `newTargets` targets share `share` of the requests, so that each has about the load that it would have with all of them.
size_t chosenTargetCount(double share, size_t newTargets);

// Returns the next state.
DeliveryStep planDelivery(const DeliveryInput &input, const DeliverySettings &settings);

// Returns the state for an order that is not carried out because of `reason`, and ends a delivery that is in progress.
DeliveryStep rejectDelivery(const DeliveryInput &input, const DeliveryOrder &order, const std::string &reason);

} // namespace pimentosail
