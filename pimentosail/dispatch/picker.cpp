#include "pimentosail/dispatch/picker.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>

#include "pimentosail/base/hash.h"
#include "pimentosail/dispatch/costs.h"
#include "pimentosail/dispatch/mixedcost.h"
#include "pimentosail/dispatch/sendwindow.h"

namespace pimentosail
{

namespace
{

// Cost, in prompt tokens, of a run on older weights when all other targets have the newest. An answer from older weights
// has less value, but more than a late answer.
constexpr double OlderWeightsTokens = 12000;
// Cost, in prompt tokens, of a prompt on a target of the other lane: about seven steps of an engine that processes
// prompts.
constexpr double OtherLaneTokens = 30000;
// Lanes are used only from this number of targets on.
constexpr size_t MinTargetsForLanes = 4;
// A target that fails more than this share of its runs (in thousandths) gets requests only if all targets do, and
// occasional probes (one request in `ProbeOneIn`).
constexpr int FailingPermille = 250;
constexpr double FailingCost = 1e6;
constexpr uint64_t ProbeOneIn = 50;
// Cost of a target outside the local zone for a plain request, in requests in flight per slot.
constexpr double OtherZoneCost = 0.1;
// Under mixed load, the preferred target loses its advantage while it has more than this multiple of the mean load, apart from one
// prompt. Other hosts' reports are late, so it would otherwise get far more than its share.
constexpr double PreferredLoadFactor = 1.5;
// The upper bits of the random number choose among several preferred targets, the others the sample.
constexpr unsigned PreferredDrawShift = 40;

double promptCost(const PickQuery &query, const Candidate &candidate, bool isPreferred)
{
    double cost = candidate.pendingTokens + candidate.requests * RequestTokens;
    cost -= isPreferred ? PreferredTargetSaving * static_cast<double>(query.affinityTokens) : 0;
    cost += query.cacheZones.empty() || query.cacheZones.contains(candidate.target->zone) ? 0 : OtherZoneFetchCost * static_cast<double>(query.affinityTokens);
    return cost + capacityCost(query, candidate);
}

// Returns the part of a candidate's cost that does not depend on its load.
double staticCost(const PickQuery &query, const Candidate &candidate, const std::set<const Candidate *> &longAnswerSet, double olderCost, bool isProbe)
{
    double cost = !query.affinity.empty() && candidate.version < query.newestVersion ? olderCost : 0;
    if (!longAnswerSet.empty() && longAnswerSet.contains(&candidate) != (query.lane == Lane::LongAnswers)) {
        // Under mixed load, lanes count as far as answers have pauses over their limit without them.
        cost += query.mixed ? query.mixed->pauseWeight * OtherLaneTokens : OtherLaneTokens;
    }
    if (query.mixed && candidate.target->zone != query.localZone) {
        cost += mixedZoneCost(query);
    }
    if (!isProbe && candidate.target->failurePermille.load() > FailingPermille) {
        cost += FailingCost;
    }
    return cost;
}

// Returns a step size, chosen by `draw`, that is coprime to `size`: stepping modulo `size` visits each index once.
size_t permutationStep(uint64_t draw, size_t size)
{
    size_t step = 1 + static_cast<size_t>(draw % size);
    while (std::gcd(step, size) != 1) {
        ++step;
    }
    return step;
}

// Returns the targets for long answers: of each weight version, the targets that rank first by a hash of their ID, which
// is the same on every host.
std::set<const Candidate *> longAnswerTargets(const PickQuery &query, const std::vector<const Candidate *> &allowed)
{
    std::set<const Candidate *> longAnswerSet;
    const bool hasLanes = !query.mixed || query.mixed->pauseWeight > 0;
    if (!hasLanes || query.lane == Lane::Any || query.longAnswerShare <= 0 || allowed.size() < MinTargetsForLanes) {
        return longAnswerSet;
    }
    std::map<int64_t, std::vector<std::pair<uint64_t, const Candidate *>>> byVersion;
    for (const Candidate *candidate : allowed) {
        byVersion[candidate->version].emplace_back(stableHash(candidate->target->id), candidate);
    }
    for (auto &[version, ranked] : byVersion) {
        const auto count = std::min(ranked.size(), static_cast<size_t>(std::llround(query.longAnswerShare * static_cast<double>(ranked.size()))));
        std::nth_element(ranked.begin(), ranked.begin() + static_cast<int64_t>(count), ranked.end());
        for (size_t index = 0; index < count; ++index) {
            longAnswerSet.insert(ranked[index].second);
        }
    }
    return longAnswerSet;
}

// Returns the cost of a run on older weights. It grows with the fraction of targets that have the newest weights,
// because the first few of them could not serve all requests.
double olderWeightsCost(const PickQuery &query, const std::vector<const Candidate *> &allowed)
{
    const auto newest
        = std::count_if(allowed.begin(), allowed.end(), [&query](const Candidate *candidate) { return candidate->version >= query.newestVersion; });
    return OlderWeightsTokens * static_cast<double>(newest) / static_cast<double>(allowed.size());
}

// Returns the target that rendezvous hashing ranks first for the prompt, among the targets of its lane. A prompt with several
// preferred targets gets one of them at random.
const Candidate *preferredTarget(const PickQuery &query, const std::vector<const Candidate *> &allowed, const std::set<const Candidate *> &longAnswerSet)
{
    const Candidate *preferred = nullptr;
    uint64_t bestWeight = 0;
    const uint64_t blockKey = stableHash(query.affinity);
    const uint64_t key = query.preferredTargets > 1 ? combineHashes(blockKey, (query.draw >> PreferredDrawShift) % query.preferredTargets) : blockKey;
    for (const Candidate *candidate : allowed) {
        if (!longAnswerSet.empty() && longAnswerSet.contains(candidate) != (query.lane == Lane::LongAnswers)) {
            continue;
        }
        const uint64_t weight = combineHashes(key, stableHash(candidate->target->id));
        if (preferred == nullptr || weight >= bestWeight) {
            preferred = candidate;
            bestWeight = weight;
        }
    }
    return preferred;
}

// The load up to which the preferred target has an advantage.
struct PreferredLimit
{
    double requests = std::numeric_limits<double>::infinity();
    double pendingTokens = std::numeric_limits<double>::infinity();

    bool allows(const Candidate &candidate) const
    {
        return candidate.requests <= this->requests && candidate.pendingTokens <= this->pendingTokens;
    }
};

PreferredLimit preferredLimit(const PickQuery &query, const std::vector<const Candidate *> &allowed)
{
    if (!query.mixed) {
        return {};
    }
    double requests = 0;
    double pendingTokens = 0;
    for (const Candidate *candidate : allowed) {
        requests += candidate->requests;
        pendingTokens += candidate->pendingTokens;
    }
    const double factor = PreferredLoadFactor / static_cast<double>(allowed.size());
    return {factor * requests + 1, factor * pendingTokens + query.prefillTokens};
}

bool hasRoom(const PickQuery &query, const Candidate &candidate)
{
    return promptPlaces(query, candidate, mixedCost(query, candidate, false).aheadTokens) >= 1;
}

// Returns the candidates that are open to this host now, or an empty set if windows are not used.
std::set<const Candidate *> openTargets(const PickQuery &query, const std::vector<const Candidate *> &allowed)
{
    std::set<const Candidate *> open;
    if (!query.mixed || query.window == 0) {
        return open;
    }
    for (const Candidate *candidate : allowed) {
        const double places = promptPlaces(query, *candidate, mixedCost(query, *candidate, false).aheadTokens);
        if (isOpenTo(query.window, *candidate->target, places, query.hosts)) {
            open.insert(candidate);
        }
    }
    return open;
}

double plainCost(const PickQuery &query, const Candidate &candidate)
{
    const double slots = std::max(1, candidate.target->slots);
    return candidate.requests / slots + (candidate.target->zone == query.localZone ? 0 : OtherZoneCost);
}

} // namespace

std::optional<TargetChoice> pickTarget(const PickQuery &query, const std::vector<Candidate> &candidates)
{
    std::vector<const Candidate *> allowed;
    for (const Candidate &candidate : candidates) {
        if (!candidate.isAtLimit && !query.triedTargets.contains(candidate.target->id) && candidate.version >= query.oldestVersion) {
            allowed.push_back(&candidate);
        }
    }
    if (allowed.empty()) {
        return std::nullopt;
    }
    const std::set<const Candidate *> longAnswerSet = longAnswerTargets(query, allowed);
    const Candidate *preferred = query.affinity.empty() ? nullptr : preferredTarget(query, allowed, longAnswerSet);
    const double olderCost = olderWeightsCost(query, allowed);
    const PreferredLimit limit = preferredLimit(query, allowed);
    const std::set<const Candidate *> open = openTargets(query, allowed);
    const bool usesWindows = query.mixed && query.window != 0;
    const bool isProbe = query.draw % ProbeOneIn == 0;
    const size_t offset = static_cast<size_t>(query.draw / ProbeOneIn) % allowed.size();
    const size_t step = permutationStep(query.draw / ProbeOneIn / allowed.size(), allowed.size());
    // Number of candidates compared so far, by static cost.
    std::map<double, size_t> compared;
    std::optional<TargetChoice> best;
    double bestCost = std::numeric_limits<double>::max();
    for (size_t index = 0; index < allowed.size(); ++index) {
        const Candidate &candidate = *allowed[(index * step + offset) % allowed.size()];
        const bool isPreferred = &candidate == preferred;
        double cost = staticCost(query, candidate, longAnswerSet, olderCost, isProbe);
        const bool hasBlocks = isPreferred && limit.allows(candidate);
        if (usesWindows && !open.contains(&candidate) && !(hasBlocks && hasRoom(query, candidate))) {
            continue;
        }
        // Under mixed load, all weight versions share one sample: the few targets that have the newest weights first would
        // otherwise be among those that every host compares.
        const double sampleClass = query.mixed && candidate.version < query.newestVersion ? cost - olderCost : cost;
        if (query.sampleSize > 0 && !isPreferred && ++compared[sampleClass] > query.sampleSize) {
            continue;
        }
        double aheadTokens = candidate.pendingTokens;
        if (query.affinity.empty()) {
            cost += plainCost(query, candidate);
        } else if (query.mixed) {
            const MixedCost mixed = mixedCost(query, candidate, hasBlocks);
            cost += mixed.total;
            aheadTokens = mixed.aheadTokens;
        } else {
            cost += promptCost(query, candidate, isPreferred);
        }
        if (cost < bestCost) {
            bestCost = cost;
            const double heldShare = candidate.capacityTokens > 0 ? candidate.heldTokens / candidate.capacityTokens : 0;
            // A late prompt is read after those that this prompt would overtake.
            const double lateTokens = candidate.lateTokens + candidate.pendingTokens - aheadTokens;
            best = TargetChoice{candidate.target, candidate.version, aheadTokens, lateTokens, heldShare, isPreferred, candidate.speed};
        }
    }
    return best;
}

} // namespace pimentosail
