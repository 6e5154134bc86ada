// Decodes items of the platform's key-value store and keeps the results, so that each write of an item is decoded once.
//
//     DecodedItems<Registration> registrations;
//     std::vector<Registration> all = registrations.update(mirror.items("servers/"), decode);
//
// Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "pimentosail/kv/prefixstore.h"

namespace pimentosail
{

template <typename Value>
class DecodedItems
{
public:
    // Returns the values of `items`, which are all items at present. `decode` gets an item and returns nothing if it cannot be
    // decoded; it is not called again for the same write.
    template <typename Decode>
    std::vector<Value> update(const std::vector<StoredItem> &items, const Decode &decode)
    {
        std::map<std::string, Entry> present;
        std::vector<Value> values;
        for (const StoredItem &item : items) {
            const auto known = this->entries.find(item.key);
            const bool isKnown = known != this->entries.end() && known->second.position == item.position();
            Entry entry = isKnown ? std::move(known->second) : Entry{item.position(), decode(item)};
            if (entry.value) {
                values.push_back(*entry.value);
            }
            present.emplace(item.key, std::move(entry));
        }
        this->entries = std::move(present);
        return values;
    }

private:
    struct Entry
    {
        StorePosition position;
        std::optional<Value> value;
    };

    std::map<std::string, Entry> entries;
};

} // namespace pimentosail
