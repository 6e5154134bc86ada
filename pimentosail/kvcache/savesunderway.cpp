#include "pimentosail/kvcache/savesunderway.h"

#include <algorithm>
#include <random>
#include <utility>

#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

// A change is told in this number of intervals.
constexpr uint64_t ToldIntervals = 2;
constexpr uint64_t KeyMask = 0xffffffff;
// How long an ended save is remembered, so that a late notice does not begin it again.
constexpr Duration EndedMemory = std::chrono::seconds(5);
constexpr Duration DropInterval = std::chrono::seconds(1);
// Notices in one datagram. The newest are sent; the others were part of earlier ones.
constexpr size_t MaxNotices = 1500;

uint64_t randomProcessId()
{
    std::random_device device;
    return ((static_cast<uint64_t>(device()) << 32U) | device()) | 1U;
}

} // namespace

SavesUnderWay::SavesUnderWay(const Clock &runtimeClock)
    : clock(runtimeClock)
    , process(randomProcessId())
{
}

uint64_t SavesUnderWay::keyOf(const std::string &store, const std::string &salt, const std::string &block)
{
    return combineHashes(stableHash(store), combineHashes(stableHash(salt), stableHash(block))) & KeyMask;
}

SavesUnderWay::Save *SavesUnderWay::find(uint64_t key, uint64_t saveProcess, uint64_t number)
{
    return const_cast<Save *>(std::as_const(*this).find(key, saveProcess, number));
}

const SavesUnderWay::Save *SavesUnderWay::find(uint64_t key, uint64_t saveProcess, uint64_t number) const
{
    const auto known = this->saves.find(key);
    if (known == this->saves.end()) {
        return nullptr;
    }
    const auto found = std::find_if(
        known->second.begin(), known->second.end(), [saveProcess, number](const Save &save) { return save.process == saveProcess && save.number == number; });
    return found == known->second.end() ? nullptr : &*found;
}

void SavesUnderWay::change(uint64_t key, Save &save, Time end, Time now, bool isRepeated)
{
    save.end = end;
    save.toldAt = now;
    this->recent.push_back({this->interval, key, save.process, save.number, isRepeated});
}

uint64_t SavesUnderWay::begin(uint64_t key, Time end)
{
    const std::lock_guard lock(this->mutex);
    const Time now = this->clock.nowWithSuspend();
    Save &save = this->saves[key].emplace_back(Save{this->process, ++this->lastNumber, SaveScope::Own, now, end, now});
    this->change(key, save, end, now);
    return save.number;
}

void SavesUnderWay::extend(uint64_t key, uint64_t number, Time end)
{
    const std::lock_guard lock(this->mutex);
    if (Save *save = this->find(key, this->process, number); save != nullptr && save->end != Time(0)) {
        save->end = std::max(save->end, end);
    }
}

void SavesUnderWay::end(uint64_t key, uint64_t number)
{
    const std::lock_guard lock(this->mutex);
    if (Save *save = this->find(key, this->process, number); save != nullptr && save->end != Time(0)) {
        this->change(key, *save, Time(0), this->clock.nowWithSuspend());
    }
}

void SavesUnderWay::record(const SaveNotice &notice, SaveScope scope)
{
    const std::lock_guard lock(this->mutex);
    if (notice.process == this->process) {
        return;
    }
    const Time now = this->clock.nowWithSuspend();
    const Time end = notice.isUnderWay() ? now + notice.remaining : Time(0);
    if (Save *known = this->find(notice.key, notice.process, notice.number); known == nullptr) {
        Save &save = this->saves[notice.key].emplace_back(Save{notice.process, notice.number, scope, now, end, now});
        this->change(notice.key, save, end, now);
    } else if (known->end != Time(0) && !notice.isUnderWay()) {
        this->change(notice.key, *known, Time(0), now);
    } else if (known->end != Time(0)) {
        known->end = std::max(known->end, end);
    }
}

std::optional<Duration> SavesUnderWay::youngest(uint64_t key) const
{
    const std::lock_guard lock(this->mutex);
    const auto known = this->saves.find(key);
    if (known == this->saves.end()) {
        return std::nullopt;
    }
    const Time now = this->clock.nowWithSuspend();
    std::optional<Duration> result;
    for (const Save &save : known->second) {
        if (now < save.end) {
            result = std::min(result.value_or(now - save.since), now - save.since);
        }
    }
    return result;
}

std::optional<Time> SavesUnderWay::firstSave(uint64_t key) const
{
    const std::lock_guard lock(this->mutex);
    const auto known = this->saves.find(key);
    if (known == this->saves.end() || known->second.empty()) {
        return std::nullopt;
    }
    return std::min_element(known->second.begin(), known->second.end(), [](const Save &left, const Save &right) { return left.since < right.since; })->since;
}

void SavesUnderWay::beginInterval()
{
    const std::lock_guard lock(this->mutex);
    ++this->interval;
    while (!this->recent.empty() && this->recent.front().interval + ToldIntervals < this->interval) {
        this->recent.pop_front();
    }
    this->dropOld(this->clock.nowWithSuspend());
}

std::vector<SaveNotice> SavesUnderWay::changes(SaveScope scope) const
{
    const std::lock_guard lock(this->mutex);
    const Time now = this->clock.nowWithSuspend();
    std::vector<SaveNotice> result;
    for (auto change = this->recent.rbegin(); change != this->recent.rend() && result.size() < MaxNotices; ++change) {
        const Save *save = this->find(change->key, change->process, change->number);
        if (save != nullptr && (change->isRepeated || save->scope <= scope)) {
            result.push_back({change->key, save->process, save->number, std::max<Duration>(Duration(0), save->end - now)});
        }
    }
    return result;
}

void SavesUnderWay::dropOld(Time now)
{
    if (now < this->droppedAt + DropInterval) {
        return;
    }
    this->droppedAt = now;
    for (auto entry = this->saves.begin(); entry != this->saves.end();) {
        std::erase_if(entry->second, [now](const Save &save) { return std::max(save.end, save.toldAt) + EndedMemory < now; });
        for (Save &save : entry->second) {
            if (now < save.end && save.toldAt + RepeatInterval <= now) {
                this->change(entry->first, save, save.end, now, true);
            }
        }
        entry = entry->second.empty() ? this->saves.erase(entry) : std::next(entry);
    }
}

size_t SavesUnderWay::count() const
{
    const std::lock_guard lock(this->mutex);
    const Time now = this->clock.nowWithSuspend();
    size_t result = 0;
    for (const auto &[key, known] : this->saves) {
        result += static_cast<size_t>(std::count_if(known.begin(), known.end(), [now](const Save &save) { return now < save.end; }));
    }
    return result;
}

SaveTicket::~SaveTicket()
{
    this->end();
}

void SaveTicket::add(uint64_t key, Time end)
{
    this->keys.emplace_back(key, this->saves.begin(key, end));
}

void SaveTicket::recordSent(Time end)
{
    for (const auto &[key, number] : this->keys) {
        this->saves.extend(key, number, end);
    }
}

void SaveTicket::end()
{
    for (const auto &[key, number] : this->keys) {
        this->saves.end(key, number);
    }
    this->keys.clear();
}

} // namespace pimentosail
