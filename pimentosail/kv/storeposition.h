// Positions in the histories of the platform's key-value store.
//
// A store that comes back from an older copy begins a new era, in which it gives out again the revisions after the copy. So revisions are
// ordered within an era only.
//
//     if (item.position() > known.position()) { ... }   // `item` is newer
//
// A value type.
#pragma once

#include <compare>
#include <cstdint>
#include <tuple>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

// A moment of the store. All positions of an era are before those of later eras.
struct StorePosition
{
    int64_t era = 0;
    // 0: before the first write.
    int64_t revision = 0;

    friend bool operator==(const StorePosition &, const StorePosition &) = default;
    friend auto operator<=>(const StorePosition &left, const StorePosition &right)
    {
        return std::tie(left.era, left.revision) <=> std::tie(right.era, right.revision);
    }
};

// Time in which operators and targets have written again what a restored store had lost, and the entries of targets that have left are gone.
// Until then, hosts may know more than the store.
inline constexpr Duration RewriteTime = std::chrono::seconds(8);

} // namespace pimentosail
