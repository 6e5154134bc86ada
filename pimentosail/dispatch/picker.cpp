#include "pimentosail/dispatch/picker.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>

#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

// Cost of a run on older weights when all others have the newest, in prompt tokens: its answer is worth less, but not as
// little as one that is late.
constexpr double OlderWeightsTokens = 12000;
// Cost of each run in flight, in prompt tokens: it slows the steps of all others.
constexpr double TokensPerRun = 250;
// Part of the prompt's own tokens that its own target is expected to save.
constexpr double OwnTargetSaving = 0.5;
// Cost of reading the prompt's own part across zones, for each of its tokens: it keeps the store's link busy for twice
// as long, which delays others.
constexpr double OtherZoneFetch = 0.8;
// Cost of a prompt on a target of the other kind, in prompt tokens: about seven steps of an engine that reads prompts.
constexpr double OtherLaneTokens = 30000;
// Cost of each token beyond a target's memory: the prompt waits for it, or another run is put off and read again.
constexpr double OverflowCost = 2;
// Cost of each run that has to wait for another to end, in prompt tokens.
constexpr double WaitingRunTokens = 3000;
// With fewer targets none is kept for one kind of work.
constexpr size_t FewestForLanes = 4;
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
    if (candidate.capacityTokens > 0) {
        cost += OverflowCost * std::max(0.0, candidate.heldTokens + query.heldTokens - candidate.capacityTokens);
    }
    if (candidate.runs > 0) {
        cost += WaitingRunTokens * std::max(0.0, candidate.requests + 1 - candidate.runs);
    }
    return cost;
}

// What speaks against a candidate whatever its load.
double surcharge(const PickQuery &query, const Candidate &candidate, const std::set<const Candidate *> &quiet, double olderCost, bool isProbe)
{
    double cost = !query.affinity.empty() && candidate.version < query.newestVersion ? olderCost : 0;
    if (!quiet.empty() && quiet.contains(&candidate) != (query.lane == Lane::LongAnswers)) {
        cost += OtherLaneTokens;
    }
    if (!isProbe && candidate.target->failurePermille.load() > FailingPermille) {
        cost += FailingCost;
    }
    return cost;
}

// Returns a step that visits each of `size` places once, in an order that `draw` decides.
size_t permutationStep(uint64_t draw, size_t size)
{
    size_t step = 1 + static_cast<size_t>(draw % size);
    while (std::gcd(step, size) != 1) {
        ++step;
    }
    return step;
}

// Returns the targets for long answers: of each weight version the first by a hash that is the same on every host.
std::set<const Candidate *> quietTargets(const PickQuery &query, const std::vector<const Candidate *> &allowed)
{
    std::set<const Candidate *> quiet;
    if (query.lane == Lane::Any || query.longAnswerShare <= 0 || allowed.size() < FewestForLanes) {
        return quiet;
    }
    std::map<int64_t, std::vector<std::pair<uint64_t, const Candidate *>>> byVersion;
    for (const Candidate *candidate : allowed) {
        byVersion[candidate->version].emplace_back(stableHash(candidate->target->id), candidate);
    }
    for (auto &[version, ranked] : byVersion) {
        const auto count = std::min(ranked.size(), static_cast<size_t>(std::llround(query.longAnswerShare * static_cast<double>(ranked.size()))));
        std::nth_element(ranked.begin(), ranked.begin() + static_cast<int64_t>(count), ranked.end());
        for (size_t index = 0; index < count; ++index) {
            quiet.insert(ranked[index].second);
        }
    }
    return quiet;
}

// Cost of a run on older weights. While few targets have the newest, they could not bear all the work.
double olderWeightsCost(const PickQuery &query, const std::vector<const Candidate *> &allowed)
{
    const auto newest
        = std::count_if(allowed.begin(), allowed.end(), [&query](const Candidate *candidate) { return candidate->version >= query.newestVersion; });
    return OlderWeightsTokens * static_cast<double>(newest) / static_cast<double>(allowed.size());
}

// Returns the target that rendezvous hashing ranks first for the prompt, among those for its kind of work.
const Candidate *ownTarget(const PickQuery &query, const std::vector<const Candidate *> &allowed, const std::set<const Candidate *> &quiet)
{
    const Candidate *own = nullptr;
    uint64_t ownWeight = 0;
    const uint64_t key = stableHash(query.affinity);
    for (const Candidate *candidate : allowed) {
        if (!quiet.empty() && quiet.contains(candidate) != (query.lane == Lane::LongAnswers)) {
            continue;
        }
        const uint64_t weight = combineHashes(key, stableHash(candidate->target->id));
        if (own == nullptr || weight >= ownWeight) {
            own = candidate;
            ownWeight = weight;
        }
    }
    return own;
}

double plainCost(const PickQuery &query, const Candidate &candidate)
{
    const double slots = std::max(1, candidate.target->slots);
    return candidate.requests / slots + (candidate.target->zone == query.ownZone ? 0 : OtherZoneLoad);
}

} // namespace

std::optional<Choice> pickTarget(const PickQuery &query, const std::vector<Candidate> &candidates)
{
    std::vector<const Candidate *> allowed;
    for (const Candidate &candidate : candidates) {
        if (!candidate.coldAndFull && !query.tried.contains(candidate.target->id) && candidate.version >= query.oldestVersion) {
            allowed.push_back(&candidate);
        }
    }
    if (allowed.empty()) {
        return std::nullopt;
    }
    const std::set<const Candidate *> quiet = quietTargets(query, allowed);
    const Candidate *own = query.affinity.empty() ? nullptr : ownTarget(query, allowed, quiet);
    const double olderCost = olderWeightsCost(query, allowed);
    const bool isProbe = query.draw % ProbeOneIn == 0;
    const size_t offset = static_cast<size_t>(query.draw / ProbeOneIn) % allowed.size();
    const size_t step = permutationStep(query.draw / ProbeOneIn / allowed.size(), allowed.size());
    // Number of candidates compared so far, by surcharge.
    std::map<double, size_t> compared;
    std::optional<Choice> best;
    double bestCost = std::numeric_limits<double>::max();
    for (size_t index = 0; index < allowed.size(); ++index) {
        const Candidate &candidate = *allowed[(index * step + offset) % allowed.size()];
        const bool isOwn = &candidate == own;
        double cost = surcharge(query, candidate, quiet, olderCost, isProbe);
        if (query.sample > 0 && !isOwn && ++compared[cost] > query.sample) {
            continue;
        }
        cost += query.affinity.empty() ? plainCost(query, candidate) : promptCost(query, candidate, isOwn);
        if (cost < bestCost) {
            bestCost = cost;
            best = Choice{candidate.target, candidate.version, candidate.pendingTokens, candidate.lateTokens, isOwn};
        }
    }
    return best;
}

} // namespace pimentosail
