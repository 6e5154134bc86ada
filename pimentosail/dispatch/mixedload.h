// Decides whether a service has mixed load: whether reading one long prompt takes so long that it endangers the target
// latency of another route's prompts on the same targets. Targets are then chosen by `MixedProfile` and without lanes.
//
// The time that targets take to read a token is learnt from this host's first-token times. Load is mixed once the reading
// time of a route's mean prompt certainly exceeds a quarter of the target latency of another route, and until it is
// certainly less than a fifth. Waits for memory or for runs make targets look slower for some time, so load becomes mixed only if
// they did not read faster before. Each host decides alone; all see samples of the same traffic.
//
//     mixed.recordPrompt("desk", {"letters", Milliseconds(250), 0, 827, 827, 876});
//     mixed.recordFirstToken("desk", "letters", 1700, Milliseconds(50));
//     std::optional<MixedProfile> profile = mixed.profile("desk", "letters", 0);
//
// Thread-safe.
#pragma once

#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

// What the cost of a target for a prompt depends on under mixed load. Tokens are means of the recent prompts.
struct MixedProfile
{
    // Time, in ms, in which a target reads a token, including the steps of the answers that it generates meanwhile.
    double readTime = 0;
    // The prompt's route is one of those whose prompts are long.
    bool isLong = false;
    // The engine reads this prompt before any long prompt that waits.
    bool overtakesLong = false;
    // Tokens of a long prompt that a target has to read, and cache memory of a long and of any other run.
    double longPrefill = 0;
    double longHeld = 0;
    double shortHeld = 0;
    // How much the pauses of answers count, from 0 to 1; see `MixedLoad::recordPauses`.
    double pauseWeight = 0;
};

// A prompt as it was sent.
struct MixedPrompt
{
    std::string route;
    // Of the route, by the configuration. Priority 0 is the most urgent.
    Duration targetLatency{};
    int priority = 0;
    double promptTokens = 0;
    // Tokens that the target is expected to read, and cache memory of the run.
    double prefillTokens = 0;
    double heldTokens = 0;
};

class MixedLoad
{
public:
    explicit MixedLoad(const Clock &runtimeClock)
        : clock(runtimeClock)
    {
    }

    // Records a prompt that is sent to a target of `service`.
    void recordPrompt(const std::string &service, const MixedPrompt &prompt);

    // Records that a prompt had its first token after `time`. `pendingTokens` is the number of tokens that the target had to
    // read until then, the prompt's own included.
    void recordFirstToken(const std::string &service, const std::string &route, double pendingTokens, Duration time);

    // Records whether a complete answer that is not of a long prompt had a pause over its route's limit. Engines read prompts in chunks of
    // different size, and events have different numbers of tokens, so that only the pauses tell whether long prompts may run beside
    // answers. The weight rises with each answer that had one, and falls with the others: it rests where one answer in twenty has one.
    void recordPauses(const std::string &service, const std::string &route, bool hadLongPause);

    // Returns the profile for a prompt of `route` with `priority`, or nothing if the load of `service` is not mixed.
    std::optional<MixedProfile> profile(const std::string &service, const std::string &route, int priority) const;

    // Returns the names of the services with mixed load and the time, in ms, in which their targets read a token.
    std::map<std::string, double> mixedServices() const;

private:
    // Linear regression of first-token times (ms) on pending tokens. Earlier observations weigh less.
    struct Regression
    {
        double weight = 0;
        double tokens = 0;
        double time = 0;
        double tokensSquares = 0;
        double timeSquares = 0;
        double products = 0;

        void record(double pendingTokens, double milliseconds);
        double slope() const;
        // Returns the standard error of the slope.
        double error() const;
    };
    struct RouteState
    {
        Duration targetLatency{};
        int priority = 0;
        double prompts = 0;
        double promptTokens = 0;
        double prefillTokens = 0;
        double heldTokens = 0;
        Time lastPrompt{};
        bool isLong = false;
        Regression regression;
        // Lately smallest upper bound of the time, in ms, in which targets read a token; infinite before the first.
        double fastestReadTime = std::numeric_limits<double>::infinity();
    };
    struct ServiceState
    {
        std::map<std::string, RouteState> routes;
        bool isMixed = false;
        double readTime = 0;
        double pauseWeight = 0;
    };

    void decide(ServiceState &service) const;

    const Clock &clock;
    mutable std::mutex mutex;
    std::map<std::string, ServiceState> services;
};

} // namespace pimentosail
