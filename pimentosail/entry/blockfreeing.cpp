#include <algorithm>

#include "pimentosail/entry/storeduties.h"

namespace pimentosail
{

namespace
{

constexpr Duration FreeingInterval = std::chrono::seconds(1);
constexpr size_t BlocksPerCall = 200;

} // namespace

// Returns the oldest version of `model` on which a request may still start on any host: one that a host may allow and that a
// target has.
int64_t RolloutDuty::oldestInUse(const std::string &model) const
{
    const int64_t allowed = this->context.state.oldestPossibleVersion(model, this->context.clock.nowWithSuspend(), this->context.settings.versionLimit);
    int64_t present = 0;
    for (const TargetView &view : this->targetsOf(model)) {
        present = present == 0 ? view.version : std::min(present, view.version);
    }
    return std::max(allowed, present);
}

// Frees the cached blocks of weight versions on which no request may start any more. It does so when the fetches of requests that were
// sent before have ended, because one that waits at a target fetches its blocks only when it begins.
void RolloutDuty::freeOutdatedBlocks()
{
    const Time now = this->context.clock.now();
    if (now < this->nextFreeing) {
        return;
    }
    this->nextFreeing = now + FreeingInterval;
    const Duration lastFetches = this->context.cacheStores.longestFetch();
    for (const std::string &text : this->context.cacheStores.salts()) {
        const std::optional<CacheSalt> salt = CacheSalt::parse(text);
        if (!salt || salt->version >= this->oldestInUse(salt->model)) {
            this->unusedSince.erase(text);
            continue;
        }
        if (now < this->unusedSince.try_emplace(text, now).first->second + lastFetches) {
            continue;
        }
        this->unusedSince.erase(text);
        for (const BlocksToFree &freed : this->context.cacheStores.removeSalt(text)) {
            for (size_t first = 0; first < freed.blocks.size(); first += BlocksPerCall) {
                const size_t last = std::min(freed.blocks.size(), first + BlocksPerCall);
                bool isFreed = false;
                try {
                    isFreed = this->context.wire.freeBlocks(freed.storeAddress, freed.epoch, text,
                        {freed.blocks.begin() + static_cast<long>(first), freed.blocks.begin() + static_cast<long>(last)});
                } catch (const Failure &failure) {
                    this->context.log.write(LogLevel::Warning, "parts_not_freed", {{"store", freed.storeAddress}, {"salt", text}, {"reason", failure.what()}});
                }
                this->context.log.write(
                    LogLevel::Info, "parts_freed", {{"store", freed.storeAddress}, {"salt", text}, {"parts", last - first}, {"freed", isFreed}});
            }
        }
    }
}

} // namespace pimentosail
