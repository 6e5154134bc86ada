#include "pimentosail/dispatch/quarantine.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

// Incarnations lost under a request before it is blocked. A request seen by chance on two that crash is still served.
constexpr size_t BlockingLosses = 3;
constexpr size_t MaxEntries = 4096;
// Own observations that are published; a crash of a busy target leaves about as many as its slots.
constexpr size_t MaxOwn = 256;
constexpr Duration EntryLife = std::chrono::minutes(10);

} // namespace

bool Quarantine::add(uint64_t fingerprint, const std::string &incarnation, Time now)
{
    if (this->entries.size() >= MaxEntries) {
        std::erase_if(this->entries, [now](const auto &entry) { return entry.second.last + EntryLife < now; });
        if (this->entries.size() >= MaxEntries) {
            this->entries.erase(
                std::min_element(this->entries.begin(), this->entries.end(), [](const auto &a, const auto &b) { return a.second.last < b.second.last; }));
        }
    }
    Entry &entry = this->entries[fingerprint];
    entry.last = now;
    return entry.incarnations.insert(incarnation).second;
}

bool Quarantine::noteLost(uint64_t fingerprint, const std::string &incarnation)
{
    const std::lock_guard lock(this->mutex);
    const Time now = this->clock.now();
    if (!this->add(fingerprint, incarnation, now)) {
        return false;
    }
    if (this->ownLosses.size() >= MaxOwn) {
        this->ownLosses.erase(this->ownLosses.begin());
    }
    this->ownLosses.push_back({fingerprint, incarnation, now});
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

size_t Quarantine::losses(uint64_t fingerprint) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(fingerprint);
    return found == this->entries.end() ? 0 : found->second.incarnations.size();
}

bool Quarantine::isBlocked(uint64_t fingerprint) const
{
    return this->losses(fingerprint) >= BlockingLosses;
}

std::vector<std::pair<uint64_t, std::string>> Quarantine::own() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::pair<uint64_t, std::string>> result;
    for (const OwnLoss &loss : this->ownLosses) {
        result.emplace_back(loss.fingerprint, loss.incarnation);
    }
    return result;
}

} // namespace pimentosail
