// Tests of mirrors whose store comes back from an older copy.
#include <atomic>

#include <criterion/criterion.h>

#include "pimentosail/mirror/mirrorfixture.h"

using namespace pimentosail;

// Guards against a configuration that is not in force because the store came back from an older copy: its listings had lower revisions than the
// contents of the lost history, and were ignored.
Test(mirror, the_contents_of_a_restored_store_replace_the_lost_history)
{
    MirrorFixture fixture;
    fixture.memory.put("op/kept", "1");
    const MemoryPrefixStore::Copy copy = fixture.memory.copy();
    for (int write = 0; write < 20; ++write) {
        fixture.memory.put("op/lost", std::to_string(write));
    }
    const auto mirror = fixture.make();
    mirror->start();
    cr_assert(fixture.waitForValue(*mirror, "op/lost", "19"));
    fixture.memory.setDown(true);
    fixture.clock.sleepFor(Milliseconds(300));
    fixture.memory.restore(copy);
    fixture.memory.put("op/new", "1");
    fixture.memory.setDown(false);
    cr_assert(fixture.waitForValue(*mirror, "op/new", "1", Milliseconds(2000)));
    cr_assert(mirror->items("op/lost").empty());
    cr_assert_eq(mirror->items("op/kept").size(), 1);
    cr_assert_eq(mirror->status().era, 1);
    fixture.memory.put("op/new", "2");
    cr_assert(fixture.waitForValue(*mirror, "op/new", "2", Milliseconds(500)));
}

// The same if the new history has passed the old revisions before the next watch, so that no answer says that the history is lost.
Test(mirror, a_restored_store_is_noticed_also_when_its_revisions_have_passed_the_lost_ones)
{
    MirrorFixture fixture;
    fixture.memory.put("op/kept", "1");
    const MemoryPrefixStore::Copy copy = fixture.memory.copy();
    fixture.memory.put("op/a", "lost");
    const auto mirror = fixture.make();
    mirror->start();
    cr_assert(fixture.waitForValue(*mirror, "op/a", "lost"));
    fixture.memory.setDown(true);
    fixture.clock.sleepFor(Milliseconds(300));
    fixture.memory.restore(copy);
    fixture.memory.put("op/b", "new");
    fixture.memory.put("op/kept", "2");
    fixture.memory.put("op/kept", "3");
    fixture.memory.setDown(false);
    cr_assert(fixture.waitForValue(*mirror, "op/b", "new", Milliseconds(2000)));
    cr_assert(mirror->items("op/a").empty(), "a key of the lost history");
}

// Guards against a relay with the lost history that holds the new one off, and against a host that lags and brings the lost history back.
Test(mirror, a_follower_in_the_new_era_leaves_a_relay_with_the_lost_history)
{
    MirrorFixture relayFixture;
    const auto lagging = relayFixture.make();
    lagging->merge({{{{"op/a", "lost", 50}, false}}, 50, true});
    MirrorFixture fixture;
    fixture.watchesStore = false;
    fixture.relay = [&lagging](const StorePosition &position, Duration) {
        MirrorChanges changes = lagging->changesAfter(position, Milliseconds(20));
        changes.isReachable = true;
        changes.answerAge = Duration(0);
        return changes;
    };
    fixture.memory.restore(fixture.memory.copy());
    fixture.memory.put("op/a", "new");
    const auto follower = fixture.make();
    follower->merge({{{{"op/a", "new", 2}, false}}, 2, true, 1});
    follower->start();
    fixture.memory.put("op/b", "new");
    cr_assert(fixture.waitForValue(*follower, "op/b", "new", Milliseconds(2000)));
    cr_assert_eq(follower->items("op/a").front().value, "new");
    cr_assert_geq(fixture.skipped.load(), 1);
}

// Guards against changes that are merged into contents of another era, because both have the same revisions.
Test(mirror, changes_of_another_era_are_not_merged)
{
    MirrorFixture fixture;
    const auto mirror = fixture.make();
    mirror->merge({{{{"op/a", "1", 10}, false}}, 10, true, 1});
    mirror->merge({{{{"op/a", "lost", 20}, false}}, 20, false, 0});
    mirror->merge({{{{"op/a", "lost", 20}, false}}, 20, true, 0});
    mirror->merge({{{{"op/a", "later", 11}, false}}, 11, false, 2});
    cr_assert_eq(mirror->items("op/a").front().value, "1");
    mirror->merge({{{{"op/a", "2", 9}, false}}, 9, true, 2});
    cr_assert_eq(mirror->items("op/a").front().value, "2");
    cr_assert(mirror->items("op/a").front().position() == (StorePosition{2, 9}));
    cr_assert(mirror->changesAfter({1, 10}, Duration(0)).isSnapshot, "a host of the former era gets all contents");
    const MirrorChanges none = mirror->changesAfter({3, 1}, Duration(0));
    cr_assert(none.changes.empty() && !none.isSnapshot, "a host of a later era gets nothing");
}

// Guards against a host that lists the store again and again without a pause, because its contents name a later era than the store.
Test(mirror, a_host_whose_contents_name_a_later_era_than_the_store_pauses_between_listings)
{
    MirrorFixture fixture;
    fixture.memory.put("op/a", "1");
    PrefixStore store = fixture.memory.asPrefixStore();
    std::atomic<int> listings{0};
    const auto list = store.list;
    store.list = [&listings, list](const std::string &prefix) {
        ++listings;
        return list(prefix);
    };
    StoreMirror mirror(fixture.clock, fixture.log, store,
        MirrorPeers{[](const StorePosition &, Duration) -> MirrorChanges { throw Failure(ErrorKind::PeerLost, "no"); },
            [](const StorePosition &, Duration) -> MirrorChanges { throw Failure(ErrorKind::PeerLost, "no"); }, [] {}, [] { return true; },
            [] {
                return false;
            }},
        [](const std::set<std::string> &) {});
    MirrorChanges later{{{{"op/a", "x", 9}, false}}, 9, true, 4};
    mirror.merge(later);
    mirror.start();
    fixture.clock.sleepFor(Milliseconds(500));
    mirror.stop();
    cr_assert_lt(listings.load(), 10, "%d listings in 500 ms", listings.load());
}

// Guards against needless listings by all hosts at the return of the store: another host has sent the new contents already.
Test(mirror, a_host_that_has_the_new_era_from_another_host_does_not_list_the_store)
{
    MirrorFixture fixture;
    fixture.memory.put("op/a", "1");
    const MemoryPrefixStore::Copy copy = fixture.memory.copy();
    fixture.memory.put("op/a", "2");
    PrefixStore store = fixture.memory.asPrefixStore();
    std::atomic<int> listings{0};
    const auto list = store.list;
    store.list = [&listings, list](const std::string &prefix) {
        ++listings;
        return list(prefix);
    };
    const auto watch = store.watch;
    std::atomic<StoreMirror *> own{nullptr};
    store.watch = [&](const std::string &prefix, int64_t after, Duration wait) {
        const StoreChanges result = watch(prefix, after, wait);
        if (result.era == 1 && own.load()->status().era == 0) {
            // The peer thread merges while the answer is under way.
            own.load()->merge({{{{"op/a", "1", 1}, false}}, result.revision, true, 1});
        }
        return result;
    };
    StoreMirror mirror(fixture.clock, fixture.log, store,
        MirrorPeers{[](const StorePosition &, Duration) -> MirrorChanges { throw Failure(ErrorKind::PeerLost, "no"); },
            [](const StorePosition &, Duration) -> MirrorChanges { throw Failure(ErrorKind::PeerLost, "no"); }, [] {}, [] { return true; },
            [] {
                return false;
            }},
        [](const std::set<std::string> &) {});
    own = &mirror;
    mirror.start();
    cr_assert(fixture.waitForValue(mirror, "op/a", "2"));
    fixture.memory.restore(copy);
    cr_assert(fixture.waitForValue(mirror, "op/a", "1"));
    fixture.clock.sleepFor(Milliseconds(200));
    mirror.stop();
    cr_assert_eq(listings.load(), 1, "%d", listings.load());
}
