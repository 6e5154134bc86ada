// Tests of the store in memory that comes back from an older copy, and of listings at one revision.
#include <future>

#include <criterion/criterion.h>

#include "pimentosail/base/error.h"
#include "pimentosail/kv/memoryprefixstore.h"

using namespace pimentosail;

namespace
{

constexpr Duration LongWait = std::chrono::seconds(5);

struct RestoreFixture
{
    RestoreFixture()
    {
        this->clock.pause();
    }

    Clock clock;
    MemoryPrefixStore memory{this->clock};
    PrefixStore store = memory.asPrefixStore();
};

// Returns a store whose listing of several pages of era 1 was followed by a change. Its watches are answered by the given eras, one after the other.
PrefixStore makeStoreWithWatchEras(std::vector<int64_t> eras, int &listings)
{
    PrefixStore store;
    store.list = [&listings](const std::string &) {
        ++listings;
        return StoreListing{{{"k", "listed", 4, 1}}, 5, 6, 1};
    };
    store.watch = [eras = std::move(eras), next = size_t(0)](const std::string &, int64_t, Duration) mutable {
        const int64_t era = eras.at(next++);
        return StoreChanges{{{{"k", "watched", 6, era}, false}}, 6, false, era};
    };
    return store;
}

} // namespace

// Guards against a test store that keeps what was written after the copy, or counts on where it was.
Test(prefixstore, a_restored_store_loses_what_came_after_the_copy_and_gives_out_revisions_and_lease_ids_again)
{
    RestoreFixture fixture;
    fixture.memory.put("kept", "1");
    const MemoryPrefixStore::Copy copy = fixture.memory.copy();
    const CommitOutcome lost = fixture.store.commit({{}, {{"lost", "1"}}, {}});
    const StoreLease lostLease = fixture.store.grantLease(LongWait);
    fixture.memory.remove("kept");
    fixture.memory.restore(copy);
    const StoreListing listing = fixture.store.list("");
    cr_assert_eq(listing.items.size(), 1);
    cr_assert_eq(listing.items[0].key, "kept");
    cr_assert_eq(listing.era, lost.era + 1);
    cr_assert_eq(listing.items[0].era, listing.era);
    const CommitOutcome again = fixture.store.commit({{}, {{"other", "1"}}, {}});
    cr_assert_eq(again.revision, lost.revision);
    cr_assert_gt(again.era, lost.era);
    const StoreLease leaseAgain = fixture.store.grantLease(LongWait);
    cr_assert_eq(leaseAgain.id, lostLease.id);
    cr_assert_eq(leaseAgain.era, listing.era);
    cr_assert_eq(fixture.store.commit({{{"other", lost.revision, lost.era}}, {}, {"other"}}).status, CommitStatus::ConditionFailed);
    cr_assert_eq(fixture.store.commit({{}, {{"leased", "1", lostLease}}, {}}).status, CommitStatus::LeaseEnded);
    cr_assert_not(fixture.store.keepAlive(lostLease));
    fixture.store.revokeLease(lostLease);
    cr_assert(fixture.store.keepAlive(leaseAgain));
}

// Guards against leases of the copy that end by the time of before the copy, or bring back what had ended before it.
Test(prefixstore, leases_of_the_copy_run_anew_and_leases_that_had_ended_before_it_stay_ended)
{
    RestoreFixture fixture;
    const StoreLease ended = fixture.store.grantLease(Milliseconds(500));
    const StoreLease running = fixture.store.grantLease(Milliseconds(2000));
    fixture.store.commit({{}, {{"ended", "1", ended}, {"running", "1", running}}, {}});
    fixture.clock.advance(Milliseconds(1000));
    const MemoryPrefixStore::Copy copy = fixture.memory.copy();
    fixture.store.revokeLease(running);
    fixture.clock.advance(Milliseconds(5000));
    fixture.memory.restore(copy);
    cr_assert(fixture.store.list("ended").items.empty());
    fixture.clock.advance(Milliseconds(1900));
    cr_assert_eq(fixture.store.list("running").items.size(), 1, "the lease runs anew, and its key is back");
    fixture.clock.advance(Milliseconds(200));
    cr_assert(fixture.store.list("running").items.empty());
}

// Guards against a watch that goes on waiting for a revision of the lost history.
Test(prefixstore, a_waiting_watch_returns_when_the_store_is_restored)
{
    RestoreFixture fixture;
    fixture.memory.put("a", "1");
    const MemoryPrefixStore::Copy copy = fixture.memory.copy();
    fixture.memory.put("b", "1");
    const StoreListing listing = fixture.store.list("");
    const auto watchDuringRestore = [&fixture, &listing](const MemoryPrefixStore::Copy &older) {
        Clock real;
        const Time begin = real.now();
        std::future<StoreChanges> watch = std::async(std::launch::async, [&] { return fixture.store.watch("", listing.revision, LongWait); });
        real.sleepFor(Milliseconds(100));
        fixture.memory.restore(older);
        const StoreChanges changes = watch.get();
        cr_assert_lt(real.now() - begin, LongWait);
        return changes;
    };
    const StoreChanges same = watchDuringRestore(fixture.memory.copy());
    cr_assert_not(same.isCompacted);
    cr_assert_eq(same.era, listing.era + 1);
    const StoreChanges older = watchDuringRestore(copy);
    cr_assert(older.isCompacted);
    cr_assert_eq(older.era, listing.era + 2);
    fixture.memory.put("c", "1");
    fixture.memory.put("d", "1");
    const StoreChanges other = fixture.store.watch("", listing.revision, Duration(0));
    cr_assert_not(other.isCompacted, "the new history has the revision too");
    cr_assert_eq(other.changes.size(), 1);
    cr_assert_eq(other.changes[0].item.era, other.era);
}

// Guards against a listing of one history that is completed with the changes of another.
Test(prefixstore, a_listing_at_one_revision_takes_changes_of_its_own_era_only)
{
    int listings = 0;
    const StoreListing listing = listAtOneRevision(makeStoreWithWatchEras({2, 1}, listings));
    cr_assert_eq(listings, 2, "after changes of another era the store is listed again");
    cr_assert_eq(listing.era, 1);
    cr_assert_eq(listing.revision, 6);
    cr_assert_eq(listing.items.size(), 1);
    cr_assert_eq(listing.items[0].value, "watched");
    cr_assert_eq(listing.items[0].era, 1);
    listings = 0;
    cr_assert_throw(listAtOneRevision(makeStoreWithWatchEras({2, 2, 2, 2, 2, 2, 2, 2}, listings)), Failure);
}
