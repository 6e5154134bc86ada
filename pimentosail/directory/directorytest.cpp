#include <criterion/criterion.h>

#include "pimentosail/directory/directory.h"
#include "pimentosail/directory/loadtable.h"
#include "pimentosail/directory/ratelimits.h"

using namespace pimentosail;

namespace
{

Registration makeRegistration(const std::string &id, int64_t revision)
{
    Registration registration;
    registration.id = id;
    registration.service = "loom";
    registration.address = "10.0.0.1:80";
    registration.zone = "z1";
    registration.slots = 4;
    registration.startedAt = 1000;
    registration.modelVersions["m"] = 1;
    registration.revision = revision;
    return registration;
}

struct Fixture
{
    Fixture()
    {
        this->clock.pause();
        this->clock.advance(std::chrono::seconds(100));
    }
    Clock clock;
    TargetDirectory directory{this->clock};
};

// Returns the targets of the service "loom" that the directory does not rule out.
std::vector<TargetView> usable(const Fixture &fixture)
{
    std::vector<TargetView> views = fixture.directory.all("loom", "m");
    std::erase_if(views, [&fixture](const TargetView &view) {
        const TargetStanding standing = fixture.directory.standing(*view.target);
        return standing.isRemoved || standing.isDraining || standing.isEvacuated || Time(view.target->avoidUntil.load()) > fixture.clock.now();
    });
    return views;
}

} // namespace

Test(directory, a_draining_target_gets_no_requests_until_it_restarts)
{
    Fixture fixture;
    Registration registration = makeRegistration("a", 1);
    fixture.directory.apply({registration}, true, Time(0));
    cr_assert_eq(usable(fixture).size(), 1);
    registration.isDraining = true;
    registration.revision = 2;
    fixture.directory.apply({registration}, true, Time(0));
    cr_assert(usable(fixture).empty());
    registration.isDraining = false;
    registration.revision = 3;
    fixture.directory.apply({registration}, true, Time(0));
    cr_assert(usable(fixture).empty(), "draining is final until the target restarts");
}

Test(directory, a_registration_that_disappears_while_the_store_is_reachable_is_removed_at_once)
{
    Fixture fixture;
    fixture.directory.apply({makeRegistration("a", 1)}, true, Time(0));
    fixture.directory.apply({}, true, Time(0));
    cr_assert(usable(fixture).empty());
}

Test(directory, a_registration_that_lapsed_in_an_outage_is_kept_for_a_short_time)
{
    Fixture fixture;
    fixture.directory.apply({makeRegistration("a", 1)}, true, Time(0));
    const Time recoveredAt = fixture.clock.now();
    fixture.directory.apply({}, true, recoveredAt);
    cr_assert_eq(usable(fixture).size(), 1);
    fixture.clock.advance(Milliseconds(1600));
    fixture.directory.apply({}, true, recoveredAt);
    cr_assert(usable(fixture).empty(), "a registration that stays missing is removed");
}

// Guards against a request that is planned for one version of a target's software and counted for another.
Test(directory, another_software_version_under_the_same_id_is_another_target)
{
    Fixture fixture;
    Registration registration = makeRegistration("a", 1);
    registration.softwareVersion = "v1";
    fixture.directory.apply({registration}, true, Time(0));
    const TargetPointer before = fixture.directory.find("a");
    registration.softwareVersion = "v2";
    registration.revision = 2;
    fixture.directory.apply({registration}, true, Time(0));
    const TargetPointer after = fixture.directory.find("a");
    cr_assert_neq(before, after);
    cr_assert_eq(before->softwareVersion, "v1");
    cr_assert_eq(after->softwareVersion, "v2");
    cr_assert(before->removed);
}

Test(directory, a_restart_under_the_same_id_is_a_new_cold_target)
{
    Fixture fixture;
    fixture.directory.setColdDurations({{"loom", std::chrono::seconds(3)}});
    Registration registration = makeRegistration("a", 1);
    fixture.directory.apply({registration}, true, Time(0));
    const TargetPointer before = fixture.directory.find("a");
    cr_assert_eq(before->coldUntil.load(), 0, "targets that are registered when the host starts are not taken as cold");
    registration.startedAt = 2000;
    registration.revision = 2;
    fixture.directory.apply({registration}, true, Time(0));
    const TargetPointer after = fixture.directory.find("a");
    cr_assert_neq(before.get(), after.get());
    cr_assert(fixture.directory.standing(*before).isRemoved, "a request that was planned for the former incarnation must not be sent");
    cr_assert_eq(after->coldUntil.load(), (fixture.clock.now() + std::chrono::seconds(3)).count());
}

Test(directory, cold_time_counts_from_the_registration_and_not_from_each_update)
{
    Fixture fixture;
    Registration registration = makeRegistration("a", 1);
    registration.coldRemaining = Milliseconds(2000);
    fixture.directory.apply({registration}, true, Time(0));
    const int64_t until = fixture.directory.find("a")->coldUntil.load();
    fixture.clock.advance(Milliseconds(1000));
    fixture.directory.apply({registration}, true, Time(0));
    cr_assert_eq(fixture.directory.find("a")->coldUntil.load(), until);
}

Test(directory, an_evacuated_zone_gets_no_requests_until_the_evacuation_ends)
{
    Fixture fixture;
    fixture.directory.apply({makeRegistration("a", 1)}, true, Time(0));
    fixture.directory.setEvacuated({"z1"});
    cr_assert(usable(fixture).empty());
    cr_assert(fixture.directory.standing(*fixture.directory.find("a")).isEvacuated);
    fixture.directory.setEvacuated({});
    cr_assert_eq(usable(fixture).size(), 1);
}

Test(directory, an_unreachable_target_is_in_backoff_and_then_taken_as_cold)
{
    Fixture fixture;
    fixture.directory.setColdDurations({{"loom", std::chrono::seconds(3)}});
    fixture.directory.apply({makeRegistration("a", 1)}, true, Time(0));
    const TargetPointer target = fixture.directory.find("a");
    fixture.directory.recordUnreachable(*target);
    cr_assert(usable(fixture).empty());
    fixture.clock.advance(std::chrono::seconds(1));
    cr_assert_eq(usable(fixture).size(), 1);
    cr_assert(target->coldUntil.load() > fixture.clock.now().count());
}

Test(directory, the_load_table_sums_reports_of_other_hosts_and_drops_old_ones)
{
    LoadTable table;
    table.record(LoadSource::Direct, "h1", {}, {{"a", 2, 1000}}, Milliseconds(0));
    table.record(LoadSource::Direct, "h2", {}, {{"a", 1, 500}, {"b", 9, 9}}, Milliseconds(500));
    cr_assert_eq(table.loadOfOthers("a", Milliseconds(600)).requests, 3);
    cr_assert_eq(table.loadOfOthers("a", Milliseconds(600)).pendingTokens, 1500);
    cr_assert_eq(table.loadOfOthers("a", Milliseconds(1000)).requests, 1);
}

// Guards against load that is counted twice or not at all when each relay sums up its own followers only.
Test(loads, the_totals_of_a_relay_count_each_host_once)
{
    const Time now = std::chrono::seconds(10);
    LoadTable first;
    LoadTable second;
    first.record(LoadSource::Follower, "front-1", {7, 1}, {{"t", 2, 300, 10}}, now);
    second.record(LoadSource::Follower, "front-2", {8, 1}, {{"t", 1, 50, 0}, {"u", 4, 400, 0}}, now);
    second.record(LoadSource::Group, "relay-1", {9, 1}, first.groupLoad({{"t", 5, 1000, 0}}, now), now);
    first.record(LoadSource::Group, "relay-2", {10, 1}, second.groupLoad({}, now), now);
    for (const std::vector<TargetLoad> &totals : {first.totalLoad({{"t", 5, 1000, 0}}, now), second.totalLoad({}, now)}) {
        cr_assert_eq(totals.size(), 2);
        cr_assert_eq(totals[0].requests, 8);
        cr_assert_eq(totals[0].pendingTokens, 1350);
        cr_assert_eq(totals[1].requests, 4);
    }
    LoadTable follower;
    follower.record(LoadSource::Direct, "front-9", {}, {{"t", 100, 1, 0}}, now);
    follower.recordTotals(first.totalLoad({{"t", 5, 1000, 0}}, now), {{"t", 2, 300, 10}}, now);
    cr_assert_eq(follower.loadOfOthers("t", now).requests, 6, "without this host's part; totals take precedence over reports");
    cr_assert_eq(follower.loadOfOthers("t", now + std::chrono::seconds(1)).requests, 0, "totals that are too old are not used");
}

// Guards against load that is left over when a host changes its relay, is restarted, or its reports arrive out of order.
Test(loads, sums_follow_the_last_report_of_each_sender)
{
    LoadTable table;
    const Time now = std::chrono::seconds(10);
    cr_assert(table.record(LoadSource::Follower, "front-1", {7, 2}, {{"t", 2, 300}}, now));
    cr_assert_not(table.record(LoadSource::Follower, "front-1", {7, 1}, {{"t", 90, 1}}, now), "older than the last one");
    cr_assert_not(table.record(LoadSource::Follower, "front-1", {7, 2}, {{"t", 90, 1}}, now), "the same datagram again");
    cr_assert_eq(table.loadOfOthers("t", now).requests, 2);
    cr_assert_eq(table.lastReport("front-1", now).sequence, 2);
    cr_assert(table.record(LoadSource::Follower, "front-1", {8, 1}, {{"t", 3, 300}}, now), "the process was restarted");
    cr_assert_eq(table.loadOfOthers("t", now).requests, 3);
    cr_assert(table.record(LoadSource::Direct, "front-1", {8, 2}, {}, now), "the host has left this relay");
    cr_assert(table.groupLoad({}, now).empty());
    cr_assert_eq(table.loadOfOthers("t", now).requests, 0);
    table.record(LoadSource::Follower, "front-2", {9, 1}, {{"t", 4, 100}}, now);
    cr_assert(table.totalLoad({}, now + std::chrono::seconds(1)).empty());
    cr_assert_eq(table.lastReport("front-2", now + std::chrono::seconds(1)).process, 0);
}

// Guards against a limit that outlives what it was named for: the newest observation of any host holds, a restarted target has
// none, and a target that nobody asks is forgotten.
Test(directory, the_newest_observation_of_a_rate_limit_holds_for_its_incarnation)
{
    RateLimitTable table;
    const Time start = std::chrono::seconds(100);
    cr_assert_not(table.recordAnswer({"a", 1000, std::nullopt, start}));
    cr_assert_not(table.hasObservations(), "an answer without a limit is not recorded for a target that had none");
    cr_assert(table.recordAnswer({"a", 1000, 5.0, start}));
    cr_assert_eq(table.limitOf("a", 1000, start).value_or(0), 5.0);
    cr_assert_not(table.limitOf("a", 2000, start).has_value(), "another incarnation has no limit");
    cr_assert_not(table.recordReport({"a", 1000, 9.0, start - Milliseconds(300)}), "an older observation of another host");
    cr_assert(table.recordReport({"a", 1000, 3.0, start + Milliseconds(300)}));
    cr_assert_eq(table.limitOf("a", 1000, start + Milliseconds(300)).value_or(0), 3.0);
    cr_assert_eq(table.ownObservations(start).front().requestsPerSecond.value_or(0), 5.0);
    cr_assert(table.ownObservations(start + Milliseconds(1)).empty());
    cr_assert(table.recordAnswer({"a", 1000, std::nullopt, start + Milliseconds(600)}));
    cr_assert_not(table.limitOf("a", 1000, start + Milliseconds(600)).has_value());
    cr_assert(table.recordReport({"a", 2000, 7.0, start + Milliseconds(700)}), "an observation of the next incarnation");
    cr_assert_not(table.recordReport({"a", 1000, 1.0, start + Milliseconds(900)}), "an answer of the last incarnation that arrives late");
    cr_assert_eq(table.limitOf("a", 2000, start + Milliseconds(900)).value_or(0), 7.0);
    const Time later = start + Milliseconds(701) + RateLimitTable::Memory;
    cr_assert_not(table.limitOf("a", 2000, later).has_value());
    cr_assert(table.newestObservations(later).empty());
}

// Guards against requests to targets that have left: a store that came back from an older copy lists them again.
Test(directory, a_target_that_left_stays_gone_when_a_restored_store_lists_it_again)
{
    Fixture fixture;
    fixture.directory.apply({makeRegistration("a", 10)}, true, Time(0));
    fixture.directory.apply({}, true, Time(0));
    Registration copied = makeRegistration("a", 8);
    copied.era = 1;
    fixture.directory.apply({copied}, true, fixture.clock.now(), 1);
    cr_assert_eq(fixture.directory.size(), 0);
    fixture.clock.advance(RewriteTime - Milliseconds(100));
    fixture.directory.apply({copied}, true, Time(0), 1);
    cr_assert_eq(fixture.directory.size(), 0);
    fixture.clock.advance(Milliseconds(200));
    fixture.directory.apply({copied}, true, Time(0), 1);
    cr_assert_eq(fixture.directory.size(), 1, "by then, the store has removed the entry of a target that is silent");
}

// Guards against live targets that get no requests because the store lost their entry for a moment: they register anew.
Test(directory, a_target_that_registers_anew_after_a_restore_is_used_at_once)
{
    Fixture fixture;
    fixture.directory.apply({makeRegistration("a", 10), makeRegistration("b", 11)}, true, Time(0));
    fixture.directory.apply({}, true, Time(0));
    Registration copied = makeRegistration("a", 8);
    copied.era = 1;
    fixture.directory.apply({copied}, true, fixture.clock.now(), 1);
    cr_assert_eq(fixture.directory.size(), 0);
    // The revision is one that the lost history had, too.
    copied.revision = 10;
    Registration restarted = makeRegistration("b", 9);
    restarted.era = 1;
    restarted.startedAt = 2000;
    fixture.directory.apply({copied, restarted}, true, fixture.clock.now(), 1);
    cr_assert_eq(usable(fixture).size(), 2);
}

// Guards against a former incarnation that takes the place of the present one, because the copy is from before the restart.
Test(directory, the_former_incarnation_of_a_target_does_not_return_with_a_restored_store)
{
    Fixture fixture;
    fixture.directory.apply({makeRegistration("a", 10)}, true, Time(0));
    Registration restarted = makeRegistration("a", 12);
    restarted.startedAt = 2000;
    fixture.directory.apply({restarted}, true, Time(0));
    Registration former = makeRegistration("a", 10);
    former.era = 1;
    fixture.directory.apply({former}, true, fixture.clock.now(), 1);
    cr_assert_eq(usable(fixture).size(), 1);
    cr_assert_eq(usable(fixture).front().target->startedAt, 2000, "kept, as an entry that is missing for a moment");
}

// Guards against entries of a new era that are taken for older ones, because their revisions are lower than those of the lost history.
Test(directory, an_entry_of_a_later_era_is_newer_whatever_its_revision)
{
    Fixture fixture;
    fixture.directory.apply({makeRegistration("a", 100)}, true, Time(0));
    Registration draining = makeRegistration("a", 9);
    draining.era = 1;
    draining.isDraining = true;
    fixture.directory.apply({draining}, true, Time(0), 1);
    cr_assert(usable(fixture).empty());
}

// Guards against a target that left and is used again because a second restore lists it at another position.
Test(directory, a_target_that_left_stays_gone_when_a_second_restore_lists_it_again)
{
    Fixture fixture;
    fixture.directory.apply({makeRegistration("a", 10)}, true, Time(0));
    fixture.directory.apply({}, true, Time(0));
    Registration copied = makeRegistration("a", 8);
    copied.era = 1;
    fixture.directory.apply({copied}, true, fixture.clock.now(), 1);
    cr_assert_eq(fixture.directory.size(), 0);
    fixture.clock.advance(std::chrono::seconds(3));
    Registration older = makeRegistration("a", 6);
    older.era = 2;
    fixture.directory.apply({older}, true, fixture.clock.now(), 2);
    cr_assert_eq(fixture.directory.size(), 0);
}

// Guards against a live target that gets no requests because its entry had expired before the restore, and the copy does not list it.
Test(directory, a_live_target_that_the_copy_does_not_list_is_used_as_soon_as_it_registers_again)
{
    Fixture fixture;
    fixture.directory.apply({makeRegistration("a", 10)}, true, Time(0));
    fixture.directory.apply({}, true, Time(0));
    fixture.directory.apply({}, true, fixture.clock.now(), 1);
    fixture.clock.advance(std::chrono::seconds(1));
    Registration again = makeRegistration("a", 8);
    again.era = 1;
    fixture.directory.apply({again}, true, Time(0), 1);
    cr_assert_eq(fixture.directory.size(), 1);
}

// Guards against a live target that gets no requests although no store was restored.
Test(directory, a_target_that_registers_again_in_the_same_era_is_used_at_once)
{
    Fixture fixture;
    fixture.directory.apply({makeRegistration("a", 10)}, true, Time(0));
    fixture.directory.apply({}, true, Time(0));
    fixture.directory.apply({makeRegistration("a", 12)}, true, Time(0));
    cr_assert_eq(fixture.directory.size(), 1);
}

// Guards against requests to a target whose removal was seen within the time for which a missing entry is kept after an outage, when a restored store
// lists it.
Test(directory, a_target_removed_shortly_after_an_outage_stays_gone_when_a_restored_store_lists_it_again)
{
    Fixture fixture;
    fixture.directory.apply({makeRegistration("a", 10)}, true, Time(0));
    const Time recovered = fixture.clock.now();
    fixture.clock.advance(std::chrono::seconds(1));
    fixture.directory.apply({}, true, recovered);
    fixture.clock.advance(std::chrono::seconds(1));
    Registration copied = makeRegistration("a", 8);
    copied.era = 1;
    fixture.directory.apply({copied}, true, fixture.clock.now(), 1);
    fixture.clock.advance(std::chrono::seconds(2));
    fixture.directory.apply({copied}, true, Time(0), 1);
    cr_assert_eq(fixture.directory.size(), 0);
}
