#include "pimentosail/dispatch/quarantine.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

// Number of incarnations that must end while they run a request before it is blocked. A request that happened to run on
// two targets that crashed for another reason is still served.
constexpr size_t BlockingLosses = 3;
// A sound request is published once one more loss could block it. Most lost requests have one loss only.
constexpr size_t PublishingLosses = BlockingLosses - 1;
constexpr size_t MaxEntries = 4096;
// Maximum number of this host's observations that are published. A crash of a busy target produces about as many
// observations as the target has slots.
constexpr size_t MaxOwnLosses = 256;
// Maximum number of sound requests that are published.
constexpr size_t MaxPublishedSound = 256;
// Number of answered requests after which the older ones are forgotten.
constexpr size_t MaxAnswered = 8192;
constexpr Duration EntryTimeToLive = std::chrono::minutes(10);

} // namespace

bool Quarantine::isAnswered(uint64_t fingerprint) const
{
    return this->recentAnswered.contains(fingerprint) || this->olderAnswered.contains(fingerprint);
}

Quarantine::Entry &Quarantine::entryOf(uint64_t fingerprint, Time now)
{
    if (this->entries.size() >= MaxEntries && !this->entries.contains(fingerprint)) {
        std::erase_if(this->entries, [now](const auto &entry) { return entry.second.last + EntryTimeToLive < now; });
        if (this->entries.size() >= MaxEntries) {
            this->entries.erase(
                std::min_element(this->entries.begin(), this->entries.end(), [](const auto &a, const auto &b) { return a.second.last < b.second.last; }));
        }
    }
    Entry &entry = this->entries[fingerprint];
    entry.last = now;
    return entry;
}

void Quarantine::markSound(uint64_t fingerprint, Entry &entry)
{
    entry.isSound = true;
    if (entry.isPublished || entry.incarnations.size() < PublishingLosses) {
        return;
    }
    entry.isPublished = true;
    ++this->changes;
    if (this->publishedSound.size() >= MaxPublishedSound) {
        this->publishedSound.erase(this->publishedSound.begin());
    }
    this->publishedSound.push_back(fingerprint);
}

bool Quarantine::addLoss(uint64_t fingerprint, const std::string &incarnation, Time now)
{
    Entry &entry = this->entryOf(fingerprint, now);
    const bool isNew = entry.incarnations.insert(incarnation).second;
    if (entry.isSound || this->isAnswered(fingerprint)) {
        this->markSound(fingerprint, entry);
    }
    return isNew;
}

bool Quarantine::recordLoss(uint64_t fingerprint, const std::string &incarnation)
{
    const std::lock_guard lock(this->mutex);
    const Time now = this->clock.now();
    if (!this->addLoss(fingerprint, incarnation, now)) {
        return false;
    }
    if (this->recentOwnLosses.size() >= MaxOwnLosses) {
        this->recentOwnLosses.erase(this->recentOwnLosses.begin());
    }
    this->recentOwnLosses.push_back({fingerprint, incarnation, now});
    ++this->changes;
    return true;
}

void Quarantine::recordAnswer(uint64_t fingerprint)
{
    const std::lock_guard lock(this->mutex);
    if (this->recentAnswered.size() >= MaxAnswered) {
        this->olderAnswered = std::move(this->recentAnswered);
        this->recentAnswered.clear();
    }
    this->recentAnswered.insert(fingerprint);
    const auto found = this->entries.find(fingerprint);
    if (found != this->entries.end()) {
        this->markSound(fingerprint, found->second);
    }
}

void Quarantine::merge(const std::vector<std::pair<uint64_t, std::string>> &losses, const std::vector<uint64_t> &sound)
{
    const std::lock_guard lock(this->mutex);
    const Time now = this->clock.now();
    for (const auto &[fingerprint, incarnation] : losses) {
        this->addLoss(fingerprint, incarnation, now);
    }
    for (const uint64_t fingerprint : sound) {
        this->entryOf(fingerprint, now).isSound = true;
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
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(fingerprint);
    return found != this->entries.end() && !found->second.isSound && found->second.incarnations.size() >= BlockingLosses;
}

std::vector<uint64_t> Quarantine::soundRequests() const
{
    const std::lock_guard lock(this->mutex);
    return this->publishedSound;
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
