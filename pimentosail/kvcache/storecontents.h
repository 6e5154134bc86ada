// What the cache stores hold, as their change events tell, and where a prompt part belongs.
//
// A part is offered for reading only after the store has reported it whole. A lost event makes this host read a part
// again that a store has; it never makes it read one that is not whole.
//
//     CacheStores stores(clock);
//     stores.setStores(serving->all().stores);
//     stores.apply("jar-1", changes);
//     CachePlan plan = stores.plan(salt, parts, targetZone);
//
// Thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/routing/servingconfiguration.h"

namespace pimentosail
{

// One part of a prompt, in order from its beginning. Prompts that share leading parts share their cache.
struct PromptBlock
{
    std::string id;
    int64_t tokens = 0;
};

// One change at a store.
struct CacheEvent
{
    std::string salt;
    std::string block;
    int64_t tokens = 0;
    bool isRemoval = false;
};

struct CacheEvents
{
    // Changes when the store restarts, and then it is empty.
    int64_t epoch = 0;
    // Number to ask on from.
    int64_t next = 0;
    // Some events are missing.
    bool hasGap = false;
    std::vector<CacheEvent> events;
};

// Where a target reads each part of a prompt from and saves it to; an empty address means nowhere.
struct CachePlan
{
    std::vector<std::string> fetchFrom;
    std::vector<std::string> saveTo;
    int64_t fetchTokens = 0;
    int64_t saveTokens = 0;
    // Name of the store that gives most tokens; empty if none does.
    std::string mainSource;
    // How long the transfer from there is expected to take, the wait for its link included.
    Duration expectedTime{};

    bool hasFetch() const
    {
        return this->fetchTokens > 0;
    }
    bool hasSave() const
    {
        return this->saveTokens > 0;
    }
};

// What is known of one store.
struct CacheStoreStatus
{
    std::string store;
    int64_t epoch = 0;
    bool isReachable = false;
};

// A change at one of several stores. What a store held under another epoch is gone.
struct CacheChange
{
    std::string store;
    int64_t epoch = 0;
    CacheEvent event;
};

// Parts of one salt that a store need not keep.
struct BlocksToFree
{
    std::string storeAddress;
    int64_t epoch = 0;
    std::string salt;
    std::vector<std::string> blocks;
};

// The namespace of the cached parts of a model's weight version, shared by all teams but those that share nothing.
struct CacheSalt
{
    std::string model;
    int64_t version = 0;
    // Empty for all teams that share.
    std::string team;

    std::string text() const;

    // Returns the salt that `text` was made from, or nothing if it is none of ours.
    static std::optional<CacheSalt> parse(const std::string &text);
};

class CacheStores
{
public:
    explicit CacheStores(const Clock &runtimeClock)
        : clock(runtimeClock)
    {
    }

    // Takes the stores of a configuration; forgets those that are gone.
    void setStores(const std::vector<CacheStore> &stores);

    std::vector<CacheStore> stores() const;

    // Applies events of a store. Returns true if its contents were forgotten because of a new epoch.
    bool apply(const std::string &store, const CacheEvents &events);

    // Returns what is known of each store, and all parts of all stores as additions.
    std::vector<CacheStoreStatus> status() const;
    std::vector<CacheChange> allBlocks() const;

    // Replaces all that is known by what another host knows.
    void replace(const std::vector<CacheStoreStatus> &known, const std::vector<CacheChange> &contents);

    // Marks a store as out of reach or back; parts are not read from or saved to one that is out of reach.
    void setReachable(const std::string &store, bool isReachable);

    // Forgets the parts of `salt` and returns them for freeing. Nothing may plan to read them any more.
    std::vector<BlocksToFree> removeSalt(const std::string &salt);

    // Plans the reading and saving of the first `shared` parts of a prompt for a target in `zone`; the others belong to
    // this prompt alone. A part whose transfer is expected to take longer than `patience` is mostly read again and
    // saved to another store; `draw` (uniform) spreads that choice over requests.
    CachePlan plan(const std::string &salt, const std::vector<PromptBlock> &parts, size_t shared, const std::string &zone, Duration patience, uint64_t draw);

    // Counts saves that were not reported in time as taking room. Called about twice a second.
    void expireSaves();

    // Records the time to the first token of a prompt that read from `store`, or from none (empty) . The excess over
    // prompts that did not wait for it is the wait for the store's link.
    void recordFirstTokenTime(const std::string &store, Duration time);

    // Returns the zones of the stores that have `part` whole.
    std::set<std::string> zonesOf(const std::string &salt, const std::string &part) const;

    // Returns the tokens held by a store as known here.
    int64_t heldTokens(const std::string &store) const;

    // Returns all salts of which something is held.
    std::set<std::string> salts() const;

private:
    using PartKey = std::pair<std::string, std::string>;
    struct PendingSave
    {
        Time at{};
        std::string store;
        int64_t tokens = 0;
    };
    struct Held
    {
        CacheStore store;
        bool isReachable = true;
        int64_t epoch = 0;
        int64_t heldTokens = 0;
        // Of saves that were never reported: broken off, or their events were lost. Either way they take room.
        int64_t unreportedTokens = 0;
        std::map<PartKey, int64_t> blocks;
        // Moving average of the times to first token of prompts that read from here, and when it was last updated.
        double firstTokenMs = 0;
        Time observedAt{};
    };

    static double usedTokens(const Held &entry);
    Held *placeFor(const std::string &salt, const PromptBlock &part, const std::string &zone, const Held *other);
    // Returns the store that has the part and is expected to deliver it first, with that time.
    std::pair<Held *, Duration> sourceFor(const PartKey &key, int64_t tokens, const std::string &zone, Time now);
    // Records the use of a part; returns true if it was used a short time ago.
    bool noteUse(const PartKey &key, Time now);
    Duration transferTime(const Held &entry, int64_t tokens, const std::string &zone) const;
    Duration linkWait(const Held &entry, Time now) const;

    const Clock &clock;
    mutable std::mutex mutex;
    std::map<std::string, Held> held;
    // Saves that were planned and not yet reported, so that concurrent requests do not save the same part.
    std::map<PartKey, PendingSave> pendingSaves;
    std::map<PartKey, Time> lastUses;
    // Moving average of the times to first token of prompts that read from no store.
    double plainFirstTokenMs = 0;
};

} // namespace pimentosail
