#include "pimentosail/kvcache/storecontents.h"

#include <algorithm>

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
// Bytes of KV cache of a token, for link times only.
constexpr double BytesPerToken = 18432;
constexpr double OtherZoneFactor = 2;
// Tokens that a target reads in a millisecond: a part is read again where its transfer would take longer.
constexpr double ReadTokensPerMillisecond = 112;

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
        entry.parts.clear();
        entry.heldTokens = 0;
        entry.epoch = events.epoch;
    }
    for (const CacheEvent &event : events.events) {
        const PartKey key{event.salt, event.part};
        const auto known = entry.parts.find(key);
        if (known != entry.parts.end()) {
            entry.heldTokens -= known->second;
            entry.parts.erase(known);
        }
        if (!event.isRemoval) {
            entry.parts[key] = event.tokens;
            entry.heldTokens += event.tokens;
            this->pendingSaves.erase(key);
        }
    }
    return forgotten;
}

void CacheStores::setReachable(const std::string &store, bool isReachable)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->held.find(store);
    if (found != this->held.end()) {
        found->second.isReachable = isReachable;
    }
}

std::map<std::string, std::vector<std::string>> CacheStores::takeSalt(const std::string &salt)
{
    const std::lock_guard lock(this->mutex);
    std::map<std::string, std::vector<std::string>> result;
    for (auto &[name, entry] : this->held) {
        for (auto part = entry.parts.lower_bound({salt, ""}); part != entry.parts.end() && part->first.first == salt;) {
            result[name].push_back(part->first.second);
            entry.heldTokens -= part->second;
            part = entry.parts.erase(part);
        }
    }
    return result;
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
        for (const auto &[key, tokens] : entry.parts) {
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

// The store with the fastest link that has room; among equals by rendezvous hashing.
CacheStores::Held *CacheStores::placeFor(const std::string &salt, const PromptPart &part)
{
    Held *best = nullptr;
    uint64_t bestWeight = 0;
    const uint64_t key = combineHashes(stableHash(salt), stableHash(part.id));
    for (auto &[name, entry] : this->held) {
        const double room = FullShare * static_cast<double>(entry.store.capacityTokens) - static_cast<double>(entry.heldTokens);
        if (!entry.isReachable || entry.epoch == 0 || room < static_cast<double>(part.tokens)) {
            continue;
        }
        const uint64_t weight = combineHashes(key, stableHash(name));
        const bool isFaster = best != nullptr && entry.store.linkMbps > best->store.linkMbps;
        const bool isEqual = best != nullptr && entry.store.linkMbps == best->store.linkMbps;
        if (best == nullptr || isFaster || (isEqual && weight > bestWeight)) {
            best = &entry;
            bestWeight = weight;
        }
    }
    return best;
}

CachePlan CacheStores::plan(const std::string &salt, const std::vector<PromptPart> &parts, size_t shared, const std::string &zone)
{
    const std::lock_guard lock(this->mutex);
    CachePlan result;
    result.fetchFrom.resize(parts.size());
    result.saveTo.resize(parts.size());
    const Time now = this->clock.now();
    for (size_t index = 0; index < std::min(shared, parts.size()); ++index) {
        const PromptPart &part = parts[index];
        const PartKey key{salt, part.id};
        Held *source = nullptr;
        Duration sourceTime{};
        for (auto &[name, entry] : this->held) {
            const auto known = entry.parts.find(key);
            if (!entry.isReachable || known == entry.parts.end() || known->second < part.tokens) {
                continue;
            }
            const Duration time = this->transferTime(entry, part.tokens, zone) + entry.store.firstByteDelay + std::max(Duration(0), entry.busyUntil - now);
            if (source == nullptr || time < sourceTime) {
                source = &entry;
                sourceTime = time;
            }
        }
        if (source != nullptr) {
            const Duration readTime = fromSeconds(static_cast<double>(part.tokens) / ReadTokensPerMillisecond / 1000);
            if (sourceTime > 3 * readTime) {
                continue;
            }
            source->busyUntil = std::max(now, source->busyUntil) + this->transferTime(*source, part.tokens, zone);
            result.fetchFrom[index] = source->store.address;
            result.fetchTokens += part.tokens;
            continue;
        }
        const auto pending = this->pendingSaves.find(key);
        if (pending != this->pendingSaves.end() && now < pending->second + SaveReportTime) {
            continue;
        }
        Held *place = this->placeFor(salt, part);
        if (place != nullptr) {
            if (this->pendingSaves.size() >= MaxPendingSaves) {
                std::erase_if(this->pendingSaves, [now](const auto &entry) { return now >= entry.second + SaveReportTime; });
            }
            this->pendingSaves[key] = now;
            result.saveTo[index] = place->store.address;
            result.saveTokens += part.tokens;
        }
    }
    return result;
}

} // namespace pimentosail
