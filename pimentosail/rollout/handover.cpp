#include "pimentosail/rollout/handover.h"

#include <algorithm>

namespace pimentosail
{

void RecentOrders::record(const std::string &target, Time until)
{
    Time &known = this->orders[target];
    known = std::max(known, until);
}

std::vector<std::string> RecentOrders::names(Time now)
{
    std::erase_if(this->orders, [this, now](const auto &order) { return order.second + this->keep < now; });
    std::vector<std::string> result;
    for (const auto &[target, until] : this->orders) {
        result.push_back(target);
    }
    return result;
}

HandOver planHandOver(const PredecessorOrders &predecessor, Duration distance)
{
    HandOver handOver;
    if (predecessor.eraSince) {
        handOver.allFrom = *predecessor.eraSince + distance;
    }
    if (!predecessor.announcedAt) {
        return handOver;
    }
    const Time from = *predecessor.announcedAt + distance;
    if (predecessor.eraSince || !predecessor.ordered) {
        handOver.allFrom = std::max(handOver.allFrom, from);
        return handOver;
    }
    handOver.named.insert(predecessor.ordered->begin(), predecessor.ordered->end());
    handOver.loading = predecessor.loading;
    handOver.namedFrom = from;
    return handOver;
}

} // namespace pimentosail
