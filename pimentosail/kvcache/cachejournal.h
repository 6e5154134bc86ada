// The most recent changes of all cache stores in one sequence. Other hosts poll it, so that they need not poll the cache
// stores themselves.
//
//     journal.record("store-a", events);
//     CacheChanges changes = journal.changesAfter({journalName, position, statusPosition}, Milliseconds(400));
//
// Thread-safe.
#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/kvcache/storecontents.h"

namespace pimentosail
{

struct CacheChanges
{
    // Identifies the journal. A position is valid only in the journal that returned it.
    std::string journal;
    int64_t next = 0;
    // True if `changes` lists the full contents of the cache stores; what it does not list is no longer stored.
    bool isSnapshot = false;
    // Number of the last change of a cache store's status.
    int64_t statusPosition = 0;
    // The cache stores of `changes`, and those whose status has changed; all in a snapshot.
    std::vector<CacheStoreStatus> stores;
    std::vector<CacheChange> changes;
    // When the relay last knew the epochs of the cache stores for certain. A relay of an earlier version sends none.
    std::vector<CacheStoreConfirmation> confirmations;
};

// What a reader of a journal has received: the journal's name, the next change, and the last change of a status (-1: none, so that
// it receives the status of all cache stores).
struct JournalPosition
{
    std::string journal;
    int64_t next = 0;
    int64_t statusPosition = -1;
};

class CacheJournal
{
public:
    explicit CacheJournal(const CacheStores &trackedStores);

    // Appends events that were applied to `store`.
    void record(const std::string &store, const CacheEvents &events);

    // Returns true if the changes from `position` on are kept, so that a reader there needs no snapshot.
    bool covers(const JournalPosition &position);

    // Returns the changes from `position` on and waits at most `wait` for the first one. Returns a snapshot if the position
    // is of another journal or too old.
    CacheChanges changesAfter(const JournalPosition &position, Duration wait);

private:
    struct StatusEntry
    {
        CacheStoreStatus status;
        int64_t changedAt = 0;
    };

    bool coversLocked(const JournalPosition &position) const;

    // Adds the status of the cache stores that the reader needs.
    void addStatus(int64_t knownPosition, CacheChanges &result);

    const CacheStores &cacheStores;
    const std::string name;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<CacheChange> recent;
    // Number of the next change to be recorded.
    int64_t next = 1;
    // By cache store, as of the last call.
    std::map<std::string, StatusEntry> statuses;
    int64_t statusChanges = 0;
};

} // namespace pimentosail
