// Decides deliveries of services' new versions while this host has the rollout leadership: reads the orders, writes the next state, and tells
// operators the status.
//
//     DeliveryDuty duty(context, store, mirror, rolloutDuty.rolloutLeadership());
//     duty.start();
//     duty.stop();
//
// Each write is conditional on the leadership key and on the state from which it follows, so a host that has lost the leadership or the answer to an
// earlier write writes nothing; the takeover time of load orders is not needed. Failures of the store are counted, and the duty tries again. `start`
// and `stop` are called by one thread. The thread runs only if delivery is enabled.
#pragma once

#include <atomic>
#include <string>
#include <vector>

#include "pimentosail/base/duty.h"
#include "pimentosail/delivery/deliveryplan.h"
#include "pimentosail/entry/context.h"
#include "pimentosail/entry/rolloutleadership.h"

namespace pimentosail
{

class DeliveryDuty
{
public:
    DeliveryDuty(EntryContext &entryContext, PrefixStore platformStore, const StoreMirror &storeMirror, const RolloutLeadership &rolloutLeadership);
    ~DeliveryDuty();

    void start();
    void stop();

private:
    void run();
    void decide(const StoreCondition &leadership);
    void decideService(const std::string &service, const StoreCondition &leadership);
    DeliveryStep nextStep(const std::string &service, const DeliveryKnowledge &known) const;
    std::vector<DeliveryTarget> targetsOf(const std::string &service) const;
    // Returns true if the operators' status does not say `status` yet.
    bool isStatusDue(const std::string &service, const DeliveryStatus &status) const;
    // Returns true if the store has carried out the transaction.
    bool write(const StoreTransaction &transaction, const std::string &service);

    EntryContext &context;
    PrefixStore store;
    const StoreMirror &mirror;
    const RolloutLeadership &leadership;
    const DeliverySettings settings;
    // Position of this host's last write. Nothing is decided before the mirror has it.
    StorePosition writtenAt;
    std::atomic<bool> stopping{false};
    DutyThread thread;
};

} // namespace pimentosail
