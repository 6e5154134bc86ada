#include "pimentosail/directory/loadtable.h"

namespace pimentosail
{

namespace
{

// Hosts send 10 to 20 reports a second. A host without a report for this long is taken as unreachable, and its load is
// no longer counted.
constexpr Duration ReportLifetime = Milliseconds(700);
// The sums are computed again at least this often, so that old reports drop out of them.
constexpr Duration SumInterval = Milliseconds(100);
// From this number of hosts on, each new report first removes those that are too old.
constexpr size_t MaxHosts = 512;

void add(TargetLoad &sum, const TargetLoad &load, int sign)
{
    sum.requests += sign * load.requests;
    sum.pendingTokens += sign * load.pendingTokens;
    sum.lateTokens += sign * load.lateTokens;
    sum.heldTokens += sign * load.heldTokens;
}

} // namespace

void LoadTable::recordReport(const std::string &host, std::vector<TargetLoad> loads, Time now)
{
    const std::lock_guard lock(this->mutex);
    if (this->reports.size() >= MaxHosts) {
        std::erase_if(this->reports, [now](const auto &entry) { return entry.second.at + ReportLifetime < now; });
    }
    Report &report = this->reports[host];
    report.at = now;
    report.loads.clear();
    for (TargetLoad &load : loads) {
        const std::string id = load.target;
        report.loads.emplace(id, std::move(load));
    }
    this->isChanged = true;
}

void LoadTable::recordTotals(std::vector<TargetLoad> loads, Time now)
{
    const std::lock_guard lock(this->mutex);
    this->relayTotals.clear();
    for (TargetLoad &load : loads) {
        const std::string id = load.target;
        this->relayTotals.emplace(id, std::move(load));
    }
    this->relayTotalsAt = now;
}

const LoadTable::Loads &LoadTable::sums(Time now) const
{
    if (this->isChanged || this->sumsComputedAt + SumInterval < now) {
        this->cachedSums.clear();
        for (const auto &[host, report] : this->reports) {
            if (report.at + ReportLifetime < now) {
                continue;
            }
            for (const auto &[target, load] : report.loads) {
                add(this->cachedSums[target], load, 1);
            }
        }
        this->sumsComputedAt = now;
        this->isChanged = false;
    }
    return this->cachedSums;
}

TargetLoad LoadTable::loadOfOthers(const std::string &target, Time now) const
{
    const std::lock_guard lock(this->mutex);
    const bool areRelayTotalsRecent = this->relayTotalsAt > Time(0) && now <= this->relayTotalsAt + ReportLifetime;
    const Loads &loads = areRelayTotalsRecent ? this->relayTotals : this->sums(now);
    const auto found = loads.find(target);
    TargetLoad result = found == loads.end() ? TargetLoad{} : found->second;
    result.target = target;
    return result;
}

std::vector<TargetLoad> LoadTable::totalsWithout(const std::string &host, const std::vector<TargetLoad> &own, Time now) const
{
    const std::lock_guard lock(this->mutex);
    Loads totals = this->sums(now);
    for (const TargetLoad &load : own) {
        add(totals[load.target], load, 1);
    }
    const auto report = this->reports.find(host);
    if (report != this->reports.end() && report->second.at + ReportLifetime >= now) {
        for (const auto &[target, load] : report->second.loads) {
            add(totals[target], load, -1);
        }
    }
    std::vector<TargetLoad> result;
    for (auto &[target, load] : totals) {
        if (load.requests > 0) {
            load.target = target;
            result.push_back(load);
        }
    }
    return result;
}

Time LoadTable::lastTotalsAt() const
{
    const std::lock_guard lock(this->mutex);
    return this->relayTotalsAt;
}

} // namespace pimentosail
