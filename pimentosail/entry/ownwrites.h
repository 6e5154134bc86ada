// Helpers for what a host writes to the key-value store and for its leases.
#pragma once

#include <optional>
#include <string>

#include "pimentosail/mirror/storemirror.h"

namespace pimentosail
{

// Returns the item `key` of the mirror, or nothing if there is none.
std::optional<StoredItem> itemAt(const StoreMirror &mirror, const std::string &key);

// Ends a lease of this host, if one is granted, and clears it. Does not call the store for a lease of an era before
// the mirror's: its id may be another host's by now.
void endLease(EventLog &log, const StoreMirror &mirror, const PrefixStore &store, StoreLease &lease);

} // namespace pimentosail
