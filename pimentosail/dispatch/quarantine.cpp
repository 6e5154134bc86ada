#include "pimentosail/dispatch/quarantine.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

// Number of incarnations that must end while they run a request before it is blocked. A request that happened to run on
// two targets that crashed for another reason is still served.
constexpr size_t BlockingLosses = 3;
constexpr size_t MaxEntries = 4096;
// Maximum number of this host's observations that are published. A crash of a busy target produces about as many
// observations as the target has slots.
constexpr size_t MaxOwnLosses = 256;
constexpr Duration EntryTimeToLive = std::chrono::minutes(10);

} // namespace

bool Quarantine::add(uint64_t fingerprint, const std::string &incarnation, Time now)
{
    if (this->entries.size() >= MaxEntries) {
        std::erase_if(this->entries, [now](const auto &entry) { return entry.second.last + EntryTimeToLive < now; });
        if (this->entries.size() >= MaxEntries) {
            this->entries.erase(
                std::min_element(this->entries.begin(), this->entries.end(), [](const auto &a, const auto &b) { return a.second.last < b.second.last; }));
        }
    }
    Entry &entry = this->entries[fingerprint];
    entry.last = now;
    return entry.incarnations.insert(incarnation).second;
}

bool Quarantine::recordLoss(uint64_t fingerprint, const std::string &incarnation)
{
    const std::lock_guard lock(this->mutex);
    const Time now = this->clock.now();
    if (!this->add(fingerprint, incarnation, now)) {
        return false;
    }
    if (this->recentOwnLosses.size() >= MaxOwnLosses) {
        this->recentOwnLosses.erase(this->recentOwnLosses.begin());
    }
    this->recentOwnLosses.push_back({fingerprint, incarnation, now});
    ++this->changes;
    return true;
}

void Quarantine::merge(const std::vector<std::pair<uint64_t, std::string>> &losses)
{
    const std::lock_guard lock(this->mutex);
    const Time now = this->clock.now();
    for (const auto &[fingerprint, incarnation] : losses) {
        this->add(fingerprint, incarnation, now);
    }
}

size_t Quarantine::lossCount(uint64_t fingerprint) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(fingerprint);
    return found == this->entries.end() ? 0 : found->second.incarnations.size();
}

bool Quarantine::isBlocked(uint64_t fingerprint) const
{
    return this->lossCount(fingerprint) >= BlockingLosses;
}

std::vector<std::pair<uint64_t, std::string>> Quarantine::ownLosses() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::pair<uint64_t, std::string>> result;
    for (const OwnLoss &loss : this->recentOwnLosses) {
        result.emplace_back(loss.fingerprint, loss.incarnation);
    }
    return result;
}

uint64_t Quarantine::changeCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->changes;
}

} // namespace pimentosail
