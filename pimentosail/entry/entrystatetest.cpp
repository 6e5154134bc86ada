#include <criterion/criterion.h>

#include "pimentosail/entry/decodeditems.h"
#include "pimentosail/entry/entrystate.h"

using namespace pimentosail;

// Guards against a leader that frees the cached blocks of a version while other hosts may still begin work on it, because it
// does not know exactly when the next version was set.
Test(entrystate, work_stops_by_the_earliest_and_blocks_are_freed_by_the_latest_time_of_a_version)
{
    const Duration limit = std::chrono::seconds(15);
    EntryState state;
    state.addWantedVersion("m", 1, {Time(0), Time(0)});
    state.addWantedVersion("m", 2, {UnknownPast, std::chrono::seconds(30)});
    cr_assert_eq(state.oldestAllowedVersion("m", std::chrono::seconds(30), limit), 2, "an unknown age is over the limit");
    cr_assert_eq(state.oldestPossibleVersion("m", std::chrono::seconds(44), limit), 1);
    cr_assert(state.recordMarkedTime("m", 2, {std::chrono::seconds(22), std::chrono::seconds(24)}));
    cr_assert_eq(state.oldestAllowedVersion("m", std::chrono::seconds(36), limit), 1);
    cr_assert_eq(state.oldestAllowedVersion("m", std::chrono::seconds(37), limit), 2);
    cr_assert_eq(state.oldestPossibleVersion("m", std::chrono::seconds(38), limit), 1);
    cr_assert_eq(state.oldestPossibleVersion("m", std::chrono::seconds(39), limit), 2);
    cr_assert_not(state.recordMarkedTime("m", 2, {std::chrono::seconds(25), std::chrono::seconds(26)}), "contradicts what is known");
    cr_assert_eq(state.oldestPossibleVersion("m", std::chrono::seconds(39), limit), 2);
    cr_assert_eq(state.oldestAllowedVersion("m", std::chrono::seconds(37), limit), 2);
}

// Guards against a leader that frees the cached blocks of a version by its own knowledge, while hosts that started after an outage of the key-value
// store still take the next version for younger (review/6).
Test(entrystate, blocks_are_freed_only_when_no_host_can_read_a_lower_age_from_the_marks)
{
    const Duration limit = std::chrono::seconds(15);
    EntryState state;
    state.addWantedVersion("m", 1, {Time(0), Time(0)});
    state.addWantedVersion("m", 2, {std::chrono::seconds(20), std::chrono::seconds(20)});
    state.setMarkedVersions({{"m", {2}}});
    cr_assert_eq(state.oldestAllowedVersion("m", std::chrono::seconds(40), limit), 2);
    cr_assert_eq(state.oldestPossibleVersion("m", std::chrono::seconds(40), limit), 1);
    state.setMarkedVersions({});
    cr_assert_eq(state.oldestPossibleVersion("m", std::chrono::seconds(40), limit), 2);
}

// Guards against a host that goes on with the first reading of marks which are removed late after its record was corrected.
Test(entrystate, a_later_reading_of_the_marks_replaces_the_earlier_one)
{
    const Duration limit = std::chrono::seconds(15);
    EntryState state;
    state.addWantedVersion("m", 1, {Time(0), Time(0)});
    state.addWantedVersion("m", 2, {UnknownPast, std::chrono::seconds(30)});
    cr_assert(state.recordMarkedTime("m", 2, {std::chrono::seconds(26), std::chrono::seconds(29)}));
    cr_assert_eq(state.oldestAllowedVersion("m", std::chrono::seconds(40), limit), 1);
    cr_assert(state.recordMarkedTime("m", 2, {std::chrono::seconds(18), std::chrono::seconds(29)}));
    cr_assert_eq(state.oldestAllowedVersion("m", std::chrono::seconds(33), limit), 2);
}

// Guards against the processor time of decoding every registration again whenever one of them changes.
Test(decodeditems, an_item_is_decoded_once_for_each_revision)
{
    DecodedItems<std::string> decoded;
    int calls = 0;
    const auto decode = [&calls](const StoredItem &item) {
        ++calls;
        return item.value == "bad" ? std::nullopt : std::optional<std::string>(item.value);
    };
    cr_assert_eq(decoded.update({{"a", "1", 5}, {"b", "bad", 6}, {"c", "3", 7}}, decode).size(), 2);
    cr_assert_eq(calls, 3);
    const std::vector<std::string> again = decoded.update({{"a", "1", 5}, {"b", "good", 8}}, decode);
    cr_assert_eq(calls, 4, "only the item with a new revision");
    cr_assert_eq(again.size(), 2);
    cr_assert_eq(again[1], "good");
    cr_assert_eq(decoded.update({{"c", "3", 7}}, decode).size(), 1, "an item that is back");
}

// Guards against a value of the lost history that stays in use, because a restored store gave its revision to another write.
Test(decodeditems, an_item_of_another_era_is_decoded_anew)
{
    DecodedItems<std::string> decoded;
    const auto decode = [](const StoredItem &item) {
        return std::optional<std::string>(item.value);
    };
    cr_assert_eq(decoded.update({{"a", "lost", 5, 0}}, decode).front(), "lost");
    cr_assert_eq(decoded.update({{"a", "new", 5, 1}}, decode).front(), "new");
}

// Guards against shares of common limits that grow at once when a restored store has lost the entries of hosts, which go on sending.
Test(entrystate, shares_do_not_grow_at_once_when_a_restored_store_has_lost_the_entries_of_hosts)
{
    EntryState state;
    std::vector<HostEntry> hosts(20);
    state.setHosts(hosts, std::chrono::seconds(1));
    hosts.resize(4);
    state.setHosts(hosts, std::chrono::seconds(60));
    cr_assert_eq(state.sharingHostCount(), 20, "%zu", state.sharingHostCount());
    state.updateSharingHosts(std::chrono::seconds(64));
    cr_assert_eq(state.sharingHostCount(), 20);
    state.updateSharingHosts(std::chrono::seconds(65));
    cr_assert_eq(state.sharingHostCount(), 4);
    hosts.resize(20);
    state.setHosts(hosts, std::chrono::seconds(66));
    cr_assert_eq(state.sharingHostCount(), 20, "an increase holds at once");
}
