#include "pimentosail/serve/suspects.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

constexpr size_t MaxEntries = 4096;
constexpr Duration EntryLifetime = std::chrono::minutes(30);

} // namespace

bool SuspectTable::record(uint64_t fingerprint, const std::string &deadBoot, Time now)
{
    const std::lock_guard lock(this->mutex);
    if (this->entries.size() >= MaxEntries && this->entries.count(fingerprint) == 0) {
        const auto oldest = std::min_element(
            this->entries.begin(), this->entries.end(), [](const auto &left, const auto &right) { return left.second.lastDeath < right.second.lastDeath; });
        this->entries.erase(oldest);
    }
    Entry &entry = this->entries[fingerprint];
    entry.lastDeath = now;
    return entry.deadBoots.insert(deadBoot).second;
}

int SuspectTable::deaths(uint64_t fingerprint, Time now)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(fingerprint);
    if (found == this->entries.end()) {
        return 0;
    }
    if (now - found->second.lastDeath > EntryLifetime) {
        this->entries.erase(found);
        return 0;
    }
    return static_cast<int>(found->second.deadBoots.size());
}

size_t SuspectTable::size()
{
    const std::lock_guard lock(this->mutex);
    return this->entries.size();
}

} // namespace pimentosail
