#include "pimentosail/kvcache/cachejournal.h"

#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

// Several seconds of changes in the busiest known deployment. A host that is further behind receives a snapshot.
constexpr size_t MaxRecent = 16384;

} // namespace

CacheJournal::CacheJournal(const CacheStores &trackedStores)
    : cacheStores(trackedStores)
    , name(randomId())
{
}

void CacheJournal::record(const std::string &store, const CacheEvents &events)
{
    if (events.events.empty()) {
        return;
    }
    const std::lock_guard lock(this->mutex);
    for (const CacheEvent &event : events.events) {
        this->recent.push_back({store, events.epoch, event});
        ++this->next;
    }
    while (this->recent.size() > MaxRecent) {
        this->recent.pop_front();
    }
    this->changed.notify_all();
}

CacheChanges CacheJournal::changesAfter(const std::string &journal, int64_t position, Duration wait) const
{
    CacheChanges result;
    result.journal = this->name;
    std::unique_lock lock(this->mutex);
    const int64_t oldest = this->next - static_cast<int64_t>(this->recent.size());
    result.isSnapshot = journal != this->name || position < oldest || position > this->next;
    if (!result.isSnapshot) {
        this->changed.wait_for(lock, wait, [this, position] { return this->next > position; });
        const int64_t first = this->next - static_cast<int64_t>(this->recent.size());
        for (int64_t number = std::max(first, position); number < this->next; ++number) {
            result.changes.push_back(this->recent[static_cast<size_t>(number - first)]);
        }
    }
    // The contents below may already include changes recorded after this point. The next call returns these changes again,
    // which is harmless because applying a change is idempotent.
    result.next = this->next;
    lock.unlock();
    result.stores = this->cacheStores.status();
    if (result.isSnapshot) {
        result.changes = this->cacheStores.allBlocks();
    }
    return result;
}

} // namespace pimentosail
