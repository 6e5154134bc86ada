#include <criterion/criterion.h>

#include <cmath>
#include <cstdio>

#include "pimentosail/delivery/deliverysimulation.h"

using namespace pimentosail;

namespace
{

Duration ordinaryTime(const SimulatedRequest &request)
{
    // 20 to 80 ms, independent of `chance` near 0, which decides on failures.
    return fromSeconds(0.02 + 0.06 * std::fmod(request.chance * 7919, 1.0));
}

VersionAnswer ordinary(const SimulatedRequest &request)
{
    return {.isFailure = request.chance < 0.01, .firstEvent = ordinaryTime(request)};
}

VersionAnswer failing(const SimulatedRequest &request, double share)
{
    return {.isFailure = request.chance < share, .firstEvent = ordinaryTime(request)};
}

VersionAnswer slow(const SimulatedRequest &request)
{
    return {.isFailure = request.chance < 0.01, .firstEvent = 3 * ordinaryTime(request)};
}

std::string describe(const Simulation &simulation)
{
    const auto at = [&simulation](DeliveryPhase phase) {
        const auto found = simulation.phaseTimes.find(phase);
        return found == simulation.phaseTimes.end() ? std::string("never") : std::to_string(toMilliseconds(found->second)) + " ms";
    };
    return "switch " + at(DeliveryPhase::Switching) + ", completed " + at(DeliveryPhase::Completed) + ", rolled back " + at(DeliveryPhase::RolledBack)
        + ", 50th bad answer " + (simulation.fiftiethBad ? std::to_string(toMilliseconds(*simulation.fiftiethBad)) + " ms" : "never") + ", last sent "
        + std::to_string(toMilliseconds(simulation.lastSentToNew)) + " ms; " + simulation.stored->reason;
}

// Prints what the new version got in all and while it was watched, and what it may get.
void printExposure(const std::string &name, const Simulation &simulation)
{
    std::printf("%s: sent %ld, allowed %.0f; while watched %ld of %ld, allowed %.1f\n", name.c_str(), simulation.sentToNew, simulation.allowed(),
        simulation.sentToNewWhileWatched, simulation.watchedRequests, simulation.watchedShares);
}

// Asserts that a good version is completed in time, with nothing running on old targets, and gets no more than its share before.
void assertCompleted(const SimulationOptions &options, const std::string &name = "")
{
    Simulation simulation(options);
    simulation.run();
    if (!name.empty()) {
        printExposure(name, simulation);
    }
    const std::string description = describe(simulation);
    cr_assert_eq(simulation.phase(), DeliveryPhase::Completed, "%s", description.c_str());
    cr_assert_leq(simulation.phaseTimes[DeliveryPhase::Completed].count(), options.duration.count(), "%s", description.c_str());
    cr_assert_eq(simulation.oldRunsAtCompletion, 0, "%s", description.c_str());
    cr_assert_eq(simulation.refused, 0);
    cr_assert_leq(static_cast<double>(simulation.sentToNewWhileWatched), simulation.watchedShares);
    cr_assert_leq(simulation.watchedTargets.size(), chosenTargetCount(0.1, options.newTargets));
}

// Asserts the bounds of a bad version: how much it gets, until when, and that it is rolled back.
void assertRolledBack(const SimulationOptions &options, const std::string &name = "")
{
    Simulation simulation(options);
    simulation.run();
    if (!name.empty()) {
        printExposure(name, simulation);
    }
    const std::string description = describe(simulation);
    cr_assert_eq(simulation.phase(), DeliveryPhase::RolledBack, "%s", description.c_str());
    cr_assert_leq(static_cast<double>(simulation.sentToNew), simulation.allowed(), "%s", description.c_str());
    cr_assert_leq(static_cast<double>(simulation.sentToNewWhileWatched), simulation.watchedShares);
    if (simulation.fiftiethBad) {
        cr_assert_leq(simulation.lastSentToNew.count(), (*simulation.fiftiethBad + Milliseconds(5000)).count(), "%s", description.c_str());
    }
    cr_assert_eq(simulation.refused, 0);
}

} // namespace

// Guards against a good version that is rolled back for its ordinary failures, or completed late.
Test(delivery, a_good_version_is_completed_before_the_deadline)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        assertCompleted({.seed = seed, .answer = ordinary});
    }
}

// Failure: a version of which a part of the answers fails from the start.
Test(delivery, a_version_that_fails_at_once_is_rolled_back)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        assertRolledBack({.seed = seed, .answer = [](const SimulatedRequest &request) {
                              return failing(request, request.isNew ? 0.2 : 0.01);
                          }});
    }
}

// Failure: a version that answers after three times as long.
Test(delivery, a_slow_version_is_rolled_back)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        assertRolledBack({.seed = seed, .answer = [](const SimulatedRequest &request) {
                              return request.isNew ? slow(request) : ordinary(request);
                          }});
    }
}

// Failure: a version that turns bad after a time, when many of its answers were good, up to shortly before the switch and in it.
Test(delivery, a_version_that_turns_bad_later_is_rolled_back)
{
    for (const int turns : {4000, 7000, 9000, 9600}) {
        assertRolledBack({.answer = [turns](const SimulatedRequest &request) {
            return failing(request, request.isNew && request.at >= Milliseconds(turns) ? 0.3 : 0.01);
        }});
    }
}

// Failure: a version that fails only if its targets have the load that they would have after the delivery. With 60 targets, the share of the watched
// version is about what one of them gets; with 10, the load comes with the switch.
Test(delivery, a_version_that_is_bad_only_under_load_is_rolled_back)
{
    for (const size_t targets : {60, 10}) {
        assertRolledBack({.oldTargets = targets, .newTargets = targets, .requestsPerSecond = 1200, .answer = [](const SimulatedRequest &request) {
                              return failing(request, request.isNew && request.load > 0.6 ? 0.3 : 0.01);
                          }});
    }
}

// Failure: a version of which one route fails that has a third of the requests, or a twentieth.
Test(delivery, a_version_that_fails_on_one_route_is_rolled_back)
{
    for (const std::string route : {"/second", "/rare"}) {
        assertRolledBack({.answer = [route](const SimulatedRequest &request) {
            return failing(request, request.isNew && request.route == route ? 0.5 : 0.01);
        }});
    }
}

// Load: both versions fail and are slow in the same wave. That says nothing against the new one.
Test(delivery, an_overload_of_both_versions_is_no_evidence)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        assertCompleted({.seed = seed, .answer = [](const SimulatedRequest &request) {
                             const bool isInWave = request.at >= Milliseconds(3000) && request.at < Milliseconds(7000);
                             VersionAnswer answer = failing(request, isInWave ? 0.3 : 0.01);
                             answer.firstEvent *= isInWave ? 4 : 1;
                             return answer;
                         }});
    }
}

// Load: a service with few requests. A good version is completed, one of which most fails is rolled back.
Test(delivery, with_too_few_requests_bad_answers_decide)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        assertCompleted({.requestsPerSecond = 4, .seed = seed, .answer = [](const SimulatedRequest &request) {
                             return failing(request, 0);
                         }});
        assertRolledBack({.requestsPerSecond = 4, .seed = seed, .answer = [](const SimulatedRequest &request) {
                              return failing(request, request.isNew ? 0.9 : 0);
                          }});
    }
}

// Failure: the decider is lost at any moment. Hosts stop a bad version by themselves; a successor continues from the state in the store, and completes a
// good version by the deadline unless it takes over after it.
Test(delivery, a_successor_continues_where_the_decider_was_lost)
{
    for (int lostAt = 0; lostAt <= 10'500; lostAt += 500) {
        const SimulationOptions options{.length = std::chrono::seconds(20), .deciderLostAt = Milliseconds(lostAt), .answer = ordinary};
        Simulation good(options);
        good.run();
        cr_assert_eq(good.phase(), DeliveryPhase::Completed, "lost at %d ms: %s", lostAt, describe(good).c_str());
        // Lost between 8.2 s and the completion, the successor takes over when it's too late for the switch.
        if (lostAt <= 7500) {
            cr_assert_leq(good.phaseTimes[DeliveryPhase::Completed].count(), options.duration.count(), "lost at %d ms", lostAt);
        }
        SimulationOptions badOptions = options;
        badOptions.answer = [](const SimulatedRequest &request) {
            return failing(request, request.isNew ? 0.25 : 0.01);
        };
        assertRolledBack(badOptions);
        badOptions.answer = [](const SimulatedRequest &request) {
            return failing(request, request.isNew && request.at > Milliseconds(8500) ? 0.25 : 0.01);
        };
        assertRolledBack(badOptions);
    }
}

// Failure: hosts that know of each other late or not at all send more than the share together. Prints sent and allowed for the report.
Test(delivery, the_shares_of_all_hosts_add_up_to_the_share)
{
    for (const size_t hosts : {3, 12, 75}) {
        SimulationOptions options{.hosts = hosts, .reportDelay = Milliseconds(500), .reportLoss = 0.2, .answer = ordinary};
        options.refusedHost = 1;
        options.restartedHost = 2;
        options.restartAt = Milliseconds(5000);
        const std::string name = std::to_string(hosts) + " hosts, ";
        assertCompleted(options, name + "good");
        options.answer = [](const SimulatedRequest &request) {
            return failing(request, request.isNew ? 0.2 : 0.01);
        };
        assertRolledBack(options, name + "failing");
        options.answer = [](const SimulatedRequest &request) {
            return request.isNew ? slow(request) : ordinary(request);
        };
        assertRolledBack(options, name + "slow");
    }
}

// Failure: a host is cut off from the store and from the other hosts while the version is watched.
Test(delivery, a_partitioned_host_sends_nothing_to_a_watched_version)
{
    Simulation simulation({.length = std::chrono::seconds(9), .partitionedHost = 1, .partitionedAt = Milliseconds(3000), .answer = ordinary});
    simulation.run();
    cr_assert_gt(simulation.sentToNewWhileWatched, 0);
    cr_assert_eq(simulation.sentWhileIsolated, 0);
}
