#include <algorithm>

#include <criterion/criterion.h>

#include "pimentosail/rollout/loadtime.h"

using namespace pimentosail;

namespace
{

// Interval of the queries after the first one.
constexpr Duration QueryInterval = Milliseconds(200);

struct Outcome
{
    int queries = 0;
    Duration seenAt{};
    bool isProbe = false;
};

// Makes the queries of one load whose report shows it done `duration` after the order.
Outcome load(LoadTime &loadTime, Duration duration)
{
    Outcome outcome;
    outcome.isProbe = loadTime.beginLoad();
    Duration queryAt = loadTime.firstQueryDelay(outcome.isProbe);
    while (true) {
        const bool isDone = queryAt >= duration;
        if (++outcome.queries == 1) {
            loadTime.recordFirstQuery(outcome.isProbe, queryAt, isDone);
        } else if (isDone) {
            loadTime.recordLaterQuery(queryAt);
        }
        if (isDone) {
            break;
        }
        queryAt = outcome.isProbe && outcome.queries == 1 ? loadTime.expected() : queryAt + QueryInterval;
    }
    if (outcome.isProbe) {
        loadTime.endProbe();
    }
    outcome.seenAt = queryAt;
    return outcome;
}

} // namespace

// Load: 60 and 140 targets whose loads take 0.38 and 0.57 s, with reports 0.2 s late. Guards against a first query 1.9 s after each
// order, which lets five loads take the time of one, and against more queries than with that first query.
Test(load_time, short_loads_are_seen_soon_after_their_end)
{
    for (const Duration duration : {Milliseconds(580), Milliseconds(770)}) {
        LoadTime loadTime;
        int queries = 0;
        for (int index = 0; index < 12; ++index) {
            queries += load(loadTime, duration).queries;
        }
        cr_assert_leq(queries, 12 + 4);
        for (int index = 0; index < 48; ++index) {
            const Outcome outcome = load(loadTime, duration);
            cr_assert_not(outcome.isProbe);
            cr_assert_eq(outcome.queries, 1);
            cr_assert_leq(outcome.seenAt, duration * 5 / 4);
        }
    }
}

// Load: loads of 1.8 s. Guards against other times or queries than those of deployments for which the first query was chosen.
Test(load_time, loads_of_nearly_two_seconds_are_queried_as_before)
{
    LoadTime loadTime;
    int queries = 0;
    for (int index = 0; index < 60; ++index) {
        const Outcome outcome = load(loadTime, Milliseconds(1800));
        queries += outcome.queries;
        cr_assert_leq(outcome.seenAt, InitialLoadTime);
        cr_assert(outcome.isProbe || outcome.seenAt == InitialLoadTime);
    }
    cr_assert_leq(queries, 60 + 4);
}

// Load: loads of 3 s. Guards against a first query that comes later than before.
Test(load_time, long_loads_are_queried_as_before)
{
    LoadTime loadTime;
    for (int index = 0; index < 60; ++index) {
        const Outcome outcome = load(loadTime, Milliseconds(3000));
        cr_assert_eq(outcome.seenAt, Milliseconds(3100));
        cr_assert_eq(outcome.queries, outcome.isProbe ? 8 : 7);
    }
}

// Load: one target of 28 that takes three times as long, then all of them. Guards against one slow target that delays all others, and
// against queries of loads that cannot be done yet.
Test(load_time, one_slow_target_counts_little_and_slow_targets_count)
{
    LoadTime loadTime;
    for (int index = 0; index < 28; ++index) {
        load(loadTime, Milliseconds(600));
    }
    const Duration before = loadTime.expected();
    load(loadTime, Milliseconds(1800));
    cr_assert_leq(loadTime.expected(), before * 2);
    for (int index = 0; index < 28; ++index) {
        load(loadTime, Milliseconds(1500));
    }
    cr_assert_eq(load(loadTime, Milliseconds(1500)).queries, 1);
}

// Load: 28 targets ordered at once. Guards against several probes at the same time, each of which costs a query.
Test(load_time, one_load_at_a_time_is_a_probe)
{
    LoadTime loadTime;
    cr_assert(loadTime.beginLoad());
    for (int index = 0; index < 27; ++index) {
        cr_assert_not(loadTime.beginLoad());
    }
    loadTime.recordFirstQuery(true, Milliseconds(950), true);
    cr_assert_eq(loadTime.firstQueryDelay(false), Milliseconds(950), "the others of the batch are queried then, too");
    cr_assert_not(loadTime.beginLoad());
    loadTime.endProbe();
    cr_assert(loadTime.beginLoad());
}
