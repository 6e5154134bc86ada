#include <criterion/criterion.h>

#include "pimentosail/kvcache/cachejournal.h"

using namespace pimentosail;

namespace
{

CacheStore makeStore(const std::string &name)
{
    CacheStore store;
    store.name = name;
    store.address = name + ":80";
    store.capacityTokens = 100000;
    return store;
}

} // namespace

// Guards against documents that grow with the number of cache stores, changed or not: each follower asks for them several times a
// second.
Test(cachejournal, a_reader_receives_the_status_of_a_store_only_when_it_needs_it)
{
    Clock clock;
    CacheStores stores(clock);
    stores.setStores({makeStore("a"), makeStore("b"), makeStore("c")}, std::chrono::seconds(12));
    CacheJournal journal(stores);
    const auto read = [&journal](JournalPosition &position) {
        CacheChanges changes = journal.changesAfter(position, Milliseconds(1));
        position = {changes.journal, changes.next, changes.statusPosition};
        return changes;
    };
    JournalPosition position;
    CacheChanges changes = read(position);
    cr_assert(changes.isSnapshot);
    cr_assert_eq(changes.stores.size(), 3);
    cr_assert(read(position).stores.empty(), "nothing has changed");
    const CacheEvents events{7, 1, false, {{"s", "x", 10, false}}};
    stores.apply("b", events);
    journal.record("b", events);
    changes = read(position);
    cr_assert_eq(changes.stores.size(), 1);
    cr_assert_eq(changes.stores[0].store, "b");
    cr_assert_eq(changes.stores[0].epoch, 7);
    cr_assert_eq(changes.changes.size(), 1);
    stores.setReachable("c", false);
    changes = read(position);
    cr_assert_eq(changes.stores.size(), 1);
    cr_assert_not(changes.stores[0].isReachable);
    JournalPosition earlierVersion{position.journal, position.next, -1};
    cr_assert_eq(read(earlierVersion).stores.size(), 3, "a host that names no status receives all");
}
