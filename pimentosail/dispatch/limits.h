// Limits that all hosts keep together, each host holding its share: repeats of requests and work for cold targets.
//
//     RepeatBudget budget(clock, {0.2, 52, std::chrono::seconds(10)});
//     budget.noteFirst("orders");
//     if (budget.tryRepeat("orders", hostCount)) { send the request to a second target }
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

// Bounds on arrivals beyond the first of each request, for one service and over all hosts.
struct RepeatBounds
{
    // Repeats allowed for each first arrival in a window.
    double ratio = 0.2;
    // Further repeats in a window.
    double extra = 0;
    Duration window = std::chrono::seconds(10);
};

// Counts events in a sliding window.
class SlidingCount
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

class RepeatBudget
{
public:
    RepeatBudget(const Clock &runtimeClock, RepeatBounds repeatBounds)
        : clock(runtimeClock)
        , bounds(repeatBounds)
    {
    }

    // Records the first send of a request.
    void noteFirst(const std::string &service);

    // Spends one repeat of this host's share if there is one. `hosts` is the number of hosts that share the bounds.
    bool tryRepeat(const std::string &service, size_t hosts);

private:
    struct Counts
    {
        SlidingCount first;
        SlidingCount repeats;
    };

    const Clock &clock;
    RepeatBounds bounds;
    std::mutex mutex;
    std::map<std::string, Counts> services;
};

// Bounds the requests that this host sends to a cold target in any second.
class ColdLimiter
{
public:
    explicit ColdLimiter(const Clock &runtimeClock)
        : clock(runtimeClock)
    {
    }

    // Returns this host's share of `requestsPerSecond` for `target`, in whole requests a second. With more hosts than
    // requests, the hosts that rendezvous hashing ranks first for the target have one each.
    static int share(double requestsPerSecond, const std::string &target, const std::string &ownHost, const std::vector<std::string> &hosts);

    // Takes one request out of `allowed` for the present second; returns false if none is left.
    bool tryTake(const std::string &target, int allowed);

    // Returns true if `tryTake` would succeed.
    bool hasRoom(const std::string &target, int allowed);

private:
    const Clock &clock;
    std::mutex mutex;
    std::map<std::string, SlidingCount> sent;
};

} // namespace pimentosail
