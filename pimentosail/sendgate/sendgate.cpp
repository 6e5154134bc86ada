#include "pimentosail/sendgate/sendgate.h"

#include <algorithm>
#include <iterator>

namespace pimentosail
{

namespace
{

// An order waits at most this long for the end of a rest, because the weights have a time limit of their own.
constexpr Duration MaxOrderWait = std::chrono::seconds(2);

} // namespace

std::string_view sendObstacleName(SendObstacle obstacle)
{
    switch (obstacle) {
    case SendObstacle::None:
        return "none";
    case SendObstacle::Removed:
        return "removed";
    case SendObstacle::Draining:
        return "draining";
    case SendObstacle::Leaving:
        return "leaving";
    case SendObstacle::Evacuated:
        return "evacuated";
    case SendObstacle::Resting:
        return "resting";
    case SendObstacle::Backoff:
        return "backoff";
    case SendObstacle::ColdShare:
        return "cold_share";
    case SendObstacle::RateShare:
        return "rate_share";
    }
    return "unknown";
}

Time returnTime(const std::vector<Time> &ends, Time latest, uint64_t draw)
{
    std::vector<Time> reachable;
    std::copy_if(ends.begin(), ends.end(), std::back_inserter(reachable), [latest](Time end) { return end <= latest; });
    return reachable.empty() ? *std::min_element(ends.begin(), ends.end()) : reachable[draw % reachable.size()];
}

SendDecision SendGate::checkStanding(const TargetState &target, SendKind kind) const
{
    const TargetStanding standing = this->directory.standing(target);
    if (standing.isRemoved) {
        return {SendObstacle::Removed, Time::max()};
    }
    if (kind == SendKind::Probe) {
        return {};
    }
    if (standing.isDraining) {
        return {SendObstacle::Draining, Time::max()};
    }
    if (this->notices.isLeaving(target.id, target.startedAt)) {
        return {SendObstacle::Leaving, Time::max()};
    }
    if (standing.isEvacuated && kind == SendKind::Request) {
        return {SendObstacle::Evacuated, Time(0)};
    }
    return {};
}

SendDecision SendGate::check(const TargetState &target, SendKind kind, const TargetShares &shares) const
{
    const SendDecision standing = this->checkStanding(target, kind);
    if (!standing.isAllowed() || kind == SendKind::Probe) {
        return standing;
    }
    const Time now = this->clock.now();
    const Time restsUntil = this->notices.restsUntil(target.id, target.startedAt);
    if (kind == SendKind::Order) {
        const Time since = this->notices.restsSince(target.id, target.startedAt);
        const Time until = std::min(restsUntil, since + MaxOrderWait);
        return until > now ? SendDecision{SendObstacle::Resting, until} : SendDecision{};
    }
    if (restsUntil > now) {
        return {SendObstacle::Resting, restsUntil};
    }
    if (Time(target.avoidUntil.load()) > now) {
        return {SendObstacle::Backoff, Time(0)};
    }
    if (shares.cold) {
        const Time next = this->limiter.nextSend(target.id, {*shares.cold});
        if (next > now) {
            return {SendObstacle::ColdShare, next};
        }
    }
    if (shares.rate) {
        const Time next = this->limiter.nextSend(target.id, {*shares.rate});
        if (next > now) {
            return {SendObstacle::RateShare, next};
        }
    }
    return {};
}

SendDecision SendGate::acquire(const TargetState &target, const TargetShares &shares)
{
    const SendDecision decision = this->check(target, SendKind::Request, shares);
    std::vector<SendShare> limits;
    for (const std::optional<SendShare> &share : {shares.cold, shares.rate}) {
        if (share) {
            limits.push_back(*share);
        }
    }
    if (!decision.isAllowed() || limits.empty() || this->limiter.tryAcquire(target.id, limits)) {
        return decision;
    }
    // Another request has used the share since.
    return {shares.rate ? SendObstacle::RateShare : SendObstacle::ColdShare, this->limiter.nextSend(target.id, limits)};
}

Time SendGate::othersRestUntil(const TargetState &target) const
{
    return this->notices.othersRestUntil(target.id, target.startedAt);
}

} // namespace pimentosail
