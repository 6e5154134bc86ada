// Which targets a new rollout leader may order at once, and which names an announcement needs for that.
//
// Two load orders of different leaders to one target must be a gap apart. A leader sends an order at most `OrderWindow` after an announcement that
// names the target. So an announcement names each target that may have got an order within the gap and the window before it, or may get
// one on the strength of it; then the last announcement tells a new leader enough, whatever other announcements it has seen.
//
//     RecentOrders recent(OrderWindow + gap);
//     recent.record("t1", now);                                  // an order may have been sent until now
//     announcement.ordered = recent.names(now);
//
//     HandOver handOver = planHandOver(predecessor, OrderWindow + gap);
//     bool mayOrder = handOver.mayOrder("t1", now);
//
// All times are of a clock that also advances during suspension. Not thread-safe; `planHandOver` and `HandOver::mayOrder` are pure.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

// A load order is sent at most this long after its announcement.
constexpr Duration OrderWindow = Milliseconds(1000);

// The targets that may have got a load order within a time.
class RecentOrders
{
public:
    // `keepTime` is how long a target is named: the gap between orders of two leaders and `OrderWindow`.
    explicit RecentOrders(Duration keepTime)
        : keep(keepTime)
    {
    }

    // Records that an order to the target may have been sent until `until`.
    void record(const std::string &target, Time until);

    // Returns the targets that may have got an order within the time before `now`, and forgets the others.
    std::vector<std::string> names(Time now);

private:
    Duration keep;
    std::map<std::string, Time> orders;
};

// What a new leader knows of the last announcement of its predecessor.
struct PredecessorOrders
{
    // The leader is the first of its era of the store, which began then: orders may have been announced until then of which nothing is left.
    std::optional<Time> eraSince;
    // When this host received the last announcement; empty if there was none, or if it is certainly older than its orders matter.
    std::optional<Time> announcedAt;
    // The targets that it names; empty if it is unreadable or of a former version of the program.
    std::optional<std::vector<std::string>> ordered;
    // Those of them that load or are about to, and the version that each loads.
    std::map<std::string, int64_t> loading;
};

// Until when a new leader must not order the targets.
struct HandOver
{
    // No order before this time.
    Time allFrom{};
    // These targets get no order before `namedFrom`.
    std::set<std::string> named;
    // Those of them that may load now; they count among the targets that may load at a time.
    std::map<std::string, int64_t> loading;
    Time namedFrom{};

    bool mayOrder(const std::string &target, Time now) const
    {
        return now >= this->allFrom && (now >= this->namedFrom || !this->named.contains(target));
    }

    // Returns true if an order of the predecessor may be in progress at the target, which has `version` now.
    bool isLoading(const std::string &target, int64_t version, Time now) const
    {
        const auto found = this->loading.find(target);
        return now < this->namedFrom && found != this->loading.end() && version < found->second;
    }
};

// `distance` is the gap and `OrderWindow`.
HandOver planHandOver(const PredecessorOrders &predecessor, Duration distance);

} // namespace pimentosail
