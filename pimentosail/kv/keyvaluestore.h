// A client of a key-value service: get and compare-and-swap of single keys, leases, lists of a key prefix, and waits for a
// change of a key.
//
// It has two implementations: the JSON gateway of etcd v3 over HTTP, and a store in this process for tests. Every call can
// throw `Failure` (KeyValueUnavailable), after which it is unknown whether a write took effect. `compareAndSwapWithRetry`
// repeats a compare-and-swap until its outcome is known.
//
//     KeyValueStore store = KeyValueStore::overHttp({"127.0.0.1:2379"}, Milliseconds(1000));
//     std::optional<KeyValue> current = store.get("config/current");
//     SwapOutcome outcome = compareAndSwapWithRetry(store, "config/current", current ? current->modRevision : 0, value, 0);
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

// A key, its value, and the revision of the store at the last write of the key. The revision of the store rises with every
// write; an absent key counts as revision 0.
struct KeyValue
{
    std::string key;
    std::string value;
    int64_t modRevision = 0;
};

// The outcome of a compare-and-swap.
struct SwapOutcome
{
    bool swapped = false;
    // Revision of the key after the call, if swapped.
    int64_t modRevision = 0;
};

class KeyValueStore
{
public:
    // Uses the service at `addresses`. Each call goes to one address and ends within `timeout`, except that `waitForChange`
    // also waits as told. After any other call fails, the next call goes to the next address.
    static KeyValueStore overHttp(std::vector<std::string> addresses, Duration timeout);

    // Uses a store in this process.
    static KeyValueStore inMemory(std::shared_ptr<MemoryKeyValue> memory);

    // Returns the value of `key`, if there is one.
    std::optional<KeyValue> get(const std::string &key);

    // Returns all values whose key starts with `prefix`, ordered by key.
    std::vector<KeyValue> list(const std::string &prefix);

    // Writes `value` if the revision of `key` is `expectedRevision` (0: the key is absent). The key is
    // removed when `lease` ends; if `lease` is 0, the key does not expire.
    SwapOutcome compareAndSwap(const std::string &key, int64_t expectedRevision, const std::string &value, int64_t lease);

    // Creates a lease that ends `ttl` after its last renewal. Returns its id.
    int64_t grantLease(Duration ttl);

    // Renews `lease`. Returns false if it has ended.
    bool keepAlive(int64_t lease);

    // Ends `lease` and removes its keys.
    void revokeLease(int64_t lease);

    // Waits at most `wait` until the revision of `key` is above `afterRevision`. Returns the new value, or nothing if the key
    // did not change in time.
    std::optional<KeyValue> waitForChange(const std::string &key, int64_t afterRevision, Duration wait);

private:
    using Backend = std::variant<std::shared_ptr<EtcdClient>, std::shared_ptr<MemoryKeyValue>>;

    explicit KeyValueStore(Backend store)
        : backend(std::move(store))
    {
    }

    Backend backend;
};

// Performs a compare-and-swap and repeats it, if answers are lost, until its outcome is certain. `value` must be unique to
// this write (contain a nonce), because reading it back proves that the write took effect. After `attempts` failed
// attempts, throws `Failure` (KeyValueUnavailable); the write may still take effect later.
SwapOutcome compareAndSwapWithRetry(
    KeyValueStore &store, const std::string &key, int64_t expectedRevision, const std::string &value, int64_t lease, int attempts = 3);

} // namespace pimentosail
