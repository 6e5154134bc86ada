#include "pimentosail/directory/loadboard.h"

namespace pimentosail
{

namespace
{

// Reports come about ten times a second; after this long a host is taken to be gone.
constexpr Duration ReportLife = Milliseconds(700);
constexpr size_t MaxHosts = 512;

} // namespace

void LoadBoard::note(const std::string &host, std::vector<TargetLoad> loads, Time now)
{
    const std::lock_guard lock(this->mutex);
    if (this->reports.size() >= MaxHosts) {
        std::erase_if(this->reports, [now](const auto &entry) { return entry.second.at + ReportLife < now; });
    }
    Report &report = this->reports[host];
    report.at = now;
    report.loads.clear();
    for (TargetLoad &load : loads) {
        const std::string id = load.target;
        report.loads.emplace(id, std::move(load));
    }
}

TargetLoad LoadBoard::others(const std::string &target, Time now) const
{
    const std::lock_guard lock(this->mutex);
    TargetLoad total;
    total.target = target;
    for (const auto &[host, report] : this->reports) {
        if (report.at + ReportLife < now) {
            continue;
        }
        const auto found = report.loads.find(target);
        if (found != report.loads.end()) {
            total.requests += found->second.requests;
            total.pendingTokens += found->second.pendingTokens;
            total.lateTokens += found->second.lateTokens;
        }
    }
    return total;
}

} // namespace pimentosail
