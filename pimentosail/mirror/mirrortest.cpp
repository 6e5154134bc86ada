#include <atomic>
#include <random>

#include <criterion/criterion.h>

#include "pimentosail/mirror/mirrorfixture.h"

using namespace pimentosail;

Test(mirror, changes_and_removals_arrive)
{
    MirrorFixture fixture;
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
    MirrorFixture fixture;
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
    MirrorFixture fixture;
    fixture.memory.put("op/a", "1");
    const auto mirror = fixture.make();
    mirror->start();
    cr_assert(fixture.waitForValue(*mirror, "op/a", "1"));
    fixture.memory.setDown(true);
    const int64_t later = mirror->status().revision + 10;
    fixture.peers = [later](const StorePosition &, Duration) {
        return MirrorChanges{{{{"op/a", "from a peer", later}, false}}, later, false};
    };
    cr_assert(fixture.waitForValue(*mirror, "op/a", "from a peer"));
    cr_assert_not(mirror->status().isReachable);
}

Test(mirror, a_key_never_returns_to_an_older_revision)
{
    MirrorFixture fixture;
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
    MirrorFixture fixture;
    const auto mirror = fixture.make();
    mirror->merge({{{{"op/a", "1", 10}, false}, {{"op/b", "1", 11}, false}}, 11, true});
    mirror->merge({{{{"op/c", "1", 12}, false}}, 12, false});
    const MirrorChanges all = mirror->changesAfter({0, 0}, Duration(0));
    cr_assert(all.isSnapshot);
    cr_assert_eq(all.changes.size(), 3);
    const MirrorChanges older = mirror->changesAfter({0, 10}, Duration(0));
    cr_assert(older.isSnapshot, "the mirror does not know the removals from before its first listing");
    cr_assert_eq(older.changes.size(), 3);
    const MirrorChanges some = mirror->changesAfter({0, 11}, Duration(0));
    cr_assert_not(some.isSnapshot);
    cr_assert_eq(some.changes.size(), 1);
}

// Guards against a host that sends to targets that have left: after its restart it took their entries from a host that was cut off from
// the store.
Test(mirror, the_older_contents_of_another_host_restore_no_removed_key)
{
    for (const bool isSnapshot : {true, false}) {
        MirrorFixture fixture;
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
    MirrorFixture fixture;
    const auto restarted = fixture.make();
    restarted->merge({{{{"servers/stays", "1", 10}, false}}, 1000, true});
    const auto cutOff = fixture.make();
    cutOff->merge({{{{"servers/stays", "1", 10}, false}, {{"servers/left", "1", 11}, false}}, 900, true});
    cutOff->merge(restarted->changesAfter({0, 900}, Duration(0)));
    cr_assert_eq(cutOff->status().revision, 1000);
    cr_assert(cutOff->items("servers/left").empty());
    cr_assert_eq(cutOff->items("servers/").size(), 1);
}

namespace
{

// A store with all its past contents, and mirrors that read it or ask each other. One step is one call, so that every order of listings,
// watches, restarts and calls between hosts can occur, also around a return of the store from an older copy.
class MirrorGroup
{
public:
    explicit MirrorGroup(unsigned seed, bool storeIsRestored)
        : random(seed)
        , restoresStore(storeIsRestored)
    {
        for (size_t index = 0; index < HostCount; ++index) {
            this->mirrors.push_back(this->fixture.make());
        }
    }

    void step()
    {
        std::unique_ptr<StoreMirror> &mirror = this->mirrors[this->pick(HostCount)];
        const size_t action = this->pick(10);
        if (this->restoresStore && this->pick(30) == 0) {
            this->restore();
        } else if (action < 4) {
            this->writeOrRemove();
        } else if (action < 5) {
            this->list(*mirror);
        } else if (action < 7) {
            this->watch(*mirror);
        } else if (action < 9) {
            const MirrorChanges changes = this->mirrors[this->pick(HostCount)]->changesAfter(mirror->status().position(), Duration(0));
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
            const StorePosition position = mirror->status().position();
            Contents held;
            for (const StoredItem &item : mirror->items("")) {
                held[item.key] = {item.revision, item.value};
            }
            const Contents &expected = this->eras.at(static_cast<size_t>(position.era)).past.at(static_cast<size_t>(position.revision));
            if (held == expected) {
                continue;
            }
            const auto print = [](const Contents &contents) {
                std::string text;
                for (const auto &[key, write] : contents) {
                    text += " " + key + "/" + std::to_string(write.first) + "=" + write.second;
                }
                return text;
            };
            return "in era " + std::to_string(position.era) + " at revision " + std::to_string(position.revision) + " a host holds" + print(held)
                + ", the store had" + print(expected);
        }
        return {};
    }

private:
    // Revision and value by key.
    using Contents = std::map<std::string, std::pair<int64_t, std::string>>;

    struct Era
    {
        // Contents by revision. The store starts at revision 1.
        std::vector<Contents> past{2};
        std::vector<StoreChange> history;
    };

    static constexpr size_t HostCount = 4;
    static constexpr size_t KeyCount = 6;

    size_t pick(size_t count)
    {
        return this->random() % count;
    }

    int64_t revision() const
    {
        return static_cast<int64_t>(this->present().past.size()) - 1;
    }

    const Era &present() const
    {
        return this->eras.back();
    }

    int64_t era() const
    {
        return static_cast<int64_t>(this->eras.size()) - 1;
    }

    // Begins an era with the contents and the history of some revisions ago.
    void restore()
    {
        Era next = this->present();
        next.past.resize(next.past.size() - std::min(this->pick(8), next.past.size() - 2));
        const auto last = static_cast<int64_t>(next.past.size()) - 1;
        std::erase_if(next.history, [last](const StoreChange &change) { return change.item.revision > last; });
        this->eras.push_back(std::move(next));
    }

    void writeOrRemove()
    {
        const std::string key = "k" + std::to_string(this->pick(KeyCount));
        Era &era = this->eras.back();
        Contents next = era.past.back();
        const int64_t revision = this->revision() + 1;
        const std::string value = "write " + std::to_string(++this->writes);
        const bool isRemoval = next.contains(key) && this->pick(2) == 0;
        if (isRemoval) {
            next.erase(key);
        } else {
            next[key] = {revision, value};
        }
        era.past.push_back(next);
        era.history.push_back({{key, isRemoval ? "" : value, revision}, isRemoval});
    }

    void addPage(StoreListing &listing, size_t begin, size_t end) const
    {
        for (size_t index = begin; index < end; ++index) {
            const std::string key = "k" + std::to_string(index);
            const auto entry = this->present().past.back().find(key);
            if (entry != this->present().past.back().end()) {
                listing.items.push_back({key, entry->second.second, entry->second.first});
            }
        }
        listing.lastPageRevision = this->revision();
        listing.era = this->era();
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
        result.era = this->era();
        result.isCompacted = revision > result.revision;
        for (const StoreChange &change : this->present().history) {
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
        changes.era = listing.era;
        changes.isSnapshot = true;
        for (const StoredItem &item : listing.items) {
            changes.changes.push_back({item, false});
        }
        mirror.merge(changes);
    }

    void watch(StoreMirror &mirror)
    {
        const StorePosition after = mirror.status().position();
        if (after.revision == 0) {
            return;
        }
        const StoreChanges changes = this->changesAfter(after.revision);
        if (changes.isCompacted || changes.era != after.era) {
            this->list(mirror);
        } else {
            mirror.merge({changes.changes, changes.revision, false, changes.era});
        }
    }

    std::mt19937 random;
    const bool restoresStore;
    MirrorFixture fixture;
    std::vector<Era> eras{1};
    int writes = 0;
    std::vector<std::unique_ptr<StoreMirror>> mirrors;
};

} // namespace

// Guards against state that a host takes from another one and that the store no longer has, in any order of restarts, listings, watches
// and calls between hosts.
Test(mirror, a_host_holds_what_the_store_had_at_its_revision_whomever_it_asked)
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        MirrorGroup group(seed, false);
        for (int step = 0; step < 120; ++step) {
            group.step();
            const std::string fault = group.findFault();
            cr_assert(fault.empty(), "seed %u, step %d: %s", seed, step, fault.c_str());
        }
    }
}

// The same around a store that comes back from an older copy and gives out its revisions again: hosts kept the lost history until the new one had passed
// it, or took it from each other.
Test(mirror, a_host_holds_what_the_store_had_in_its_era_when_the_store_is_restored)
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        MirrorGroup group(seed, true);
        for (int step = 0; step < 200; ++step) {
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
    MirrorFixture fixture;
    const auto relay = fixture.make();
    relay->start();
    cr_assert(fixture.waitForValue(*relay, "op/none", ""));
    MirrorFixture other;
    other.watchesStore = false;
    other.memory.setDown(true);
    other.relay = [&relay](const StorePosition &position, Duration wait) {
        return relay->changesAfter(position, wait);
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
        MirrorFixture fixture;
        fixture.watchesStore = false;
        const Clock clock;
        const Time begin = clock.now();
        fixture.relay = [&clock, begin, relayLostStore](const StorePosition &, Duration wait) -> MirrorChanges {
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
