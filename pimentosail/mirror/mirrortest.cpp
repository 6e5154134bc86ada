#include <atomic>
#include <random>

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
    mirror->merge({{{{"op/c", "1", 12}, false}}, 12, false});
    const MirrorChanges all = mirror->changesAfter(0, Duration(0));
    cr_assert(all.isSnapshot);
    cr_assert_eq(all.changes.size(), 3);
    const MirrorChanges older = mirror->changesAfter(10, Duration(0));
    cr_assert(older.isSnapshot, "the mirror does not know the removals from before its first listing");
    cr_assert_eq(older.changes.size(), 3);
    const MirrorChanges some = mirror->changesAfter(11, Duration(0));
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

// Guards against a host that keeps the entries of targets that left while it was cut off from the store: the host that it asked had listed
// the store after them, and sent it no removals.
Test(mirror, a_host_behind_the_first_listing_of_another_one_receives_the_removals_before_it)
{
    Fixture fixture;
    const auto restarted = fixture.make();
    restarted->merge({{{{"servers/stays", "1", 10}, false}}, 1000, true});
    const auto cutOff = fixture.make();
    cutOff->merge({{{{"servers/stays", "1", 10}, false}, {{"servers/left", "1", 11}, false}}, 900, true});
    cutOff->merge(restarted->changesAfter(900, Duration(0)));
    cr_assert_eq(cutOff->status().revision, 1000);
    cr_assert(cutOff->items("servers/left").empty());
    cr_assert_eq(cutOff->items("servers/").size(), 1);
}

namespace
{

// A store with all its past contents, and mirrors that read it or ask each other. One step is one call, so that every order of listings,
// watches, restarts and calls between hosts can occur.
class MirrorGroup
{
public:
    explicit MirrorGroup(unsigned seed)
        : random(seed)
    {
        for (size_t index = 0; index < HostCount; ++index) {
            this->mirrors.push_back(this->fixture.make());
        }
    }

    void step()
    {
        std::unique_ptr<StoreMirror> &mirror = this->mirrors[this->pick(HostCount)];
        const size_t action = this->pick(10);
        if (action < 4) {
            this->writeOrRemove();
        } else if (action < 5) {
            this->list(*mirror);
        } else if (action < 7) {
            this->watch(*mirror);
        } else if (action < 9) {
            const MirrorChanges changes = this->mirrors[this->pick(HostCount)]->changesAfter(mirror->status().revision, Duration(0));
            // The answer may arrive after another change.
            if (this->pick(2) == 0) {
                this->watch(*mirror);
            }
            mirror->merge(changes);
        } else {
            mirror = this->fixture.make();
        }
    }

    // Returns a difference between the contents of a mirror and those of the store at the mirror's revision; empty if there is none.
    std::string findFault() const
    {
        for (const auto &mirror : this->mirrors) {
            const int64_t revision = mirror->status().revision;
            Contents held;
            for (const StoredItem &item : mirror->items("")) {
                held[item.key] = item.revision;
            }
            const Contents &expected = this->past.at(static_cast<size_t>(revision));
            if (held == expected) {
                continue;
            }
            std::string text = "at revision " + std::to_string(revision) + " a host holds";
            for (const auto &[key, written] : held) {
                text += " " + key + "/" + std::to_string(written);
            }
            text += ", the store had";
            for (const auto &[key, written] : expected) {
                text += " " + key + "/" + std::to_string(written);
            }
            return text;
        }
        return {};
    }

private:
    using Contents = std::map<std::string, int64_t>;
    static constexpr size_t HostCount = 4;
    static constexpr size_t KeyCount = 6;

    size_t pick(size_t count)
    {
        return this->random() % count;
    }

    int64_t revision() const
    {
        return static_cast<int64_t>(this->past.size()) - 1;
    }

    void writeOrRemove()
    {
        const std::string key = "k" + std::to_string(this->pick(KeyCount));
        Contents next = this->past.back();
        const int64_t revision = this->revision() + 1;
        const bool isRemoval = next.contains(key) && this->pick(2) == 0;
        if (isRemoval) {
            next.erase(key);
        } else {
            next[key] = revision;
        }
        this->past.push_back(next);
        this->history.push_back({{key, isRemoval ? "" : "value", revision}, isRemoval});
    }

    void addPage(StoreListing &listing, size_t begin, size_t end) const
    {
        for (size_t index = begin; index < end; ++index) {
            const std::string key = "k" + std::to_string(index);
            const auto entry = this->past.back().find(key);
            if (entry != this->past.back().end()) {
                listing.items.push_back({key, "value", entry->second});
            }
        }
        listing.lastPageRevision = this->revision();
    }

    // Returns the keys in two pages, between which the store may change.
    StoreListing listPages()
    {
        StoreListing listing;
        listing.revision = this->revision();
        this->addPage(listing, 0, KeyCount / 2);
        for (size_t writes = this->pick(3); writes > 0; --writes) {
            this->writeOrRemove();
        }
        this->addPage(listing, KeyCount / 2, KeyCount);
        return listing;
    }

    StoreChanges changesAfter(int64_t revision) const
    {
        StoreChanges result;
        result.revision = this->revision();
        for (const StoreChange &change : this->history) {
            if (change.item.revision > revision) {
                result.changes.push_back(change);
            }
        }
        return result;
    }

    void list(StoreMirror &mirror)
    {
        PrefixStore store;
        store.list = [this](const std::string &) {
            return this->listPages();
        };
        store.watch = [this](const std::string &, int64_t after, Duration) {
            return this->changesAfter(after);
        };
        const StoreListing listing = listAtOneRevision(store);
        MirrorChanges changes;
        changes.revision = listing.revision;
        changes.isSnapshot = true;
        for (const StoredItem &item : listing.items) {
            changes.changes.push_back({item, false});
        }
        mirror.merge(changes);
    }

    void watch(StoreMirror &mirror) const
    {
        const int64_t after = mirror.status().revision;
        if (after > 0) {
            const StoreChanges changes = this->changesAfter(after);
            mirror.merge({changes.changes, changes.revision});
        }
    }

    std::mt19937 random;
    Fixture fixture;
    // Contents by revision: the revision of each key's last write. The store starts at revision 1.
    std::vector<Contents> past{2};
    std::vector<StoreChange> history;
    std::vector<std::unique_ptr<StoreMirror>> mirrors;
};

} // namespace

// Guards against state that a host takes from another one and that the store no longer has, in any order of restarts, listings, watches
// and calls between hosts.
Test(mirror, a_host_holds_what_the_store_had_at_its_revision_whomever_it_asked)
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        MirrorGroup group(seed);
        for (int step = 0; step < 120; ++step) {
            group.step();
            const std::string fault = group.findFault();
            cr_assert(fault.empty(), "seed %u, step %d: %s", seed, step, fault.c_str());
        }
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
