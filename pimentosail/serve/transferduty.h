// Moves KV-cache blocks between engines and cache stores. The host that owns the role of a store schedules both links
// of the store, decides which copies the store keeps, and orders every transfer; other hosts send their orders to it.
//
// The manifest of a copy is published after its last block is complete. A reader pins the manifest, checks that the
// copy is of its team and weight version, and checks after the last block that the generation is still the pinned one.
//
//     TransferDuty transfers(clock);
//     transfers.attach(context);
//     transfers.start();
//     transfers.exportCopy(command);                 // queued, in the background
//     transfers.importCopy(dispatch, info, spec);    // blocks until the blocks are on the target or the import failed
//
// Thread-safe.
#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

#include <json/value.h>

#include "pimentosail/base/boundedqueue.h"
#include "pimentosail/base/duty.h"
#include "pimentosail/decision/linkscheduler.h"
#include "pimentosail/decision/returnmodel.h"
#include "pimentosail/decision/storecontents.h"
#include "pimentosail/peer/heartbeat.h"
#include "pimentosail/serve/fleet.h"
#include "pimentosail/serve/linkqueue.h"
#include "pimentosail/serve/runspec.h"
#include "pimentosail/target/engineclient.h"

namespace pimentosail
{

struct Context;

// An order to move the blocks of a prompt, as sent to the owner of the cache store.
struct TransferOrder
{
    bool isExport = false;
    std::string store;
    Tier tier = Tier::Memory;
    std::string engineAddress;
    std::string team;
    uint64_t promptKey = 0;
    uint64_t salt = 0;
    std::vector<uint64_t> blocks;
    int64_t tokens = 0;
    int64_t blockBytes = 0;
    TransferClass priority = TransferClass::Import;
};

// Parses an order from its JSON-RPC form. Throws `Failure` (BadRequest).
TransferOrder transferOrderFromJson(const Json::Value &value);

class TransferDuty
{
public:
    explicit TransferDuty(Clock &runtimeClock);
    ~TransferDuty();

    // Connects the duty to the process. Call once, before `start`.
    void attach(Context &processContext);

    void start();
    void stop();

    // Queues a background copy. If the queue is full, drops it and reports to the core that nothing was stored.
    void exportCopy(const Export &command);

    // Imports the copy that the core chose for `dispatch`. A failed import is counted and reported to the core but does
    // not fail the request: the engine computes the tokens whose blocks it lacks.
    void importCopy(const Dispatch &dispatch, const RequestInfo &info, const RunSpec &spec);

    // Performs an order as the owner of the cache store. Returns the number of tokens moved. Throws `Failure`.
    int64_t perform(const TransferOrder &order);

    // Returns the state of the links of the cache stores that this host owns.
    std::vector<LinkSummary> ownLinks();

    // Adds the configured cache stores. A store that this host has already used keeps its capacities and link rates.
    void configure(const std::vector<CacheStoreSettings> &stores);

private:
    struct StoreState;

    void run();
    int64_t sendToOwner(const TransferOrder &order);
    int64_t performExport(const TransferOrder &order, StoreState &state, const FleetHost &host);
    bool admitCopy(const TransferOrder &order, StoreState &state, const FleetHost &host);
    void publishManifest(const TransferOrder &order, const FleetHost &host);
    double valueOf(const StoredCopy &copy, Time now) const;
    static Duration diskWait(StoreState &state);
    int64_t performImport(const TransferOrder &order, StoreState &state, const FleetHost &host);
    void moveBlocks(const TransferOrder &order, StoreState &state, const FleetHost &host, size_t first);
    void moveBlock(const TransferOrder &order, const FleetHost &host, size_t index);
    void demoteOrDelete(const TransferOrder &order, StoreState &state, const FleetHost &host, StoredCopy copy);
    StoreState &stateOf(const std::string &store);
    void readContents(StoreState &state, const FleetHost &host, int64_t blockBytes);
    void deleteCopy(const FleetHost &host, uint64_t promptKey);

    Clock &clock;
    Context *context = nullptr;
    std::mutex mutex;
    std::map<std::string, std::unique_ptr<StoreState>> states;
    std::map<std::string, CacheStoreSettings> configuredStores;
    std::mutex returnModelMutex;
    ReturnModel returnModel;
    BoundedQueue<Export> pendingExports{256};
    std::atomic<bool> stopping{false};
    DutyThread thread;
};

} // namespace pimentosail
