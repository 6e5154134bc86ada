#include "pimentosail/kvcache/cachejournal.h"

#include <set>

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

void CacheJournal::addStatus(int64_t knownPosition, CacheChanges &result)
{
    std::set<std::string> changedStores;
    for (const CacheChange &change : result.changes) {
        changedStores.insert(change.store);
    }
    const std::vector<CacheStoreStatus> current = this->cacheStores.status();
    const std::lock_guard lock(this->mutex);
    for (const CacheStoreStatus &status : current) {
        StatusEntry &entry = this->statuses[status.store];
        if (entry.changedAt == 0 || entry.status.epoch != status.epoch || entry.status.isReachable != status.isReachable) {
            entry = {status, ++this->statusChanges};
        }
        if (result.isSnapshot || entry.changedAt > knownPosition || changedStores.contains(status.store)) {
            result.stores.push_back(status);
        }
    }
    result.statusPosition = this->statusChanges;
}

bool CacheJournal::covers(const JournalPosition &position)
{
    const std::lock_guard lock(this->mutex);
    return this->coversLocked(position);
}

bool CacheJournal::coversLocked(const JournalPosition &position) const
{
    const int64_t oldest = this->next - static_cast<int64_t>(this->recent.size());
    return position.journal == this->name && position.next >= oldest && position.next <= this->next;
}

CacheChanges CacheJournal::changesAfter(const JournalPosition &position, Duration wait)
{
    CacheChanges result;
    result.journal = this->name;
    {
        std::unique_lock lock(this->mutex);
        result.isSnapshot = !this->coversLocked(position);
        if (!result.isSnapshot) {
            this->changed.wait_for(lock, wait, [this, &position] { return this->next > position.next; });
            const int64_t first = this->next - static_cast<int64_t>(this->recent.size());
            for (int64_t number = std::max(first, position.next); number < this->next; ++number) {
                result.changes.push_back(this->recent[static_cast<size_t>(number - first)]);
            }
        }
        // The contents below may already include changes recorded after this point. The next call returns these changes again,
        // which is harmless because applying a change is idempotent.
        result.next = this->next;
    }
    this->addStatus(position.statusPosition, result);
    if (result.isSnapshot) {
        result.changes = this->cacheStores.allBlocks();
    }
    return result;
}

} // namespace pimentosail
