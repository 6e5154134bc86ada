#include "pimentosail/dispatch/mixedload.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pimentosail
{

namespace
{

// Load is mixed if reading a route's mean prompt takes more than `MixedShare` of another route's target latency, and until
// it takes less than `UnmixedShare`. The gap keeps hosts from changing back and forth.
constexpr double MixedShare = 0.25;
constexpr double UnmixedShare = 0.2;
// The slope is certainly above or below a value that is this many standard errors away.
constexpr double CertainErrors = 2;
// Weight that earlier observations keep at each further one: about a hundred observations count.
constexpr double KeptWeight = 0.99;
// Sum of weights from which a regression or a mean is used.
constexpr double MinWeight = 15;
// An observed time is capped at this multiple of the predicted time, so that one stalled target does not spoil the rate.
constexpr double MaxObservationFactor = 4;
// Share of the difference by which the smallest reading time is forgotten with each observation: overload that makes targets look
// slower for a hundred observations does not start mixed load.
constexpr double ForgottenShare = 1.0 / 300;
// Bounds of the time, in ms, in which a token is read: 300 and 5 tokens per ms.
constexpr double MinReadTime = 1.0 / 300;
constexpr double MaxReadTime = 1.0 / 5;
// A route that had no prompts for this long does not count.
constexpr Duration RouteMemory = std::chrono::seconds(60);
// The weight of pauses rises by this with each answer that had one over its limit, and falls by `PauseFall` with each other.
constexpr double PauseRise = 0.1;
constexpr double PauseFall = PauseRise / 20;
constexpr size_t MaxRoutes = 512;
constexpr size_t MaxServices = 128;

// Moves the mean over `count` values, of which earlier ones weigh less, by one more value.
void addToMean(double &mean, double value, double count)
{
    mean += (value - mean) / count;
}

} // namespace

void MixedLoad::Regression::record(double pendingTokens, double milliseconds)
{
    double capped = milliseconds;
    if (this->weight >= MinWeight) {
        const double predicted = this->time + this->slope() * (pendingTokens - this->tokens);
        capped = std::min(milliseconds, MaxObservationFactor * std::max(predicted, this->time));
    }
    this->weight = KeptWeight * this->weight + 1;
    const double tokensDeviation = pendingTokens - this->tokens;
    const double timeDeviation = capped - this->time;
    addToMean(this->tokens, pendingTokens, this->weight);
    addToMean(this->time, capped, this->weight);
    this->tokensSquares = KeptWeight * this->tokensSquares + tokensDeviation * (pendingTokens - this->tokens);
    this->timeSquares = KeptWeight * this->timeSquares + timeDeviation * (capped - this->time);
    this->products = KeptWeight * this->products + tokensDeviation * (capped - this->time);
}

double MixedLoad::Regression::slope() const
{
    return this->products / std::max(1.0, this->tokensSquares);
}

double MixedLoad::Regression::error() const
{
    if (this->weight < MinWeight || this->tokensSquares < 1) {
        return std::numeric_limits<double>::infinity();
    }
    const double residuals = std::max(0.0, this->timeSquares - this->slope() * this->products);
    return std::sqrt(residuals / (this->weight - 2) / this->tokensSquares);
}

void MixedLoad::recordPrompt(const std::string &service, const MixedPrompt &prompt)
{
    const std::lock_guard lock(this->mutex);
    if (this->services.size() >= MaxServices && !this->services.contains(service)) {
        this->services.clear();
    }
    ServiceState &state = this->services[service];
    if (state.routes.size() >= MaxRoutes && !state.routes.contains(prompt.route)) {
        state.routes.clear();
    }
    RouteState &route = state.routes[prompt.route];
    route.targetLatency = prompt.targetLatency;
    route.priority = prompt.priority;
    route.prompts = KeptWeight * route.prompts + 1;
    addToMean(route.promptTokens, prompt.promptTokens, route.prompts);
    addToMean(route.prefillTokens, prompt.prefillTokens, route.prompts);
    addToMean(route.heldTokens, prompt.heldTokens, route.prompts);
    route.lastPrompt = this->clock.now();
}

void MixedLoad::recordFirstToken(const std::string &service, const std::string &route, double pendingTokens, Duration time)
{
    const std::lock_guard lock(this->mutex);
    const auto foundService = this->services.find(service);
    if (foundService == this->services.end()) {
        return;
    }
    const auto found = foundService->second.routes.find(route);
    if (found != foundService->second.routes.end()) {
        RouteState &state = found->second;
        state.regression.record(pendingTokens, static_cast<double>(time.count()) / 1000);
        const double upperBound = state.regression.slope() + CertainErrors * state.regression.error();
        if (std::isfinite(upperBound)) {
            const double kept
                = std::isfinite(state.fastestReadTime) ? state.fastestReadTime + ForgottenShare * (upperBound - state.fastestReadTime) : upperBound;
            state.fastestReadTime = std::min(upperBound, kept);
        }
        this->decide(foundService->second);
    }
}

void MixedLoad::recordPauses(const std::string &service, const std::string &route, bool hadLongPause)
{
    const std::lock_guard lock(this->mutex);
    const auto foundService = this->services.find(service);
    if (foundService == this->services.end()) {
        return;
    }
    const auto found = foundService->second.routes.find(route);
    if (found != foundService->second.routes.end() && !found->second.isLong) {
        double &weight = foundService->second.pauseWeight;
        weight = std::clamp(weight + (hadLongPause ? PauseRise : -PauseFall), 0.0, 1.0);
    }
}

// Each route counts with its own regression: the first-token times of more urgent prompts depend little on the tokens that
// wait, so they would make targets look faster than they are.
void MixedLoad::decide(ServiceState &service) const
{
    const Time now = this->clock.now();
    std::erase_if(service.routes, [now](const auto &entry) { return entry.second.lastPrompt + RouteMemory < now; });
    // The tightest target latency, in ms, its route, and the tightest of the other routes.
    double tightest = std::numeric_limits<double>::infinity();
    double secondTightest = tightest;
    const RouteState *tightestRoute = nullptr;
    for (const auto &[name, route] : service.routes) {
        const double latency = toSeconds(route.targetLatency) * 1000;
        if (route.prompts >= MinWeight && latency < tightest) {
            secondTightest = tightest;
            tightest = latency;
            tightestRoute = &route;
        } else if (route.prompts >= MinWeight) {
            secondTightest = std::min(secondTightest, latency);
        }
    }
    service.isMixed = false;
    double longest = 0;
    for (auto &[name, route] : service.routes) {
        const double tightestOther = &route == tightestRoute ? secondTightest : tightest;
        const double error = CertainErrors * route.regression.error();
        const double slope = route.regression.slope();
        if (!std::isfinite(tightestOther)) {
            route.isLong = false;
        } else if (std::isfinite(error)) {
            const bool isCertainlyLong = std::min(slope - error, route.fastestReadTime) * route.promptTokens > MixedShare * tightestOther;
            const bool isCertainlyNot = (slope + error) * route.promptTokens < UnmixedShare * tightestOther;
            route.isLong = isCertainlyLong || (route.isLong && !isCertainlyNot);
        }
        service.isMixed = service.isMixed || route.isLong;
        if (route.isLong && route.promptTokens > longest) {
            longest = route.promptTokens;
            service.readTime = std::clamp(slope, MinReadTime, MaxReadTime);
        }
    }
}

std::optional<MixedProfile> MixedLoad::profile(const std::string &service, const std::string &route, int priority) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->services.find(service);
    if (found == this->services.end() || !found->second.isMixed) {
        return std::nullopt;
    }
    MixedProfile profile;
    profile.readTime = found->second.readTime;
    profile.pauseWeight = found->second.pauseWeight;
    profile.overtakesLong = true;
    double longPrompts = 0;
    double shortPrompts = 0;
    for (const auto &[name, state] : found->second.routes) {
        if (state.isLong) {
            longPrompts += state.prompts;
            addToMean(profile.longPrefill, state.prefillTokens, longPrompts / state.prompts);
            addToMean(profile.longHeld, state.heldTokens, longPrompts / state.prompts);
            profile.isLong = profile.isLong || name == route;
            profile.overtakesLong = profile.overtakesLong && priority < state.priority;
        } else if (state.prompts > 0) {
            shortPrompts += state.prompts;
            addToMean(profile.shortHeld, state.heldTokens, shortPrompts / state.prompts);
        }
    }
    return profile;
}

std::map<std::string, double> MixedLoad::mixedServices() const
{
    const std::lock_guard lock(this->mutex);
    std::map<std::string, double> result;
    for (const auto &[name, service] : this->services) {
        if (service.isMixed) {
            result[name] = service.readTime;
        }
    }
    return result;
}

} // namespace pimentosail
