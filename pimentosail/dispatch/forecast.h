// Predicts the time to the first token of a prompt from the prompt tokens that its target still has to read, and
// remembers how long callers of a route usually wait.
//
// The rate at which targets read is learnt from the requests themselves, so it includes all that slows them: other
// runs' steps, waits for memory and for transfers.
//
//     forecast.note("loom", 24000, Milliseconds(310));
//     Duration expected = forecast.predict("loom", 30000);
//
// Thread-safe.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

class FirstTokenForecast
{
public:
    // Records that a prompt of `route` sent while `pendingTokens` (its own included) were to be read there had its first
    // token after `time`.
    void note(const std::string &route, double pendingTokens, Duration time);

    // Returns the expected time to first token behind `pendingTokens`: a line through what was observed lately.
    Duration predict(const std::string &route, double pendingTokens) const;

    // Returns the time for which a caller has been waiting, if it waits `patience` from now: callers that come back
    // after a refusal wait for less than is usual on their route. Usual is what most callers say.
    Duration spent(const std::string &route, Duration patience);

private:
    // Moving averages of pending tokens and of the time in ms, their variance and covariance.
    struct Line
    {
        double tokens = 0;
        double milliseconds = 0;
        double variance = 0;
        double covariance = 0;
    };

    static Line initialLine();

    mutable std::mutex mutex;
    std::map<std::string, Line> lines;
    // For each route, how often each patience (in steps of `PatienceStep`) was stated lately.
    std::map<std::string, std::map<int64_t, double>> patienceCounts;
};

} // namespace pimentosail
