#include "pimentosail/kvcache/storecontents.h"

#include <algorithm>
#include <cmath>

#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

// A planned save that was not reported after this time has failed or its event was lost; the part is saved again.
constexpr Duration SaveReportTime = std::chrono::seconds(3);
constexpr size_t MaxPendingSaves = 8192;
// A store is not given more parts once it is this full: a part is written whole or lost, and other hosts save as well.
constexpr double FullShare = 0.97;
// A part that this host was asked for again within this time is hot: only such parts are worth a second copy.
constexpr Duration HotTime = std::chrono::seconds(2);
constexpr size_t MaxRecentUses = 4096;
// Bytes of KV cache of a token, for link times only.
constexpr double BytesPerToken = 18432;
constexpr double OtherZoneFactor = 2;
// An observed wait for a link is taken to have halved after this time without a new observation.
constexpr Duration WaitHalfLife = std::chrono::seconds(1);
// Weight of one observation in the moving averages.
constexpr double ObservationWeight = 0.2;

} // namespace

void CacheStores::setStores(const std::vector<CacheStore> &stores)
{
    const std::lock_guard lock(this->mutex);
    std::set<std::string> names;
    for (const CacheStore &store : stores) {
        names.insert(store.name);
        Held &entry = this->held[store.name];
        if (!entry.store.address.empty() && entry.store.address != store.address) {
            entry = Held{};
        }
        entry.store = store;
    }
    std::erase_if(this->held, [&names](const auto &entry) { return !names.contains(entry.first); });
}

std::vector<CacheStore> CacheStores::stores() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<CacheStore> result;
    for (const auto &[name, entry] : this->held) {
        result.push_back(entry.store);
    }
    return result;
}

bool CacheStores::apply(const std::string &store, const CacheEvents &events)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->held.find(store);
    if (found == this->held.end()) {
        return false;
    }
    Held &entry = found->second;
    const bool forgotten = entry.epoch != events.epoch && entry.epoch != 0;
    if (entry.epoch != events.epoch) {
        entry.blocks.clear();
        entry.heldTokens = 0;
        entry.unreportedTokens = 0;
        entry.epoch = events.epoch;
    }
    for (const CacheEvent &event : events.events) {
        const PartKey key{event.salt, event.block};
        const auto known = entry.blocks.find(key);
        if (known != entry.blocks.end()) {
            entry.heldTokens -= known->second;
            entry.blocks.erase(known);
        }
        if (!event.isRemoval) {
            entry.blocks[key] = event.tokens;
            entry.heldTokens += event.tokens;
            this->pendingSaves.erase(key);
        }
    }
    return forgotten;
}

std::vector<CacheStoreStatus> CacheStores::status() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<CacheStoreStatus> result;
    for (const auto &[name, entry] : this->held) {
        result.push_back({name, entry.epoch, entry.isReachable});
    }
    return result;
}

std::vector<CacheChange> CacheStores::allBlocks() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<CacheChange> result;
    for (const auto &[name, entry] : this->held) {
        for (const auto &[key, tokens] : entry.blocks) {
            result.push_back({name, entry.epoch, {key.first, key.second, tokens, false}});
        }
    }
    return result;
}

void CacheStores::replace(const std::vector<CacheStoreStatus> &known, const std::vector<CacheChange> &contents)
{
    const std::lock_guard lock(this->mutex);
    for (auto &[name, entry] : this->held) {
        entry.blocks.clear();
        entry.heldTokens = 0;
    }
    for (const CacheStoreStatus &status : known) {
        const auto found = this->held.find(status.store);
        if (found != this->held.end()) {
            found->second.unreportedTokens = found->second.epoch == status.epoch ? found->second.unreportedTokens : 0;
            found->second.epoch = status.epoch;
            found->second.isReachable = status.isReachable;
        }
    }
    for (const CacheChange &change : contents) {
        const auto found = this->held.find(change.store);
        if (found != this->held.end() && found->second.epoch == change.epoch) {
            found->second.blocks[{change.event.salt, change.event.block}] = change.event.tokens;
            found->second.heldTokens += change.event.tokens;
            this->pendingSaves.erase({change.event.salt, change.event.block});
        }
    }
}

void CacheStores::setReachable(const std::string &store, bool isReachable)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->held.find(store);
    if (found != this->held.end()) {
        found->second.isReachable = isReachable;
    }
}

std::vector<BlocksToFree> CacheStores::removeSalt(const std::string &salt)
{
    const std::lock_guard lock(this->mutex);
    std::vector<BlocksToFree> result;
    for (auto &[name, entry] : this->held) {
        BlocksToFree freed{entry.store.address, entry.epoch, salt, {}};
        for (auto part = entry.blocks.lower_bound({salt, ""}); part != entry.blocks.end() && part->first.first == salt;) {
            freed.blocks.push_back(part->first.second);
            entry.heldTokens -= part->second;
            part = entry.blocks.erase(part);
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
    const auto found = this->held.find(store);
    return found == this->held.end() ? 0 : found->second.heldTokens;
}

std::set<std::string> CacheStores::salts() const
{
    const std::lock_guard lock(this->mutex);
    std::set<std::string> result;
    for (const auto &[name, entry] : this->held) {
        for (const auto &[key, tokens] : entry.blocks) {
            result.insert(key.first);
        }
    }
    return result;
}

Duration CacheStores::transferTime(const Held &entry, int64_t tokens, const std::string &zone) const
{
    const double bits = static_cast<double>(tokens) * BytesPerToken * 8;
    const double seconds = bits / (std::max(1.0, entry.store.linkMbps) * 1e6) * (entry.store.zone == zone ? 1 : OtherZoneFactor);
    return fromSeconds(seconds);
}

Duration CacheStores::linkWait(const Held &entry, Time now) const
{
    if (entry.observedAt == Time(0)) {
        return Duration(0);
    }
    double base = this->plainFirstTokenMs > 0 ? this->plainFirstTokenMs : entry.firstTokenMs;
    for (const auto &[name, other] : this->held) {
        base = other.firstTokenMs > 0 ? std::min(base, other.firstTokenMs) : base;
    }
    const double halvings = toSeconds(now - entry.observedAt) / toSeconds(WaitHalfLife);
    return fromSeconds(std::max(0.0, entry.firstTokenMs - base) / 1000 * std::exp2(-halvings));
}

void CacheStores::recordFirstTokenTime(const std::string &store, Duration time)
{
    const std::lock_guard lock(this->mutex);
    const double milliseconds = static_cast<double>(time.count()) / 1000;
    const auto fold = [milliseconds](double &average) {
        average = average <= 0 ? milliseconds : average + (milliseconds - average) * ObservationWeight;
    };
    if (store.empty()) {
        fold(this->plainFirstTokenMs);
        return;
    }
    const auto found = this->held.find(store);
    if (found != this->held.end()) {
        fold(found->second.firstTokenMs);
        found->second.observedAt = this->clock.now();
    }
}

std::set<std::string> CacheStores::zonesOf(const std::string &salt, const std::string &part) const
{
    const std::lock_guard lock(this->mutex);
    std::set<std::string> result;
    for (const auto &[name, entry] : this->held) {
        if (entry.isReachable && entry.blocks.contains({salt, part})) {
            result.insert(entry.store.zone);
        }
    }
    return result;
}

double CacheStores::usedTokens(const Held &entry)
{
    return static_cast<double>(entry.heldTokens + entry.unreportedTokens);
}

void CacheStores::expireSaves()
{
    const std::lock_guard lock(this->mutex);
    const Time now = this->clock.now();
    for (auto pending = this->pendingSaves.begin(); pending != this->pendingSaves.end();) {
        if (now < pending->second.at + SaveReportTime) {
            ++pending;
            continue;
        }
        const auto found = this->held.find(pending->second.store);
        if (found != this->held.end()) {
            found->second.unreportedTokens += pending->second.tokens;
        }
        pending = this->pendingSaves.erase(pending);
    }
}

// The store with the fastest link that has room; among equals the one in the target's zone, then by rendezvous hashing.
CacheStores::Held *CacheStores::placeFor(const std::string &salt, const PromptBlock &part, const std::string &zone, const Held *other)
{
    Held *best = nullptr;
    double bestRank = 0;
    const uint64_t key = combineHashes(stableHash(salt), stableHash(part.id));
    for (auto &[name, entry] : this->held) {
        const auto capacity = static_cast<double>(entry.store.capacityTokens);
        const double room = FullShare * capacity - usedTokens(entry);
        if (&entry == other || !entry.isReachable || entry.epoch == 0 || room < static_cast<double>(part.tokens)) {
            continue;
        }
        // Steps of a tenth of the capacity decide before the zone, so that stores fill evenly.
        const double fill = std::floor(10 * usedTokens(entry) / std::max(1.0, capacity));
        const double hash = static_cast<double>(combineHashes(key, stableHash(name)) >> 32U) / 4294967296.0;
        const double rank = entry.store.linkMbps * 100 - fill * 2 + (entry.store.zone == zone ? 3 : 0) + hash;
        if (best == nullptr || rank > bestRank) {
            best = &entry;
            bestRank = rank;
        }
    }
    return best;
}

std::pair<CacheStores::Held *, Duration> CacheStores::sourceFor(const PartKey &key, int64_t tokens, const std::string &zone, Time now)
{
    std::pair<Held *, Duration> best{nullptr, Duration(0)};
    for (auto &[name, entry] : this->held) {
        const auto known = entry.blocks.find(key);
        if (!entry.isReachable || known == entry.blocks.end() || known->second < tokens) {
            continue;
        }
        const Duration time = this->transferTime(entry, tokens, zone) + entry.store.firstByteDelay + this->linkWait(entry, now);
        if (best.first == nullptr || time < best.second) {
            best = {&entry, time};
        }
    }
    return best;
}

bool CacheStores::noteUse(const PartKey &key, Time now)
{
    if (this->lastUses.size() >= MaxRecentUses) {
        std::erase_if(this->lastUses, [now](const auto &entry) { return entry.second + HotTime < now; });
    }
    const auto [entry, isNew] = this->lastUses.emplace(key, now);
    const bool isHot = !isNew && now < entry->second + HotTime;
    entry->second = now;
    return isHot;
}

CachePlan CacheStores::plan(
    const std::string &salt, const std::vector<PromptBlock> &parts, size_t shared, const std::string &zone, Duration patience, uint64_t draw)
{
    const std::lock_guard lock(this->mutex);
    CachePlan result;
    result.fetchFrom.resize(parts.size());
    result.saveTo.resize(parts.size());
    const Time now = this->clock.now();
    const double uniform = static_cast<double>(draw >> 11U) / 9007199254740992.0;
    int64_t mainTokens = 0;
    for (size_t index = 0; index < std::min(shared, parts.size()); ++index) {
        const PromptBlock &part = parts[index];
        const PartKey key{salt, part.id};
        const bool isHot = this->noteUse(key, now);
        const auto [source, sourceTime] = this->sourceFor(key, part.tokens, zone, now);
        if (source != nullptr) {
            const double share = static_cast<double>(patience.count()) / static_cast<double>(std::max<int64_t>(1, sourceTime.count()));
            if (uniform < share * share) {
                result.fetchFrom[index] = source->store.address;
                result.fetchTokens += part.tokens;
                if (part.tokens > mainTokens) {
                    mainTokens = part.tokens;
                    result.mainSource = source->store.name;
                    result.expectedTime = sourceTime;
                }
                continue;
            }
        }
        const auto pending = this->pendingSaves.find(key);
        if (pending != this->pendingSaves.end() && now < pending->second.at + SaveReportTime) {
            continue;
        }
        const Held *place = this->placeFor(salt, part, zone, source);
        // A second copy is made of hot parts only, and on a link that is less busy.
        const bool isUseful = place != nullptr && (source == nullptr || (isHot && 2 * this->linkWait(*place, now) < this->linkWait(*source, now)));
        if (isUseful) {
            if (this->pendingSaves.size() < MaxPendingSaves) {
                this->pendingSaves[key] = {now, place->store.name, part.tokens};
            }
            result.saveTo[index] = place->store.address;
            result.saveTokens += part.tokens;
        }
    }
    return result;
}

} // namespace pimentosail
