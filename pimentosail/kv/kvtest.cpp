#include <criterion/criterion.h>

#include "pimentosail/base/error.h"
#include "pimentosail/kv/etcdclient.h"
#include "pimentosail/kv/keyvaluestore.h"
#include "pimentosail/kv/memorykeyvalue.h"
#include "pimentosail/kv/prefixstore.h"

using namespace pimentosail;

namespace
{

struct Fixture
{
    Fixture()
    {
        this->clock.pause();
    }
    Clock clock;
    std::shared_ptr<MemoryKeyValue> memory = std::make_shared<MemoryKeyValue>(this->clock);
    KeyValueStore store = KeyValueStore::inMemory(this->memory);
};

} // namespace

Test(kv, compare_and_swap_has_one_winner)
{
    Fixture fixture;
    const SwapOutcome first = fixture.store.compareAndSwap("k", 0, "a", 0);
    cr_assert(first.swapped);
    cr_assert_not(fixture.store.compareAndSwap("k", 0, "b", 0).swapped);
    cr_assert(fixture.store.compareAndSwap("k", first.modRevision, "c", 0).swapped);
    cr_assert_eq(fixture.store.get("k")->value, std::string("c"));
}

Test(kv, a_lease_ends_with_its_keys)
{
    Fixture fixture;
    const int64_t lease = fixture.store.grantLease(std::chrono::seconds(5));
    fixture.store.compareAndSwap("k", 0, "a", lease);
    fixture.clock.advance(std::chrono::seconds(4));
    cr_assert(fixture.store.keepAlive(lease));
    fixture.clock.advance(std::chrono::seconds(6));
    cr_assert_not(fixture.store.get("k").has_value());
    cr_assert_not(fixture.store.keepAlive(lease));
}

Test(kv, a_swap_whose_answer_is_lost_takes_effect_once)
{
    Fixture fixture;
    fixture.memory->loseNextAnswers(1);
    const SwapOutcome outcome = compareAndSwapWithRetry(fixture.store, "k", 0, "mine", 0);
    cr_assert(outcome.swapped);
    cr_assert_eq(fixture.store.get("k")->modRevision, outcome.modRevision);
}

Test(kv, a_failed_swap_is_not_reported_as_done_when_its_answer_is_lost)
{
    Fixture fixture;
    fixture.store.compareAndSwap("k", 0, "other", 0);
    fixture.memory->loseNextAnswers(1);
    cr_assert_not(compareAndSwapWithRetry(fixture.store, "k", 0, "mine", 0).swapped);
    cr_assert_eq(fixture.store.get("k")->value, std::string("other"));
}

Test(kv, an_outage_is_reported_as_unavailable)
{
    Fixture fixture;
    fixture.memory->setDown(true);
    cr_assert_throw(compareAndSwapWithRetry(fixture.store, "k", 0, "mine", 0), Failure);
    fixture.memory->setDown(false);
    cr_assert_not(fixture.store.get("k").has_value());
}

Test(kv, list_returns_a_prefix_in_order)
{
    Fixture fixture;
    for (const char *key : {"a/2", "a/1", "b/1"}) {
        fixture.store.compareAndSwap(key, 0, key, 0);
    }
    const std::vector<KeyValue> items = fixture.store.list("a/");
    cr_assert_eq(items.size(), 2U);
    cr_assert_eq(items[0].key, std::string("a/1"));
}

Test(kv, base64_keeps_every_byte)
{
    std::string bytes;
    for (int value = 0; value < 256; ++value) {
        bytes.push_back(static_cast<char>(value));
    }
    cr_assert_eq(decodeBase64(encodeBase64(bytes)), bytes);
}

// Guards against a listing that lacks a key which the store had at the listing's revision: the pages are read one after the other.
Test(prefixstore, a_listing_whose_pages_straddle_changes_is_brought_to_one_revision)
{
    int listings = 0;
    int watches = 0;
    PrefixStore store;
    store.list = [&listings](const std::string &) -> StoreListing {
        ++listings;
        return {{{"a", "1", 5}, {"b", "1", 6}, {"d", "2", 12}}, 10, 12};
    };
    store.watch = [&watches](const std::string &, int64_t after, Duration) -> StoreChanges {
        cr_assert_eq(after, 10);
        if (++watches == 1) {
            return {{}, 0, true};
        }
        return {{{{"a", "", 11}, true}, {{"d", "2", 12}, false}, {{"c", "3", 13}, false}}, 13, false};
    };
    const StoreListing listing = listAtOneRevision(store);
    cr_assert_eq(listings, 2, "a listing whose history is lost is read again");
    cr_assert_eq(listing.revision, 13);
    cr_assert_eq(listing.items.size(), 3);
    cr_assert_eq(listing.items[0].key, "b");
    cr_assert_eq(listing.items[1].key, "c");
    cr_assert_eq(listing.items[2].revision, 12);
}

Test(prefixstore, a_store_that_always_loses_its_history_while_it_is_listed_is_an_error)
{
    PrefixStore store;
    store.list = [](const std::string &) -> StoreListing {
        return {{}, 10, 12};
    };
    store.watch = [](const std::string &, int64_t, Duration) -> StoreChanges {
        return {{}, 0, true};
    };
    cr_assert_throw(listAtOneRevision(store), Failure);
}
