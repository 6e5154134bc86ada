// Records, for the prompts that this host owns, where their cache blocks are: on which targets, when they were last used
// there, and which cache store has a copy. A wrong entry costs only time, because the engine reports how many tokens it
// found in its cache.
//
//     PromptTable prompts(100'000);
//     PromptRecord &record = prompts.touch(key);
//     const PromptRecord *existing = prompts.find(key);
//
// Not thread-safe. A record takes about 200 bytes.
#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "pimentosail/decision/types.h"

namespace pimentosail
{

// A target that is expected to have the first `tokens` tokens of a prompt in its cache.
struct CacheLocation
{
    TargetIndex target = NoTarget;
    int32_t tokens = 0;
    Time lastUsed{};
};

// The copy of a prompt's cache blocks in a cache store.
struct StoreCopy
{
    StoreIndex store = NoStore;
    Tier tier = Tier::Memory;
    int32_t tokens = 0;
    // True while an export to the memory tier is in progress; a copy in the disk tier can be imported meanwhile.
    bool exporting = false;
};

// What is recorded of one prompt. `lastSeen` is negative until a request for the prompt has arrived.
struct PromptRecord
{
    uint64_t key = 0;
    Time lastSeen{-1};
    std::array<CacheLocation, 3> locations;
    StoreCopy copy;
};

class PromptTable
{
public:
    // Creates a table that removes the least recently used prompt when it would exceed `maxRecords`.
    explicit PromptTable(size_t maxRecords)
        : capacity(maxRecords)
    {
    }

    // Returns the record of `key`, creating it if needed, and marks it as the most recently used.
    PromptRecord &touch(uint64_t key);

    // Returns the record of `key`, or null; does not mark it as used.
    PromptRecord *find(uint64_t key);

    // Records that `target` has the first `tokens` tokens of the prompt in its cache, last used at `now`. Replaces the
    // location used longest ago if all are taken.
    static void recordLocation(PromptRecord &record, TargetIndex target, int64_t tokens, Time now);

    // Removes `target` from the locations of all prompts.
    void removeTarget(TargetIndex target);

    size_t size() const
    {
        return this->records.size();
    }

private:
    using RecordList = std::list<PromptRecord>;

    size_t capacity;
    RecordList byRecency;
    std::unordered_map<uint64_t, RecordList::iterator> records;
};

} // namespace pimentosail
