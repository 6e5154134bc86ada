#include "pimentosail/decision/policy.h"

#include <algorithm>

#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

// Fixed part of the time to first token: transport and the first decoding step.
constexpr double FixedOverheadSeconds = 0.02;
// Extra cost of a choice that misses the first-token deadline; exceeds any other cost.
constexpr double MissedDeadlinePenaltySeconds = 1000;
// Extra cost of forwarding a request to the host that owns the target.
constexpr double ForwardPenaltySeconds = 0.001;

CacheSource localSource(const PolicyInput &input, TargetIndex target)
{
    const int64_t cached = cachedTokensAt(input, target);
    CacheSource source;
    source.kind = cached > 0 ? SourceKind::TargetCache : SourceKind::Recompute;
    source.tokens = cached;
    return source;
}

// Returns the stored copy as a source if it saves more tokens than the target's own cache.
std::optional<CacheSource> importSource(const PolicyInput &input, TargetIndex target)
{
    if (input.prompt == nullptr || input.copyLink == nullptr || !input.copyLink->usable || input.prompt->copy.store == NoStore) {
        return std::nullopt;
    }
    const StoreCopy &copy = input.prompt->copy;
    if ((copy.exporting && copy.tier == Tier::Memory) || copy.tokens <= cachedTokensAt(input, target)) {
        return std::nullopt;
    }
    CacheSource source;
    source.kind = SourceKind::StoreImport;
    source.tokens = copy.tokens;
    source.store = copy.store;
    source.tier = copy.tier;
    return source;
}

enum class ImportRule {
    ByCost,
    Always,
    Never,
};

std::optional<PlacementChoice> cheapest(const PredictedPolicy &policy, const PolicyInput &input, const RequestInfo &request, ImportRule rule, Time now)
{
    std::optional<PlacementChoice> best;
    double bestCost = 0;
    const double timeLeft = request.resumed ? 1e9 : toSeconds(request.firstTokenDeadline - now - input.lateness);
    const double weight = policy.recomputeWeight.at(static_cast<size_t>(request.priority));
    const auto compareWithBest = [&](TargetIndex target, const CacheSource &source) {
        const Duration predicted = predictFirstToken(input, request, target, source);
        const double computed = static_cast<double>(request.promptTokens - std::min(source.tokens, request.promptTokens));
        const double work = computed / input.targets.prefillRate(target);
        const double remote = input.targets.at(target).description.remote ? ForwardPenaltySeconds : 0;
        // Any choice that meets the deadline is better than one that misses it.
        const double miss = toSeconds(predicted) > timeLeft ? MissedDeadlinePenaltySeconds : 0;
        const double cost = toSeconds(predicted) + weight * work + remote + miss;
        if (!best || cost < bestCost) {
            best = PlacementChoice{target, source, predicted};
            bestCost = cost;
        }
    };
    for (const TargetIndex target : input.candidates) {
        const std::optional<CacheSource> import = rule == ImportRule::Never ? std::nullopt : importSource(input, target);
        if (rule != ImportRule::Always || !import) {
            compareWithBest(target, localSource(input, target));
        }
        if (import) {
            compareWithBest(target, *import);
        }
    }
    return best;
}

PlacementChoice withLocalSource(const PolicyInput &input, const RequestInfo &request, TargetIndex target)
{
    const CacheSource source = localSource(input, target);
    return {target, source, predictFirstToken(input, request, target, source)};
}

std::optional<PlacementChoice> place(PredictedPolicy &policy, const PolicyInput &input, const RequestInfo &request, Time now)
{
    return cheapest(policy, input, request, policy.mayImport ? ImportRule::ByCost : ImportRule::Never, now);
}

std::optional<PlacementChoice> place(AlwaysImportPolicy &policy, const PolicyInput &input, const RequestInfo &request, Time now)
{
    return cheapest(policy.base, input, request, ImportRule::Always, now);
}

std::optional<PlacementChoice> place(NeverImportPolicy &policy, const PolicyInput &input, const RequestInfo &request, Time now)
{
    return cheapest(policy.base, input, request, ImportRule::Never, now);
}

std::optional<PlacementChoice> place(RoundRobinPolicy &policy, const PolicyInput &input, const RequestInfo &request, Time /*now*/)
{
    const TargetIndex target = input.candidates[policy.next++ % input.candidates.size()];
    return withLocalSource(input, request, target);
}

std::optional<PlacementChoice> place(LeastLoadedPolicy & /*policy*/, const PolicyInput &input, const RequestInfo &request, Time now)
{
    const TargetIndex target = *std::min_element(input.candidates.begin(), input.candidates.end(),
        [&input, now](TargetIndex left, TargetIndex right) { return input.targets.inFlight(left, now) < input.targets.inFlight(right, now); });
    return withLocalSource(input, request, target);
}

std::optional<PlacementChoice> place(StickyHashPolicy & /*policy*/, const PolicyInput &input, const RequestInfo &request, Time /*now*/)
{
    const auto weight = [&](TargetIndex target) {
        return stableHash(input.targets.at(target).description.name, request.promptKey);
    };
    const TargetIndex target = *std::max_element(
        input.candidates.begin(), input.candidates.end(), [&](TargetIndex left, TargetIndex right) { return weight(left) < weight(right); });
    return withLocalSource(input, request, target);
}

} // namespace

Result<Policy> policyFromName(const std::string &name)
{
    if (name == "predicted") {
        return PredictedPolicy{};
    }
    if (name == "always_import") {
        return AlwaysImportPolicy{};
    }
    if (name == "never_import") {
        return NeverImportPolicy{};
    }
    if (name == "round_robin") {
        return RoundRobinPolicy{};
    }
    if (name == "least_loaded") {
        return LeastLoadedPolicy{};
    }
    if (name == "sticky_hash") {
        return StickyHashPolicy{};
    }
    return failed(ErrorKind::BadRequest, "unknown policy '" + name + "'");
}

int64_t cachedTokensAt(const PolicyInput &input, TargetIndex target)
{
    if (input.prompt == nullptr) {
        return 0;
    }
    for (const CacheLocation &location : input.prompt->locations) {
        if (location.target == target && location.lastUsed > input.targets.at(target).evictedBefore) {
            return location.tokens;
        }
    }
    return 0;
}

Duration predictFirstToken(const PolicyInput &input, const RequestInfo &request, TargetIndex target, const CacheSource &source)
{
    const double rate = input.targets.prefillRate(target);
    const double queue = static_cast<double>(input.targets.queuedTokens(target, request.priority)) / rate;
    double ready = queue;
    if (source.kind == SourceKind::StoreImport) {
        const auto missing = static_cast<double>(source.tokens - cachedTokensAt(input, target));
        const double import = toSeconds(input.copyLink->wait) + missing * input.cacheBytesPerToken / input.copyLink->bytesPerSecond;
        ready = std::max(queue, import);
    }
    const auto computed = static_cast<double>(request.promptTokens - std::min(source.tokens, request.promptTokens));
    return fromSeconds(FixedOverheadSeconds + ready + computed / rate);
}

std::optional<PlacementChoice> choosePlacement(Policy &policy, const PolicyInput &input, const RequestInfo &request, Time now)
{
    if (input.candidates.empty()) {
        return std::nullopt;
    }
    return std::visit([&](auto &concretePolicy) { return place(concretePolicy, input, request, now); }, policy);
}

} // namespace pimentosail
