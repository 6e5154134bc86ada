// Moves cache between engines and stores. The owner of a store's role schedules both links of the store, decides what
// the store keeps, and gives every order; other hosts ask it.
//
// A copy's manifest is published after its last piece is whole. A reader pins the manifest, checks its owner and
// weight version, and checks the generation again after the last piece.
//
//     TransferDuty transfers(context parts...);
//     transfers.exportCopy(command);                 // queued, in the background
//     transfers.importCopy(dispatch, info, spec);    // blocks until the target holds the pieces, or gives up
//
// Thread-safe.
#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

#include <json/value.h>

#include "pimentosail/base/boundedring.h"
#include "pimentosail/base/duty.h"
#include "pimentosail/decision/linkscheduler.h"
#include "pimentosail/decision/returnmodel.h"
#include "pimentosail/decision/storecontents.h"
#include "pimentosail/peer/heartbeat.h"
#include "pimentosail/serve/fleet.h"
#include "pimentosail/serve/linkturns.h"
#include "pimentosail/serve/runspec.h"
#include "pimentosail/target/engineclient.h"

namespace pimentosail
{

struct Context;

// An order to move a prompt's cache, as sent to the owner of the store.
struct TransferOrder
{
    bool isExport = false;
    std::string store;
    Tier tier = Tier::Memory;
    std::string engineAddress;
    std::string team;
    uint64_t promptKey = 0;
    uint64_t salt = 0;
    std::vector<uint64_t> pieces;
    int64_t tokens = 0;
    int64_t pieceBytes = 0;
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

    // Queues a background copy; drops it if too many wait.
    void exportCopy(const Export &command);

    // Imports the copy that a decision chose. Returns without an error whatever happens: the engine then computes what
    // it lacks.
    void importCopy(const Dispatch &dispatch, const RequestInfo &info, const RunSpec &spec);

    // Performs an order as the owner of the store. Returns the tokens moved. Throws `Failure`.
    int64_t perform(const TransferOrder &order);

    // Returns the state of the links that this host owns.
    std::vector<LinkSummary> ownLinks();

    // Takes over the present stores and their rates.
    void configure(const std::vector<CacheStoreSettings> &stores);

private:
    struct StoreState;

    void run();
    int64_t send(const TransferOrder &order);
    int64_t performExport(const TransferOrder &order, StoreState &state, const FleetHost &host);
    bool admitCopy(const TransferOrder &order, StoreState &state, const FleetHost &host);
    void publishManifest(const TransferOrder &order, const FleetHost &host);
    double worthOf(const StoredCopy &copy, Time now) const;
    static Duration diskWait(StoreState &state);
    int64_t performImport(const TransferOrder &order, StoreState &state, const FleetHost &host);
    void movePieces(const TransferOrder &order, StoreState &state, const FleetHost &host, size_t first);
    void movePiece(const TransferOrder &order, const FleetHost &host, size_t index);
    void makeRoom(const TransferOrder &order, StoreState &state, const FleetHost &host, StoredCopy copy);
    StoreState &stateOf(const std::string &store);
    void readContents(StoreState &state, const FleetHost &host, int64_t pieceBytes);
    void deleteCopy(const FleetHost &host, uint64_t promptKey);

    Clock &clock;
    Context *context = nullptr;
    std::mutex mutex;
    std::map<std::string, std::unique_ptr<StoreState>> states;
    std::map<std::string, CacheStoreSettings> configured;
    std::mutex returnsMutex;
    ReturnModel returns;
    BoundedRing<Export> waiting{256};
    std::atomic<bool> stopping{false};
    DutyThread thread;
};

} // namespace pimentosail
