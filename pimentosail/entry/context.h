// References to the objects of the entry process that request handlers and duties use. All of them live as long as the
// process and are thread-safe.
#pragma once

#include "pimentosail/directory/loadtable.h"
#include "pimentosail/directory/ratelimits.h"
#include "pimentosail/directory/targetnotices.h"
#include "pimentosail/dispatch/blockquarantine.h"
#include "pimentosail/dispatch/blockshares.h"
#include "pimentosail/dispatch/forecast.h"
#include "pimentosail/dispatch/mixedload.h"
#include "pimentosail/dispatch/quarantine.h"
#include "pimentosail/dispatch/targetspeeds.h"
#include "pimentosail/dispatch/workmix.h"
#include "pimentosail/entry/deliveries.h"
#include "pimentosail/entry/entrysettings.h"
#include "pimentosail/entry/entrystate.h"
#include "pimentosail/entry/messagememory.h"
#include "pimentosail/entry/wire.h"
#include "pimentosail/eventlog/eventlog.h"
#include "pimentosail/kvcache/blockreuse.h"
#include "pimentosail/metrics/metrics.h"
#include "pimentosail/mirror/storemirror.h"
#include "pimentosail/sendgate/sendgate.h"
#include "pimentosail/upstream/pool.h"

namespace pimentosail
{

struct EntryContext
{
    Clock &clock;
    EventLog &log;
    Metrics &metrics;
    const EntrySettings &settings;
    const Wire &wire;
    EntryState &state;
    TargetDirectory &directory;
    LoadTable &loads;
    ConnectionPool &connections;
    RateLimitTable &rateLimits;
    TargetNoticeTable &notices;
    SharedRetryBudget &retryBudget;
    SendGate &gate;
    Quarantine &quarantine;
    BlockQuarantine &blockQuarantine;
    CacheStores &cacheStores;
    BlockReuse &blockReuse;
    FirstTokenForecast &forecast;
    WorkMix &workMix;
    MixedLoad &mixedLoad;
    BlockShares &blockShares;
    TargetSpeeds &targetSpeeds;
    MessageMemory &answerMemory;
    MessageMemory &requestMemory;
    // What callers that read slowly have not taken yet.
    CallerBuffers &callerBuffers;
    Deliveries &deliveries;
    const StoreMirror &mirror;
};

} // namespace pimentosail
