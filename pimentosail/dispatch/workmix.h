// Assigns routes to lanes by the mix of requests that this host receives. A lane is a class of traffic that has targets of
// its own: routes with long prompts and short answers form one lane, routes with short prompts and long answers the other.
//
// An engine processes prompts between the steps of its other runs, so each long prompt delays the next tokens of all
// answers that the engine is generating. Some targets therefore mostly serve routes with long answers.
//
//     mix.record("verses", 9000, 6);
//     mix.record("letters", 800, 32);
//     mix.laneOf("letters");   // Lane::LongAnswers
//     mix.longAnswerShare();   // fraction of the targets for the lane of long answers
//
// Thread-safe.
#pragma once

#include <map>
#include <mutex>
#include <string>

namespace pimentosail
{

enum class Lane {
    // The routes do not differ enough to have targets of their own.
    Any,
    LongPrompts,
    LongAnswers,
};

class WorkMix
{
public:
    // Records one request: the prompt tokens that a target has to process for it, and the maximum tokens of its answer.
    void record(const std::string &route, double prefillTokens, double answerTokens);

    // Returns the lane of `route`; `Lane::Any` if the route is unknown or lanes are not in use.
    Lane laneOf(const std::string &route) const;

    // Returns the fraction of the targets for routes with long answers; 0 if lanes are not in use.
    double longAnswerShare() const;

private:
    struct RouteTotals
    {
        // Sums that decay exponentially with each request, so that they follow changes of the mix.
        double requests = 0;
        double prefillTokens = 0;
        double answerTokens = 0;
    };

    void decideLanes();

    mutable std::mutex mutex;
    std::map<std::string, RouteTotals> routes;
    std::map<std::string, Lane> lanes;
    double share = 0;
    int requestsUntilDecision = 0;
};

} // namespace pimentosail
