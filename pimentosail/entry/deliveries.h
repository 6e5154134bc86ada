// What this host knows of the deliveries of services' new versions: the operators' orders, the states that the decider has written, and the
// outcomes of all hosts, by which this host stops a bad version without waiting for the decider.
//
//     deliveries.setOrders(orders, isRestoring);          // from the mirror of the store
//     deliveries.setStates(states, isRestoring);
//     deliveries.refresh(mirror.status().lastAnswer);     // with each load report
//     DeliveryView view = deliveries.view("chat");        // for each request, while `isActive`
//
// While the store may lack what it had before it came back from an older copy (`isRestoring`), a known order or state is not given up because the
// store lacks it, and a known state is not replaced by an earlier one of the same order.
//
// Thread-safe.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/delivery/deliverypermission.h"
#include "pimentosail/delivery/evidence.h"
#include "pimentosail/delivery/exposurelimiter.h"
#include "pimentosail/delivery/versionoutcomes.h"
#include "pimentosail/eventlog/eventlog.h"
#include "pimentosail/metrics/metrics.h"

namespace pimentosail
{

// An order as it stands in the store.
struct StatedDelivery
{
    // Members that cannot be read are empty or zero; `service` and `position` are always set.
    DeliveryOrder order;
    // Why the order cannot be carried out, or empty.
    std::string error;
};

// A state as it stands in the store.
struct StoredDeliveryState
{
    DeliveryState state;
    StorePosition position;
};

// What the decider knows of one service.
struct DeliveryKnowledge
{
    std::optional<StatedDelivery> order;
    std::optional<DeliveryState> state;
    // Position of the store's item when `state` was last compared with it; {0, 0} if there is none.
    StorePosition itemPosition;
    // The store's item is not `state`, which is newer.
    bool isRewriteDue = false;
    // The store may lack an order that it had.
    bool mayLackOrder = false;
    Evidence evidence;
    // Time since the order.
    Duration elapsed{};
};

class Deliveries
{
public:
    // If `deliveryIsEnabled` is false, orders and states have no effect.
    Deliveries(const Clock &runtimeClock, EventLog &eventLog, Metrics &hostMetrics, bool deliveryIsEnabled);

    bool isEnabled() const
    {
        return this->enabled;
    }

    // Returns true if there is an order or a state.
    bool isActive() const
    {
        return this->active.load();
    }

    // Returns true while outcomes are counted for an order in progress.
    bool isCounting() const
    {
        return this->counting.load();
    }

    // Replace what the store has at present.
    void setOrders(const std::vector<StatedDelivery> &orders, bool isRestoring);
    void setStates(const std::vector<StoredDeliveryState> &states, bool isRestoring);

    // Judges the outcomes of all hosts. `lastStoreAnswer` is when the store last answered.
    void refresh(Time lastStoreAnswer);

    // Records that a report of another host arrived.
    void recordOtherHost();

    // Returns what decides where requests for `service` may go, or nullptr if there is no delivery. `lastStoreAnswer` is when the store last answered.
    std::shared_ptr<const DeliveryView> view(const std::string &service, Time lastStoreAnswer) const;

    // Services with an order or a state.
    std::vector<std::string> services() const;

    DeliveryKnowledge knowledge(const std::string &service) const;

    VersionOutcomeTable outcomes;
    ExposureLimiter limiter;

private:
    struct Entry
    {
        std::optional<StatedDelivery> order;
        // When this host received the order and the state.
        Time orderAt{};
        std::optional<DeliveryState> state;
        StorePosition itemPosition;
        Time stateAt{};
        bool isRewriteDue = false;
        bool mayLackOrder = false;
        // Version for which `windows` were begun.
        std::string countedVersion;
        std::optional<EvidenceWindows> windows;
        Evidence evidence;
        // Made with each change, since every request asks for one: while this host is connected, and while it is cut off.
        std::shared_ptr<const DeliveryView> connectedView;
        std::shared_ptr<const DeliveryView> isolatedView;
    };

    // The following are called with `mutex` locked.
    // Begins or ends to count outcomes, and sets the share.
    void adapt(const std::string &service, Entry &entry);
    void updateFlags();
    static void updateViews(Entry &entry);
    Duration elapsedOf(const Entry &entry) const;
    void setMetrics(const std::string &service, const Entry &entry);
    bool isIsolated(Time lastStoreAnswer) const;

    const Clock &clock;
    EventLog &log;
    Metrics &metrics;
    const bool enabled;
    mutable std::mutex mutex;
    // By service.
    std::map<std::string, Entry> entries;
    // When a report of another host last arrived.
    std::atomic<int64_t> otherHostAt{0};
    std::atomic<bool> active{false};
    std::atomic<bool> counting{false};
    bool wasIsolated = false;
};

} // namespace pimentosail
