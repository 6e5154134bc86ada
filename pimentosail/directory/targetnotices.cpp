#include "pimentosail/directory/targetnotices.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

// Ages are rounded to milliseconds, so a report that comes back may end a little later than what it repeats.
constexpr Duration AgeRounding = Milliseconds(10);

} // namespace

std::string_view noticeKindName(NoticeKind kind)
{
    switch (kind) {
    case NoticeKind::Leaving:
        return "leaving";
    case NoticeKind::Resting:
        return "resting";
    }
    return "unknown";
}

bool TargetNoticeTable::recordAnswer(const TargetNotice &notice)
{
    return this->record(notice, true);
}

bool TargetNoticeTable::recordReport(const TargetNotice &notice)
{
    return this->record(notice, false);
}

bool TargetNoticeTable::record(const TargetNotice &notice, bool isOwn)
{
    const std::lock_guard lock(this->mutex);
    Entry &entry = this->entries[{notice.target, notice.startedAt}];
    bool isChanged = false;
    bool isNewToReport = false;
    if (notice.kind == NoticeKind::Leaving) {
        isChanged = entry.leavingSince == Time(0);
        entry.leavingSince = isChanged ? std::max(Time(1), notice.observedAt) : entry.leavingSince;
        isNewToReport = isOwn && !entry.isLeavingOwn;
        entry.isLeavingOwn = entry.isLeavingOwn || isOwn;
    } else {
        Rest &rest = isOwn ? entry.ownRest : entry.otherRest;
        const Time until = notice.observedAt + std::min(notice.rest, MaxRest);
        isChanged = until > std::max(rest.until, isOwn ? Time(0) : entry.ownRest.until) + AgeRounding;
        if (isChanged) {
            rest = {notice.observedAt, until};
        }
    }
    if (isChanged || isNewToReport) {
        entry.lastChange = this->changes.fetch_add(1) + 1;
    }
    return isChanged;
}

TargetNoticeTable::Entry TargetNoticeTable::find(const std::string &target, int64_t startedAt) const
{
    if (this->changes.load() == 0) {
        return {};
    }
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find({target, startedAt});
    return found == this->entries.end() ? Entry{} : found->second;
}

bool TargetNoticeTable::isLeaving(const std::string &target, int64_t startedAt) const
{
    return this->find(target, startedAt).leavingSince != Time(0);
}

Time TargetNoticeTable::restsUntil(const std::string &target, int64_t startedAt) const
{
    return this->find(target, startedAt).ownRest.until;
}

Time TargetNoticeTable::restsSince(const std::string &target, int64_t startedAt) const
{
    return this->find(target, startedAt).ownRest.since;
}

Time TargetNoticeTable::othersRestUntil(const std::string &target, int64_t startedAt) const
{
    return this->find(target, startedAt).otherRest.until;
}

std::vector<TargetNotice> TargetNoticeTable::known(Time now) const
{
    return this->list(now, false);
}

std::vector<TargetNotice> TargetNoticeTable::own(Time now) const
{
    return this->list(now, true);
}

std::vector<TargetNotice> TargetNoticeTable::list(Time now, bool ownOnly) const
{
    if (this->changes.load() == 0) {
        return {};
    }
    std::vector<std::pair<uint64_t, TargetNotice>> ordered;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto &[incarnation, entry] : this->entries) {
            if (entry.leavingSince != Time(0) && (entry.isLeavingOwn || !ownOnly)) {
                ordered.emplace_back(entry.lastChange, TargetNotice{incarnation.first, incarnation.second, NoticeKind::Leaving, entry.leavingSince, {}});
            }
            const Rest &rest = ownOnly || entry.ownRest.until >= entry.otherRest.until ? entry.ownRest : entry.otherRest;
            if (rest.until > now) {
                ordered.emplace_back(
                    entry.lastChange, TargetNotice{incarnation.first, incarnation.second, NoticeKind::Resting, rest.since, rest.until - rest.since});
            }
        }
    }
    std::stable_sort(ordered.begin(), ordered.end(), [](const auto &first, const auto &second) { return first.first > second.first; });
    std::vector<TargetNotice> result;
    result.reserve(ordered.size());
    for (auto &[change, notice] : ordered) {
        result.push_back(std::move(notice));
    }
    return result;
}

void TargetNoticeTable::dropOld(const std::set<std::pair<std::string, int64_t>> &registered, Time now)
{
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->entries, [&registered, now](const auto &item) {
        const Entry &entry = item.second;
        const bool isLeaving = entry.leavingSince != Time(0) && (entry.leavingSince + Memory > now || registered.contains(item.first));
        return !isLeaving && std::max(entry.ownRest.until, entry.otherRest.until) <= now;
    });
}

} // namespace pimentosail
