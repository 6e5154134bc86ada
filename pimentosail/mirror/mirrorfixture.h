// A mirror with a store in memory, for the tests of this library.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "pimentosail/base/error.h"
#include "pimentosail/kv/memoryprefixstore.h"
#include "pimentosail/mirror/storemirror.h"

namespace pimentosail
{

struct MirrorFixture
{
    Clock clock;
    MemoryPrefixStore memory{this->clock};
    EventLog log{this->clock, "front-1", [](const std::string &) {
                 }};
    std::mutex mutex;
    std::set<std::string> changedKeys;
    PeerSource peers = [](const StorePosition &, Duration) -> MirrorChanges {
        throw Failure(ErrorKind::PeerLost, "no peer");
    };
    PeerSource relay = [](const StorePosition &, Duration) -> MirrorChanges {
        throw Failure(ErrorKind::PeerLost, "no relay");
    };
    std::atomic<bool> watchesStore{true};
    std::atomic<int> skipped{0};

    std::unique_ptr<StoreMirror> make()
    {
        return std::make_unique<StoreMirror>(this->clock, this->log, this->memory.asPrefixStore(),
            MirrorPeers{[this](const StorePosition &position, Duration wait) { return this->peers(position, wait); },
                [this](const StorePosition &position, Duration wait) { return this->relay(position, wait); }, [this] { ++this->skipped; },
                [this] { return this->watchesStore.load(); },
                [] {
                    return false;
                }},
            [this](const std::set<std::string> &keys) {
                const std::lock_guard lock(this->mutex);
                this->changedKeys.insert(keys.begin(), keys.end());
            });
    }

    // Waits until `key` has `value` in `mirror`; an empty value means that the key is absent. Returns false after
    // `limit`.
    bool waitForValue(const StoreMirror &mirror, const std::string &key, const std::string &value, Duration limit = Milliseconds(4000))
    {
        const Time end = this->clock.now() + limit;
        while (this->clock.now() < end) {
            const std::vector<StoredItem> items = mirror.items(key);
            if ((items.empty() && value.empty()) || (!items.empty() && items.front().value == value)) {
                return true;
            }
            this->clock.sleepFor(Milliseconds(5));
        }
        return false;
    }
};

} // namespace pimentosail
