// Decides which copies of prompts a cache store keeps: each tier keeps the copies with the highest value, and evicts those
// with the lowest. It records the contents only; the caller moves the data.
//
//     StoreContents contents(memoryBytes, diskBytes);
//     StoreAdmission admission = contents.admit(copy, now, valueOf);
//
// Sizes are bytes. Not thread-safe. Only the host that owns the store's role has one.
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

// A copy of a prompt's cache blocks in one tier of a cache store.
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

// Whether a copy may be written, and the copies that must be evicted before.
struct StoreAdmission
{
    bool admitted = false;
    std::vector<StoredCopy> evicted;
};

// Returns the value of keeping a copy; copies with a higher value are kept longer.
using CopyValueFunction = std::function<double(const StoredCopy &copy, Time now)>;

// Returns how far ahead the return of a prompt counts towards the value of its copy in `tier`.
Duration returnHorizon(Tier tier);

// Longest wait on a disk link with which a copy from the memory tier may still be queued for demotion.
constexpr Duration MaxDemotionWait = std::chrono::seconds(20);

// Returns true if a copy that is evicted from the memory tier should be written to the disk tier, where the transfer would
// wait for `diskWait`. `returnProbability` is the probability that the prompt returns within `returnHorizon`. The longer
// the wait, the higher the probability must be.
bool shouldDemote(double returnProbability, Duration diskWait);

class StoreContents
{
public:
    StoreContents(int64_t memoryBytes, int64_t diskBytes);

    // Admits `copy` to its tier if it fits after the eviction of copies of lower value. Replaces an older copy of the prompt in
    // that tier; a copy in the other tier stays. If `copy` is not admitted, the older copy and those in
    // `evicted` are removed from the contents all the same, unless `copy` exceeds the capacity of the tier.
    StoreAdmission admit(const StoredCopy &copy, Time now, const CopyValueFunction &valueOf);

    // Returns the copy of a prompt in the fastest tier that has one, or null.
    const StoredCopy *find(uint64_t promptKey) const;

    // Returns the copy of a prompt in `tier`, or null.
    const StoredCopy *find(uint64_t promptKey, Tier tier) const;

    // Marks the copies of a prompt as used at `now`.
    void markUsed(uint64_t promptKey, Time now);

    // Only in benchmarks: sets when the prompt of a copy returns.
    void setKnownReturn(uint64_t promptKey, Time knownReturn);

    // Removes the copy of a prompt from `tier`.
    void remove(uint64_t promptKey, Tier tier);

    // Removes all copies, after the store has lost its contents.
    void clear();

    int64_t usedBytes(Tier tier) const
    {
        return this->tiers.at(static_cast<size_t>(tier)).used;
    }

    // Returns the smoothed age (time since the last use) of copies at their eviction from `tier`; negative before the first
    // eviction.
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

    std::optional<uint64_t> leastValuable(const TierState &tier, Time now, const CopyValueFunction &valueOf);

    std::array<TierState, TierCount> tiers;
    std::mt19937_64 random{1};
};

} // namespace pimentosail
