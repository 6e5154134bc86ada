#include "pimentosail/entry/ownwrites.h"

#include <utility>

#include "pimentosail/base/error.h"

namespace pimentosail
{

std::optional<StoredItem> itemAt(const StoreMirror &mirror, const std::string &key)
{
    // The key itself is the first of those that begin with it.
    const std::vector<StoredItem> items = mirror.items(key);
    return items.empty() || items.front().key != key ? std::nullopt : std::optional<StoredItem>(items.front());
}

void endLease(EventLog &log, const StoreMirror &mirror, const PrefixStore &store, StoreLease &lease)
{
    const StoreLease ended = std::exchange(lease, {});
    if (!ended.isGranted() || ended.era < mirror.status().era) {
        return;
    }
    try {
        store.revokeLease(ended);
    } catch (const Failure &failure) {
        // The lease expires by itself.
        log.write(LogLevel::Warning, "lease_not_ended", {{"lease", ended.id}, {"reason", failure.what()}});
    }
}

} // namespace pimentosail
