// Limits that apply to all hosts together and of which each host uses its share: retries of requests, and requests to
// targets that are cold or have named the request rate that they take.
//
//     SharedRetryBudget budget(clock, {0.2, 52, std::chrono::seconds(10)});
//     budget.recordFirstSend("orders");
//     if (budget.tryAcquire("orders", hostCount)) { send the request to a second target }
//
// Thread-safe.
#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

// Bounds on the sends of a request after its first one, for one service and all hosts together.
struct SharedRetryBounds
{
    // Retries allowed per first send in a window.
    double ratio = 0.2;
    // Retries allowed in a window in addition, whatever the number of first sends.
    double extra = 0;
    Duration window = std::chrono::seconds(10);
};

// Counts events in a sliding window.
class SlidingWindowCounter
{
public:
    void add(Time now)
    {
        this->times.push_back(now);
    }

    // Returns the number of events in the `window` before `now`.
    size_t count(Time now, Duration window)
    {
        while (!this->times.empty() && this->times.front() + window < now) {
            this->times.pop_front();
        }
        return this->times.size();
    }

private:
    std::deque<Time> times;
};

// Limits the retries of each service to this host's share of the bounds that all hosts keep together.
class SharedRetryBudget
{
public:
    SharedRetryBudget(const Clock &runtimeClock, SharedRetryBounds retryBounds)
        : clock(runtimeClock)
        , bounds(retryBounds)
    {
    }

    // Records the first send of a request.
    void recordFirstSend(const std::string &service);

    // Takes one retry from this host's share. Returns false if none is left. `hosts` is the number of hosts that share
    // the bounds.
    bool tryAcquire(const std::string &service, size_t hosts);

private:
    struct Counts
    {
        SlidingWindowCounter firstSends;
        SlidingWindowCounter retries;
    };

    const Clock &clock;
    SharedRetryBounds bounds;
    std::mutex mutex;
    std::map<std::string, Counts> services;
};

// The part of a target's limit that one host may use: at most `count` requests in any `period`.
struct SendShare
{
    int count = 0;
    Duration period{};
};

// Returns the share of `ownHost` in the `requestsPerSecond` of a cold target, in whole requests per second. If there are more hosts
// than requests, the hosts that rendezvous hashing ranks first for the target get one each.
SendShare coldShare(double requestsPerSecond, const std::string &target, const std::string &ownHost, const std::vector<std::string> &hosts);

// Divides the request rates that the targets of a service have named among the hosts. A low rate is shared by some of the hosts only,
// in proportion to the rate, because each may send at least one request in a period. The hosts stand in an order by hash; those that
// share the rate of a target follow each other there, and the targets begin at points that are spread evenly over the order, so that
// all hosts have shares of about as many targets.
//
//     RateShares shares("orders", "front-2", hostNames, hostCount, targetIds);
//     SendShare share = shares.shareOf("i-7f3a", 2.5);
class RateShares
{
public:
    // `hosts` are the listed hosts and `targets` the registered targets of the service, each without repetitions. `hostCount` is at
    // least the number of listed hosts; the rates of hosts beyond these remain unused.
    RateShares(const std::string &service, const std::string &ownHost, std::vector<std::string> hosts, size_t hostCount, std::vector<std::string> targets);

    // Returns this host's share in the `requestsPerSecond` that `target` takes from all hosts. A host that is not listed has none.
    SendShare shareOf(const std::string &target, double requestsPerSecond) const;

private:
    // Position of this host in the order; nothing if it is not listed.
    std::optional<size_t> position;
    size_t hostCount;
    // Sorted.
    std::vector<std::string> targets;
};

// Counts the requests that this host sends to each target, and holds them to its shares.
class TargetSendLimiter
{
public:
    explicit TargetSendLimiter(const Clock &runtimeClock)
        : clock(runtimeClock)
    {
    }

    // Counts one request to `target` if that keeps to all of `shares`. Returns false otherwise.
    bool tryAcquire(const std::string &target, const std::vector<SendShare> &shares);

    // Returns the time from which `tryAcquire` can succeed, which may be past; `Time::max()` if a share has no requests.
    Time nextSend(const std::string &target, const std::vector<SendShare> &shares) const;

private:
    // Called with `mutex` locked.
    Time nextSendLocked(const std::string &target, const std::vector<SendShare> &shares) const;

    const Clock &clock;
    mutable std::mutex mutex;
    // Times of the last requests by target, at most `MaxShareCount`.
    std::map<std::string, std::deque<Time>> sent;
};

} // namespace pimentosail
