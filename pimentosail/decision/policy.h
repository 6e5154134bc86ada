// Chooses the target and the cache source of a request. `PredictedPolicy` is the default; the others are baselines that the
// benchmark compares it with.
//
//     std::optional<PlacementChoice> choice = choosePlacement(policy, input, request, now);
//
// Not thread-safe: a policy may keep state.
#pragma once

#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "pimentosail/decision/prompttable.h"
#include "pimentosail/decision/targettable.h"
#include "pimentosail/decision/types.h"

namespace pimentosail
{

// Chooses the target and source with the lowest cost: the predicted time to first token, plus weighted prefill work, plus
// penalties for forwarding and for a missed deadline.
struct PredictedPolicy
{
    // Cost, in seconds, of each second of prefill work, by priority (Batch, Standard, Interactive).
    std::array<double, 3> recomputeWeight{20.0, 4.0, 1.0};
    bool mayImport = true;
    std::mt19937_64 random{1};
};

// Always imports the stored copy if there is a usable one; otherwise as PredictedPolicy.
struct AlwaysImportPolicy
{
    PredictedPolicy base;
};

// Never imports; otherwise as PredictedPolicy.
struct NeverImportPolicy
{
    PredictedPolicy base;
};

// Takes the candidates round robin.
struct RoundRobinPolicy
{
    size_t next = 0;
};

// Takes the candidate with the fewest requests in flight.
struct LeastLoadedPolicy
{
};

// Places a prompt by rendezvous hashing over the candidates, regardless of their load.
struct StickyHashPolicy
{
};

using Policy = std::variant<PredictedPolicy, AlwaysImportPolicy, NeverImportPolicy, RoundRobinPolicy, LeastLoadedPolicy, StickyHashPolicy>;

// Returns the policy called `name` (predicted, always_import, never_import, round_robin, least_loaded, sticky_hash).
// Returns `BadRequest` for another name.
Result<Policy> policyFromName(const std::string &name);

// State of the link of a cache store's tier as last reported, plus the imports that were started since.
struct LinkState
{
    bool usable = false;
    // Wait of a new transfer.
    Duration wait{};
    double bytesPerSecond = 1;
    // Age at which the tier evicts copies; negative if it evicts none.
    Duration evictionAge{-1};
};

// What a policy bases its choice on.
struct PolicyInput
{
    const TargetTable &targets;
    // Targets that can take the request now and have a free slot.
    const std::vector<TargetIndex> &candidates;
    // Null if there is no record of the prompt.
    const PromptRecord *prompt;
    // Link of the cache store that has a copy of the prompt; null if there is none.
    const LinkState *copyLink;
    double cacheBytesPerToken = 0;
    // Margin for first tokens that arrive later than predicted; see `Scheduler::Options::latenessMargin`.
    Duration lateness{};
};

// A target and cache source for a request, with the predicted time to first token.
struct PlacementChoice
{
    TargetIndex target = NoTarget;
    CacheSource source;
    Duration predicted{};
};

// Returns the best choice, or nothing if there are no candidates.
std::optional<PlacementChoice> choosePlacement(Policy &policy, const PolicyInput &input, const RequestInfo &request, Time now);

// Returns the number of tokens of the prompt that `target` is expected to have in its cache.
int64_t cachedTokensAt(const PolicyInput &input, TargetIndex target);

// Returns the predicted time to first token on `target` with `source`.
Duration predictFirstToken(const PolicyInput &input, const RequestInfo &request, TargetIndex target, const CacheSource &source);

} // namespace pimentosail
