// The platform's store as the entry service uses it: listings and watches of a key prefix, conditional transactions
// and leases. Each adapter provides one value of this type; `MemoryPrefixStore` provides one for tests.
//
// Every function can throw `Failure` (KeyValueUnavailable). After that the outcome of `commit` is unknown, and it may
// still take effect later if its conditions hold then. All functions are thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

struct StoredItem
{
    std::string key;
    std::string value;
    // Revision of the store at the last write of the key.
    int64_t revision = 0;
};

struct StoreChange
{
    StoredItem item;
    bool isRemoval = false;
};

// All keys of a prefix. `revision` is a revision from which a watch misses nothing that the listing lacks.
struct StoreListing
{
    std::vector<StoredItem> items;
    int64_t revision = 0;
};

// What has changed after a revision.
struct StoreChanges
{
    std::vector<StoreChange> changes;
    // Revision from which to watch on.
    int64_t revision = 0;
    // The history after the revision asked for is gone: list again.
    bool isCompacted = false;
};

struct StorePut
{
    std::string key;
    std::string value;
    // The key ends with this lease; 0 keeps it.
    int64_t lease = 0;
};

// A key and the revision that it must have; 0: it must not exist.
struct StoreCondition
{
    std::string key;
    int64_t revision = 0;
};

struct StoreTransaction
{
    std::vector<StoreCondition> conditions;
    std::vector<StorePut> puts;
    std::vector<std::string> removals;
};

enum class CommitStatus {
    Committed,
    ConditionFailed,
    LeaseEnded,
};

struct CommitOutcome
{
    CommitStatus status = CommitStatus::ConditionFailed;
    // Revision of the commit.
    int64_t revision = 0;
};

struct PrefixStore
{
    std::function<StoreListing(const std::string &prefix)> list;
    // Returns as soon as something has changed, or after `wait`.
    std::function<StoreChanges(const std::string &prefix, int64_t afterRevision, Duration wait)> watch;
    std::function<CommitOutcome(const StoreTransaction &transaction)> commit;
    std::function<int64_t(Duration ttl)> grantLease;
    // Renews a lease; returns false if it has ended.
    std::function<bool(int64_t lease)> keepAlive;
    std::function<void(int64_t lease)> endLease;
};

} // namespace pimentosail
