#include "pimentosail/delivery/evidence.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace pimentosail
{

namespace
{

// A version is bad if its count of failures or slow answers would arise from the old versions' share with this probability at most. Some hundred
// hardly dependent looks are taken at a delivery, so this finds one good version in a thousand bad. With a fifth of its answers failing, a version is
// found bad after about 12 failures; operators count 50.
constexpr double BadProbability = 1e-5;
// The same for one look at the moment of the switch or of completion.
constexpr double SuspicionProbability = 2e-3;
// The same for a version of which too little is known, where the old versions do have such answers.
constexpr double ExplainedProbability = 2e-2;
// A version is good if it would show as few failures and slow answers with this probability at most in case `NoticeableExcess` more than ordinary
// were bad.
constexpr double OverlookProbability = 0.05;
constexpr double NoticeableExcess = 0.1;
// A share that counts as ordinary for any version, and by how much the old versions' measured share is raised.
constexpr double MinOrdinaryShare = 0.01;
constexpr double OrdinaryFactor = 1.25;
constexpr double MaxOrdinaryShare = 0.95;

// Periods over which versions are compared beside the whole time since the order.
constexpr std::array<Duration, 2> Windows = {std::chrono::seconds(2), std::chrono::seconds(5)};
constexpr Duration LongestWindow = std::chrono::seconds(5);
constexpr Duration SnapshotInterval = Milliseconds(100);
// First answers of new targets may be slow because caches and connections are empty. Slow answers do not count in this time after the first answer.
constexpr Duration WarmUp = Milliseconds(1500);
// In the switch, all other new targets get their first requests. If the version was fast while it was watched, slow answers count after this time.
constexpr Duration SwitchWarmUp = Milliseconds(400);
constexpr double SwitchSlowMargin = 0.1;

// Answers of both versions on one route with the number of those that are bad in one respect.
struct Comparison
{
    double newAnswers = 0;
    double newBad = 0;
    double oldAnswers = 0;
    double oldBad = 0;
};

using Comparisons = std::map<std::string, Comparison>;
using Routes = std::map<std::string, RouteOutcomes>;

enum class Respect {
    Failures,
    Slow,
    VerySlow,
};

constexpr std::array<std::string_view, 3> RespectNames = {"failures", "slow answers", "very slow answers"};

int64_t countOf(const OutcomeCounts &counts, Respect respect)
{
    switch (respect) {
    case Respect::Failures:
        return counts.failures;
    case Respect::Slow:
        return counts.slow;
    case Respect::VerySlow:
        break;
    }
    return counts.verySlow;
}

// What the comparison in one respect showed.
struct Finding
{
    // The least probability of a route or of all routes together, where the margin is exceeded.
    double probability = 1;
    std::string reason;
    bool isGood = false;
    bool hasBadAnswers = false;

    bool isAtMost(double limit) const
    {
        return this->probability <= limit;
    }
};

// Returns an upper bound (Chernoff's) of the probability of `bad` or more bad answers among `answers`, if each is bad with the probability `share`.
// At 9 of 40 and a share of 0.03 it is seven times the exact value. 1 if `bad` is not more than expected.
double upperTail(double bad, double answers, double share)
{
    if (answers <= 0 || bad <= share * answers) {
        return 1;
    }
    if (share <= 0) {
        return 0;
    }
    const double actual = bad / answers;
    double divergence = actual * std::log(actual / share);
    if (actual < 1) {
        divergence += (1 - actual) * std::log((1 - actual) / (1 - share));
    }
    return std::exp(-answers * divergence);
}

// The same for `bad` or fewer bad answers.
double lowerTail(double bad, double answers, double share)
{
    return upperTail(answers - bad, answers, 1 - share);
}

// Returns the share of bad answers that is ordinary after what the old versions show: their share by the rule of succession, a standard deviation
// more, and a quarter. With few answers of the old versions it is large, so that a version is not judged without a comparison.
double ordinaryShare(const Comparison &comparison)
{
    const double samples = comparison.oldAnswers + 2;
    const double share = (comparison.oldBad + 1) / samples;
    const double upper = share + std::sqrt(share * (1 - share) / samples);
    return std::clamp(upper * OrdinaryFactor, MinOrdinaryShare, MaxOrdinaryShare);
}

double shareOf(double bad, double answers)
{
    return answers > 0 ? bad / answers : 0;
}

std::string percent(double share)
{
    return std::to_string(std::lround(share * 1000) / 10) + "." + std::to_string(std::lround(share * 1000) % 10) + " %";
}

std::string describe(const std::string &route, const Comparison &comparison, Respect respect)
{
    const std::string kind(RespectNames.at(static_cast<size_t>(respect)));
    const double oldShare = shareOf(comparison.oldBad, comparison.oldAnswers);
    return (route.empty() ? std::string("all routes: ") : "route " + route + ": ") + std::to_string(std::lround(comparison.newBad)) + " " + kind + " in "
        + std::to_string(std::lround(comparison.newAnswers)) + " answers, old versions " + percent(oldShare) + " of "
        + std::to_string(std::lround(comparison.oldAnswers));
}

// Returns true if the old versions, which have `oldShare` of such answers, hardly have so many. One slow answer alone may have an accidental cause.
bool areUnexplained(const Comparison &comparison, double oldShare, Respect respect)
{
    const double least = respect == Respect::Failures ? 1 : 2;
    return comparison.newBad >= least && upperTail(comparison.newBad, comparison.newAnswers, oldShare) <= ExplainedProbability;
}

void note(Finding &finding, const std::string &route, const Comparison &comparison, Respect respect, double ordinary, double margin)
{
    if (shareOf(comparison.newBad, comparison.newAnswers) - shareOf(comparison.oldBad, comparison.oldAnswers) < margin) {
        return;
    }
    const double probability = upperTail(comparison.newBad, comparison.newAnswers, ordinary);
    if (probability < finding.probability) {
        finding.probability = probability;
        finding.reason = describe(route, comparison, respect);
    }
}

Finding compare(const Comparisons &routes, Respect respect, double margin)
{
    Finding finding;
    Comparison all;
    // The shares of the routes by the new version's answers, since the versions may serve them in different proportions.
    double ordinary = 0;
    double expectedBad = 0;
    double oldBad = 0;
    for (const auto &[route, comparison] : routes) {
        const double routeOrdinary = ordinaryShare(comparison);
        note(finding, route, comparison, respect, routeOrdinary, margin);
        all.newAnswers += comparison.newAnswers;
        all.newBad += comparison.newBad;
        all.oldAnswers += comparison.oldAnswers;
        ordinary += comparison.newAnswers * routeOrdinary;
        expectedBad += comparison.newAnswers * shareOf(comparison.oldBad, comparison.oldAnswers);
        oldBad += comparison.oldBad;
    }
    for (const auto &[route, comparison] : routes) {
        // On a rare route, the old versions may have none by chance.
        const double oldShare = std::max(shareOf(comparison.oldBad, comparison.oldAnswers), shareOf(oldBad, all.oldAnswers));
        finding.hasBadAnswers = finding.hasBadAnswers || areUnexplained(comparison, oldShare, respect);
    }
    if (all.newAnswers > 0) {
        all.oldBad = expectedBad / all.newAnswers * all.oldAnswers;
        const double allOrdinary = ordinary / all.newAnswers;
        note(finding, "", all, respect, allOrdinary, margin);
        finding.hasBadAnswers = finding.hasBadAnswers || areUnexplained(all, shareOf(all.oldBad, all.oldAnswers), respect);
        finding.isGood = lowerTail(all.newBad, all.newAnswers, std::min(allOrdinary + NoticeableExcess, MaxOrdinaryShare)) <= OverlookProbability;
    }
    return finding;
}

Comparisons toComparisons(const Routes &routes, Respect respect)
{
    Comparisons comparisons;
    for (const auto &[route, outcomes] : routes) {
        const OutcomeCounts &fresh = outcomes.newVersion;
        const OutcomeCounts &old = outcomes.oldVersions;
        comparisons[route] = {static_cast<double>(fresh.answers), static_cast<double>(countOf(fresh, respect)), static_cast<double>(old.answers),
            static_cast<double>(countOf(old, respect))};
    }
    return comparisons;
}

// Replaces the old versions' counts by those of `whole` or `recent`, of which their share of bad answers is larger.
void useFormerBaseline(Comparisons &routes, const Comparisons &whole, const Comparisons &recent)
{
    const auto find = [](const Comparisons &from, const std::string &route) {
        const auto found = from.find(route);
        return found == from.end() ? Comparison() : found->second;
    };
    for (auto &[route, comparison] : routes) {
        const Comparison all = find(whole, route);
        const Comparison last = find(recent, route);
        const Comparison &baseline = last.oldBad * all.oldAnswers > all.oldBad * last.oldAnswers ? last : all;
        comparison.oldAnswers = baseline.oldAnswers;
        comparison.oldBad = baseline.oldBad;
    }
}

EvidenceSummary summarize(const Routes &routes)
{
    EvidenceSummary summary;
    for (const auto &[route, outcomes] : routes) {
        summary.newAnswers += outcomes.newVersion.answers;
        summary.newFailures += outcomes.newVersion.failures;
        summary.newSlow += outcomes.newVersion.slow;
        summary.oldAnswers += outcomes.oldVersions.answers;
        summary.oldFailures += outcomes.oldVersions.failures;
        summary.oldSlow += outcomes.oldVersions.slow;
    }
    return summary;
}

// Returns `later` without what `earlier` had.
Routes difference(const Routes &later, const Routes &earlier)
{
    Routes result = later;
    for (const auto &[route, outcomes] : earlier) {
        const auto found = result.find(route);
        if (found != result.end()) {
            found->second.newVersion -= outcomes.newVersion;
            found->second.oldVersions -= outcomes.oldVersions;
        }
    }
    return result;
}

bool isLess(const OutcomeCounts &left, const OutcomeCounts &right)
{
    return left.answers < right.answers || left.failures < right.failures || left.slow < right.slow || left.verySlow < right.verySlow;
}

// Returns true if some count of `later` is less than in `earlier`, as after a change to a relay that has heard less.
bool hasDecreased(const Routes &later, const Routes &earlier)
{
    return std::any_of(earlier.begin(), earlier.end(), [&later](const auto &entry) {
        const auto found = later.find(entry.first);
        return found == later.end() || isLess(found->second.newVersion, entry.second.newVersion) || isLess(found->second.oldVersions, entry.second.oldVersions);
    });
}

// Joins findings of several periods and respects into a verdict. `failures` and `slow` are those of the whole time.
Evidence conclude(const std::vector<Finding> &findings, const Finding &failures, const Finding &slow, const EvidenceSummary &summary)
{
    Evidence evidence;
    evidence.summary = summary;
    const auto worst = std::min_element(findings.begin(), findings.end(), [](const Finding &a, const Finding &b) { return a.probability < b.probability; });
    evidence.isSuspicious = worst != findings.end() && worst->isAtMost(SuspicionProbability);
    evidence.hasBadAnswers = failures.hasBadAnswers || slow.hasBadAnswers;
    evidence.reason = std::to_string(summary.newAnswers) + " answers with " + std::to_string(summary.newFailures) + " failures and "
        + std::to_string(summary.newSlow) + " slow ones, old versions " + std::to_string(summary.oldAnswers) + " with " + std::to_string(summary.oldFailures)
        + " and " + std::to_string(summary.oldSlow);
    if (worst != findings.end() && worst->isAtMost(BadProbability)) {
        evidence.verdict = EvidenceVerdict::Bad;
        evidence.reason = worst->reason;
    } else if (failures.isGood && slow.isGood) {
        evidence.verdict = EvidenceVerdict::Good;
    }
    if (evidence.isSuspicious) {
        evidence.reason = worst->reason;
    }
    return evidence;
}

} // namespace

std::string_view evidenceVerdictName(EvidenceVerdict verdict)
{
    constexpr std::array<std::string_view, 3> Names = {"good", "bad", "too_few"};
    return Names.at(static_cast<size_t>(verdict));
}

Evidence judgeOutcomes(const std::map<std::string, RouteOutcomes> &routes, const EvidenceMargins &margins)
{
    const Finding failures = compare(toComparisons(routes, Respect::Failures), Respect::Failures, margins.failures);
    const Finding slow = compare(toComparisons(routes, Respect::Slow), Respect::Slow, margins.slow);
    const Finding verySlow = compare(toComparisons(routes, Respect::VerySlow), Respect::VerySlow, margins.verySlow);
    return conclude({failures, slow, verySlow}, failures, slow, summarize(routes));
}

EvidenceWindows::EvidenceWindows(std::string serviceName, std::string newVersionName)
    : service(std::move(serviceName))
    , newVersion(std::move(newVersionName))
{
}

void EvidenceWindows::record(const std::vector<OutcomeRow> &totals, Time now)
{
    Snapshot snapshot{.at = now};
    int64_t newAnswers = 0;
    for (const OutcomeRow &row : totals) {
        if (row.key.service != this->service) {
            continue;
        }
        RouteOutcomes &outcomes = snapshot.routes[row.key.route];
        const bool isNew = row.key.version == this->newVersion;
        (isNew ? outcomes.newVersion : outcomes.oldVersions) += row.counts;
        newAnswers += isNew ? row.counts.answers : 0;
    }
    if (hasDecreased(snapshot.routes, this->latest.routes)) {
        this->snapshots.clear();
        if (this->warm) {
            this->warm = snapshot;
        }
    }
    this->latest = snapshot;
    if (newAnswers > 0 && !this->warmAt) {
        this->warmAt = now + WarmUp;
    }
    if (this->warmAt && now >= *this->warmAt && !this->warm) {
        this->warm = snapshot;
    }
    if (this->snapshots.empty() || now >= this->snapshots.back().at + SnapshotInterval) {
        this->snapshots.push_back(std::move(snapshot));
    }
    // The second is the start of the longest window then.
    while (this->snapshots.size() > 1 && this->snapshots[1].at + LongestWindow <= now) {
        this->snapshots.pop_front();
    }
}

void EvidenceWindows::enterSwitch()
{
    this->beforeSwitch = this->since(LongestWindow);
    this->warmBeforeSwitch = this->sinceWarmUp(Duration(0));
    if (this->wasFastWhileWatched) {
        this->warmAt = this->latest.at + SwitchWarmUp;
        this->warm.reset();
    } else if (!this->warm) {
        // There is no time left for a warm-up, so everything counts.
        this->warm = Snapshot();
        this->warmBeforeSwitch = this->latest.routes;
    }
}

Evidence EvidenceWindows::judge(DeliveryPhase phase)
{
    const bool isSwitching = phase == DeliveryPhase::Switching;
    if (isSwitching && !this->beforeSwitch) {
        this->enterSwitch();
    }
    EvidenceMargins margins;
    if (isSwitching) {
        margins.slow = SwitchSlowMargin;
    }
    const auto compareRoutes = [&](const Routes &routes, const Routes &former, Respect respect, double margin) {
        Comparisons comparisons = toComparisons(routes, respect);
        if (isSwitching) {
            useFormerBaseline(comparisons, toComparisons(former, respect), toComparisons(*this->beforeSwitch, respect));
        }
        return compare(comparisons, respect, margin);
    };
    const Routes &whole = this->latest.routes;
    const Finding failures = compareRoutes(whole, whole, Respect::Failures, margins.failures);
    std::vector<Finding> findings = {failures};
    for (const Duration window : Windows) {
        findings.push_back(compareRoutes(this->since(window), whole, Respect::Failures, margins.failures));
    }
    Finding slow;
    for (const Duration window : {Duration(0), Windows[0], Windows[1]}) {
        const Routes warmRoutes = this->sinceWarmUp(window);
        findings.push_back(compareRoutes(warmRoutes, this->warmBeforeSwitch, Respect::Slow, margins.slow));
        if (window == Duration(0)) {
            slow = findings.back();
        }
        findings.push_back(compareRoutes(warmRoutes, this->warmBeforeSwitch, Respect::VerySlow, margins.verySlow));
    }
    if (phase == DeliveryPhase::Watching) {
        this->wasFastWhileWatched = slow.isGood;
    }
    slow.isGood = slow.isGood || (isSwitching && this->wasFastWhileWatched);
    Evidence evidence = conclude(findings, failures, slow, summarize(whole));
    if (evidence.verdict == EvidenceVerdict::Bad && this->badReason.empty()) {
        this->badReason = evidence.reason;
    }
    if (!this->badReason.empty()) {
        evidence.verdict = EvidenceVerdict::Bad;
        evidence.isSuspicious = true;
        evidence.reason = this->badReason;
    }
    return evidence;
}

const EvidenceWindows::Snapshot *EvidenceWindows::startOf(Duration window) const
{
    // The latest one that is old enough; the first one if the window began before it.
    const auto found
        = std::find_if(this->snapshots.rbegin(), this->snapshots.rend(), [&](const Snapshot &snapshot) { return snapshot.at + window <= this->latest.at; });
    return found != this->snapshots.rend() ? &*found : this->snapshots.empty() ? nullptr : &this->snapshots.front();
}

EvidenceWindows::Routes EvidenceWindows::since(Duration window) const
{
    const Snapshot *const start = this->startOf(window);
    return start == nullptr ? this->latest.routes : difference(this->latest.routes, start->routes);
}

EvidenceWindows::Routes EvidenceWindows::sinceWarmUp(Duration window) const
{
    if (!this->warm) {
        return {};
    }
    const Snapshot *const start = window > Duration(0) ? this->startOf(window) : nullptr;
    return difference(this->latest.routes, (start != nullptr && start->at > this->warm->at ? *start : *this->warm).routes);
}

} // namespace pimentosail
