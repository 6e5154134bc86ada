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
        this->state.leases[this->state.nextLease] = {ttl, this->clock.nowWithSuspend() + ttl};
        return StoreLease{this->state.nextLease++, this->era};
    };
    store.keepAlive = [this](const StoreLease &lease) {
        const std::lock_guard lock(this->mutex);
        this->throwIfDown();
        this->endExpiredLeases();
        const bool isAlive = this->isAlive(lease);
        if (isAlive) {
            Lease &renewed = this->state.leases.at(lease.id);
            renewed.end = this->clock.nowWithSuspend() + renewed.ttl;
        }
        return isAlive;
    };
    store.revokeLease = [this](const StoreLease &lease) {
        const std::lock_guard lock(this->mutex);
        if (lease.era == this->era) {
            this->revokeLease(lease.id);
        }
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
    this->state.entries[key] = {value, ++this->state.revision, lease};
    this->state.history.push_back({{key, value, this->state.revision}, false});
    this->changed.notify_all();
}

void MemoryPrefixStore::erase(const std::string &key)
{
    if (this->state.entries.erase(key) > 0) {
        this->state.history.push_back({{key, "", ++this->state.revision}, true});
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
    if (!isDown && this->leasesSuspendedSince) {
        const Duration suspended = this->clock.nowWithSuspend() - *this->leasesSuspendedSince;
        for (auto &[id, lease] : this->state.leases) {
            lease.end = lease.end == Time(0) ? Time(0) : lease.end + suspended;
        }
        this->leasesSuspendedSince.reset();
    }
    this->changed.notify_all();
}

void MemoryPrefixStore::setDownWithLeases()
{
    const std::lock_guard lock(this->mutex);
    this->endExpiredLeases();
    this->down = true;
    this->leasesSuspendedSince = this->clock.nowWithSuspend();
    this->changed.notify_all();
}

void MemoryPrefixStore::compact()
{
    const std::lock_guard lock(this->mutex);
    this->state.compactedAt = this->state.revision;
    this->state.history.clear();
}

void MemoryPrefixStore::loseNextAnswers(int count)
{
    const std::lock_guard lock(this->mutex);
    this->answersLeftToLose = count;
}

MemoryPrefixStore::Copy MemoryPrefixStore::copy()
{
    const std::lock_guard lock(this->mutex);
    this->endExpiredLeases();
    return this->state;
}

int64_t MemoryPrefixStore::currentEra() const
{
    const std::lock_guard lock(this->mutex);
    return this->era;
}

void MemoryPrefixStore::restore(const Copy &older)
{
    const std::lock_guard lock(this->mutex);
    this->state = older;
    ++this->era;
    const Time now = this->clock.nowWithSuspend();
    for (auto &[id, lease] : this->state.leases) {
        lease.end = lease.end == Time(0) ? Time(0) : now + lease.ttl;
    }
    this->changed.notify_all();
}

bool MemoryPrefixStore::isAlive(const StoreLease &lease) const
{
    const auto found = this->state.leases.find(lease.id);
    return lease.era == this->era && found != this->state.leases.end() && found->second.end > Time(0);
}

void MemoryPrefixStore::expireLease(int64_t lease)
{
    const std::lock_guard lock(this->mutex);
    this->revokeLease(lease);
}

void MemoryPrefixStore::endExpiredLeases()
{
    if (this->leasesSuspendedSince) {
        return;
    }
    const Time now = this->clock.nowWithSuspend();
    for (const auto &[id, lease] : this->state.leases) {
        if (lease.end > Time(0) && lease.end <= now) {
            this->revokeLease(id);
        }
    }
}

void MemoryPrefixStore::revokeLease(int64_t lease)
{
    this->state.leases[lease].end = Time(0);
    std::vector<std::string> keys;
    for (const auto &[key, entry] : this->state.entries) {
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
    const auto found = this->state.entries.find(key);
    return found == this->state.entries.end() ? "" : found->second.value;
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
    listing.revision = this->state.revision;
    listing.era = this->era;
    for (const auto &[key, entry] : this->state.entries) {
        if (key.starts_with(prefix)) {
            listing.items.push_back({key, entry.value, entry.revision, this->era});
        }
    }
    return listing;
}

StoreChanges MemoryPrefixStore::watch(const std::string &prefix, int64_t afterRevision, Duration wait)
{
    std::unique_lock lock(this->mutex);
    const auto canReturn = [this, afterRevision, firstEra = this->era] {
        this->endExpiredLeases();
        return this->down || this->era != firstEra || this->state.revision != afterRevision;
    };
    for (Duration left = wait; left > Duration(0); left -= LeaseCheckInterval) {
        if (this->changed.wait_for(lock, std::min(left, LeaseCheckInterval), canReturn)) {
            break;
        }
    }
    this->throwIfDown();
    StoreChanges result;
    result.revision = this->state.revision;
    result.era = this->era;
    result.isCompacted = afterRevision < this->state.compactedAt || afterRevision > this->state.revision;
    for (const StoreChange &change : this->state.history) {
        if (change.item.revision > afterRevision && change.item.key.starts_with(prefix)) {
            result.changes.push_back(change);
            result.changes.back().item.era = this->era;
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
        const auto found = this->state.entries.find(condition.key);
        const bool isOfEarlierEra = condition.revision != 0 && condition.era != this->era;
        if (isOfEarlierEra || (found == this->state.entries.end() ? 0 : found->second.revision) != condition.revision) {
            return {CommitStatus::ConditionFailed, this->state.revision, this->era};
        }
    }
    for (const StorePut &put : transaction.puts) {
        if (put.lease.isGranted() && !this->isAlive(put.lease)) {
            return {CommitStatus::LeaseEnded, this->state.revision, this->era};
        }
    }
    for (const StorePut &put : transaction.puts) {
        this->write(put.key, put.value, put.lease.id);
    }
    for (const std::string &key : transaction.removals) {
        this->erase(key);
    }
    if (this->answersLeftToLose > 0) {
        --this->answersLeftToLose;
        throw Failure(ErrorKind::KeyValueUnavailable, "the answer was lost");
    }
    return {CommitStatus::Committed, this->state.revision, this->era};
}

} // namespace pimentosail
