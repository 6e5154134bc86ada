// Decides whether something may be sent to a target at this moment. It is asked when a target is chosen and once more right before
// each send, whatever the way there: a first attempt, a retry, a resumed stream, a load order.
//
//     SendGate gate(clock, directory, notices, limiter);
//     SendDecision decision = gate.check(target, SendKind::Request, shares);
//     if (!decision.isAllowed()) { log(sendObstacleName(decision.obstacle)); waitUntil(decision.until); }
//     if (gate.acquire(target, shares).isAllowed()) { send a request }
//
// What the decision rests on:
//
//     obstacle       requests  orders    probes    ends
//     removed        no        no        no        with the next incarnation
//     draining       no        no        yes       with the next incarnation
//     leaving        no        no        yes       with the next incarnation; the target has said so in an answer
//     evacuated      no        yes       yes       when operators take the zone back
//     resting        no        later     yes       when the time has passed that the target asked this host for
//     backoff        no        yes       yes       after a refusal, a failed connection or a load of weights
//     cold_share     no        yes       yes       when this host's share of what a cold target takes is free again
//     rate_share     no        yes       yes       when this host's share of the rate that the target names is free again
//
// Probes ask a target about itself and need none of its slots. Thread-safe.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "pimentosail/directory/directory.h"
#include "pimentosail/directory/targetnotices.h"
#include "pimentosail/dispatch/limits.h"

namespace pimentosail
{

// What is to be sent.
enum class SendKind {
    // A caller's request.
    Request,
    // A load order.
    Order,
    // A question about the target's own state.
    Probe,
};

// Why nothing may be sent.
enum class SendObstacle {
    None,
    Removed,
    Draining,
    Leaving,
    Evacuated,
    Resting,
    Backoff,
    ColdShare,
    RateShare,
};

// Returns the name of the obstacle, as it stands in logs and metrics.
std::string_view sendObstacleName(SendObstacle obstacle);

struct SendDecision
{
    SendObstacle obstacle = SendObstacle::None;
    // When the obstacle ends as far as this host knows; zero if it may end at any time, `Time::max()` if it does not end for this
    // incarnation of the target.
    Time until{};

    bool isAllowed() const
    {
        return this->obstacle == SendObstacle::None;
    }

    // Returns true if it is known when the obstacle ends, or that this host has no share until other hosts leave.
    bool endsAtKnownTime() const
    {
        return this->until != Time(0) && this->obstacle >= SendObstacle::Resting;
    }
};

// This host's shares of what a target takes from all hosts; nothing if there is no such limit.
struct TargetShares
{
    std::optional<SendShare> cold;
    std::optional<SendShare> rate;
};

// Returns when a caller should come back whose request was refused because no target may get one. `ends` are the ends of the targets'
// obstacles, not empty. Each target serves its share of the callers, so the result is the end of one of them, chosen by `draw`, among
// those until `latest`; the earliest if all are later.
Time returnTime(const std::vector<Time> &ends, Time latest, uint64_t draw);

class SendGate
{
public:
    SendGate(const Clock &runtimeClock, const TargetDirectory &targetDirectory, const TargetNoticeTable &targetNotices, TargetSendLimiter &sendLimiter)
        : clock(runtimeClock)
        , directory(targetDirectory)
        , notices(targetNotices)
        , limiter(sendLimiter)
    {
    }

    // Returns whether `kind` may be sent to `target` now. `shares` concern requests only.
    SendDecision check(const TargetState &target, SendKind kind, const TargetShares &shares = {}) const;

    // Checks a request like `check`, and counts it against `shares` if it is allowed.
    SendDecision acquire(const TargetState &target, const TargetShares &shares);

    // Returns until when the target wants no requests of other hosts; zero or a past time if it takes them. Such a target gets requests
    // of this host only if no other target may get them.
    Time othersRestUntil(const TargetState &target) const;

private:
    SendDecision checkStanding(const TargetState &target, SendKind kind) const;

    const Clock &clock;
    const TargetDirectory &directory;
    const TargetNoticeTable &notices;
    TargetSendLimiter &limiter;
};

} // namespace pimentosail
