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

void printFigures(const char *name, const Simulation &simulation)
{
    const auto at = [&simulation](DeliveryPhase phase) {
        const auto found = simulation.phaseTimes.find(phase);
        return found == simulation.phaseTimes.end() ? -1.0 : toSeconds(found->second);
    };
    std::printf("%s: %s, new version got %ld, allowed %.0f; watched %ld of %ld; switch %.1f s, completed %.1f s, rolled back %.1f s; bad %ld, 50th %.1f s, "
                "last sent %.1f s; refused %ld; %s\n",
        name, std::string(deliveryPhaseName(simulation.phase())).c_str(), simulation.sentToNew, simulation.allowed(), simulation.sentToNewWhileWatched,
        simulation.watchedRequests, at(DeliveryPhase::Switching), at(DeliveryPhase::Completed), at(DeliveryPhase::RolledBack), simulation.badAnswers,
        simulation.fiftiethBad ? toSeconds(*simulation.fiftiethBad) : -1.0, toSeconds(simulation.lastSentToNew), simulation.refused,
        simulation.stored->reason.c_str());
}

void assertCompleted(const char *name, const SimulationOptions &options)
{
    Simulation simulation(options);
    simulation.run();
    printFigures(name, simulation);
    cr_assert_eq(simulation.phase(), DeliveryPhase::Completed, "%s", simulation.stored->reason.c_str());
    cr_assert_leq(simulation.phaseTimes[DeliveryPhase::Completed].count(), options.duration.count());
    cr_assert_eq(simulation.refused, 0);
    cr_assert_leq(static_cast<double>(simulation.sentToNewWhileWatched), simulation.watchedShares);
}

// Asserts the three bounds of a bad version: how much it gets, until when, and that it is rolled back.
void assertRolledBack(const char *name, const SimulationOptions &options)
{
    Simulation simulation(options);
    simulation.run();
    printFigures(name, simulation);
    cr_assert_eq(simulation.phase(), DeliveryPhase::RolledBack, "%s", simulation.stored->reason.c_str());
    cr_assert_leq(static_cast<double>(simulation.sentToNew), simulation.allowed());
    if (simulation.fiftiethBad) {
        cr_assert_leq(simulation.lastSentToNew.count(), (*simulation.fiftiethBad + Milliseconds(5000)).count());
    }
    cr_assert_eq(simulation.refused, 0);
}

} // namespace

// Guards against a good version that is rolled back for its ordinary failures, or completed late.
Test(delivery, a_good_version_is_completed_before_the_deadline)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        assertCompleted("good", {.seed = seed, .answer = ordinary});
    }
}

// Failure: a version of which a part of the answers fails from the start.
Test(delivery, a_version_that_fails_at_once_is_rolled_back)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        assertRolledBack("failing", {.seed = seed, .answer = [](const SimulatedRequest &request) {
                                         return failing(request, request.isNew ? 0.2 : 0.01);
                                     }});
    }
}

// Failure: a version that answers after three times as long.
Test(delivery, a_slow_version_is_rolled_back)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        assertRolledBack("slow", {.seed = seed, .answer = [](const SimulatedRequest &request) {
                                      return request.isNew ? slow(request) : ordinary(request);
                                  }});
    }
}

// Failure: a version that turns bad after a time, when many of its answers were good, up to shortly before the switch and in it.
Test(delivery, a_version_that_turns_bad_later_is_rolled_back)
{
    for (const int turns : {4000, 7000, 9000, 9600}) {
        assertRolledBack("later", {.answer = [turns](const SimulatedRequest &request) {
            return failing(request, request.isNew && request.at >= Milliseconds(turns) ? 0.3 : 0.01);
        }});
    }
}

// Failure: a version that fails only if its targets have the load that they would have after the delivery. 60 targets share the load of the service,
// and the share of the watched version is about what one of them gets.
Test(delivery, a_version_that_is_bad_only_under_load_is_rolled_back)
{
    assertRolledBack("under load", {.oldTargets = 60, .newTargets = 60, .requestsPerSecond = 1200, .answer = [](const SimulatedRequest &request) {
                                        return failing(request, request.isNew && request.load > 0.6 ? 0.3 : 0.01);
                                    }});
}

// Failure: a version of which one route fails that has a third of the requests, or a twentieth.
Test(delivery, a_version_that_fails_on_one_route_is_rolled_back)
{
    for (const std::string route : {"/second", "/rare"}) {
        assertRolledBack("one route", {.answer = [route](const SimulatedRequest &request) {
            return failing(request, request.isNew && request.route == route ? 0.5 : 0.01);
        }});
    }
}

// Load: both versions fail and are slow in the same wave. That says nothing against the new one.
Test(delivery, an_overload_of_both_versions_is_no_evidence)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        assertCompleted("both overloaded", {.seed = seed, .answer = [](const SimulatedRequest &request) {
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
        assertCompleted("few, good", {.requestsPerSecond = 4, .seed = seed, .answer = [](const SimulatedRequest &request) {
                                          return failing(request, 0);
                                      }});
        assertRolledBack("few, bad", {.requestsPerSecond = 4, .seed = seed, .answer = [](const SimulatedRequest &request) {
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
        printFigures("good, decider lost", good);
        cr_assert_eq(good.phase(), DeliveryPhase::Completed);
        // Lost between 8.2 s and the completion, the successor takes over when it's too late for the switch.
        if (lostAt <= 7500) {
            cr_assert_leq(good.phaseTimes[DeliveryPhase::Completed].count(), options.duration.count(), "lost at %d ms", lostAt);
        }
        SimulationOptions badOptions = options;
        badOptions.answer = [](const SimulatedRequest &request) {
            return failing(request, request.isNew ? 0.25 : 0.01);
        };
        assertRolledBack("bad, decider lost", badOptions);
        badOptions.answer = [](const SimulatedRequest &request) {
            return failing(request, request.isNew && request.at > Milliseconds(8500) ? 0.25 : 0.01);
        };
        assertRolledBack("bad later, decider lost", badOptions);
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
        assertCompleted(("shares, " + std::to_string(hosts) + " hosts, good").c_str(), options);
        options.answer = [](const SimulatedRequest &request) {
            return failing(request, request.isNew ? 0.2 : 0.01);
        };
        assertRolledBack(("shares, " + std::to_string(hosts) + " hosts, bad").c_str(), options);
        options.answer = [](const SimulatedRequest &request) {
            return request.isNew ? slow(request) : ordinary(request);
        };
        assertRolledBack(("shares, " + std::to_string(hosts) + " hosts, slow").c_str(), options);
    }
}

// Failure: a host is cut off from the store and from the other hosts while the version is watched.
Test(delivery, a_partitioned_host_sends_nothing_to_a_watched_version)
{
    Simulation simulation({.length = std::chrono::seconds(9), .partitionedHost = 1, .partitionedAt = Milliseconds(3000), .answer = ordinary});
    simulation.run();
    printFigures("partitioned", simulation);
    cr_assert_gt(simulation.sentToNewWhileWatched, 0);
    cr_assert_eq(simulation.sentWhileIsolated, 0);
}
