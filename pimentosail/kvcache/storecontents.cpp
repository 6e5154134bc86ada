#include "pimentosail/kvcache/storecontents.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

// A planned save that was not reported within this time has failed or its event was lost. The block is then saved again.
constexpr Duration SaveReportTime = std::chrono::seconds(3);
constexpr size_t MaxPendingSaves = 8192;
// When the whole system starts for the first time, cache stores that report their epoch within this time of the first configuration have
// not been used before.
constexpr Duration FirstUseTime = std::chrono::seconds(5);
// No more blocks are saved to a cache store once it is this full. The remaining space absorbs the saves of other hosts: a
// block that does not fit completely is lost.
constexpr double MaxFillFraction = 0.97;
// A block that this host uses again within this time is hot. Only hot blocks justify a second cached copy.
constexpr Duration HotTime = std::chrono::seconds(2);
constexpr size_t MaxRecentUses = 4096;
constexpr double OtherZoneFactor = 2;
// Without new observations, the estimated wait for a link halves in this time.
constexpr Duration WaitHalfLife = std::chrono::seconds(1);
// Weight of one observation in the moving averages.
constexpr double ObservationWeight = 0.2;

} // namespace

void CacheStores::setStores(const std::vector<CacheStore> &stores, Duration longestRequest)
{
    const std::lock_guard lock(this->mutex);
    this->longestTimeout = std::max(this->longestTimeout, longestRequest);
    // Other hosts may have used a cache store that a later configuration adds.
    const bool isFirstConfiguration = this->configuredAt == Time(0);
    if (isFirstConfiguration) {
        this->configuredAt = this->clock.nowWithSuspend();
    }
    std::set<std::string> names;
    for (const CacheStore &store : stores) {
        names.insert(store.name);
        StoreState &entry = this->entries[store.name];
        if (!entry.store.address.empty() && entry.store.address != store.address) {
            entry = StoreState{};
        }
        entry.store = store;
        entry.isUnused = entry.isUnused || (isFirstConfiguration && this->isFirstStart);
    }
    std::erase_if(this->entries, [&names](const auto &entry) { return !names.contains(entry.first); });
}

Duration CacheStores::longestFetch() const
{
    const std::lock_guard lock(this->mutex);
    return this->longestFetchLocked(this->clock.nowWithSuspend());
}

Duration CacheStores::longestFetchLocked(Time now) const
{
    const Duration longest = MaxTransit + this->longestTimeout;
    return this->clockOfTargets.at(now) ? std::min(MaxFetchTime, longest) : longest;
}

std::vector<CacheStore> CacheStores::stores() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<CacheStore> result;
    for (const auto &[name, entry] : this->entries) {
        result.push_back(entry.store);
    }
    return result;
}

bool CacheStores::observeEpoch(StoreState &entry, int64_t epoch)
{
    const Time now = this->clock.nowWithSuspend();
    const bool hadEpoch = entry.epoch.number() != 0;
    if (!entry.epoch.observe(epoch, now)) {
        return false;
    }
    entry.blocks.clear();
    entry.heldTokens = 0;
    entry.unreportedTokens = 0;
    const auto stated = this->statedOpenEpochs.find(entry.store.name);
    const bool isStated = stated != this->statedOpenEpochs.end();
    const bool isFirstUse = !isStated && !hadEpoch && entry.isUnused && now < this->configuredAt + FirstUseTime;
    if (isFirstUse || (isStated && stated->second == epoch)) {
        entry.epoch.openForSaves();
    }
    return hadEpoch;
}

void CacheStores::openEpoch(const std::string &store, int64_t epoch)
{
    const std::lock_guard lock(this->mutex);
    this->statedOpenEpochs[store] = epoch;
    const auto found = this->entries.find(store);
    if (found == this->entries.end() || found->second.epoch.number() == 0) {
        return;
    }
    if (found->second.epoch.number() == epoch) {
        found->second.epoch.openForSaves();
    } else if (std::exchange(found->second.isUnused, false)) {
        // The system has started before, and prompts of a former epoch may wait at targets.
        found->second.epoch.closeForSaves();
    }
}

std::map<std::string, int64_t> CacheStores::openEpochs() const
{
    const std::lock_guard lock(this->mutex);
    const Time now = this->clock.nowWithSuspend();
    const Duration longestFetch = this->longestFetchLocked(now);
    std::map<std::string, int64_t> result;
    for (const auto &[name, entry] : this->entries) {
        if (entry.isUsable(now) && entry.epoch.hasWaited(now, longestFetch)) {
            result[name] = entry.epoch.number();
        }
    }
    return result;
}

bool CacheStores::apply(const std::string &store, const CacheEvents &events)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(store);
    if (found == this->entries.end()) {
        return false;
    }
    StoreState &entry = found->second;
    const bool isCleared = this->observeEpoch(entry, events.epoch);
    for (const CacheEvent &event : events.events) {
        const BlockKey key{event.salt, event.block};
        const auto known = entry.blocks.find(key);
        if (known != entry.blocks.end()) {
            entry.heldTokens -= known->second.tokens;
            entry.blocks.erase(known);
        }
        if (!event.isRemoval) {
            entry.blocks[key] = {event.tokens, this->settledAt(store, key, this->clock.nowWithSuspend())};
            entry.heldTokens += event.tokens;
            this->pendingSaves.erase(key);
        }
    }
    return isCleared;
}

std::vector<CacheStoreStatus> CacheStores::status() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<CacheStoreStatus> result;
    for (const auto &[name, entry] : this->entries) {
        result.push_back({name, entry.epoch.number(), entry.isReachable});
    }
    return result;
}

std::vector<CacheChange> CacheStores::allBlocks() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<CacheChange> result;
    for (const auto &[name, entry] : this->entries) {
        for (const auto &[key, block] : entry.blocks) {
            result.push_back({name, entry.epoch.number(), {key.first, key.second, block.tokens, false}});
        }
    }
    return result;
}

void CacheStores::replace(const std::vector<CacheStoreStatus> &statuses, const std::vector<CacheChange> &contents)
{
    const std::lock_guard lock(this->mutex);
    const Time now = this->clock.nowWithSuspend();
    std::map<std::string, std::map<BlockKey, StoredBlock>> former;
    for (auto &[name, entry] : this->entries) {
        if (entry.epoch.number() != 0) {
            former[name] = std::exchange(entry.blocks, {});
        }
        entry.heldTokens = 0;
    }
    for (const CacheStoreStatus &status : statuses) {
        const auto found = this->entries.find(status.store);
        if (found != this->entries.end()) {
            // A relay that has not heard of the store yet reports no epoch.
            if (status.epoch != 0 && this->observeEpoch(found->second, status.epoch)) {
                former.erase(status.store);
            }
            found->second.isReachable = status.isReachable;
        }
    }
    for (const CacheChange &change : contents) {
        const auto found = this->entries.find(change.store);
        if (found != this->entries.end() && found->second.epoch.number() == change.epoch) {
            const BlockKey key{change.event.salt, change.event.block};
            const auto known = former[change.store].find(key);
            found->second.blocks[key]
                = {change.event.tokens, known == former[change.store].end() ? this->settledAt(change.store, key, now) : known->second.settledAt};
            found->second.heldTokens += change.event.tokens;
            this->pendingSaves.erase(key);
        }
    }
}

void CacheStores::confirm(const std::string &store, int64_t epoch, Time time)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(store);
    if (found != this->entries.end()) {
        found->second.epoch.confirm(epoch, time);
    }
}

std::vector<CacheStoreConfirmation> CacheStores::confirmations() const
{
    const std::lock_guard lock(this->mutex);
    const Time now = this->clock.nowWithSuspend();
    std::vector<CacheStoreConfirmation> result;
    for (const auto &[name, entry] : this->entries) {
        if (entry.epoch.lastConfirmation() != Time(0)) {
            result.push_back({name, entry.epoch.number(), now - entry.epoch.lastConfirmation()});
        }
    }
    return result;
}

Duration CacheStores::saveDelay(const std::string &store) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(store);
    const Time now = this->clock.nowWithSuspend();
    return found == this->entries.end() ? Duration(0) : found->second.epoch.saveDelay(now, this->longestFetchLocked(now));
}

void CacheStores::setReachable(const std::string &store, bool isReachable)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(store);
    if (found != this->entries.end()) {
        found->second.isReachable = isReachable;
    }
}

std::vector<BlocksToFree> CacheStores::removeSalt(const std::string &salt)
{
    const std::lock_guard lock(this->mutex);
    std::vector<BlocksToFree> result;
    for (auto &[name, entry] : this->entries) {
        BlocksToFree freed{entry.store.address, entry.epoch.number(), salt, {}};
        for (auto block = entry.blocks.lower_bound({salt, ""}); block != entry.blocks.end() && block->first.first == salt;) {
            freed.blocks.push_back(block->first.second);
            entry.heldTokens -= block->second.tokens;
            block = entry.blocks.erase(block);
        }
        if (!freed.blocks.empty() && entry.store.isManaged) {
            result.push_back(std::move(freed));
        }
    }
    return result;
}

std::string CacheSalt::text() const
{
    return this->model + "/" + std::to_string(this->version) + (this->team.empty() ? "" : "/" + this->team);
}

std::optional<CacheSalt> CacheSalt::parse(const std::string &text)
{
    const size_t first = text.find('/');
    if (first == std::string::npos) {
        return std::nullopt;
    }
    const size_t second = text.find('/', first + 1);
    CacheSalt salt;
    salt.model = text.substr(0, first);
    const std::string version = text.substr(first + 1, second == std::string::npos ? second : second - first - 1);
    if (version.empty() || version.size() > 18 || version.find_first_not_of("0123456789") != std::string::npos) {
        return std::nullopt;
    }
    salt.version = std::stoll(version);
    salt.team = second == std::string::npos ? "" : text.substr(second + 1);
    return salt;
}

int64_t CacheStores::heldTokens(const std::string &store) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(store);
    return found == this->entries.end() ? 0 : found->second.heldTokens;
}

std::set<std::string> CacheStores::salts() const
{
    const std::lock_guard lock(this->mutex);
    std::set<std::string> result;
    for (const auto &[name, entry] : this->entries) {
        for (const auto &[key, block] : entry.blocks) {
            result.insert(key.first);
        }
    }
    return result;
}

Duration CacheStores::transferTime(const StoreState &entry, double bytes, const std::string &zone)
{
    constexpr double BitsPerByte = 8;
    const double seconds = bytes * BitsPerByte / (std::max(1.0, entry.store.linkMbps) * 1e6) * (entry.store.zone == zone ? 1 : OtherZoneFactor);
    return fromSeconds(seconds);
}

Duration CacheStores::linkWait(const StoreState &entry, Time now) const
{
    if (entry.observedAt == Time(0)) {
        return Duration(0);
    }
    double baseline = this->uncachedFirstTokenMs > 0 ? this->uncachedFirstTokenMs : entry.firstTokenMs;
    for (const auto &[name, other] : this->entries) {
        baseline = other.firstTokenMs > 0 ? std::min(baseline, other.firstTokenMs) : baseline;
    }
    const double halvings = toSeconds(now - entry.observedAt) / toSeconds(WaitHalfLife);
    return fromSeconds(std::max(0.0, entry.firstTokenMs - baseline) / 1000 * std::exp2(-halvings));
}

void CacheStores::recordFirstTokenTime(const std::string &store, Duration time)
{
    const std::lock_guard lock(this->mutex);
    const double milliseconds = static_cast<double>(time.count()) / 1000;
    const auto updateAverage = [milliseconds](double &average) {
        average = average <= 0 ? milliseconds : average + (milliseconds - average) * ObservationWeight;
    };
    if (store.empty()) {
        updateAverage(this->uncachedFirstTokenMs);
        return;
    }
    const auto found = this->entries.find(store);
    if (found != this->entries.end()) {
        updateAverage(found->second.firstTokenMs);
        found->second.observedAt = this->clock.nowWithSuspend();
    }
}

std::set<std::string> CacheStores::zonesOf(const std::string &salt, const std::string &block) const
{
    const std::lock_guard lock(this->mutex);
    const Time now = this->clock.nowWithSuspend();
    std::set<std::string> result;
    for (const auto &[name, entry] : this->entries) {
        if (entry.isUsable(now) && entry.blocks.contains({salt, block})) {
            result.insert(entry.store.zone);
        }
    }
    return result;
}

double CacheStores::usedTokens(const StoreState &entry)
{
    return static_cast<double>(entry.heldTokens + entry.unreportedTokens);
}

void CacheStores::expireSaves()
{
    const std::lock_guard lock(this->mutex);
    const Time now = this->clock.nowWithSuspend();
    for (auto pending = this->pendingSaves.begin(); pending != this->pendingSaves.end();) {
        if (now < pending->second.at + SaveReportTime) {
            ++pending;
            continue;
        }
        const auto found = this->entries.find(pending->second.store);
        if (found != this->entries.end()) {
            found->second.unreportedTokens += pending->second.tokens;
        }
        pending = this->pendingSaves.erase(pending);
    }
}

// Returns the reachable cache store with the fastest link that has space for the block. Among equals, it prefers the lower
// fill, then the target's zone, then the order of rendezvous hashing.
CacheStores::StoreState *CacheStores::chooseSaveStore(
    const std::string &salt, const PromptBlock &block, const std::string &zone, const StoreState *excluded, Time now)
{
    StoreState *best = nullptr;
    double bestScore = 0;
    const uint64_t key = combineHashes(stableHash(salt), stableHash(block.id));
    const Duration longestFetch = this->longestFetchLocked(now);
    for (auto &[name, entry] : this->entries) {
        const auto capacity = static_cast<double>(entry.store.capacityTokens);
        const double freeTokens = MaxFillFraction * capacity - usedTokens(entry);
        const bool acceptsSaves = entry.isUsable(now) && entry.epoch.saveDelay(now, longestFetch) == Duration(0);
        const bool isUnderWay = this->savesOfHosts.youngest(SavesUnderWay::keyOf(name, salt, block.id)).has_value();
        const bool holds = entry.blocks.contains({salt, block.id});
        if (&entry == excluded || !acceptsSaves || isUnderWay || holds || freeTokens < static_cast<double>(block.tokens)) {
            continue;
        }
        // A fill difference of two or more tenths of the capacity outweighs the zone, so that cache stores fill evenly.
        const double fill = std::floor(10 * usedTokens(entry) / std::max(1.0, capacity));
        const double hash = static_cast<double>(combineHashes(key, stableHash(name)) >> 32U) / 4294967296.0;
        const double score = entry.store.linkMbps * 100 - fill * 2 + (entry.store.zone == zone ? 3 : 0) + hash;
        if (best == nullptr || score > bestScore) {
            best = &entry;
            bestScore = score;
        }
    }
    return best;
}

Time CacheStores::settledAt(const std::string &store, const BlockKey &key, Time now) const
{
    const Time firstSave = this->savesOfHosts.firstSave(SavesUnderWay::keyOf(store, key.first, key.second)).value_or(now);
    // A host that starts hears of saves that are under way only when they are told again.
    const bool isFromStart = this->isFirstStart || this->configuredAt == Time(0);
    const Time heardAll = isFromStart ? Time(0) : this->configuredAt + SavesUnderWay::RepeatInterval + SavesUnderWay::SettleTime;
    return std::max(firstSave + SavesUnderWay::SettleTime, heardAll);
}

bool CacheStores::isBeingSaved(const BlockKey &key) const
{
    return std::any_of(this->entries.begin(), this->entries.end(), [this, &key](const auto &entry) {
        const std::optional<Duration> age = this->savesOfHosts.youngest(SavesUnderWay::keyOf(entry.first, key.first, key.second));
        return age && *age < SaveReportTime;
    });
}

bool CacheStores::mayFetch(const StoreState &entry, const BlockKey &key, const StoredBlock &block, Time now) const
{
    return block.settledAt <= now && !this->savesOfHosts.youngest(SavesUnderWay::keyOf(entry.store.name, key.first, key.second));
}

std::pair<CacheStores::StoreState *, Duration> CacheStores::findSource(const BlockKey &key, double bytes, int64_t tokens, const std::string &zone, Time now)
{
    std::pair<StoreState *, Duration> best{nullptr, Duration(0)};
    // Other hosts rely on the bound of fetches on the targets' clock, once it has been stated.
    if (this->clockOfTargets.isStated() && !this->clockOfTargets.at(now)) {
        return best;
    }
    for (auto &[name, entry] : this->entries) {
        const auto known = entry.blocks.find(key);
        if (!entry.isUsable(now) || known == entry.blocks.end() || known->second.tokens < tokens || !this->mayFetch(entry, key, known->second, now)) {
            continue;
        }
        const Duration time = transferTime(entry, bytes, zone) + entry.store.firstByteDelay + this->linkWait(entry, now);
        if (best.first == nullptr || time < best.second) {
            best = {&entry, time};
        }
    }
    return best;
}

bool CacheStores::recordUse(const BlockKey &key, Time now)
{
    if (this->lastUses.size() >= MaxRecentUses) {
        std::erase_if(this->lastUses, [now](const auto &entry) { return entry.second + HotTime < now; });
    }
    const auto [entry, isNew] = this->lastUses.emplace(key, now);
    const bool isHot = !isNew && now < entry->second + HotTime;
    entry->second = now;
    return isHot;
}

CachePlan CacheStores::plan(const std::string &salt, const std::vector<PromptBlock> &blocks, size_t sharedCount, const std::string &zone,
    Duration acceptableTransferTime, uint64_t draw, double bytesPerToken)
{
    const std::lock_guard lock(this->mutex);
    CachePlan result;
    result.fetchFrom.resize(blocks.size());
    result.saveTo.resize(blocks.size());
    const Time now = this->clock.nowWithSuspend();
    // Includes a cache store in the plan.
    const auto useStore = [&result](const StoreState &entry) {
        const Time end = entry.epoch.usableUntil();
        result.usableUntil = result.usableUntil == Time(0) ? end : std::min(result.usableUntil, end);
        return entry.store.address;
    };
    const double uniform = static_cast<double>(draw >> 11U) / 9007199254740992.0;
    int64_t mainTokens = 0;
    for (size_t index = 0; index < std::min(sharedCount, blocks.size()); ++index) {
        const PromptBlock &block = blocks[index];
        const BlockKey key{salt, block.id};
        const bool isHot = this->recordUse(key, now);
        const auto [source, sourceTime] = this->findSource(key, static_cast<double>(block.tokens) * bytesPerToken, block.tokens, zone, now);
        if (source != nullptr) {
            const double ratio = static_cast<double>(acceptableTransferTime.count()) / static_cast<double>(std::max<int64_t>(1, sourceTime.count()));
            if (uniform < ratio * ratio) {
                result.fetchFrom[index] = useStore(*source);
                result.fetchTokens += block.tokens;
                if (block.tokens > mainTokens) {
                    mainTokens = block.tokens;
                    result.mainSource = source->store.name;
                    result.expectedTime = sourceTime;
                }
                continue;
            }
        }
        const bool isHeld = std::any_of(this->entries.begin(), this->entries.end(),
            [&key, now](const auto &entry) { return entry.second.isUsable(now) && entry.second.blocks.contains(key); });
        if (source == nullptr && isHeld) {
            result.withheldTokens += block.tokens;
            continue;
        }
        const auto pending = this->pendingSaves.find(key);
        if ((pending != this->pendingSaves.end() && now < pending->second.at + SaveReportTime) || this->isBeingSaved(key)) {
            continue;
        }
        const StoreState *saveStore = this->chooseSaveStore(salt, block, zone, source, now);
        // A second copy is saved only of a hot block and over a link with less than half the wait.
        const bool shouldSave = saveStore != nullptr && (source == nullptr || (isHot && 2 * this->linkWait(*saveStore, now) < this->linkWait(*source, now)));
        if (shouldSave) {
            if (this->pendingSaves.size() < MaxPendingSaves) {
                this->pendingSaves[key] = {now, saveStore->store.name, block.tokens};
            }
            result.saveTo[index] = useStore(*saveStore);
            result.saveTokens += block.tokens;
            if (!result.saves) {
                result.saves = std::make_shared<SaveTicket>(this->savesOfHosts);
            }
            result.saves->add(SavesUnderWay::keyOf(saveStore->store.name, salt, block.id), now + MaxTransit + this->longestTimeout);
        }
    }
    return result;
}

} // namespace pimentosail
