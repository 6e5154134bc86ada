// Chooses the target and the cache source of a request. One policy is ours; the others are baselines that stay in
// the benchmark for comparison.
//
//     std::optional<Choice> choice = choosePlacement(policy, view, request, now);
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

// Weights of the predicted-time policy.
struct PredictedPolicy
{
    // Seconds of cost for each second of prefill work, by priority (Batch, Standard, Interactive).
    std::array<double, 3> recomputeWeight{20.0, 4.0, 1.0};
    bool mayImport = true;
    std::mt19937_64 random{1};
};

// Always imports the stored copy if there is one; otherwise as PredictedPolicy.
struct AlwaysImportPolicy
{
    PredictedPolicy base;
};

// Never imports; otherwise as PredictedPolicy.
struct NeverImportPolicy
{
    PredictedPolicy base;
};

struct RoundRobinPolicy
{
    size_t next = 0;
};

struct LeastLoadedPolicy
{
};

// Places a prompt by rendezvous hashing, whatever the load.
struct StickyHashPolicy
{
};

using Policy = std::variant<PredictedPolicy, AlwaysImportPolicy, NeverImportPolicy, RoundRobinPolicy, LeastLoadedPolicy, StickyHashPolicy>;

// Returns the policy called `name` (predicted, always_import, never_import, round_robin, least_loaded, sticky_hash).
// Returns `BadRequest` for another name.
Result<Policy> policyFromName(const std::string &name);

// State of a store's link as last reported.
struct LinkState
{
    bool usable = false;
    Duration wait{};
    double bytesPerSecond = 1;
    Duration evictionAge{-1};
};

// What a policy may look at.
struct PolicyInput
{
    const TargetTable &targets;
    // Targets that may take the request now and have a free slot.
    const std::vector<TargetIndex> &candidates;
    // Null if the prompt is not known.
    const PromptRecord *prompt;
    // Link of the store that holds a copy; null if there is none.
    const LinkState *copyLink;
    double cacheBytesPerToken = 0;
    // Time by which first tokens have lately come after their prediction.
    Duration lateness{};
};

struct Choice
{
    TargetIndex target = NoTarget;
    CacheSource source;
    Duration predicted{};
};

// Returns the best choice, or nothing if there are no candidates.
std::optional<Choice> choosePlacement(Policy &policy, const PolicyInput &input, const RequestInfo &request, Time now);

// Returns the tokens of the prompt that `target` is believed to hold.
int64_t cachedTokensAt(const PolicyInput &input, TargetIndex target);

// Returns the predicted time to first token on `target` with `source`.
Duration predictFirstToken(const PolicyInput &input, const RequestInfo &request, TargetIndex target, const CacheSource &source);

} // namespace pimentosail
