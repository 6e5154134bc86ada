#include "pimentosail/kv/prefixstore.h"

#include <map>

#include "pimentosail/base/error.h"

namespace pimentosail
{

namespace
{

// A listing is read again if the store has lost the history since its first page, or has begun another era.
constexpr int MaxListings = 3;

// Applies the changes after the revision of `listing`.
void applyChanges(StoreListing &listing, const StoreChanges &changes)
{
    std::map<std::string, StoredItem> items;
    for (StoredItem &item : listing.items) {
        items[item.key] = std::move(item);
    }
    for (const StoreChange &change : changes.changes) {
        const auto known = items.find(change.item.key);
        if (known != items.end() && known->second.revision >= change.item.revision) {
            continue;
        }
        if (change.isRemoval) {
            items.erase(change.item.key);
        } else {
            items[change.item.key] = change.item;
        }
    }
    listing.items.clear();
    for (auto &[key, item] : items) {
        listing.items.push_back(std::move(item));
    }
    listing.revision = changes.revision;
    listing.lastPageRevision = changes.revision;
}

} // namespace

StoreListing listAtOneRevision(const PrefixStore &store)
{
    for (int listings = 0; listings < MaxListings; ++listings) {
        StoreListing listing = store.list("");
        if (listing.lastPageRevision <= listing.revision) {
            return listing;
        }
        const StoreChanges changes = store.watch("", listing.revision, Duration(0));
        if (!changes.isCompacted && changes.era == listing.era) {
            applyChanges(listing, changes);
            return listing;
        }
    }
    throw Failure(ErrorKind::KeyValueUnavailable, "the store lost its history while it was listed");
}

} // namespace pimentosail
