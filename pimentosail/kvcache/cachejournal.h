// The most recent changes of all cache stores in one sequence. Other hosts poll it, so that they need not poll the cache
// stores themselves.
//
//     journal.record("store-a", events);
//     CacheChanges changes = journal.changesAfter(position, Milliseconds(400));
//
// Thread-safe.
#pragma once

#include <condition_variable>
#include <deque>
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
    std::vector<CacheStoreStatus> stores;
    std::vector<CacheChange> changes;
};

class CacheJournal
{
public:
    explicit CacheJournal(const CacheStores &trackedStores);

    // Appends events that were applied to `store`.
    void record(const std::string &store, const CacheEvents &events);

    // Returns the changes from `position` on and waits at most `wait` for the first one. Returns a snapshot if the position
    // is of another journal or too old.
    CacheChanges changesAfter(const std::string &journal, int64_t position, Duration wait) const;

private:
    const CacheStores &cacheStores;
    const std::string name;
    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    std::deque<CacheChange> recent;
    // Number of the next change to be recorded.
    int64_t next = 1;
};

} // namespace pimentosail
