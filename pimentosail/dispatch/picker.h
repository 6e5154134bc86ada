// Chooses the target of a request.
//
// For a prompt, the cost of a target is the prompt tokens that it has to read before this prompt's first token:
// those waiting there and those of this prompt that it is not expected to have. A prompt's own target is the one that
// rendezvous hashing ranks first for its last part; on another target its parts have to be fetched or read again.
// Some targets are kept mostly for prompts with long answers, whose pauses long prompts would stretch.
// Plain requests go to the target with the fewest requests for its size, preferably in the own zone.
//
//     std::optional<Choice> choice = picker.pick(query, candidates);
//
// A pure function of its arguments; thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/directory/directory.h"
#include "pimentosail/dispatch/workmix.h"

namespace pimentosail
{

// A target with the load that is known of it.
struct Candidate
{
    TargetPointer target;
    int64_t version = 0;
    // Requests in flight and prompt tokens to be read there, over all hosts as far as known.
    double requests = 0;
    double pendingTokens = 0;
    // The part of them that belongs to requests which yield to all others.
    double lateTokens = 0;
    // Memory that the runs there need, what there is, and how many runs there can be at once; 0 if unknown.
    double heldTokens = 0;
    double capacityTokens = 0;
    int runs = 0;
    // A cold target that has had its share of requests for now.
    bool coldAndFull = false;
    // This host's share of requests a second for a cold target; negative if the target is warm.
    int coldShare = -1;
};

struct PickQuery
{
    // Name of the prompt part that decides its own target; empty for a plain request.
    std::string affinity;
    // Prompt tokens that only the own target is expected to have.
    int64_t ownTokens = 0;
    // Memory that the prompt and its answer need, in tokens.
    double heldTokens = 0;
    // Zones of the stores that have the deciding part; a target elsewhere takes twice as long to read it.
    std::set<std::string> cacheZones;
    std::string ownZone;
    // Kind of the prompt's work, and the part of the targets that those with long answers should have.
    Lane lane = Lane::Any;
    double longAnswerShare = 0;
    // Version that new work should use, and the oldest on which it may begin.
    int64_t newestVersion = 0;
    int64_t oldestVersion = 0;
    // Number of targets to compare, drawn at random from those that are equally good but for their load; the own target
    // is always compared. Zero compares all. Many hosts that see the same load would else all choose the same target.
    size_t sample = 0;
    // Targets that this request has tried.
    std::set<std::string> tried;
    // Uniform draw for ties and probes.
    uint64_t draw = 0;
};

struct Choice
{
    TargetPointer target;
    int64_t version = 0;
    // Prompt tokens to be read there before this prompt, and those of requests that yield to it.
    double pendingTokens = 0;
    double lateTokens = 0;
    bool isOwn = false;
};

// Returns the best candidate, or nothing if none may be used.
std::optional<Choice> pickTarget(const PickQuery &query, const std::vector<Candidate> &candidates);

} // namespace pimentosail
