// The latest changes of all cache stores in one order, for hosts that learn of them from this one.
//
//     journal.note("store-a", events);
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
    // Names the journal; a position of another journal means nothing.
    std::string journal;
    int64_t next = 0;
    // The changes are all that the stores hold; what is absent is gone.
    bool isSnapshot = false;
    std::vector<CacheStoreStatus> stores;
    std::vector<CacheChange> changes;
};

class CacheJournal
{
public:
    explicit CacheJournal(const CacheStores &cacheStores);

    // Records events that were applied to `store`.
    void record(const std::string &store, const CacheEvents &events);

    // Returns what changed after `position` of this journal, waiting at most `wait` for something. Another journal's
    // position, or one that is too old, gives a snapshot.
    CacheChanges changesAfter(const std::string &journal, int64_t position, Duration wait) const;

private:
    const CacheStores &caches;
    const std::string name;
    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    std::deque<CacheChange> recent;
    // Number of the change after the last.
    int64_t next = 1;
};

} // namespace pimentosail
