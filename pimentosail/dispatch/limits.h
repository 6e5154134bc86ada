// Limits that apply to all hosts together and of which each host uses its share: retries of requests, and requests to
// cold targets.
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

// Limits the requests that this host sends to each cold target in any second.
class ColdTargetLimiter
{
public:
    explicit ColdTargetLimiter(const Clock &runtimeClock)
        : clock(runtimeClock)
    {
    }

    // Returns this host's share of `requestsPerSecond` for `target`, in whole requests per second. If there are more hosts
    // than requests, the hosts that rendezvous hashing ranks first for the target get one each.
    static int hostShare(double requestsPerSecond, const std::string &target, const std::string &ownHost, const std::vector<std::string> &hosts);

    // Counts one request to `target` if fewer than `allowed` were counted in the last second. Returns false otherwise.
    bool tryAcquire(const std::string &target, int allowed);

    // Returns true if `tryAcquire` would succeed.
    bool canAcquire(const std::string &target, int allowed);

private:
    const Clock &clock;
    std::mutex mutex;
    std::map<std::string, SlidingWindowCounter> sent;
};

} // namespace pimentosail
