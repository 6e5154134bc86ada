#include <criterion/criterion.h>

#include <algorithm>

#include "pimentosail/delivery/versionoutcomes.h"

using namespace pimentosail;

namespace
{

const DeliveryOrder Order = *DeliveryOrder::make("chat", "v2", 12, {1, 7});
const OutcomeKey New{"chat", "v2", "/a"};
const OutcomeKey Old{"chat", "v1", "/a"};

void answer(VersionOutcomeTable &table, const OutcomeKey &key, int count)
{
    for (int index = 0; index < count; ++index) {
        table.recordAnswer(key, {.firstEvent = Milliseconds(20)});
    }
}

int64_t answersOf(const std::vector<OutcomeRow> &rows, const OutcomeKey &key)
{
    const auto found = std::find_if(rows.begin(), rows.end(), [&key](const OutcomeRow &row) { return row.key == key; });
    return found == rows.end() ? 0 : found->counts.answers;
}

// Sends the report of a host to another one.
void report(VersionOutcomeTable &from, VersionOutcomeTable &to, const char *sender, uint64_t sequence)
{
    const OutcomeReport sent = from.ownReport("", sequence);
    to.recordReport(OutcomeSource::Direct, sender, sent.stream, sequence, sent.rows);
}

} // namespace

// Load: none. Failure: a host counts and reports without an order.
Test(versionoutcomes, without_an_order_nothing_is_counted)
{
    VersionOutcomeTable table(1);
    answer(table, New, 5);
    cr_assert(table.totals().empty());
    cr_assert(table.ownReport("", 1).rows.empty());
    table.recordReport(OutcomeSource::Direct, "b", 9, 1, {{New, {.answers = 3}, {1, 7}}});
    cr_assert(table.totals().empty());
    cr_assert_eq(table.dropped(), 0);
}

// Failure: lost and late reports make the sums too small or too large.
Test(versionoutcomes, a_later_report_repairs_a_lost_one_and_late_ones_change_nothing)
{
    VersionOutcomeTable a(1);
    VersionOutcomeTable b(2);
    a.begin(Order);
    b.begin(Order);
    answer(a, New, 2);
    const OutcomeReport first = a.ownReport("", 1);
    answer(a, New, 3);
    a.ownReport("", 2);
    answer(a, New, 1);
    report(a, b, "a", 3);
    cr_assert_not(b.recordReport(OutcomeSource::Direct, "a", first.stream, 1, first.rows));
    answer(b, New, 10);
    cr_assert_eq(answersOf(b.totals(), New), 16);
}

// Failure: a restarted host takes back what it counted before, or counts it twice.
Test(versionoutcomes, the_counts_of_a_restarted_host_add_up)
{
    VersionOutcomeTable receiver(9);
    receiver.begin(Order);
    VersionOutcomeTable before(1);
    before.begin(Order);
    answer(before, New, 5);
    report(before, receiver, "a", 40);
    VersionOutcomeTable after(2);
    after.begin(Order);
    answer(after, New, 2);
    report(after, receiver, "a", 1);
    report(before, receiver, "a", 41);
    cr_assert_eq(answersOf(receiver.totals(), New), 7);
}

// Failure: rows under a former order count for the next one, since hosts learn of an order one after another.
Test(versionoutcomes, rows_of_another_order_are_left_out)
{
    const DeliveryOrder next = *DeliveryOrder::make("chat", "v3", 12, {1, 9});
    VersionOutcomeTable a(1);
    VersionOutcomeTable b(2);
    a.begin(Order);
    b.begin(Order);
    answer(a, Old, 5);
    report(a, b, "a", 1);
    b.begin(next);
    cr_assert(b.totals().empty());
    report(a, b, "a", 2);
    cr_assert(b.totals().empty(), "the sender has not learnt of the order");
    a.begin(next);
    answer(a, Old, 1);
    report(a, b, "a", 3);
    cr_assert_eq(answersOf(b.totals(), Old), 1);
    // The same order at another position, as after the store was restored, keeps the counts.
    DeliveryOrder rewritten = next;
    rewritten.position = {2, 3};
    b.begin(rewritten);
    cr_assert_eq(answersOf(b.totals(), Old), 1);
    b.end("chat");
    cr_assert(b.totals().empty());
}

// Failure: a follower that changes its relay, because the first was lost, counts twice or not at all.
Test(versionoutcomes, a_follower_that_changes_relays_is_counted_once)
{
    VersionOutcomeTable first(1);
    VersionOutcomeTable second(2);
    VersionOutcomeTable follower(3);
    for (VersionOutcomeTable *table : {&first, &second, &follower}) {
        table->begin(Order);
    }
    const auto follow = [&follower](VersionOutcomeTable &relay, const char *name, uint64_t sequence) {
        const OutcomeReport sent = follower.ownReport(name, sequence);
        relay.recordReport(OutcomeSource::Follower, "f", sent.stream, sequence, sent.rows);
    };
    answer(follower, New, 4);
    follow(first, "first/1", 1);
    const OutcomeReport group = first.groupReport();
    second.recordReport(OutcomeSource::Group, "first", group.stream, 1, group.rows);
    follower.acknowledge("first/1", 1);
    follower.recordTotals(first.totals());
    cr_assert_eq(answersOf(follower.totals(), New), 4);
    // The first relay is lost, and with it the next report.
    answer(follower, New, 3);
    follower.ownReport("first/1", 2);
    follow(second, "second/2", 3);
    cr_assert_eq(answersOf(second.totals(), New), 7);
    answer(follower, New, 1);
    follow(second, "second/2", 4);
    cr_assert_eq(answersOf(second.totals(), New), 8);
    follower.forgetTotals();
    cr_assert_eq(answersOf(follower.totals(), New), 4, "what the first relay acknowledged is not counted as its own");
}

// Failure: a relay that follows another one and becomes a relay again sends what its followers reported a second time.
Test(versionoutcomes, the_group_sums_of_a_relay_hold_its_followers_once)
{
    VersionOutcomeTable relay(1);
    VersionOutcomeTable other(2);
    relay.begin(Order);
    other.begin(Order);
    const auto sendGroup = [&](uint64_t sequence) {
        const OutcomeReport group = relay.groupReport();
        other.recordReport(OutcomeSource::Group, "relay", group.stream, sequence, group.rows);
    };
    answer(relay, New, 2);
    relay.recordReport(OutcomeSource::Follower, "f", 77, 1, {{New, {.answers = 5}, Order.position}});
    relay.recordReport(OutcomeSource::Group, "third", 88, 1, {{New, {.answers = 100}, Order.position}});
    sendGroup(1);
    cr_assert_eq(answersOf(other.totals(), New), 7, "other groups are not part of this one");
    cr_assert_eq(answersOf(relay.totals(), New), 107);
    relay.ownReport("other/2", 2);
    sendGroup(3);
    cr_assert_eq(answersOf(other.totals(), New), 7);
    relay.recordReport(OutcomeSource::Follower, "f", 77, 2, {{New, {.answers = 6}, Order.position}});
    sendGroup(4);
    cr_assert_eq(answersOf(other.totals(), New), 8);
}

// Failure: slow answers are counted by the new version's own mean, or before there is anything to compare with.
Test(versionoutcomes, an_answer_is_slow_by_the_mean_of_the_old_versions)
{
    VersionOutcomeTable table(1);
    table.begin(Order);
    table.recordAnswer(New, {.firstEvent = std::chrono::seconds(9)});
    cr_assert_not(table.slowLimit("chat", "/a").has_value());
    answer(table, Old, 10);
    cr_assert_eq(table.slowLimit("chat", "/a").value(), Duration(Milliseconds(50)));
    cr_assert_not(table.slowLimit("chat", "/b").has_value());
    for (const int time : {45, 55, 104, 106}) {
        table.recordAnswer(New, {.firstEvent = Milliseconds(time)});
    }
    table.recordAnswer(New, {.isFailure = true, .firstEvent = std::chrono::seconds(9)});
    const std::vector<OutcomeRow> rows = table.totals();
    const auto row = std::find_if(rows.begin(), rows.end(), [](const OutcomeRow &candidate) { return candidate.key == New; });
    cr_assert_eq(row->counts.answers, 6);
    cr_assert_eq(row->counts.failures, 1);
    cr_assert_eq(row->counts.slow, 3);
    cr_assert_eq(row->counts.verySlow, 1);
}

// Load: more routes, versions or senders than any deployment has. Failure: the table grows without bound.
Test(versionoutcomes, rows_and_senders_are_bounded)
{
    VersionOutcomeTable table(1);
    table.begin(Order);
    for (size_t index = 0; index < MaxOutcomeRows + 100; ++index) {
        table.recordAnswer({"chat", "v1", "/" + std::to_string(index)}, {});
    }
    cr_assert_eq(table.totals().size(), MaxOutcomeRows);
    cr_assert_eq(table.dropped(), 100);
    VersionOutcomeTable senders(1);
    senders.begin(Order);
    for (size_t index = 0; index < MaxOutcomeStreams + 5; ++index) {
        senders.recordReport(OutcomeSource::Direct, "s" + std::to_string(index), index, 1, {{New, {.answers = 1}, Order.position}});
    }
    cr_assert_eq(answersOf(senders.totals(), New), static_cast<int64_t>(MaxOutcomeStreams));
    cr_assert_eq(senders.dropped(), 5);
}
