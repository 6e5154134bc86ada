// The state of each target as seen by this host: availability, load, health, whether it is cold, and its limit while it
// ramps up after a cold start.
//
//     TargetTable targets;
//     TargetIndex index = targets.describe(description, now);
//     targets.report(index, report, now);
//     bool usable = targets.usabilityOf(index, version, now) == TargetUsability::Usable;
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
enum class TargetUsability {
    Usable,
    Leaving,
    Removed,
    NeverReported,
    ReportTooOld,
    Excluded,
    NoSlots,
    WrongVersion,
    Loading,
};

// Returns the name of `usability` for dumps.
const char *targetUsabilityName(TargetUsability usability);

constexpr size_t PriorityCount = 3;

struct Target
{
    TargetDescription description;
    TargetReport report;
    Time reportedAt{-1};
    // Requests that this host has sent to the target and that have not ended.
    int64_t inFlight = 0;
    // Peaks of `inFlight` since the last report and in the interval before it. If a report shows more running requests than
    // these, the rest (`unattributedInFlight`) were sent by an earlier owner or are being cancelled.
    int64_t recentPeak = 0;
    int64_t earlierPeak = 0;
    int64_t unattributedInFlight = 0;
    // Times until which the slots of ended attempts still count as occupied, because the target may not have noticed the
    // end yet.
    std::vector<Time> endedAttemptSlots;
    // In-flight requests with priority Batch.
    int64_t batchInFlight = 0;
    // Prompt tokens that this host has sent and that are not prefilled yet, by priority.
    std::array<int64_t, PriorityCount> pendingTokens{};
    int64_t suspectsInFlight = 0;
    // For a remote target: the values of the owner's last summary, plus the requests forwarded since.
    int64_t remoteInFlight = 0;
    std::array<int64_t, PriorityCount> remoteQueuedTokens{};
    int64_t remoteSlots = 0;
    // Smoothed rate, updated from the times of first tokens.
    double prefillTokensPerSecond = 0;
    // Failures in a row, and the exclusion that follows from them. `probing` is true while the one request that tests a
    // failing target is in flight.
    int consecutiveFailures = 0;
    Time excludedUntil{-1};
    bool probing = false;
    // State of the ramp after a cold start. `coldByEvidence` is set if first tokens are much later than predicted, although
    // the target does not report itself as cold.
    bool coldByEvidence = false;
    Time warmSince{-1};
    bool rampActive = false;
    int lateFirstTokens = 0;
    // Cache contents last used at or before this time are taken as evicted.
    Time evictedBefore{-1};
    // Last use of the last block of each prompt; when such a block is evicted, it becomes the new `evictedBefore`.
    std::unordered_map<uint64_t, Time> lastBlockUses;
};

class TargetTable
{
public:
    // Adds or updates a target by name; returns its index.
    TargetIndex describe(const TargetDescription &description, Time now);

    // Stores a load report. Returns true if the target has restarted since the last one.
    bool report(TargetIndex index, const TargetReport &report, Time now);

    // Returns why the target can or cannot take new work of weight version `version` (0: any).
    TargetUsability usabilityOf(TargetIndex index, int64_t version, Time now) const;

    // Returns how many requests may be in flight on the target now: the smallest of its cold or warm limit, the limit of its
    // ramp, and the slots that this host may use. For a remote target, the slots that its owner has reported.
    int64_t limit(TargetIndex index, Time now) const;

    // Record a success or a failure of the target. Several failures in a row exclude it for a time that doubles with each
    // further one.
    void recordSuccess(TargetIndex index);
    void recordFailure(TargetIndex index, Time now);

    // Records that a first token took `actual` instead of `predicted`. Several in a row that are much too late mark the target
    // as cold. Returns true if this one did.
    bool recordFirstToken(TargetIndex index, Duration predicted, Duration actual, Time now);

    // Updates the prefill rate from a prompt that did not wait behind others: `length` is its time to first token.
    void updatePrefillRate(TargetIndex index, int64_t computedTokens, Duration length);

    // Records that the prompt that ends with `lastBlock` was used on the target.
    void recordBlockUse(TargetIndex index, uint64_t lastBlock, Time now);

    // Records an evicted block. Everything last used before it is taken as evicted too, because targets evict the least
    // recently used blocks first.
    void recordBlockEviction(TargetIndex index, uint64_t block);

    // Returns the estimated prompt tokens that are prefilled before those of a new request of `priority`.
    int64_t queuedTokens(TargetIndex index, Priority priority) const;

    // Keeps the slot of an attempt that ended early occupied for a while if the target is cold, because the target may still be
    // running it.
    void keepSlot(TargetIndex index, Time now);

    // Returns the occupied slots: this host's own requests, those of others by the last report, and slots kept by `keepSlot`.
    int64_t inFlight(TargetIndex index, Time now) const;

    // Returns the prefill rate in tokens per second, at least 1.
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
