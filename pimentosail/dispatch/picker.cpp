#include "pimentosail/dispatch/picker.h"

#include <algorithm>
#include <limits>

#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

// Cost of a run on older weights, in prompt tokens: its answer is worth less, but not as little as one that is late.
constexpr double OlderWeightsTokens = 12000;
// Cost of each run in flight, in prompt tokens: it slows the steps of all others.
constexpr double TokensPerRun = 250;
// Part of the prompt's own tokens that its own target is expected to save.
constexpr double OwnTargetSaving = 0.5;
// Cost of reading the prompt's own part across zones, for each of its tokens: it keeps the store's link busy for twice
// as long, which delays others.
constexpr double OtherZoneFetch = 0.8;
// A target that fails this share of its runs is used only if all do, but for a probe now and then.
constexpr int FailingPermille = 250;
constexpr double FailingCost = 1e6;
constexpr uint64_t ProbeOneIn = 50;
// Cost of leaving the own zone for a plain request, in requests in flight for each slot.
constexpr double OtherZoneLoad = 0.1;

double promptCost(const PickQuery &query, const Candidate &candidate, bool isOwn)
{
    double cost = candidate.pendingTokens + candidate.requests * TokensPerRun;
    cost -= isOwn ? OwnTargetSaving * static_cast<double>(query.ownTokens) : 0;
    cost += query.cacheZones.empty() || query.cacheZones.contains(candidate.target->zone) ? 0 : OtherZoneFetch * static_cast<double>(query.ownTokens);
    cost += candidate.version < query.newestVersion ? OlderWeightsTokens : 0;
    return cost;
}

double plainCost(const PickQuery &query, const Candidate &candidate)
{
    const double slots = std::max(1, candidate.target->slots);
    return candidate.requests / slots + (candidate.target->zone == query.ownZone ? 0 : OtherZoneLoad);
}

} // namespace

std::optional<Choice> pickTarget(const PickQuery &query, const std::vector<Candidate> &candidates)
{
    const Candidate *own = nullptr;
    uint64_t ownWeight = 0;
    std::vector<const Candidate *> allowed;
    for (const Candidate &candidate : candidates) {
        if (candidate.coldAndFull || query.tried.contains(candidate.target->id) || candidate.version < query.oldestVersion) {
            continue;
        }
        allowed.push_back(&candidate);
        const uint64_t weight = query.affinity.empty() ? 0 : combineHashes(stableHash(query.affinity), stableHash(candidate.target->id));
        if (!query.affinity.empty() && weight >= ownWeight) {
            own = &candidate;
            ownWeight = weight;
        }
    }
    if (allowed.empty()) {
        return std::nullopt;
    }
    const bool isProbe = query.draw % ProbeOneIn == 0;
    const size_t offset = static_cast<size_t>(query.draw / ProbeOneIn) % allowed.size();
    std::optional<Choice> best;
    double bestCost = std::numeric_limits<double>::max();
    for (size_t index = 0; index < allowed.size(); ++index) {
        const Candidate &candidate = *allowed[(index + offset) % allowed.size()];
        const bool isOwn = &candidate == own;
        double cost = query.affinity.empty() ? plainCost(query, candidate) : promptCost(query, candidate, isOwn);
        if (!isProbe && candidate.target->failurePermille.load() > FailingPermille) {
            cost += FailingCost;
        }
        if (cost < bestCost) {
            bestCost = cost;
            best = Choice{candidate.target, candidate.version, candidate.pendingTokens, candidate.lateTokens, isOwn};
        }
    }
    return best;
}

} // namespace pimentosail
