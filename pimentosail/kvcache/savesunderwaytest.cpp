#include <criterion/criterion.h>

#include "pimentosail/kvcache/storecontents.h"

using namespace pimentosail;

namespace
{

constexpr Duration LongestRequest = std::chrono::seconds(12);
const std::vector<PromptBlock> SharedBlock{{"shared", 2000}};

CacheStore makeStore(const std::string &name)
{
    CacheStore store;
    store.name = name;
    store.address = name + ":80";
    store.zone = "z1";
    store.linkMbps = 58000;
    store.capacityTokens = 1000000;
    return store;
}

// What one host knows of one cache store, and of the saves of others.
class HostKnowledge
{
public:
    HostKnowledge(Clock &hostClock, bool isFirstStart = true)
        : stores(hostClock, isFirstStart)
        , clock(hostClock)
    {
        this->stores.setStores({makeStore("jar")}, LongestRequest);
        this->learn({});
    }

    // The store is in epoch 1 and reports `events`.
    void learn(const std::vector<CacheEvent> &events)
    {
        this->stores.apply("jar", {1, 0, false, events});
        this->confirm();
    }
    void learnThatBlockIsStored()
    {
        this->learn({{"w1", "shared", 2000, false}});
    }
    void confirm()
    {
        this->stores.confirm("jar", 1, this->clock.nowWithSuspend());
    }

    CachePlan plan()
    {
        this->confirm();
        return this->stores.plan("w1", SharedBlock, 1, "z1", Milliseconds(200), 0);
    }

    // Sends a report to `other`.
    void reportTo(HostKnowledge &other)
    {
        this->stores.saves().beginInterval();
        for (const SaveNotice &notice : this->stores.saves().changes(SaveScope::Own)) {
            other.stores.saves().record(notice, SaveScope::All);
        }
    }

    CacheStores stores;

private:
    Clock &clock;
};

struct Fixture
{
    Fixture()
    {
        this->clock.pause();
        this->clock.advance(std::chrono::seconds(10));
    }

    Clock clock;
};

} // namespace

// Guards against a prompt that is told to fetch a block while another host's prompt, which waits at its target, will save it: after a restart of the
// store, the first reads what the second is writing (review/13).
Test(saves_under_way, a_block_is_not_fetched_while_another_host_may_still_save_it)
{
    Fixture fixture;
    HostKnowledge saver(fixture.clock);
    HostKnowledge reader(fixture.clock);
    const CachePlan waiting = saver.plan();
    cr_assert(waiting.hasSave());
    saver.reportTo(reader);
    cr_assert_not(reader.plan().hasSave(), "two saves of one block to one store");
    reader.learnThatBlockIsStored();
    fixture.clock.advance(SavesUnderWay::SettleTime);
    const CachePlan early = reader.plan();
    cr_assert_not(early.hasFetch());
    cr_assert_eq(early.withheldTokens, 2000);
    waiting.saves->end();
    saver.reportTo(reader);
    cr_assert(reader.plan().hasFetch());
    saver.learnThatBlockIsStored();
    fixture.clock.advance(SavesUnderWay::SettleTime);
    cr_assert(saver.plan().hasFetch());
}

// Guards against two hosts that choose the same block at the same moment: the block is stored by one save, and the other one waits.
Test(saves_under_way, a_block_is_fetched_only_when_saves_chosen_at_the_same_moment_are_known)
{
    Fixture fixture;
    HostKnowledge first(fixture.clock);
    HostKnowledge second(fixture.clock);
    const CachePlan begun = first.plan();
    const CachePlan waiting = second.plan();
    cr_assert(begun.hasSave() && waiting.hasSave());
    begun.saves->end();
    first.learnThatBlockIsStored();
    cr_assert_not(first.plan().hasFetch(), "the other save may not be known yet");
    fixture.clock.advance(Milliseconds(100));
    second.reportTo(first);
    fixture.clock.advance(SavesUnderWay::SettleTime - Milliseconds(101));
    cr_assert_not(first.plan().hasFetch());
    fixture.clock.advance(std::chrono::seconds(2));
    cr_assert_not(first.plan().hasFetch(), "the save is under way");
    waiting.saves->end();
    second.reportTo(first);
    cr_assert(first.plan().hasFetch());
}

// Guards against a wait that has prompts read again: once a save has been known for the time of the notices, all others are known too.
Test(saves_under_way, a_block_whose_save_has_been_known_for_long_is_fetched_at_once)
{
    Fixture fixture;
    HostKnowledge saver(fixture.clock);
    HostKnowledge reader(fixture.clock);
    const CachePlan plan = saver.plan();
    saver.reportTo(reader);
    fixture.clock.advance(SavesUnderWay::SettleTime);
    plan.saves->end();
    saver.reportTo(reader);
    for (HostKnowledge *host : {&saver, &reader}) {
        host->learnThatBlockIsStored();
        cr_assert(host->plan().hasFetch());
    }
}

// Guards against a save that is forgotten because its host has ended or has closed the connection: the prompt may begin until its deadline. A host that
// starts hears of it from the others, and fetches nothing before.
Test(saves_under_way, a_save_of_a_host_that_has_ended_is_under_way_until_its_prompt_can_no_longer_begin)
{
    Fixture fixture;
    HostKnowledge other(fixture.clock);
    {
        HostKnowledge ended(fixture.clock);
        const CachePlan plan = ended.plan();
        plan.saves->recordSent(fixture.clock.nowWithSuspend() + LongestRequest);
        ended.reportTo(other);
        plan.saves->abandon();
    }
    fixture.clock.advance(std::chrono::seconds(2));
    HostKnowledge restarted(fixture.clock, false);
    restarted.learnThatBlockIsStored();
    cr_assert_not(restarted.plan().hasFetch());
    other.reportTo(restarted);
    fixture.clock.advance(SavesUnderWay::RepeatInterval + SavesUnderWay::SettleTime);
    cr_assert_not(restarted.plan().hasFetch(), "the other host has told it");
    fixture.clock.advance(CacheStores::MaxTransit + LongestRequest);
    cr_assert(restarted.plan().hasFetch());
}

// Guards against notices that are lost or come out of order.
Test(saves_under_way, each_change_is_part_of_several_reports_and_an_ended_save_does_not_begin_again)
{
    Fixture fixture;
    SavesUnderWay sender(fixture.clock);
    SavesUnderWay receiver(fixture.clock);
    const uint64_t key = SavesUnderWay::keyOf("jar", "w1", "shared");
    const uint64_t number = sender.begin(key, fixture.clock.nowWithSuspend() + LongestRequest);
    sender.beginInterval();
    const std::vector<SaveNotice> begun = sender.changes(SaveScope::Own);
    cr_assert_eq(begun.size(), 1);
    sender.beginInterval();
    cr_assert_eq(sender.changes(SaveScope::Own).size(), 1, "the first datagram may be lost");
    sender.beginInterval();
    cr_assert_eq(sender.changes(SaveScope::Own).size(), 0);
    sender.end(key, number);
    sender.beginInterval();
    receiver.record(sender.changes(SaveScope::Own).at(0), SaveScope::All);
    receiver.record(begun.at(0), SaveScope::All);
    cr_assert_not(receiver.youngest(key).has_value(), "the notice of its beginning came late");
    cr_assert_eq(receiver.count(), 0);
    // What a relay hears from its followers goes to other relays, and what it hears from those only to its followers.
    const uint64_t other = SavesUnderWay::keyOf("jar", "w1", "other");
    receiver.record({other, 5, 1, std::chrono::seconds(3)}, SaveScope::Group);
    receiver.record({other, 6, 1, std::chrono::seconds(3)}, SaveScope::All);
    cr_assert_eq(receiver.changes(SaveScope::Own).size(), 0);
    cr_assert_eq(receiver.changes(SaveScope::Group).size(), 1);
    cr_assert_eq(receiver.changes(SaveScope::All).size(), 3);
    cr_assert_eq(receiver.count(), 2);
    fixture.clock.advance(std::chrono::seconds(3));
    cr_assert_eq(receiver.count(), 0, "no end was heard of");
}

// Guards against a host that takes a restart of the store for its first use, because its settings still say that the system starts for the first time.
Test(saves_under_way, a_store_of_which_another_epoch_is_stated_is_not_new)
{
    Fixture fixture;
    for (const bool isStatedFirst : {true, false}) {
        CacheStores stores(fixture.clock, true);
        if (isStatedFirst) {
            stores.openEpoch("jar", 1);
        }
        stores.setStores({makeStore("jar")}, LongestRequest);
        stores.apply("jar", {2, 0, false, {}});
        stores.openEpoch("jar", 1);
        cr_assert_eq(stores.saveDelay("jar"), StoreEpoch::Lease + CacheStores::MaxTransit + LongestRequest);
    }
}
