// Chooses the target of a request.
//
// The cost of a target for a prompt is the number of prompt tokens that the target has to process before it produces
// this prompt's first token: the tokens that are queued there and the tokens of this prompt that are not expected to be
// in its cache. The preferred target of a prompt is the one that rendezvous hashing ranks first for its last shared
// block; any other target has to fetch the prompt's blocks or compute them again.
// Some targets mostly serve prompts with long answers, because long prompts slow down the answers that an engine
// generates at the same time (see `WorkMix`). Under mixed load (see `MixedLoad`) there are no such targets; the cost then
// includes the order in which the target reads prompts, and how much this prompt delays the others there.
// A plain request (one without a prompt) goes to the target with the fewest requests per slot, preferably in the local
// zone.
//
//     std::optional<TargetChoice> choice = pickTarget(query, candidates);
//
// `pickTarget` depends only on its arguments and is thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/directory/directory.h"
#include "pimentosail/dispatch/mixedload.h"
#include "pimentosail/dispatch/workmix.h"

namespace pimentosail
{

// `PickQuery::sampleSize` under mixed load. In the time between two reports, all hosts together send about as many requests as there
// are targets, so those that compare many targets choose the same ones.
constexpr size_t MixedSampleSize = 3;

// A target and its load as far as this host knows it.
struct Candidate
{
    TargetPointer target;
    int64_t version = 0;
    // Requests in flight and prompt tokens that the target still has to process, of all hosts as far as known.
    double requests = 0;
    double pendingTokens = 0;
    // Prompt tokens of late requests (expected to miss their target latency), which run at a lower priority than all
    // others; not part of `pendingTokens`.
    double lateTokens = 0;
    // Cache memory that the requests in flight need and that the target has, in tokens, and the number of requests that
    // the target runs at once; 0 if unknown.
    double heldTokens = 0;
    double capacityTokens = 0;
    int maxRuns = 0;
    // Time that the target takes for its work, as a multiple of what is usual. Used under mixed load only.
    double speed = 1;
    // The target may get no request until `nextSend`.
    bool isAtLimit = false;
    Time nextSend{};
};

struct PickQuery
{
    // ID of the prompt block that determines the preferred target; empty for a plain request.
    std::string affinity;
    // Tokens of that block, which only the preferred target is expected to have in its cache.
    int64_t affinityTokens = 0;
    // Cache memory that the prompt and its answer need, in tokens.
    double heldTokens = 0;
    // Zones of the cache stores that hold the block; a target in another zone takes twice as long to fetch it.
    std::set<std::string> cacheZones;
    std::string localZone;
    // Lane of the prompt's route, and the fraction of the targets that the lane of long answers should have.
    Lane lane = Lane::Any;
    double longAnswerShare = 0;
    // Set under mixed load, and then: tokens that a target has to read, target latency of the route, and number of preferred
    // targets, of which the prompt gets one at random.
    std::optional<MixedProfile> mixed;
    double prefillTokens = 0;
    Duration targetLatency{};
    size_t preferredTargets = 1;
    // Under mixed load: the host's key in this interval (see `windowKey`), and the number of hosts. No windows are used if it is 0.
    uint64_t window = 0;
    size_t hosts = 0;
    // With windows: the prompt cannot be on time any more, and the time until its caller's deadline.
    bool isLate = false;
    Duration timeLeft{};
    // Weight version that new work should use, and the oldest one on which work may begin.
    int64_t newestVersion = 0;
    int64_t oldestVersion = 0;
    // Number of targets to compare, drawn at random from those that differ only in their load; the preferred target is
    // always compared as well. Zero compares all. A sample keeps many hosts that see the same load from all choosing the
    // same target.
    size_t sampleSize = 0;
    // IDs of the targets to which this request was sent already.
    std::set<std::string> triedTargets;
    // Uniformly distributed random number that decides the sample, the order of equal targets, and probes.
    uint64_t draw = 0;
};

// The target that was chosen for a request, with its load when it was chosen.
struct TargetChoice
{
    TargetPointer target;
    int64_t version = 0;
    // Prompt tokens that the target has to process before this prompt, and those that it processes after it but before a late
    // prompt, late requests included.
    double pendingTokens = 0;
    double lateTokens = 0;
    // Share of the target's cache memory that its present runs hold; 0 if unknown.
    double heldShare = 0;
    // The target is the preferred target of the prompt.
    bool isPreferred = false;
    double speed = 1;
};

// Returns the candidate with the lowest cost, or nothing if no candidate may be used, or with windows none is open to this host now.
std::optional<TargetChoice> pickTarget(const PickQuery &query, const std::vector<Candidate> &candidates);

} // namespace pimentosail
