// Tracks the contents of the cache stores from their change events, and plans from which cache store a target fetches the
// KV-cache blocks of a prompt and to which it saves them.
//
// A block is fetched only after its cache store has reported it complete, and only while no save of it to that store is under way
// (`SavesUnderWay`). A lost event can cause a target to recompute a
// block that is stored; it never causes a target to fetch an incomplete block. After a restart, a cache store is empty, but requests that
// were sent before may still wait at targets and fetch its former blocks. `StoreEpoch` says for how long nothing is saved there, and
// for how long contents may be used of which nothing has been heard since.
//
//     CacheStores stores(clock);
//     stores.setStores(serving->all().stores, longestPromptTimeout(serving->all()));
//     stores.apply("jar-1", events);
//     stores.confirm("jar-1", events.epoch, pollSentAt);
//     CachePlan plan = stores.plan(salt, blocks, sharedCount, targetZone, Milliseconds(200), draw);
//
// All times are those of `Clock::nowWithSuspend`. Thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/kvcache/savesunderway.h"
#include "pimentosail/kvcache/storeepoch.h"
#include "pimentosail/kvcache/targetclock.h"
#include "pimentosail/routing/servingconfiguration.h"

namespace pimentosail
{

// One KV-cache block of a prompt: a run of its tokens that is cached, moved and evicted as a unit. Blocks are listed in
// prompt order. Prompts that share leading blocks share their cache.
struct PromptBlock
{
    std::string id;
    int64_t tokens = 0;
};

// One change of a cache store's contents: a block was added or removed.
struct CacheEvent
{
    std::string salt;
    std::string block;
    int64_t tokens = 0;
    bool isRemoval = false;
};

struct CacheEvents
{
    // Changes when the cache store restarts; a restarted cache store is empty.
    int64_t epoch = 0;
    // Position from which the next poll continues.
    int64_t next = 0;
    // True if some events before these were lost.
    bool hasGap = false;
    std::vector<CacheEvent> events;
    // The lowest number of an event; 0 if there are none.
    int64_t first = 0;
    // Time (Unix ms on the targets' clock) at which the cache store answered; nothing if it does not state it.
    std::optional<int64_t> clockTime;

    // Returns false if these are no answer to a poll after event `since` of `pollEpoch`. A restarted cache store numbers its events anew.
    bool mayFollow(int64_t pollEpoch, int64_t since) const
    {
        return this->epoch != pollEpoch || (this->next >= since && (this->events.empty() || this->first > since));
    }
};

// The addresses of the cache stores from which a target fetches each block of a prompt and to which it saves it. An empty
// address means that the block is not fetched or not saved.
struct CachePlan
{
    std::vector<std::string> fetchFrom;
    std::vector<std::string> saveTo;
    int64_t fetchTokens = 0;
    int64_t saveTokens = 0;
    // Tokens that a cache store holds and that are not fetched, because a save of their blocks may still begin.
    int64_t withheldTokens = 0;
    // The saves, for as long as they are under way; null if there are none.
    std::shared_ptr<SaveTicket> saves;
    // Name of the cache store that provides the block with the most tokens; empty if nothing is fetched.
    std::string mainSource;
    // Expected transfer time of that block, including the wait for the cache store's link.
    Duration expectedTime{};
    // Time (Unix ms on the targets' clock) by which the fetches must have ended; the target reads the prompt then. Nothing if they
    // are not bounded.
    std::optional<int64_t> fetchEnd;
    // Time (`Clock::nowWithSuspend`) until which the request must be sent. Later, the cache stores may have restarted unnoticed.
    Time usableUntil{};

    bool hasExpired(Time now) const
    {
        return (this->hasFetch() || this->hasSave()) && now >= this->usableUntil;
    }
    bool hasFetch() const
    {
        return this->fetchTokens > 0;
    }
    bool hasSave() const
    {
        return this->saveTokens > 0;
    }
};

// The epoch and reachability of one cache store.
struct CacheStoreStatus
{
    std::string store;
    int64_t epoch = 0;
    bool isReachable = false;
};

// States that a cache store was in an epoch some time ago.
struct CacheStoreConfirmation
{
    std::string store;
    int64_t epoch = 0;
    Duration age{};
};

// A change at one of several cache stores. Blocks stored under another epoch were lost in the restart.
struct CacheChange
{
    std::string store;
    int64_t epoch = 0;
    CacheEvent event;
};

// Blocks of one salt that a managed cache store may free.
struct BlocksToFree
{
    std::string storeAddress;
    int64_t epoch = 0;
    std::string salt;
    std::vector<std::string> blocks;
};

// The namespace of the cached blocks of one weight version of a model. All teams share it, except isolated teams, which
// have namespaces of their own.
struct CacheSalt
{
    std::string model;
    int64_t version = 0;
    // Name of the isolated team; empty for the shared namespace.
    std::string team;

    std::string text() const;

    // Returns the salt from which `text()` made `text`, or nothing if `text` has another format.
    static std::optional<CacheSalt> parse(const std::string &text);
};

class CacheStores
{
public:
    // KV-cache bytes per token of a model whose configuration does not state them.
    static constexpr double DefaultBytesPerToken = 18432;
    // Where the targets' clock is known, a target gives up a fetch that has not ended within this time after its request was sent.
    static constexpr Duration MaxFetchTime = std::chrono::seconds(5);
    // Longest time that a request is on its way to a target.
    static constexpr Duration MaxTransit = std::chrono::seconds(1);

    // `isSystemNew` is true if the whole system starts for the first time, so that no host has used the cache stores before.
    explicit CacheStores(const Clock &runtimeClock, bool isSystemNew = false)
        : clock(runtimeClock)
        , savesOfHosts(runtimeClock)
        , isFirstStart(isSystemNew)
    {
    }

    // Sets the cache stores of the configuration, and how long a target may spend on a prompt. Drops the known contents of cache
    // stores that were removed or have a new address.
    void setStores(const std::vector<CacheStore> &stores, Duration longestRequest);

    // Returns the time after the sending of a request within which its fetches have ended: `MaxFetchTime`, or, where the targets' clock is
    // not known, `MaxTransit` and the longest time that a target may spend on a prompt under any configuration that this host has had.
    Duration longestFetch() const;

    std::vector<CacheStore> stores() const;

    // Applies events of a cache store. Returns true if its known contents were dropped because of a new epoch.
    bool apply(const std::string &store, const CacheEvents &events);

    // Return the status of each cache store, and all blocks of all cache stores as additions.
    std::vector<CacheStoreStatus> status() const;
    std::vector<CacheChange> allBlocks() const;

    // Replaces the known status and contents by a snapshot from another host.
    void replace(const std::vector<CacheStoreStatus> &statuses, const std::vector<CacheChange> &contents);

    // Records that a cache store was in `epoch` at `time` (`Clock::nowWithSuspend`) or later; has no effect if another epoch is known.
    // Blocks are fetched from and saved to a cache store only for `StoreEpoch::Lease` after that.
    void confirm(const std::string &store, int64_t epoch, Time time);

    // Returns the last confirmation of each cache store that has one.
    std::vector<CacheStoreConfirmation> confirmations() const;

    // Returns how long nothing is saved to a cache store yet because it may have restarted; zero for an unknown one.
    Duration saveDelay(const std::string &store) const;

    // Permits saves to a cache store in `epoch`, which need not be known yet, because another host has waited for the fetches of former epochs.
    void openEpoch(const std::string &store, int64_t epoch);

    // Returns the present epochs for which this host has itself waited for the fetches of former ones, by cache store.
    std::map<std::string, int64_t> openEpochs() const;

    // Marks a cache store as reachable or unreachable. No block is fetched from or saved to an unreachable one.
    void setReachable(const std::string &store, bool isReachable);

    // Removes the blocks of `salt`, so that no later plan fetches them, and returns those in managed cache stores for
    // freeing.
    std::vector<BlocksToFree> removeSalt(const std::string &salt);

    // Plans the fetches and saves of the first `sharedCount` blocks of a prompt for a target in `zone`; the other blocks
    // belong to this prompt alone. A block whose expected transfer time exceeds `acceptableTransferTime` is fetched only with a
    // probability that falls with the square of the ratio. Otherwise the target recomputes it, and may save it to another
    // cache store. `draw` is a uniform random number that decides this for the request. A token of a block takes `bytesPerToken`
    // bytes.
    CachePlan plan(const std::string &salt, const std::vector<PromptBlock> &blocks, size_t sharedCount, const std::string &zone,
        Duration acceptableTransferTime, uint64_t draw, double bytesPerToken = DefaultBytesPerToken);

    // The clock of the targets and cache stores.
    TargetClock &targetClock()
    {
        return this->clockOfTargets;
    }

    // The saves that targets may still begin.
    SavesUnderWay &saves()
    {
        return this->savesOfHosts;
    }

    // Counts planned saves that were not reported in time as used space. Called about twice a second.
    void expireSaves();

    // Records the time to first token of a prompt that fetched from `store`, or from no cache store if `store` is empty. The
    // excess over the lowest average, of no fetch or of another cache store, estimates the wait for the store's link.
    void recordFirstTokenTime(const std::string &store, Duration time);

    // Returns the zones of the cache stores from which the complete `block` may be fetched.
    std::set<std::string> zonesOf(const std::string &salt, const std::string &block) const;

    // Returns the number of tokens that a cache store is known to hold.
    int64_t heldTokens(const std::string &store) const;

    // Returns all salts of which a cache store holds blocks.
    std::set<std::string> salts() const;

private:
    using BlockKey = std::pair<std::string, std::string>;
    struct StoredBlock
    {
        int64_t tokens = 0;
        // When all hosts know of the saves of the block that were chosen before they knew that it is stored.
        Time settledAt{};
    };
    struct PendingSave
    {
        Time at{};
        std::string store;
        int64_t tokens = 0;
    };
    struct StoreState
    {
        CacheStore store;
        bool isReachable = true;
        StoreEpoch epoch;
        // No host has used the cache store in a former epoch.
        bool isUnused = false;
        int64_t heldTokens = 0;
        // Tokens of planned saves that were never reported, because the save was interrupted or its event was lost. Both may
        // take space in the cache store.
        int64_t unreportedTokens = 0;
        std::map<BlockKey, StoredBlock> blocks;
        // Moving average of the times to first token, in milliseconds, of prompts that fetched from this cache store, and the
        // time of its last update.
        double firstTokenMs = 0;
        Time observedAt{};

        // Returns true if blocks may be fetched from the cache store at `now` (`Clock::nowWithSuspend`).
        bool isUsable(Time now) const
        {
            return this->isReachable && this->epoch.isUsable(now);
        }
    };

    // The same, called with `mutex` locked.
    Duration longestFetchLocked(Time now) const;
    static double usedTokens(const StoreState &entry);
    // Records the epoch that a cache store has reported, and drops the blocks of another one. Returns true if there was another one.
    bool observeEpoch(StoreState &entry, int64_t epoch);
    StoreState *chooseSaveStore(const std::string &salt, const PromptBlock &block, const std::string &zone, const StoreState *excluded, Time now);
    // Returns when a block may be fetched from a cache store that is reported to have it now.
    Time settledAt(const std::string &store, const BlockKey &key, Time now) const;
    // Returns true if a save of the block is under way that was begun a short time before, so that its cache store will have it soon.
    bool isBeingSaved(const BlockKey &key) const;
    bool mayFetch(const StoreState &entry, const BlockKey &key, const StoredBlock &block, Time now) const;
    // Returns the cache store with the shortest expected transfer time of a stored block, and that time.
    std::pair<StoreState *, Duration> findSource(const BlockKey &key, double bytes, int64_t tokens, const std::string &zone, Time now);
    // Records the use of a block. Returns true if the block is hot, that is, was used a short time before.
    bool recordUse(const BlockKey &key, Time now);
    static Duration transferTime(const StoreState &entry, double bytes, const std::string &zone);
    Duration linkWait(const StoreState &entry, Time now) const;

    const Clock &clock;
    TargetClock clockOfTargets;
    SavesUnderWay savesOfHosts;
    mutable std::mutex mutex;
    const bool isFirstStart;
    // When the first configuration was set; zero before.
    Time configuredAt{};
    Duration longestTimeout{};
    std::map<std::string, StoreState> entries;
    // Epochs that other hosts have found open for saves, by cache store.
    std::map<std::string, int64_t> statedOpenEpochs;
    // Saves that were planned and not yet reported. They keep concurrent requests from saving the same block.
    std::map<BlockKey, PendingSave> pendingSaves;
    std::map<BlockKey, Time> lastUses;
    // Moving average of the times to first token, in milliseconds, of prompts that fetched from no cache store.
    double uncachedFirstTokenMs = 0;
};

} // namespace pimentosail
