// Remembers where the prompts that this host is home to have left their cache: on which targets, when they were
// last used there, and which store holds a copy. A wrong entry costs time only: the engine reports what it found.
//
//     PromptTable prompts(100'000);
//     PromptRecord &record = prompts.touch(key, now);
//     prompts.find(key);
//
// Not thread-safe. About 200 bytes a prompt.
#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "pimentosail/decision/types.h"

namespace pimentosail
{

// A target that holds the first `tokens` tokens of a prompt, as far as is known.
struct CacheLocation
{
    TargetIndex target = NoTarget;
    int32_t tokens = 0;
    Time lastUsed{};
};

// A store's copy of a prompt.
struct StoreCopy
{
    StoreIndex store = NoStore;
    Tier tier = Tier::Memory;
    int32_t tokens = 0;
    // True while a copy to the memory tier is under way; a copy in the disk tier can be used meanwhile.
    bool exporting = false;
};

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
    // Creates a table that forgets the prompt used longest ago when it would exceed `maxRecords`.
    explicit PromptTable(size_t maxRecords)
        : capacity(maxRecords)
    {
    }

    // Returns the record of `key`, creating it if needed, and marks it as used most recently.
    PromptRecord &touch(uint64_t key);

    // Returns the record of `key`, or null.
    PromptRecord *find(uint64_t key);

    // Notes that `target` holds `tokens` tokens of the prompt since `now`.
    static void noteLocation(PromptRecord &record, TargetIndex target, int64_t tokens, Time now);

    // Forgets everything that `target` held before `now`.
    void forgetTarget(TargetIndex target);

    size_t size() const
    {
        return this->records.size();
    }

private:
    using Order = std::list<PromptRecord>;

    size_t capacity;
    Order order;
    std::unordered_map<uint64_t, Order::iterator> records;
};

} // namespace pimentosail
