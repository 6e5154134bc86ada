#include "pimentosail/directory/loadtable.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

// Hosts send 10 to 20 reports a second. A host without a report for this long is taken as unreachable, and its load is
// no longer counted.
constexpr Duration ReportLifetime = Milliseconds(700);
// Interval at which old reports are searched for.
constexpr Duration DropInterval = Milliseconds(100);

void add(TargetLoad &sum, const TargetLoad &load, int sign)
{
    sum.requests += sign * load.requests;
    sum.pendingTokens += sign * load.pendingTokens;
    sum.lateTokens += sign * load.lateTokens;
    sum.heldTokens += sign * load.heldTokens;
}

void addTo(std::map<std::string, TargetLoad> &sums, const TargetLoad &load, int sign)
{
    const auto entry = sums.try_emplace(load.target).first;
    TargetLoad &sum = entry->second;
    add(sum, load, sign);
    if (sum.requests == 0 && sum.pendingTokens == 0 && sum.lateTokens == 0 && sum.heldTokens == 0) {
        sums.erase(entry);
    }
}

bool isBefore(const TargetLoad &load, const std::string &target)
{
    return load.target < target;
}

bool hasLowerTarget(const TargetLoad &first, const TargetLoad &second)
{
    return first.target < second.target;
}

std::vector<TargetLoad> withOwn(std::map<std::string, TargetLoad> sums, const std::vector<TargetLoad> &own)
{
    for (const TargetLoad &load : own) {
        addTo(sums, load, 1);
    }
    std::vector<TargetLoad> result;
    result.reserve(sums.size());
    for (auto &[target, load] : sums) {
        if (load.requests > 0) {
            load.target = target;
            result.push_back(std::move(load));
        }
    }
    return result;
}

} // namespace

void LoadTable::addLocked(const Report &report, int sign) const
{
    for (const TargetLoad &load : report.loads) {
        addTo(this->allSums, load, sign);
        if (report.source == LoadSource::Follower) {
            addTo(this->followerSums, load, sign);
        }
    }
}

void LoadTable::dropOldLocked(Time now) const
{
    if (now < this->nextDrop) {
        return;
    }
    this->nextDrop = now + DropInterval;
    std::erase_if(this->reports, [this, now](const auto &entry) {
        const bool isOld = entry.second.at + ReportLifetime < now;
        if (isOld) {
            this->addLocked(entry.second, -1);
        }
        return isOld;
    });
}

bool LoadTable::record(LoadSource source, const std::string &sender, const ReportNumber &number, std::vector<TargetLoad> loads, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->dropOldLocked(now);
    Report &report = this->reports[sender];
    if (number.process != 0 && report.number.process == number.process && report.number.sequence >= number.sequence) {
        return false;
    }
    this->addLocked(report, -1);
    report = {source, number, now, std::move(loads)};
    this->addLocked(report, 1);
    return true;
}

ReportNumber LoadTable::lastReport(const std::string &sender, Time now) const
{
    const std::lock_guard lock(this->mutex);
    this->dropOldLocked(now);
    const auto found = this->reports.find(sender);
    return found == this->reports.end() ? ReportNumber{} : found->second.number;
}

void LoadTable::recordTotals(std::vector<TargetLoad> totals, const std::vector<TargetLoad> &ownIncluded, Time now)
{
    // A relay sends the totals in order.
    if (!std::is_sorted(totals.begin(), totals.end(), hasLowerTarget)) {
        std::sort(totals.begin(), totals.end(), hasLowerTarget);
    }
    for (const TargetLoad &load : ownIncluded) {
        const auto found = std::lower_bound(totals.begin(), totals.end(), load.target, isBefore);
        if (found != totals.end() && found->target == load.target) {
            add(*found, load, -1);
        }
    }
    const std::lock_guard lock(this->mutex);
    this->relayTotals = std::move(totals);
    this->relayTotalsAt = now;
}

TargetLoad LoadTable::loadOfOthers(const std::string &target, Time now) const
{
    const std::lock_guard lock(this->mutex);
    TargetLoad result;
    if (this->relayTotalsAt > Time(0) && now <= this->relayTotalsAt + ReportLifetime) {
        const auto found = std::lower_bound(this->relayTotals.begin(), this->relayTotals.end(), target, isBefore);
        if (found != this->relayTotals.end() && found->target == target) {
            result = *found;
        }
    } else {
        this->dropOldLocked(now);
        const auto found = this->allSums.find(target);
        if (found != this->allSums.end()) {
            result = found->second;
        }
    }
    result.target = target;
    return result;
}

std::vector<TargetLoad> LoadTable::groupLoad(const std::vector<TargetLoad> &own, Time now) const
{
    const std::lock_guard lock(this->mutex);
    this->dropOldLocked(now);
    return withOwn(this->followerSums, own);
}

std::vector<TargetLoad> LoadTable::totalLoad(const std::vector<TargetLoad> &own, Time now) const
{
    const std::lock_guard lock(this->mutex);
    this->dropOldLocked(now);
    return withOwn(this->allSums, own);
}

} // namespace pimentosail
