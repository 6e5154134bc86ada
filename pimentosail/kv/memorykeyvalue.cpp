#include "pimentosail/kv/memorykeyvalue.h"

#include "pimentosail/base/error.h"

namespace pimentosail
{

void MemoryKeyValue::throwIfDown() const
{
    if (this->down) {
        throw Failure(ErrorKind::KeyValueUnavailable, "the key-value service is down");
    }
}

void MemoryKeyValue::removeLease(int64_t lease)
{
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        entry = entry->second.lease == lease ? this->entries.erase(entry) : std::next(entry);
    }
    this->leases.erase(lease);
}

void MemoryKeyValue::endExpiredLeases()
{
    const Time now = this->clock.now();
    std::vector<int64_t> ended;
    for (const auto &[id, lease] : this->leases) {
        if (lease.end <= now) {
            ended.push_back(id);
        }
    }
    for (const int64_t id : ended) {
        this->removeLease(id);
    }
}

std::optional<KeyValue> MemoryKeyValue::get(const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    this->throwIfDown();
    this->endExpiredLeases();
    ++this->served.reads;
    const auto found = this->entries.find(key);
    if (found == this->entries.end()) {
        return std::nullopt;
    }
    return KeyValue{key, found->second.value, found->second.modRevision};
}

std::vector<KeyValue> MemoryKeyValue::list(const std::string &prefix)
{
    const std::lock_guard lock(this->mutex);
    this->throwIfDown();
    this->endExpiredLeases();
    ++this->served.reads;
    std::vector<KeyValue> result;
    for (auto entry = this->entries.lower_bound(prefix); entry != this->entries.end() && entry->first.rfind(prefix, 0) == 0; ++entry) {
        result.push_back({entry->first, entry->second.value, entry->second.modRevision});
    }
    return result;
}

SwapOutcome MemoryKeyValue::compareAndSwap(const std::string &key, int64_t expectedRevision, const std::string &value, int64_t lease)
{
    const std::lock_guard lock(this->mutex);
    this->throwIfDown();
    this->endExpiredLeases();
    ++this->served.writes;
    const auto found = this->entries.find(key);
    const int64_t current = found == this->entries.end() ? 0 : found->second.modRevision;
    const bool leaseEnded = lease != 0 && this->leases.count(lease) == 0;
    SwapOutcome outcome;
    if (current == expectedRevision && !leaseEnded) {
        this->entries[key] = Entry{value, ++this->revision, lease};
        outcome = {true, this->revision};
        this->changed.notify_all();
    }
    if (this->answersLeftToLose > 0) {
        --this->answersLeftToLose;
        throw Failure(ErrorKind::KeyValueUnavailable, "the answer was lost");
    }
    return outcome;
}

int64_t MemoryKeyValue::grantLease(Duration ttl)
{
    const std::lock_guard lock(this->mutex);
    this->throwIfDown();
    ++this->served.writes;
    const int64_t id = this->nextLease++;
    this->leases[id] = Lease{ttl, this->clock.now() + ttl};
    return id;
}

bool MemoryKeyValue::keepAlive(int64_t lease)
{
    const std::lock_guard lock(this->mutex);
    this->throwIfDown();
    this->endExpiredLeases();
    ++this->served.writes;
    const auto found = this->leases.find(lease);
    if (found == this->leases.end()) {
        return false;
    }
    found->second.end = this->clock.now() + found->second.ttl;
    return true;
}

void MemoryKeyValue::revokeLease(int64_t lease)
{
    const std::lock_guard lock(this->mutex);
    this->throwIfDown();
    ++this->served.writes;
    this->removeLease(lease);
}

std::optional<KeyValue> MemoryKeyValue::waitForChange(const std::string &key, int64_t afterRevision, Duration wait)
{
    std::unique_lock lock(this->mutex);
    this->throwIfDown();
    ++this->served.watches;
    const auto isNewer = [this, &key, afterRevision] {
        const auto found = this->entries.find(key);
        return !this->watchSilent && found != this->entries.end() && found->second.modRevision > afterRevision;
    };
    if (!this->changed.wait_for(lock, wait, isNewer)) {
        return std::nullopt;
    }
    this->throwIfDown();
    const Entry &entry = this->entries.at(key);
    return KeyValue{key, entry.value, entry.modRevision};
}

void MemoryKeyValue::setDown(bool isDown)
{
    const std::lock_guard lock(this->mutex);
    this->down = isDown;
}

void MemoryKeyValue::setWatchSilent(bool isSilent)
{
    const std::lock_guard lock(this->mutex);
    this->watchSilent = isSilent;
}

void MemoryKeyValue::loseNextAnswers(int count)
{
    const std::lock_guard lock(this->mutex);
    this->answersLeftToLose = count;
}

KeyValueCounts MemoryKeyValue::counts() const
{
    const std::lock_guard lock(this->mutex);
    return this->served;
}

} // namespace pimentosail
