// The interface to the platform's key-value store: listings and watches of a key prefix, conditional transactions, and
// leases. The client of a real store fills in a value of this type; `MemoryPrefixStore` does so for tests.
//
//     StoreListing listing = store.list("hosts/");
//     StoreChanges next = store.watch("hosts/", listing.revision, Milliseconds(1000));
//     CommitOutcome outcome = store.commit(transaction);
//
// Every function can throw `Failure` (KeyValueUnavailable). After that it is unknown whether a `commit` took effect, and
// it may still take effect later if its conditions are met then. All functions are thread-safe.
//
// A store may come back from an older copy. It then begins a new era: what was written after the copy is lost, and revisions and lease
// ids are given out again. So a revision or a lease means something only together with its era. Conditions on revisions of an earlier
// era fail, and leases of an earlier era have ended. A call during which the era changed throws, as a call without an answer does.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/kv/storeposition.h"

namespace pimentosail
{

struct StoredItem
{
    std::string key;
    std::string value;
    // Revision of the store at the last write of the key.
    int64_t revision = 0;
    // Era in which this write was first read.
    int64_t era = 0;

    StorePosition position() const
    {
        return {this->era, this->revision};
    }
};

struct StoreChange
{
    StoredItem item;
    bool isRemoval = false;
};

// All keys of a prefix. A watch from `revision` reports every change that the listing does not contain.
struct StoreListing
{
    std::vector<StoredItem> items;
    int64_t revision = 0;
    // Revision of the store when the last page was read. If it is above `revision`, the listing may have changes after `revision`, and lack
    // keys that were removed after it.
    int64_t lastPageRevision = 0;
    int64_t era = 0;
};

// The changes after a revision.
struct StoreChanges
{
    std::vector<StoreChange> changes;
    // Revision from which to continue watching.
    int64_t revision = 0;
    // True if the store no longer has all changes after the requested revision, so the caller must list again.
    bool isCompacted = false;
    // Era of the answer. If it is not that of the revision from which the caller watched, `changes` are of another history, and the
    // caller must list again.
    int64_t era = 0;
};

// A lease. Its id is 0 if there is none.
struct StoreLease
{
    int64_t id = 0;
    int64_t era = 0;

    bool isGranted() const
    {
        return this->id != 0;
    }
};

struct StorePut
{
    std::string key;
    std::string value;
    // The key is removed when this lease ends; without a lease, it does not expire.
    StoreLease lease;
};

// A condition of a transaction: the revision that a key must have, and its era; revision 0: the key must not exist.
struct StoreCondition
{
    std::string key;
    int64_t revision = 0;
    int64_t era = 0;
};

// Writes and removals that take effect together, and only if all conditions are met.
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
    // Revision and era of the commit.
    int64_t revision = 0;
    int64_t era = 0;

    StorePosition position() const
    {
        return {this->era, this->revision};
    }
};

struct PrefixStore
{
    std::function<StoreListing(const std::string &prefix)> list;
    // Returns as soon as the store has a revision above `afterRevision`, or after `wait`.
    std::function<StoreChanges(const std::string &prefix, int64_t afterRevision, Duration wait)> watch;
    std::function<CommitOutcome(const StoreTransaction &transaction)> commit;
    // Creates a lease that ends `ttl` after its last renewal.
    std::function<StoreLease(Duration ttl)> grantLease;
    // Renews a lease. Returns false if it has ended.
    std::function<bool(const StoreLease &lease)> keepAlive;
    // Ends a lease and removes its keys. Does nothing for a lease of an earlier era.
    std::function<void(const StoreLease &lease)> revokeLease;
};

// Returns all keys of the store as they were at the revision of the returned listing, also if the store changed while its pages were read.
// Throws `Failure` (KeyValueUnavailable).
StoreListing listAtOneRevision(const PrefixStore &store);

} // namespace pimentosail
