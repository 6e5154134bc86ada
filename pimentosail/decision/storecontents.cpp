#include "pimentosail/decision/storecontents.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

// Number of random copies compared to find one of low value; a smaller tier is compared completely.
constexpr size_t EvictionSample = 24;
// Weight of a new sample in the moving average of eviction ages.
constexpr double EvictionAgeGain = 0.1;

// Smallest probability of return with which a copy is demoted at a disk wait of MaxDemotionWait.
constexpr double BusyDemotionProbability = 0.3;

} // namespace

Duration returnHorizon(Tier tier)
{
    return tier == Tier::Memory ? std::chrono::minutes(10) : std::chrono::hours(2);
}

bool shouldDemote(double returnProbability, Duration diskWait)
{
    return returnProbability >= BusyDemotionProbability * toSeconds(diskWait) / toSeconds(MaxDemotionWait);
}

StoreContents::StoreContents(int64_t memoryBytes, int64_t diskBytes)
{
    this->tiers.at(static_cast<size_t>(Tier::Memory)).capacity = memoryBytes;
    this->tiers.at(static_cast<size_t>(Tier::Disk)).capacity = diskBytes;
}

std::optional<uint64_t> StoreContents::leastValuable(const TierState &tier, Time now, const CopyValueFunction &valueOf)
{
    std::optional<uint64_t> leastKey;
    double leastValue = 0;
    const size_t samples = std::min(EvictionSample, tier.keys.size());
    for (size_t index = 0; index < samples; ++index) {
        const uint64_t key = tier.keys.size() <= EvictionSample ? tier.keys[index] : tier.keys[this->random() % tier.keys.size()];
        const double value = valueOf(tier.copies.at(key), now);
        if (!leastKey || value < leastValue) {
            leastKey = key;
            leastValue = value;
        }
    }
    return leastKey;
}

StoreAdmission StoreContents::admit(const StoredCopy &copy, Time now, const CopyValueFunction &valueOf)
{
    TierState &tier = this->tiers.at(static_cast<size_t>(copy.tier));
    StoreAdmission admission;
    if (copy.bytes > tier.capacity) {
        return admission;
    }
    this->remove(copy.promptKey, copy.tier);
    const double value = valueOf(copy, now);
    while (tier.used + copy.bytes > tier.capacity) {
        const std::optional<uint64_t> victim = this->leastValuable(tier, now, valueOf);
        if (!victim || valueOf(tier.copies.at(*victim), now) >= value) {
            return admission;
        }
        admission.evicted.push_back(tier.copies.at(*victim));
        const Duration age = now - admission.evicted.back().lastUsed;
        tier.evictionAge = tier.evictionAge < Duration(0) ? age : tier.evictionAge + fromSeconds(EvictionAgeGain * toSeconds(age - tier.evictionAge));
        this->remove(*victim, copy.tier);
    }
    tier.positions[copy.promptKey] = tier.keys.size();
    tier.keys.push_back(copy.promptKey);
    tier.used += copy.bytes;
    tier.copies[copy.promptKey] = copy;
    admission.admitted = true;
    return admission;
}

const StoredCopy *StoreContents::find(uint64_t promptKey, Tier tier) const
{
    const TierState &state = this->tiers.at(static_cast<size_t>(tier));
    const auto found = state.copies.find(promptKey);
    return found == state.copies.end() ? nullptr : &found->second;
}

const StoredCopy *StoreContents::find(uint64_t promptKey) const
{
    const StoredCopy *copy = this->find(promptKey, Tier::Memory);
    return copy != nullptr ? copy : this->find(promptKey, Tier::Disk);
}

void StoreContents::markUsed(uint64_t promptKey, Time now)
{
    for (TierState &tier : this->tiers) {
        const auto found = tier.copies.find(promptKey);
        if (found != tier.copies.end()) {
            found->second.lastUsed = now;
        }
    }
}

void StoreContents::setKnownReturn(uint64_t promptKey, Time knownReturn)
{
    for (TierState &tier : this->tiers) {
        const auto found = tier.copies.find(promptKey);
        if (found != tier.copies.end()) {
            found->second.knownReturn = knownReturn;
        }
    }
}

void StoreContents::remove(uint64_t promptKey, Tier tierOfCopy)
{
    TierState &tier = this->tiers.at(static_cast<size_t>(tierOfCopy));
    const auto found = tier.copies.find(promptKey);
    if (found == tier.copies.end()) {
        return;
    }
    tier.used -= found->second.bytes;
    const size_t position = tier.positions.at(promptKey);
    tier.positions[tier.keys.back()] = position;
    tier.keys[position] = tier.keys.back();
    tier.keys.pop_back();
    tier.positions.erase(promptKey);
    tier.copies.erase(found);
}

void StoreContents::clear()
{
    for (TierState &tier : this->tiers) {
        tier.used = 0;
        tier.keys.clear();
        tier.copies.clear();
        tier.positions.clear();
    }
}

} // namespace pimentosail
