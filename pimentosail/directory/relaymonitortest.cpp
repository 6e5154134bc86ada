#include <map>

#include <criterion/criterion.h>

#include "pimentosail/directory/relaymonitor.h"

using namespace pimentosail;

namespace
{

const Time Start = std::chrono::seconds(100);
constexpr Duration Interval = Milliseconds(50);

// Returns after how long a follower leaves a relay whose totals are `age` old; zero if it stays for 10 s.
Duration leavesAfter(const std::string &host, Duration age, Duration ownDelay = Duration(0))
{
    RelayMonitor monitor;
    monitor.follow(host, "relay", Start);
    for (Time now = Start; now < Start + std::chrono::seconds(10); now += Interval) {
        monitor.recordOwnDelay(ownDelay);
        monitor.recordTotals(now - age, now);
        if (monitor.fault(now) == RelayFault::Late) {
            return now - Start;
        }
    }
    return Duration(0);
}

} // namespace

// Guards against followers that place requests by old load because their relay is slow and still answers, and against all of them
// leaving it at once.
Test(relaymonitor, followers_leave_a_slow_relay_one_after_the_other)
{
    std::map<int64_t, int> leavingBySecond;
    for (int host = 0; host < 60; ++host) {
        const Duration after = leavesAfter("front-" + std::to_string(host), Milliseconds(900));
        cr_assert_gt(after, Duration(std::chrono::seconds(1)));
        cr_assert_leq(after, Duration(Milliseconds(4100)));
        ++leavingBySecond[toMilliseconds(after) / 1000];
    }
    for (const auto &[second, count] : leavingBySecond) {
        cr_assert_leq(count, 35, "%d of 60 leave in second %ld", count, static_cast<long>(second));
    }
    cr_assert_eq(leavesAfter("front-1", Milliseconds(150)), Duration(0));
}

// Guards against a small host that is short of processor time, blames its relay, and copies all contents anew from the next one.
Test(relaymonitor, a_host_that_is_slow_itself_stays)
{
    cr_assert_eq(leavesAfter("front-1", Milliseconds(900), Milliseconds(300)), Duration(0));
}

Test(relaymonitor, a_relay_that_catches_up_is_kept_and_a_silent_one_is_left)
{
    RelayMonitor monitor;
    monitor.follow("front-1", "relay", Start);
    monitor.recordTotals(Time::min(), Start);
    monitor.recordTotals(Start + Milliseconds(800), Start + Milliseconds(900));
    monitor.recordTotals(Start + Milliseconds(900), Start + Milliseconds(4900));
    cr_assert_eq(monitor.fault(Start + Milliseconds(4900)), RelayFault::None, "late only since now");
    cr_assert_eq(monitor.fault(Start + Milliseconds(5901)), RelayFault::Silent);
    monitor.recordTotalsWithoutReport(Start + Milliseconds(5950));
    cr_assert_eq(monitor.fault(Start + Milliseconds(5960)), RelayFault::None);
    monitor.follow("front-1", "other", Start + std::chrono::seconds(20));
    cr_assert_eq(monitor.fault(Start + std::chrono::seconds(21)), RelayFault::None);
}
