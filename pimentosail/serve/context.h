// References to the components of the process that requests use. All of them live as long as the process and are
// thread-safe.
#pragma once

#include "pimentosail/config/settings.h"
#include "pimentosail/idempotency/idempotencyrecords.h"
#include "pimentosail/metrics/metrics.h"
#include "pimentosail/net/httpclient.h"
#include "pimentosail/peer/peerclient.h"
#include "pimentosail/serve/allowanceduty.h"
#include "pimentosail/serve/configurationduty.h"
#include "pimentosail/serve/decisionduty.h"
#include "pimentosail/serve/fleet.h"
#include "pimentosail/serve/membershipduty.h"
#include "pimentosail/serve/retrybudget.h"
#include "pimentosail/serve/suspects.h"
#include "pimentosail/serve/transferduty.h"
#include "pimentosail/target/engineclient.h"

namespace pimentosail
{

struct Context
{
    Clock &clock;
    const Settings &settings;
    HttpClient &http;
    PeerClient &peers;
    EngineClient &engines;
    MembershipDuty &membership;
    ConfigurationDuty &configuration;
    DecisionDuty &decisions;
    AllowanceDuty &allowances;
    IdempotencyRecords &records;
    TransferDuty &transfers;
    FleetRegistry &fleet;
    SuspectTable &suspects;
    Metrics &metrics;
    RetryBudget &retries;
};

// Returns the membership role whose owner admits requests to `target`.
inline std::string targetRole(const std::string &target)
{
    return "target/" + target;
}

// Returns the membership role whose owner schedules the links of the cache store `store`.
inline std::string storeRole(const std::string &store)
{
    return "store/" + store;
}

} // namespace pimentosail
