#include "pimentosail/decision/targettable.h"

#include <algorithm>
#include <array>

#include "pimentosail/base/statelog.h"

namespace pimentosail
{

namespace
{

constexpr Duration ReportTooOldAfter = std::chrono::seconds(5);
constexpr int FailuresBeforeExclusion = 2;
// An exclusion lasts FirstExclusion and doubles with each further failure, up to LongestExclusion.
constexpr Duration FirstExclusion = std::chrono::seconds(1);
constexpr Duration LongestExclusion = std::chrono::seconds(30);
constexpr int MaxExclusionDoublings = 5;
// The limit doubles with each step of the ramp after a cold start, beginning at the cold limit.
constexpr Duration RampStep = std::chrono::seconds(2);
constexpr int MaxRampSteps = 10;
// Tokens per second, until the target reports a rate or one is measured.
constexpr double DefaultPrefillRate = 8000;
// Shorter prompts, in tokens, do not update the prefill rate.
constexpr int64_t MinPrefillSample = 4000;
// Weight of a new sample in the moving average of the prefill rate.
constexpr double PrefillRateGain = 0.1;
// Upper bound, in tokens, for the expected rest of a prefill that has begun.
constexpr int64_t MaxBegunPrefillTokens = 12'000;
// How long the slot of an attempt that ended early still counts as occupied on a cold target.
constexpr Duration EndedAttemptSlotTime = std::chrono::seconds(1);
// Recorded block uses per target; they are cleared when there are more.
constexpr size_t MaxBlockUses = 20'000;
// A first token is late if it takes more than LateFactor times its prediction and more than LateSlack beyond it. Several late
// ones in a row (LateCountBeforeCold) mark the target as cold.
constexpr int LateFactor = 4;
constexpr Duration LateSlack = std::chrono::seconds(1);
constexpr int LateCountBeforeCold = 3;
// How long a target that was marked in this way counts as cold.
constexpr Duration ColdByEvidenceTime = std::chrono::seconds(10);

constexpr std::array<const char *, 9> UsabilityNames{
    "usable",
    "leaving",
    "gone",
    "never_reported",
    "report_too_old",
    "excluded",
    "no_slots",
    "wrong_version",
    "loading",
};

} // namespace

const char *tierName(Tier tier)
{
    return tier == Tier::Memory ? "memory" : "disk";
}

const char *sourceName(SourceKind kind)
{
    switch (kind) {
    case SourceKind::Recompute:
        return "recompute";
    case SourceKind::TargetCache:
        return "target_cache";
    case SourceKind::StoreImport:
        return "store_import";
    }
    return "unknown";
}

const char *targetUsabilityName(TargetUsability usability)
{
    return UsabilityNames.at(static_cast<size_t>(usability));
}

TargetIndex TargetTable::describe(const TargetDescription &description, Time now)
{
    const auto found = this->byName.find(description.name);
    if (found != this->byName.end()) {
        Target &target = this->at(found->second);
        const bool hasReturned = target.description.availability != TargetAvailability::Live && description.availability == TargetAvailability::Live;
        target.description = description;
        if (hasReturned) {
            target.rampActive = true;
            target.warmSince = now;
        }
        return found->second;
    }
    const auto index = static_cast<TargetIndex>(this->targets.size());
    Target target;
    target.description = description;
    target.prefillTokensPerSecond = DefaultPrefillRate;
    this->targets.push_back(std::move(target));
    this->byName.emplace(description.name, index);
    this->byModel[description.model].push_back(index);
    return index;
}

void TargetTable::markCold(Target &target, Time now)
{
    target.evictedBefore = now;
    target.rampActive = true;
    target.warmSince = now;
}

bool TargetTable::report(TargetIndex index, const TargetReport &report, Time now)
{
    Target &target = this->at(index);
    const bool restarted = !target.report.boot.empty() && target.report.boot != report.boot;
    if (restarted) {
        this->markCold(target, now);
        target.excludedUntil = Time(-1);
        target.consecutiveFailures = 0;
        logStateChange("target_restarted", {{"target", target.description.name}, {"boot", report.boot}});
    }
    if (report.cold) {
        target.rampActive = true;
        target.warmSince = now;
    }
    if (target.coldByEvidence && now - target.warmSince > ColdByEvidenceTime) {
        target.coldByEvidence = false;
        target.warmSince = now;
    }
    if (report.evictionAge >= Duration(0)) {
        target.evictedBefore = std::max(target.evictedBefore, now - report.evictionAge);
    }
    if (report.prefillTokensPerSecond > 0 && target.reportedAt < Time(0)) {
        target.prefillTokensPerSecond = report.prefillTokensPerSecond;
    }
    target.unattributedInFlight = std::max<int64_t>(0, report.running - std::max(target.recentPeak, target.earlierPeak));
    target.earlierPeak = target.recentPeak;
    target.recentPeak = target.inFlight;
    target.report = report;
    target.reportedAt = now;
    return restarted;
}

TargetUsability TargetTable::usabilityOf(TargetIndex index, int64_t version, Time now) const
{
    const Target &target = this->at(index);
    if (target.description.availability == TargetAvailability::Removed) {
        return TargetUsability::Removed;
    }
    if (target.description.availability == TargetAvailability::Leaving) {
        return TargetUsability::Leaving;
    }
    if (target.reportedAt < Time(0)) {
        return TargetUsability::NeverReported;
    }
    if (now - target.reportedAt > ReportTooOldAfter) {
        return TargetUsability::ReportTooOld;
    }
    if (now < target.excludedUntil || (target.consecutiveFailures >= FailuresBeforeExclusion && target.probing)) {
        return TargetUsability::Excluded;
    }
    if (target.description.remote) {
        return target.remoteSlots > 0 ? TargetUsability::Usable : TargetUsability::NoSlots;
    }
    if (target.report.loading) {
        return TargetUsability::Loading;
    }
    if (version != 0 && target.report.version != 0 && target.report.version != version) {
        return TargetUsability::WrongVersion;
    }
    return target.description.usableSlots > 0 ? TargetUsability::Usable : TargetUsability::NoSlots;
}

int64_t TargetTable::limit(TargetIndex index, Time now) const
{
    const Target &target = this->at(index);
    if (target.description.remote) {
        return target.remoteSlots;
    }
    const bool cold = target.report.cold || target.coldByEvidence;
    int64_t limit = cold ? target.description.coldLimit : target.description.warmLimit;
    if (!cold && target.rampActive) {
        const auto steps = static_cast<int>(std::min<int64_t>((now - target.warmSince) / RampStep, MaxRampSteps));
        limit = std::min(limit, std::max<int64_t>(1, target.description.coldLimit) << steps);
    }
    return std::min(limit, target.description.usableSlots);
}

void TargetTable::recordSuccess(TargetIndex index)
{
    Target &target = this->at(index);
    target.consecutiveFailures = 0;
    target.excludedUntil = Time(-1);
    target.probing = false;
}

void TargetTable::recordFailure(TargetIndex index, Time now)
{
    Target &target = this->at(index);
    ++target.consecutiveFailures;
    target.probing = false;
    if (target.consecutiveFailures < FailuresBeforeExclusion) {
        return;
    }
    const int doublings = std::min(target.consecutiveFailures - FailuresBeforeExclusion, MaxExclusionDoublings);
    target.excludedUntil = now + std::min(FirstExclusion * (1 << doublings), LongestExclusion);
    logStateChange("target_excluded", {{"target", target.description.name}, {"failures", std::to_string(target.consecutiveFailures)}});
}

bool TargetTable::recordFirstToken(TargetIndex index, Duration predicted, Duration actual, Time now)
{
    Target &target = this->at(index);
    const bool late = actual > predicted * LateFactor && actual > predicted + LateSlack;
    if (!late) {
        target.lateFirstTokens = 0;
        return false;
    }
    ++target.lateFirstTokens;
    if (target.lateFirstTokens < LateCountBeforeCold || target.coldByEvidence) {
        return false;
    }
    target.coldByEvidence = true;
    target.lateFirstTokens = 0;
    this->markCold(target, now);
    logStateChange("target_cold_by_evidence", {{"target", target.description.name}});
    return true;
}

void TargetTable::updatePrefillRate(TargetIndex index, int64_t computedTokens, Duration length)
{
    if (computedTokens < MinPrefillSample || length <= Duration(0)) {
        return;
    }
    Target &target = this->at(index);
    const double rate = static_cast<double>(computedTokens) / toSeconds(length);
    target.prefillTokensPerSecond += PrefillRateGain * (rate - target.prefillTokensPerSecond);
}

void TargetTable::recordBlockUse(TargetIndex index, uint64_t lastBlock, Time now)
{
    std::unordered_map<uint64_t, Time> &uses = this->at(index).lastBlockUses;
    if (uses.size() >= MaxBlockUses) {
        uses.clear();
    }
    uses[lastBlock] = now;
}

void TargetTable::recordBlockEviction(TargetIndex index, uint64_t block)
{
    Target &target = this->at(index);
    const auto found = target.lastBlockUses.find(block);
    if (found == target.lastBlockUses.end()) {
        return;
    }
    target.evictedBefore = std::max(target.evictedBefore, found->second);
    target.lastBlockUses.erase(found);
}

int64_t TargetTable::queuedTokens(TargetIndex index, Priority priority) const
{
    const Target &target = this->at(index);
    const std::array<int64_t, PriorityCount> &pending = target.description.remote ? target.remoteQueuedTokens : target.pendingTokens;
    int64_t ahead = 0;
    int64_t behind = 0;
    for (size_t level = 0; level < PriorityCount; ++level) {
        (level >= static_cast<size_t>(priority) ? ahead : behind) += pending.at(level);
    }
    // A prefill of lower priority that has begun runs to its end before the new request.
    return ahead + std::min(behind, MaxBegunPrefillTokens);
}

void TargetTable::keepSlot(TargetIndex index, Time now)
{
    Target &target = this->at(index);
    std::vector<Time> &kept = target.endedAttemptSlots;
    kept.erase(std::remove_if(kept.begin(), kept.end(), [now](Time end) { return end <= now; }), kept.end());
    if (target.report.cold || target.coldByEvidence) {
        kept.push_back(now + EndedAttemptSlotTime);
    }
}

int64_t TargetTable::inFlight(TargetIndex index, Time now) const
{
    const Target &target = this->at(index);
    if (target.description.remote) {
        return target.remoteInFlight;
    }
    const auto kept = std::count_if(target.endedAttemptSlots.begin(), target.endedAttemptSlots.end(), [now](Time end) { return end > now; });
    return target.inFlight + target.unattributedInFlight + kept;
}

double TargetTable::prefillRate(TargetIndex index) const
{
    return std::max(this->at(index).prefillTokensPerSecond, 1.0);
}

TargetIndex TargetTable::find(const std::string &name) const
{
    const auto found = this->byName.find(name);
    return found == this->byName.end() ? NoTarget : found->second;
}

const std::vector<TargetIndex> &TargetTable::serving(const std::string &model) const
{
    static const std::vector<TargetIndex> none;
    const auto found = this->byModel.find(model);
    return found == this->byModel.end() ? none : found->second;
}

} // namespace pimentosail
