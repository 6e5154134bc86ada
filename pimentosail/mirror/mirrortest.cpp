#include <atomic>

#include <criterion/criterion.h>

#include "pimentosail/base/error.h"
#include "pimentosail/kv/memoryprefixstore.h"
#include "pimentosail/mirror/storemirror.h"

using namespace pimentosail;

namespace
{

struct Fixture
{
    Clock clock;
    MemoryPrefixStore memory{this->clock};
    EventLog log{this->clock, "front-1", [](const std::string &) {
                 }};
    std::mutex mutex;
    std::set<std::string> changedKeys;
    PeerSource peers = [](int64_t, Duration) -> MirrorChanges {
        throw Failure(ErrorKind::PeerLost, "no peer");
    };
    PeerSource relay = [](int64_t, Duration) -> MirrorChanges {
        throw Failure(ErrorKind::PeerLost, "no relay");
    };
    std::atomic<bool> watchesStore{true};
    std::atomic<int> skipped{0};

    std::unique_ptr<StoreMirror> make()
    {
        return std::make_unique<StoreMirror>(this->clock, this->log, this->memory.asPrefixStore(),
            MirrorPeers{[this](int64_t revision, Duration wait) { return this->peers(revision, wait); },
                [this](int64_t revision, Duration wait) { return this->relay(revision, wait); }, [this] { ++this->skipped; },
                [this] { return this->watchesStore.load(); },
                [] {
                    return false;
                }},
            [this](const std::set<std::string> &keys) {
                const std::lock_guard lock(this->mutex);
                this->changedKeys.insert(keys.begin(), keys.end());
            });
    }

    // Waits until `key` has `value` in `mirror`; an empty value means that the key is absent. Returns false after
    // `limit`.
    bool waitForValue(const StoreMirror &mirror, const std::string &key, const std::string &value, Duration limit = Milliseconds(4000))
    {
        const Time end = this->clock.now() + limit;
        while (this->clock.now() < end) {
            const std::vector<StoredItem> items = mirror.items(key);
            if ((items.empty() && value.empty()) || (!items.empty() && items.front().value == value)) {
                return true;
            }
            this->clock.sleepFor(Milliseconds(5));
        }
        return false;
    }
};

} // namespace

Test(mirror, changes_and_removals_arrive)
{
    Fixture fixture;
    fixture.memory.put("op/a", "1");
    const auto mirror = fixture.make();
    mirror->start();
    cr_assert(fixture.waitForValue(*mirror, "op/a", "1"));
    fixture.memory.put("op/a", "2");
    cr_assert(fixture.waitForValue(*mirror, "op/a", "2"));
    fixture.memory.remove("op/a");
    cr_assert(fixture.waitForValue(*mirror, "op/a", ""));
}

Test(mirror, a_lost_history_is_replaced_by_a_listing_that_also_removes_keys)
{
    Fixture fixture;
    fixture.memory.put("op/a", "1");
    fixture.memory.put("op/b", "1");
    const auto mirror = fixture.make();
    mirror->start();
    cr_assert(fixture.waitForValue(*mirror, "op/b", "1"));
    fixture.memory.setDown(true);
    fixture.clock.sleepFor(Milliseconds(50));
    fixture.memory.remove("op/a");
    fixture.memory.put("op/b", "2");
    fixture.memory.compact();
    fixture.memory.setDown(false);
    cr_assert(fixture.waitForValue(*mirror, "op/b", "2"));
    cr_assert(fixture.waitForValue(*mirror, "op/a", ""));
}

Test(mirror, a_host_that_the_store_refuses_receives_changes_from_peers)
{
    Fixture fixture;
    fixture.memory.put("op/a", "1");
    const auto mirror = fixture.make();
    mirror->start();
    cr_assert(fixture.waitForValue(*mirror, "op/a", "1"));
    fixture.memory.setDown(true);
    const int64_t later = mirror->status().revision + 10;
    fixture.peers = [later](int64_t, Duration) {
        return MirrorChanges{{{{"op/a", "from a peer", later}, false}}, later, false};
    };
    cr_assert(fixture.waitForValue(*mirror, "op/a", "from a peer"));
    cr_assert_not(mirror->status().isReachable);
}

Test(mirror, a_key_never_returns_to_an_older_revision)
{
    Fixture fixture;
    const auto mirror = fixture.make();
    mirror->merge({{{{"op/a", "new", 20}, false}}, 20, false});
    mirror->merge({{{{"op/a", "old", 10}, false}}, 10, false});
    cr_assert_eq(mirror->items("op/a").front().value, "new");
    mirror->merge({{{{"op/a", "", 30}, true}}, 30, false});
    mirror->merge({{{{"op/a", "late", 25}, false}}, 25, false});
    cr_assert(mirror->items("op/a").empty(), "a late change does not restore a removed key");
    mirror->merge({{}, 5, true});
    mirror->merge({{{{"op/a", "again", 40}, false}}, 40, false});
    mirror->merge({{}, 35, true});
    cr_assert_eq(mirror->items("op/a").front().value, "again", "an old snapshot removes nothing");
}

Test(mirror, other_hosts_receive_changes_or_a_snapshot)
{
    Fixture fixture;
    const auto mirror = fixture.make();
    mirror->merge({{{{"op/a", "1", 10}, false}, {{"op/b", "1", 11}, false}}, 11, true});
    const MirrorChanges all = mirror->changesAfter(0, Duration(0));
    cr_assert(all.isSnapshot);
    cr_assert_eq(all.changes.size(), 2);
    const MirrorChanges some = mirror->changesAfter(10, Duration(0));
    cr_assert_not(some.isSnapshot);
    cr_assert_eq(some.changes.size(), 1);
}

// Guards against a host that sends to targets that have left: after its restart it took their entries from a host that was cut off from
// the store.
Test(mirror, the_older_contents_of_another_host_restore_no_removed_key)
{
    for (const bool isSnapshot : {true, false}) {
        Fixture fixture;
        const auto mirror = fixture.make();
        mirror->merge({{{{"servers/stays", "1", 10}, false}}, 1000, true});
        mirror->merge({{{{"servers/stays", "1", 10}, false}, {{"servers/left", "1", 11}, false}}, 900, isSnapshot});
        cr_assert(mirror->items("servers/left").empty());
        cr_assert_eq(mirror->status().revision, 1000);
    }
}

// Guards against a follower that still calls the store: when each of many hosts watched the store itself, the watches
// made most of the calls to it.
Test(mirror, a_follower_receives_changes_from_its_relay_without_calling_the_store)
{
    Fixture fixture;
    const auto relay = fixture.make();
    relay->start();
    cr_assert(fixture.waitForValue(*relay, "op/none", ""));
    Fixture other;
    other.watchesStore = false;
    other.memory.setDown(true);
    other.relay = [&relay](int64_t revision, Duration wait) {
        return relay->changesAfter(revision, wait);
    };
    const auto follower = other.make();
    follower->start();
    fixture.memory.put("op/a", "1");
    cr_assert(other.waitForValue(*follower, "op/a", "1", Milliseconds(1000)));
    fixture.memory.remove("op/a");
    cr_assert(other.waitForValue(*follower, "op/a", "", Milliseconds(1000)));
    cr_assert(follower->status().isReachable, "a relay that reaches the store suffices");
    cr_assert_eq(other.skipped.load(), 0);
}

// A change must be in force within about two seconds, also if the relay fails or loses the store.
Test(mirror, a_follower_reads_the_store_itself_when_its_relay_fails_or_has_lost_the_store)
{
    for (const bool relayLostStore : {true, false}) {
        Fixture fixture;
        fixture.watchesStore = false;
        const Clock clock;
        const Time begin = clock.now();
        fixture.relay = [&clock, begin, relayLostStore](int64_t, Duration wait) -> MirrorChanges {
            Clock().sleepFor(wait);
            if (!relayLostStore) {
                throw Failure(ErrorKind::PeerLost, "silent");
            }
            MirrorChanges changes;
            changes.revision = 1;
            changes.isSnapshot = true;
            changes.isReachable = true;
            changes.answerAge = clock.now() - begin;
            return changes;
        };
        const auto follower = fixture.make();
        follower->start();
        fixture.memory.put("op/a", "1");
        cr_assert(fixture.waitForValue(*follower, "op/a", "1", Milliseconds(2000)));
        cr_assert_geq(fixture.skipped.load(), 1);
    }
}
