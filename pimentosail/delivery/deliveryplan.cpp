#include "pimentosail/delivery/deliveryplan.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

// Least share while a version is watched, so that it gets some requests even if the switch takes all of what may be exposed.
constexpr double MinWatchShare = 0.01;
// Part of the requests beside the share (Bounds.ExposureSlack) that is used for watching. The rest covers requests that are on their way when a host
// stops.
constexpr double SlackPart = 0.5;
// Time after which the rate of the service is known, and the relative change of the share below which it is not written again.
constexpr Duration MinRateTime = std::chrono::seconds(1);
constexpr double ShareTolerance = 0.2;
// Bounds of the time of the switch. In 1 s most requests end that run on old targets; after 5 s only few more do.
constexpr Duration MinSwitchTime = std::chrono::seconds(1);
constexpr Duration MaxSwitchTime = std::chrono::seconds(5);
// Bounds of the time between the planned end of the switch and the deadline, which is left for long runs on old targets and for a change of deciders.
// Requests take up to 15 s.
constexpr Duration MinReserve = Milliseconds(1500);
constexpr Duration MaxReserve = std::chrono::seconds(15);
constexpr int ReservePart = 8;
// Completion is decided this long before the deadline, because the write and its way to the hosts take some hundred ms.
constexpr Duration CompletionMargin = Milliseconds(500);
// Least time in `Watching`, and in `Switching` if the deadline is near. Hosts learn of the phase in up to 150 ms, and reports of what runs on old
// targets take as long again.
constexpr Duration MinWatchTime = Milliseconds(500);
constexpr Duration MinSettleTime = Milliseconds(600);
// With fewer answers of the new version, completion waits for the deadline. They are well within what a bad version may get beside its share (50).
constexpr int64_t FewAnswers = 40;
// A delivery that is still in progress this long after its deadline, since there was no decider, is rolled back.
constexpr Duration MaxLateness = std::chrono::seconds(10);
// Bounds of the time after which a state is written again because of the time in it: a successor that has not seen the order itself is late by at
// most that.
constexpr Duration MinRefreshInterval = std::chrono::seconds(1);
constexpr Duration MaxRefreshInterval = std::chrono::seconds(5);
constexpr int RefreshPart = 60;

Duration partOf(Duration duration, double part)
{
    return fromSeconds(toSeconds(duration) * part);
}

// The targets of a service from the point of view of one order.
struct TargetGroups
{
    // Ids of the new targets that may get requests, in the order in which they are chosen.
    std::vector<std::string> serving;
    std::vector<std::string> oldVersions;
    bool hasServingOld = false;
    int64_t oldRuns = 0;
};

TargetGroups groupTargets(const DeliveryInput &input, const DeliveryOrder &order, const std::vector<std::string> &withdrawn)
{
    TargetGroups groups;
    std::set<std::string> versions;
    for (const DeliveryTarget &target : input.targets) {
        if (target.version == order.version) {
            if (!target.isLeaving) {
                groups.serving.push_back(target.id);
            }
            continue;
        }
        groups.oldRuns += target.runs;
        if (std::find(withdrawn.begin(), withdrawn.end(), target.version) == withdrawn.end()) {
            versions.insert(target.version);
            groups.hasServingOld = groups.hasServingOld || !target.isLeaving;
        }
    }
    groups.serving = rendezvousOrder("delivery/" + order.service + "/" + order.version, std::move(groups.serving));
    groups.oldVersions.assign(versions.begin(), versions.end());
    return groups;
}

// Keeps those of `chosen` that still serve, and fills up in the order of `serving`.
std::vector<std::string> chooseTargets(const std::vector<std::string> &chosen, const std::vector<std::string> &serving, size_t count)
{
    std::vector<std::string> result;
    const auto add = [&result, count](const std::string &id) {
        if (result.size() < count && std::find(result.begin(), result.end(), id) == result.end()) {
            result.push_back(id);
        }
    };
    for (const std::string &id : chosen) {
        if (std::find(serving.begin(), serving.end(), id) != serving.end()) {
            add(id);
        }
    }
    for (const std::string &id : serving) {
        add(id);
    }
    return result;
}

void enterPhase(DeliveryState &state, DeliveryPhase phase, std::string reason)
{
    state.phase = phase;
    state.phaseBegan = state.elapsed;
    state.reason = std::move(reason);
    if (phase != DeliveryPhase::Watching) {
        state.share = 0;
        state.chosenTargets.clear();
    }
}

// Returns the share for the rate of the service as its answers show it.
double planShare(const DeliveryState &state, const DeliverySettings &settings)
{
    const double answers = static_cast<double>(state.evidence.newAnswers + state.evidence.oldAnswers);
    const bool isRateKnown = state.elapsed >= MinRateTime && answers > 0;
    const double share = watchShare(state.order.duration, settings, isRateKnown ? answers / toSeconds(state.elapsed) : 0);
    const bool isSimilar = std::abs(share - state.share) < ShareTolerance * state.share;
    return isSimilar ? state.share : share;
}

void advanceWatching(DeliveryState &state, const DeliveryInput &input, const DeliverySettings &settings, const TargetGroups &groups)
{
    if (input.evidence.verdict == EvidenceVerdict::Bad) {
        enterPhase(state, DeliveryPhase::RolledBack, "bad: " + input.evidence.reason);
        return;
    }
    if (groups.serving.empty()) {
        enterPhase(state, DeliveryPhase::Waiting, "all targets of the new version left");
        return;
    }
    if (!groups.hasServingOld) {
        enterPhase(state, DeliveryPhase::Switching, "no target of another version takes requests");
        return;
    }
    const Duration duration = state.order.duration;
    if (state.elapsed >= std::max(switchBegin(duration, settings), state.phaseBegan + MinWatchTime)) {
        if (state.elapsed > duration + MaxLateness) {
            enterPhase(state, DeliveryPhase::RolledBack, "the deadline passed while no host decided");
        } else if (input.evidence.isSuspicious) {
            enterPhase(state, DeliveryPhase::RolledBack, "likely bad: " + input.evidence.reason);
        } else {
            enterPhase(state, DeliveryPhase::Switching, std::string(evidenceVerdictName(input.evidence.verdict)) + ": " + input.evidence.reason);
        }
        return;
    }
    const double share = planShare(state, settings);
    state.chosenTargets = chooseTargets(state.chosenTargets, groups.serving, chosenTargetCount(share, groups.serving.size()));
    // Where rounding gives too few targets, the share is reduced, so that they are not overloaded.
    state.share = std::min(share, static_cast<double>(state.chosenTargets.size()) / static_cast<double>(groups.serving.size()));
}

void advanceWaiting(DeliveryState &state, const DeliveryInput &input, const DeliverySettings &settings, const TargetGroups &groups)
{
    if (state.elapsed >= state.order.duration) {
        enterPhase(state, DeliveryPhase::RolledBack, "no target of the new version until the deadline");
    } else if (!groups.serving.empty()) {
        enterPhase(state, DeliveryPhase::Watching, std::to_string(groups.serving.size()) + " targets of the new version");
        advanceWatching(state, input, settings, groups);
    }
}

void complete(DeliveryState &state, const Evidence &evidence)
{
    const bool isUnclear = evidence.verdict == EvidenceVerdict::TooFew && evidence.hasBadAnswers;
    if (evidence.isSuspicious || isUnclear) {
        enterPhase(state, DeliveryPhase::RolledBack, (isUnclear ? "too few answers, some of them bad: " : "likely bad: ") + evidence.reason);
        return;
    }
    const std::string runs = state.oldRuns == 0 ? "" : "; " + std::to_string(state.oldRuns) + " requests still run on old targets";
    enterPhase(state, DeliveryPhase::Completed, std::string(evidenceVerdictName(evidence.verdict)) + ": " + evidence.reason + runs);
}

void advanceSwitching(DeliveryState &state, const DeliveryInput &input, const DeliverySettings &settings, const TargetGroups &groups)
{
    const Evidence &evidence = input.evidence;
    if (evidence.verdict == EvidenceVerdict::Bad) {
        enterPhase(state, DeliveryPhase::RolledBack, "bad: " + evidence.reason);
        return;
    }
    // Without old targets there is nothing to go back to.
    if (groups.serving.empty() && groups.hasServingOld) {
        enterPhase(state, DeliveryPhase::RolledBack, "all targets of the new version left");
        return;
    }
    const Duration duration = state.order.duration;
    const Duration planned = state.phaseBegan + switchTime(duration, settings);
    // With enough good answers, the deadline comes before the full time of the switch.
    const Duration least = evidence.verdict == EvidenceVerdict::Good ? state.phaseBegan + MinSettleTime : planned;
    const bool mayWait = evidence.verdict == EvidenceVerdict::TooFew && evidence.summary.newAnswers < FewAnswers;
    const bool isDone = state.elapsed >= planned && state.oldRuns == 0 && !mayWait;
    if (isDone || state.elapsed >= std::max(duration - CompletionMargin, least)) {
        complete(state, evidence);
    }
}

void advance(DeliveryState &state, const DeliveryInput &input, const DeliverySettings &settings)
{
    const TargetGroups groups = groupTargets(input, state.order, state.withdrawnVersions);
    state.oldVersions = groups.oldVersions;
    state.oldRuns = groups.oldRuns;
    state.evidence = input.evidence.summary;
    switch (state.phase) {
    case DeliveryPhase::Waiting:
        advanceWaiting(state, input, settings, groups);
        break;
    case DeliveryPhase::Watching:
        advanceWatching(state, input, settings, groups);
        break;
    case DeliveryPhase::Switching:
        advanceSwitching(state, input, settings, groups);
        break;
    case DeliveryPhase::Completed:
    case DeliveryPhase::RolledBack:
        break;
    }
}

bool isRegistered(const std::vector<DeliveryTarget> &targets, const std::string &version)
{
    return std::any_of(targets.begin(), targets.end(), [&version](const DeliveryTarget &target) { return target.version == version; });
}

// Returns the versions that get nothing under `order` because of what came before it.
std::vector<std::string> withdrawnVersions(const DeliveryInput &input, const DeliveryOrder &order)
{
    std::set<std::string> versions;
    if (input.previous) {
        const DeliveryState &previous = *input.previous;
        versions.insert(previous.withdrawnVersions.begin(), previous.withdrawnVersions.end());
        // A rejected order may have named any version.
        if (previous.phase == DeliveryPhase::Completed) {
            versions.insert(previous.oldVersions.begin(), previous.oldVersions.end());
        } else if (!previous.isRejected) {
            versions.insert(previous.order.version);
        }
    }
    versions.erase(order.version);
    std::erase_if(versions, [&input](const std::string &version) { return !isRegistered(input.targets, version); });
    return {versions.begin(), versions.end()};
}

// Returns true if `order` is the one that `state` carries out. An order with the same version that appears at another position while it is carried out
// is the same one written again. After that, it is an order of its own, unless it comes with another era: then the operators or the copy of a
// restored store have brought it back.
bool isSameDelivery(const DeliveryState &state, const DeliveryOrder &order)
{
    // A rejected order that is valid now, since its service has become known, is carried out.
    if (state.order.version != order.version || state.isRejected) {
        return false;
    }
    return state.order.position == order.position || !isFinal(state.phase) || state.order.position.era != order.position.era;
}

Duration refreshInterval(Duration duration)
{
    return std::clamp(duration / RefreshPart, MinRefreshInterval, MaxRefreshInterval);
}

// Returns true if hosts or a successor need `next` in place of `previous`.
bool differs(const DeliveryState &previous, const DeliveryState &next)
{
    const bool isOutOfDate = !isFinal(next.phase) && next.elapsed >= previous.elapsed + refreshInterval(next.order.duration);
    return isOutOfDate || previous.order != next.order || previous.phase != next.phase || previous.share != next.share
        || previous.chosenTargets != next.chosenTargets || previous.oldVersions != next.oldVersions || previous.withdrawnVersions != next.withdrawnVersions;
}

DeliveryStep keep(const DeliveryInput &input)
{
    return {.state = input.previous};
}

DeliveryStep write(const DeliveryInput &input, DeliveryState state)
{
    const bool isPhaseChange = !input.previous || input.previous->phase != state.phase || input.previous->order != state.order;
    return {.state = std::move(state), .mustWrite = true, .isPhaseChange = isPhaseChange};
}

DeliveryStep rollBack(const DeliveryInput &input, const std::string &reason)
{
    DeliveryState state = *input.previous;
    enterPhase(state, DeliveryPhase::RolledBack, reason);
    return write(input, std::move(state));
}

DeliveryStep planWithoutOrder(const DeliveryInput &input)
{
    if (!input.previous || input.mayLackOrder) {
        return keep(input);
    }
    const DeliveryState &previous = *input.previous;
    if (!isFinal(previous.phase)) {
        return rollBack(input, "the order was removed");
    }
    // A final state is obeyed as long as targets are registered that may get nothing according to it.
    const bool isNeeded = std::any_of(input.targets.begin(), input.targets.end(), [&previous](const DeliveryTarget &target) {
        return (target.version == previous.order.version) == (previous.phase == DeliveryPhase::RolledBack)
            || std::find(previous.withdrawnVersions.begin(), previous.withdrawnVersions.end(), target.version) != previous.withdrawnVersions.end();
    });
    return isNeeded ? keep(input) : DeliveryStep{.state = std::nullopt, .mustWrite = true};
}

} // namespace

Duration switchTime(Duration duration, const DeliverySettings &settings)
{
    // Half of what may be exposed, since the other half is for watching.
    return std::clamp(partOf(duration, settings.exposureShare / 2), MinSwitchTime, MaxSwitchTime);
}

Duration switchBegin(Duration duration, const DeliverySettings &settings)
{
    const Duration reserve = std::clamp(duration / ReservePart, MinReserve, MaxReserve);
    return std::max(duration - reserve - switchTime(duration, settings), Duration(0));
}

double watchShare(Duration duration, const DeliverySettings &settings, double requestsPerSecond)
{
    const double total = toSeconds(duration);
    const double inSwitch = toSeconds(switchTime(duration, settings));
    const double watched = total - inSwitch;
    const double share = watched > 0 ? (settings.exposureShare * total - inSwitch) / watched : 0;
    const double slackShare = watched > 0 && requestsPerSecond > 0 ? SlackPart * settings.exposureSlack / (requestsPerSecond * watched) : 0;
    return std::min(std::max(share, MinWatchShare) + slackShare, settings.exposureShare);
}

size_t chosenTargetCount(double share, size_t newTargets)
{
    const auto rounded = static_cast<size_t>(std::lround(share * static_cast<double>(newTargets)));
    return std::min(std::max<size_t>(rounded, 1), newTargets);
}

DeliveryStep planDelivery(const DeliveryInput &input, const DeliverySettings &settings)
{
    if (!input.order) {
        return planWithoutOrder(input);
    }
    const DeliveryOrder &order = *input.order;
    if (!input.previous || !isSameDelivery(*input.previous, order)) {
        if (input.previous && input.mayLackOrder) {
            return keep(input);
        }
        if (input.previous && !isFinal(input.previous->phase)) {
            return rollBack(input, "replaced by an order for '" + order.version + "'");
        }
        DeliveryState state{.order = order, .withdrawnVersions = withdrawnVersions(input, order), .elapsed = input.elapsed, .phaseBegan = input.elapsed};
        state.reason = "no target of the new version yet";
        advance(state, input, settings);
        return write(input, std::move(state));
    }
    DeliveryState state = *input.previous;
    state.order = order;
    if (!isFinal(state.phase)) {
        state.elapsed = std::max(state.elapsed, input.elapsed);
        state.withdrawnVersions = withdrawnVersions({.previous = state, .targets = input.targets}, order);
        advance(state, input, settings);
    }
    return differs(*input.previous, state) ? write(input, std::move(state)) : keep(input);
}

DeliveryStep rejectDelivery(const DeliveryInput &input, const DeliveryOrder &order, const std::string &reason)
{
    if (input.previous && !isFinal(input.previous->phase)) {
        return rollBack(input, "replaced by an order that is rejected: " + reason);
    }
    if (input.previous && input.previous->order.position == order.position) {
        return keep(input);
    }
    DeliveryState state{.order = order, .phase = DeliveryPhase::RolledBack, .withdrawnVersions = withdrawnVersions(input, order)};
    state.isRejected = true;
    state.reason = "rejected: " + reason;
    return write(input, std::move(state));
}

} // namespace pimentosail
