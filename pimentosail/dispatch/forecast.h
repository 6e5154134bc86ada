// Predicts the time to the first token of a prompt from the number of prompt tokens that its target still has to process,
// and counts the timeouts that callers of a route usually set.
//
// The processing rate of targets is estimated from completed requests, so it includes everything that slows targets down:
// the steps of other runs, and waits for memory and for transfers. The estimate is a linear regression for each route.
//
//     forecast.record("loom", 24000, Milliseconds(310));
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
    // Records that a prompt of `route` had its first token after `time`. `pendingTokens` is the number of prompt tokens
    // that the target had to process when the prompt was sent, the prompt's own tokens included.
    void record(const std::string &route, double pendingTokens, Duration time);

    // Returns the expected time to the first token of a prompt if the target has to process `pendingTokens`, the prompt's
    // own tokens included. Recent observations count most.
    Duration predict(const std::string &route, double pendingTokens) const;

    // Records the timeout of a caller and returns how long the caller has probably been waiting already: a caller that
    // retries after a refusal sets a shorter timeout than is usual on its route. The usual timeout is the most frequent
    // one, not the longest, so that one caller with a very long timeout does not make all other requests look late.
    Duration estimateElapsed(const std::string &route, Duration callerTimeout);

private:
    // Moving averages of the pending tokens and of the time in ms, the variance of the tokens, and the covariance.
    struct Regression
    {
        double tokens = 0;
        double milliseconds = 0;
        double variance = 0;
        double covariance = 0;
    };

    static Regression initialRegression();

    mutable std::mutex mutex;
    std::map<std::string, Regression> regressions;
    // For each route, how often each caller timeout (in steps of `TimeoutStep`) was set recently.
    std::map<std::string, std::map<int64_t, double>> timeoutCounts;
};

} // namespace pimentosail
