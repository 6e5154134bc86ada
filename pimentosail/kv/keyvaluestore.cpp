#include "pimentosail/kv/keyvaluestore.h"

#include "pimentosail/base/error.h"
#include "pimentosail/kv/etcdclient.h"
#include "pimentosail/kv/memorykeyvalue.h"

namespace pimentosail
{

KeyValueStore KeyValueStore::overHttp(std::vector<std::string> addresses, Duration timeout)
{
    return KeyValueStore(std::make_shared<EtcdClient>(std::move(addresses), timeout));
}

KeyValueStore KeyValueStore::inMemory(std::shared_ptr<MemoryKeyValue> memory)
{
    return KeyValueStore(std::move(memory));
}

std::optional<KeyValue> KeyValueStore::get(const std::string &key)
{
    return std::visit([&](auto &store) { return store->get(key); }, this->backend);
}

std::vector<KeyValue> KeyValueStore::list(const std::string &prefix)
{
    return std::visit([&](auto &store) { return store->list(prefix); }, this->backend);
}

SwapOutcome KeyValueStore::compareAndSwap(const std::string &key, int64_t expectedRevision, const std::string &value, int64_t lease)
{
    return std::visit([&](auto &store) { return store->compareAndSwap(key, expectedRevision, value, lease); }, this->backend);
}

int64_t KeyValueStore::grantLease(Duration ttl)
{
    return std::visit([&](auto &store) { return store->grantLease(ttl); }, this->backend);
}

bool KeyValueStore::keepAlive(int64_t lease)
{
    return std::visit([&](auto &store) { return store->keepAlive(lease); }, this->backend);
}

void KeyValueStore::revokeLease(int64_t lease)
{
    std::visit([&](auto &store) { store->revokeLease(lease); }, this->backend);
}

std::optional<KeyValue> KeyValueStore::waitForChange(const std::string &key, int64_t afterRevision, Duration wait)
{
    return std::visit([&](auto &store) { return store->waitForChange(key, afterRevision, wait); }, this->backend);
}

SwapOutcome compareAndSwapWithRetry(
    KeyValueStore &store, const std::string &key, int64_t expectedRevision, const std::string &value, int64_t lease, int attempts)
{
    bool isOutcomeUnknown = false;
    for (int attempt = 1;; ++attempt) {
        try {
            if (!isOutcomeUnknown) {
                return store.compareAndSwap(key, expectedRevision, value, lease);
            }
            const std::optional<KeyValue> current = store.get(key);
            if (current && current->value == value) {
                return {true, current->modRevision};
            }
            // The earlier write may still be in progress. Both expect the same revision, so at most one of them succeeds.
            const SwapOutcome outcome = store.compareAndSwap(key, expectedRevision, value, lease);
            if (outcome.swapped) {
                return outcome;
            }
            const std::optional<KeyValue> after = store.get(key);
            const bool isOwnWrite = after && after->value == value;
            return {isOwnWrite, isOwnWrite ? after->modRevision : 0};
        } catch (const Failure &) {
            isOutcomeUnknown = true;
            if (attempt >= attempts) {
                throw;
            }
        }
    }
}

} // namespace pimentosail
