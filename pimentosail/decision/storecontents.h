// Decides what a store keeps: each tier holds the copies with the highest expected saving for each byte.
//
//     StoreContents contents(memoryBytes, diskBytes);
//     StoreAdmission admission = contents.admit(copy, now, valueOf);
//
// Not thread-safe. Owned by the host that owns the store's role.
#pragma once

#include <array>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "pimentosail/decision/types.h"

namespace pimentosail
{

// One copy of a prompt's cache in a store.
struct StoredCopy
{
    uint64_t promptKey = 0;
    std::string team;
    int64_t tokens = 0;
    int64_t bytes = 0;
    Tier tier = Tier::Memory;
    Time lastUsed{};
    // Only in benchmarks: when the prompt returns, if known.
    std::optional<Time> knownReturn;
};

// What has to happen before a copy may be written.
struct StoreAdmission
{
    bool admitted = false;
    std::vector<StoredCopy> evicted;
};

// Returns the worth of keeping a copy: higher is kept longer.
using ValueOfCopy = std::function<double(const StoredCopy &copy, Time now)>;

// Returns the time ahead for which the return of a prompt counts towards the worth of its copy in `tier`.
Duration copyValueHorizon(Tier tier);

// Longest queue of background copies on a disk link that a copy from the memory tier may join.
constexpr Duration MaxDemotionWait = std::chrono::seconds(20);

// Returns true if a copy that must leave the memory tier is worth a write to the disk tier, whose link has background
// copies for `diskWait` before it; `returnProbability` is that within `CopyValueHorizon`. The busier the link, the more
// likely the return must be.
bool isWorthDemotion(double returnProbability, Duration diskWait);

class StoreContents
{
public:
    StoreContents(int64_t memoryBytes, int64_t diskBytes);

    // Admits `copy` to its tier if it fits after the removal of copies that are worth less. Replaces the older copy of the
    // prompt in that tier; a copy in the other tier stays.
    StoreAdmission admit(const StoredCopy &copy, Time now, const ValueOfCopy &valueOf);

    // Returns the copy of a prompt in the fastest tier that has one, or null.
    const StoredCopy *find(uint64_t promptKey) const;

    // Returns the copy of a prompt in `tier`, or null.
    const StoredCopy *find(uint64_t promptKey, Tier tier) const;

    // Marks the copies of a prompt as used at `now`.
    void used(uint64_t promptKey, Time now);

    // Only in benchmarks: tells when the prompt of a copy returns.
    void setKnownReturn(uint64_t promptKey, Time knownReturn);

    // Forgets the copy of a prompt in `tier`.
    void remove(uint64_t promptKey, Tier tier);

    // Forgets everything, after the store died.
    void clear();

    int64_t usedBytes(Tier tier) const
    {
        return this->tiers.at(static_cast<size_t>(tier)).used;
    }

    // Returns the smoothed age of evicted copies of a tier, or a negative value before any eviction.
    Duration evictionAge(Tier tier) const
    {
        return this->tiers.at(static_cast<size_t>(tier)).evictionAge;
    }

private:
    struct TierState
    {
        int64_t capacity = 0;
        int64_t used = 0;
        Duration evictionAge{-1};
        std::vector<uint64_t> keys;
        std::unordered_map<uint64_t, StoredCopy> copies;
        std::unordered_map<uint64_t, size_t> positions;
    };

    std::optional<uint64_t> worst(const TierState &tier, Time now, const ValueOfCopy &valueOf);

    std::array<TierState, TierCount> tiers;
    std::mt19937_64 random{1};
};

} // namespace pimentosail
