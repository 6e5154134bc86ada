#include <random>

#include <criterion/criterion.h>

#include "pimentosail/rollout/announcement.h"
#include "pimentosail/rollout/handover.h"

using namespace pimentosail;

namespace
{

constexpr Duration Gap = std::chrono::seconds(3);
constexpr Duration Distance = OrderWindow + Gap;
const Time Start = Time(0) + std::chrono::hours(1);

PredecessorOrders announcedAt(Time time, std::vector<std::string> ordered)
{
    return {std::nullopt, time, std::move(ordered), {}};
}

} // namespace

// Load: one of 60 targets was ordered when the leader was lost. Guards against four seconds without any load order.
Test(hand_over, targets_that_the_predecessor_did_not_name_are_ordered_at_once)
{
    const HandOver handOver = planHandOver(announcedAt(Start, {"t1"}), Distance);
    cr_assert(handOver.mayOrder("t2", Start));
    cr_assert_not(handOver.mayOrder("t1", Start + Distance - Milliseconds(1)));
    cr_assert(handOver.mayOrder("t1", Start + Distance));
}

// Guards against orders of two leaders at the same time where the last announcement does not tell which targets may have one: it is of a former
// program version or unreadable, or it is lost because the store came back from an older copy.
Test(hand_over, all_targets_wait_if_the_last_orders_are_not_known)
{
    const HandOver unnamed = planHandOver({std::nullopt, Start, std::nullopt, {}}, Distance);
    cr_assert_not(unnamed.mayOrder("t2", Start + Distance - Milliseconds(1)));
    cr_assert(unnamed.mayOrder("t2", Start + Distance));
    const HandOver otherEra = planHandOver({Start + Milliseconds(500), Start, std::vector<std::string>{}, {}}, Distance);
    cr_assert_not(otherEra.mayOrder("t2", Start + Milliseconds(499) + Distance));
    cr_assert(otherEra.mayOrder("t2", Start + Milliseconds(500) + Distance));
    cr_assert(planHandOver({}, Distance).mayOrder("t2", Start), "there was no announcement");
}

// Load: all places for loads are taken when the leader is lost. Guards against a load that occupies a place after its end because a newer version is
// wanted, and against more targets that load than permitted.
Test(hand_over, a_load_of_the_predecessor_ends_when_the_target_has_its_version)
{
    const HandOver handOver = planHandOver({std::nullopt, Start, std::vector<std::string>{"t1", "t2"}, {{"t1", 2}}}, Distance);
    cr_assert(handOver.isLoading("t1", 1, Start));
    cr_assert_not(handOver.isLoading("t1", 2, Start));
    cr_assert_not(handOver.isLoading("t2", 1, Start));
    cr_assert_not(handOver.isLoading("t1", 1, Start + Distance));
    RolloutAnnouncement announcement;
    announcement.loadingVersions = {{"t1", 2}};
    cr_assert_eq(decodeAnnouncement(encodeAnnouncement(announcement)).loadingVersions.at("t1"), 2);
}

// Guards against names that are dropped while an order of the leader or of its predecessor is recent.
Test(hand_over, a_target_is_named_until_its_order_is_old_enough)
{
    RecentOrders recent(Distance);
    recent.record("t1", Start);
    recent.record("t1", Start - Milliseconds(100));
    cr_assert_eq(recent.names(Start + Distance).size(), 1);
    cr_assert(recent.names(Start + Distance + Milliseconds(1)).empty());
}

// Guards against a program that takes an announcement of a former version for one that names no target.
Test(hand_over, an_announcement_without_names_is_told_from_one_with_none)
{
    RolloutAnnouncement announcement;
    announcement.fencingToken = 3;
    cr_assert_not(decodeAnnouncement(encodeAnnouncement(announcement)).ordered.has_value());
    announcement.ordered = std::vector<std::string>{};
    cr_assert(decodeAnnouncement(encodeAnnouncement(announcement)).ordered.has_value());
    announcement.ordered = {"t1", "t2"};
    announcement.isHandOver = true;
    const RolloutAnnouncement decoded = decodeAnnouncement(encodeAnnouncement(announcement));
    cr_assert_eq(decoded.ordered->size(), 2);
    cr_assert(decoded.isHandOver);
}

// Load: leaders that are lost at random moments, many times, with 12 targets, some of them ordered all the time. Guards against orders of two leaders
// to one target less than the gap apart, also over a leader that announces once and is lost, and against a wait for targets that need none.
Test(hand_over, orders_of_two_leaders_to_one_target_are_a_gap_apart)
{
    constexpr int Targets = 12;
    constexpr int Leaders = 2000;
    std::mt19937 random(20261206);
    const auto upTo = [&random](Duration most) {
        return Duration(static_cast<int64_t>(random() % static_cast<uint64_t>(most.count() + 1)));
    };
    struct Order
    {
        int leader = -1;
        Time at{};
    };
    std::map<std::string, Order> last;
    Time now = Start;
    PredecessorOrders known;
    int orderedAtOnce = 0;
    for (int leader = 0; leader < Leaders; ++leader) {
        now += upTo(Milliseconds(1500));
        const Time takenAt = now;
        const HandOver handOver = planHandOver(known, Distance);
        RecentOrders recent(Distance);
        for (const std::string &target : handOver.named) {
            recent.record(target, *known.announcedAt + OrderWindow);
        }
        const Time lostAt = now + upTo(std::chrono::seconds(6));
        while (now < lostAt) {
            // Announces some targets and orders them within the window; a lost leader has ordered any part of them.
            std::vector<std::string> chosen;
            for (int index = 0; index < Targets; ++index) {
                const std::string target = "t" + std::to_string(index);
                if (random() % 24 == 0 && handOver.mayOrder(target, now)) {
                    chosen.push_back(target);
                }
            }
            for (const std::string &target : chosen) {
                recent.record(target, now);
            }
            const Time announced = now;
            // The next leader receives it later.
            known = announcedAt(announced + upTo(Milliseconds(200)), recent.names(announced));
            for (const std::string &target : chosen) {
                const Time at = announced + upTo(OrderWindow);
                Order &former = last[target];
                cr_assert(former.leader < 0 || former.leader == leader || at - former.at >= Gap, "leader %d orders %s %ld ms after leader %d", leader,
                    target.c_str(), static_cast<long>(toMilliseconds(at - former.at)), former.leader);
                orderedAtOnce += former.leader != leader && announced - takenAt < Milliseconds(300);
                former = {leader, at};
                recent.record(target, at);
            }
            now += upTo(Milliseconds(400)) + Milliseconds(1);
        }
        now = std::max(now, lostAt);
    }
    cr_assert_gt(orderedAtOnce, Leaders / 4);
}
