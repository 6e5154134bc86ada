#include "pimentosail/kv/memoryprefixstore.h"

#include <algorithm>

#include "pimentosail/base/error.h"

namespace pimentosail
{

namespace
{

// Interval at which a waiting watch checks for expired leases.
constexpr Duration LeaseCheckInterval = Milliseconds(50);

} // namespace

PrefixStore MemoryPrefixStore::asPrefixStore()
{
    PrefixStore store;
    store.list = [this](const std::string &prefix) {
        return this->list(prefix);
    };
    store.watch = [this](const std::string &prefix, int64_t afterRevision, Duration wait) {
        return this->watch(prefix, afterRevision, wait);
    };
    store.commit = [this](const StoreTransaction &transaction) {
        return this->commit(transaction);
    };
    store.grantLease = [this](Duration ttl) {
        const std::lock_guard lock(this->mutex);
        this->throwIfDown();
        this->leases[this->nextLease] = {ttl, this->clock.nowWithSuspend() + ttl};
        return this->nextLease++;
    };
    store.keepAlive = [this](int64_t lease) {
        const std::lock_guard lock(this->mutex);
        this->throwIfDown();
        this->endExpiredLeases();
        Lease &renewed = this->leases[lease];
        const bool isAlive = renewed.end > Time(0);
        renewed.end = isAlive ? this->clock.nowWithSuspend() + renewed.ttl : Time(0);
        return isAlive;
    };
    store.revokeLease = [this](int64_t lease) {
        this->expireLease(lease);
    };
    return store;
}

void MemoryPrefixStore::throwIfDown() const
{
    if (this->down) {
        throw Failure(ErrorKind::KeyValueUnavailable, "the key-value store is down");
    }
}

void MemoryPrefixStore::write(const std::string &key, const std::string &value, int64_t lease)
{
    this->entries[key] = {value, ++this->revision, lease};
    this->history.push_back({{key, value, this->revision}, false});
    this->changed.notify_all();
}

void MemoryPrefixStore::erase(const std::string &key)
{
    if (this->entries.erase(key) > 0) {
        this->history.push_back({{key, "", ++this->revision}, true});
        this->changed.notify_all();
    }
}

void MemoryPrefixStore::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(this->mutex);
    this->write(key, value, 0);
}

void MemoryPrefixStore::remove(const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    this->erase(key);
}

void MemoryPrefixStore::setDown(bool isDown)
{
    const std::lock_guard lock(this->mutex);
    this->down = isDown;
    this->changed.notify_all();
}

void MemoryPrefixStore::compact()
{
    const std::lock_guard lock(this->mutex);
    this->compactedAt = this->revision;
    this->history.clear();
}

void MemoryPrefixStore::loseNextAnswers(int count)
{
    const std::lock_guard lock(this->mutex);
    this->answersLeftToLose = count;
}

void MemoryPrefixStore::expireLease(int64_t lease)
{
    const std::lock_guard lock(this->mutex);
    this->revokeLease(lease);
}

void MemoryPrefixStore::endExpiredLeases()
{
    const Time now = this->clock.nowWithSuspend();
    for (const auto &[id, lease] : this->leases) {
        if (lease.end > Time(0) && lease.end <= now) {
            this->revokeLease(id);
        }
    }
}

void MemoryPrefixStore::revokeLease(int64_t lease)
{
    this->leases[lease].end = Time(0);
    std::vector<std::string> keys;
    for (const auto &[key, entry] : this->entries) {
        if (entry.lease == lease) {
            keys.push_back(key);
        }
    }
    for (const std::string &key : keys) {
        this->erase(key);
    }
}

std::string MemoryPrefixStore::value(const std::string &key) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(key);
    return found == this->entries.end() ? "" : found->second.value;
}

long MemoryPrefixStore::commits() const
{
    const std::lock_guard lock(this->mutex);
    return this->commitCount;
}

StoreListing MemoryPrefixStore::list(const std::string &prefix)
{
    const std::lock_guard lock(this->mutex);
    this->throwIfDown();
    this->endExpiredLeases();
    StoreListing listing;
    listing.revision = this->revision;
    for (const auto &[key, entry] : this->entries) {
        if (key.starts_with(prefix)) {
            listing.items.push_back({key, entry.value, entry.revision});
        }
    }
    return listing;
}

StoreChanges MemoryPrefixStore::watch(const std::string &prefix, int64_t afterRevision, Duration wait)
{
    std::unique_lock lock(this->mutex);
    const auto canReturn = [this, afterRevision] {
        this->endExpiredLeases();
        return this->down || this->revision > afterRevision;
    };
    for (Duration left = wait; left > Duration(0); left -= LeaseCheckInterval) {
        if (this->changed.wait_for(lock, std::min(left, LeaseCheckInterval), canReturn)) {
            break;
        }
    }
    this->throwIfDown();
    StoreChanges result;
    result.revision = this->revision;
    result.isCompacted = afterRevision < this->compactedAt;
    for (const StoreChange &change : this->history) {
        if (change.item.revision > afterRevision && change.item.key.starts_with(prefix)) {
            result.changes.push_back(change);
        }
    }
    return result;
}

CommitOutcome MemoryPrefixStore::commit(const StoreTransaction &transaction)
{
    const std::lock_guard lock(this->mutex);
    this->throwIfDown();
    this->endExpiredLeases();
    ++this->commitCount;
    for (const StoreCondition &condition : transaction.conditions) {
        const auto found = this->entries.find(condition.key);
        if ((found == this->entries.end() ? 0 : found->second.revision) != condition.revision) {
            return {CommitStatus::ConditionFailed, this->revision};
        }
    }
    for (const StorePut &put : transaction.puts) {
        if (put.lease != 0 && this->leases[put.lease].end == Time(0)) {
            return {CommitStatus::LeaseEnded, this->revision};
        }
    }
    for (const StorePut &put : transaction.puts) {
        this->write(put.key, put.value, put.lease);
    }
    for (const std::string &key : transaction.removals) {
        this->erase(key);
    }
    if (this->answersLeftToLose > 0) {
        --this->answersLeftToLose;
        throw Failure(ErrorKind::KeyValueUnavailable, "the answer was lost");
    }
    return {CommitStatus::Committed, this->revision};
}

} // namespace pimentosail
