// What this host knows of each target: availability, load, health, warm or cold, and how it ramps up.
//
//     TargetTable targets;
//     TargetIndex index = targets.describe(description, now);
//     targets.report(index, report, now);
//     bool usable = targets.why(index, now) == TargetState::Usable;
//
// Not thread-safe.
#pragma once

#include <array>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "pimentosail/decision/types.h"

namespace pimentosail
{

// Why a target can or cannot take new work.
enum class TargetState {
    Usable,
    Leaving,
    Gone,
    NeverReported,
    ReportTooOld,
    Excluded,
    NoSlots,
    WrongVersion,
    Loading,
};

// Returns the name of `state` for dumps.
const char *targetStateName(TargetState state);

constexpr size_t PriorityCount = 3;

struct Target
{
    TargetDescription description;
    TargetReport report;
    Time reportedAt{-1};
    // Requests that this host has sent and that have not ended.
    int64_t inFlight = 0;
    // Peaks of `inFlight` since the last report and in the interval before it. Running requests that the report shows
    // beyond them were not sent by this host: they are those of an earlier owner, or are being cancelled.
    int64_t recentPeak = 0;
    int64_t earlierPeak = 0;
    int64_t foreignInFlight = 0;
    // Ends of the time for which a cancelled request still counts, because the target may not have noticed yet.
    std::vector<Time> heldSlots;
    // In-flight requests with priority Batch.
    int64_t batchInFlight = 0;
    // Prompt tokens that this host has sent and that wait to be prefilled, by priority.
    std::array<int64_t, PriorityCount> pendingTokens{};
    int64_t suspectsInFlight = 0;
    // For a remote target: the owner's summary, plus what was forwarded since.
    int64_t remoteInFlight = 0;
    std::array<int64_t, PriorityCount> remoteQueuedTokens{};
    int64_t remoteSlots = 0;
    // Learnt from first tokens.
    double prefillTokensPerSecond = 0;
    // Health of this target alone.
    int consecutiveFailures = 0;
    Time excludedUntil{-1};
    bool probing = false;
    // Ramp after a cold start.
    bool coldByEvidence = false;
    Time warmSince{-1};
    bool rampActive = false;
    int lateFirstTokens = 0;
    // Cache contents last used before this time are gone.
    Time evictedBefore{-1};
    // Last use of the last piece of each prompt, to tell from an evicted piece how far eviction has come.
    std::unordered_map<uint64_t, Time> pieceUses;
};

class TargetTable
{
public:
    // Adds or updates a target by name; returns its index.
    TargetIndex describe(const TargetDescription &description, Time now);

    // Takes a load report. Returns true if the target has restarted since the last one.
    bool report(TargetIndex index, const TargetReport &report, Time now);

    // Returns why the target can or cannot take new work of weight version `version` (0: any).
    TargetState why(TargetIndex index, int64_t version, Time now) const;

    // Returns how many requests may be in flight on the target now: its cold or warm limit, its ramp, and what this
    // host may use of it.
    int64_t limit(TargetIndex index, Time now) const;

    // Records a success or a failure of the target.
    void succeeded(TargetIndex index);
    void failed(TargetIndex index, Time now);

    // Records a first token that took `actual` where `predicted` was expected; several far too late ones mark the
    // target as cold. Returns true if it became cold by this evidence.
    bool firstToken(TargetIndex index, Duration predicted, Duration actual, Time now);

    // Learns the prefill rate from a prompt that nothing else held up.
    void prefillSeen(TargetIndex index, int64_t computedTokens, Duration length);

    // Notes that the prompt that ends with `lastPiece` was used on the target.
    void pieceUsed(TargetIndex index, uint64_t lastPiece, Time now);

    // Learns from an evicted piece that everything used before it is gone as well.
    void pieceEvicted(TargetIndex index, uint64_t piece);

    // Returns the prompt tokens that are prefilled before those of a new request of `priority`.
    int64_t queuedTokens(TargetIndex index, Priority priority) const;

    // Keeps the slot of a cancelled request on a cold target for a while.
    void holdSlot(TargetIndex index, Time now);

    // Returns the requests in flight, by the report and by this host's own count.
    int64_t inFlight(TargetIndex index, Time now) const;

    // Returns the prefill rate in tokens a second.
    double prefillRate(TargetIndex index) const;

    Target &at(TargetIndex index)
    {
        return this->targets.at(static_cast<size_t>(index));
    }
    const Target &at(TargetIndex index) const
    {
        return this->targets.at(static_cast<size_t>(index));
    }

    // Returns the index of the target called `name`, or NoTarget.
    TargetIndex find(const std::string &name) const;

    // Returns the targets that serve `model`.
    const std::vector<TargetIndex> &serving(const std::string &model) const;

    size_t size() const
    {
        return this->targets.size();
    }

private:
    void markCold(Target &target, Time now);

    std::vector<Target> targets;
    std::map<std::string, TargetIndex> byName;
    std::map<std::string, std::vector<TargetIndex>> byModel;
};

} // namespace pimentosail
