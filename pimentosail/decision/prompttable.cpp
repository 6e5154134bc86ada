#include "pimentosail/decision/prompttable.h"

#include <algorithm>

namespace pimentosail
{

PromptRecord &PromptTable::touch(uint64_t key)
{
    const auto found = this->records.find(key);
    if (found != this->records.end()) {
        this->byRecency.splice(this->byRecency.begin(), this->byRecency, found->second);
        return *found->second;
    }
    if (this->records.size() >= this->capacity) {
        this->records.erase(this->byRecency.back().key);
        this->byRecency.pop_back();
    }
    this->byRecency.emplace_front();
    this->byRecency.front().key = key;
    this->records.emplace(key, this->byRecency.begin());
    return this->byRecency.front();
}

PromptRecord *PromptTable::find(uint64_t key)
{
    const auto found = this->records.find(key);
    return found == this->records.end() ? nullptr : &*found->second;
}

void PromptTable::recordLocation(PromptRecord &record, TargetIndex target, int64_t tokens, Time now)
{
    CacheLocation *entry = nullptr;
    for (CacheLocation &location : record.locations) {
        if (location.target == target) {
            entry = &location;
        }
    }
    if (entry == nullptr) {
        entry = &*std::min_element(record.locations.begin(), record.locations.end(), [](const CacheLocation &left, const CacheLocation &right) {
            return (left.target == NoTarget ? Time(-1) : left.lastUsed) < (right.target == NoTarget ? Time(-1) : right.lastUsed);
        });
    }
    *entry = {target, static_cast<int32_t>(tokens), now};
}

void PromptTable::removeTarget(TargetIndex target)
{
    for (PromptRecord &record : this->byRecency) {
        for (CacheLocation &location : record.locations) {
            if (location.target == target) {
                location = CacheLocation();
            }
        }
    }
}

} // namespace pimentosail
