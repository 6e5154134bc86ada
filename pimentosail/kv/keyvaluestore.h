// The platform's key-value service: single-key get, compare-and-swap, lease, list and wait for a change.
//
// One interface, two implementations behind a variant: the etcd v3 JSON dialect over HTTP, and an in-process
// store for tests. Every call can throw `Failure` (KeyValueUnavailable), after which the outcome of a write is
// unknown; `settleSwap` finds it out.
//
//     KeyValueStore store = KeyValueStore::overHttp({"127.0.0.1:2379"}, Milliseconds(1000));
//     std::optional<KeyValue> current = store.get("config/current");
//     SwapOutcome outcome = settleSwap(store, "config/current", current ? current->modRevision : 0, value, 0);
//
// Thread-safe.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

class EtcdClient;
class MemoryKeyValue;

// One stored value. `modRevision` rises with every write to the store and is 0 for an absent key.
struct KeyValue
{
    std::string key;
    std::string value;
    int64_t modRevision = 0;
};

// The answer to a compare-and-swap.
struct SwapOutcome
{
    bool swapped = false;
    // Revision of the key after the call, if swapped.
    int64_t modRevision = 0;
};

class KeyValueStore
{
public:
    // Uses the service at `addresses`, tried in turn; each call ends within `timeout`.
    static KeyValueStore overHttp(std::vector<std::string> addresses, Duration timeout);

    // Uses a store in this process.
    static KeyValueStore inMemory(std::shared_ptr<MemoryKeyValue> memory);

    // Returns the value of `key`, if there is one.
    std::optional<KeyValue> get(const std::string &key);

    // Returns all values whose key starts with `prefix`, ordered by key.
    std::vector<KeyValue> list(const std::string &prefix);

    // Writes `value` if the revision of `key` is `expectedRevision` (0: the key is absent). The key lives as long
    // as `lease`, or for ever if that is 0.
    SwapOutcome compareAndSwap(const std::string &key, int64_t expectedRevision, const std::string &value, int64_t lease);

    // Creates a lease that ends `ttl` after its last renewal; returns its id.
    int64_t grantLease(Duration ttl);

    // Renews `lease`; returns false if it has ended.
    bool keepAlive(int64_t lease);

    // Ends `lease` and removes its keys.
    void revokeLease(int64_t lease);

    // Waits at most `wait` until the revision of `key` is above `afterRevision`; returns the value, or nothing.
    std::optional<KeyValue> waitForChange(const std::string &key, int64_t afterRevision, Duration wait);

private:
    using Backend = std::variant<std::shared_ptr<EtcdClient>, std::shared_ptr<MemoryKeyValue>>;

    explicit KeyValueStore(Backend store)
        : backend(std::move(store))
    {
    }

    Backend backend;
};

// Performs a compare-and-swap whose answer may be lost: repeats it until the outcome is certain. `value` must be
// unique to this write (carry a nonce). Gives up after `attempts` unanswered calls and throws
// `Failure` (KeyValueUnavailable), after which the write may still take effect.
SwapOutcome settleSwap(KeyValueStore &store, const std::string &key, int64_t expectedRevision, const std::string &value, int64_t lease, int attempts = 3);

} // namespace pimentosail
