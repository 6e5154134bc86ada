// The mix of work that this host sees: routes with long prompts and short answers beside routes with short prompts and
// long answers. An engine reads prompts between the steps of its other runs, so each long prompt stretches the pauses
// of the answers that it is writing. Routes with long answers therefore get some targets mostly to themselves.
//
//     mix.note("verses", 9000, 6);
//     mix.note("letters", 800, 32);
//     mix.laneOf("letters");   // Lane::LongAnswers
//     mix.longAnswerShare();   // part of the targets that they should have
//
// Pattern: many long prompts, each answered with a few words, beside a stream of long answers. Thread-safe.
#pragma once

#include <map>
#include <mutex>
#include <string>

namespace pimentosail
{

enum class Lane {
    // The routes do not differ enough to be kept apart.
    Any,
    LongPrompts,
    LongAnswers,
};

class WorkMix
{
public:
    // Records one request: the prompt tokens that a target has to read for it, and the most tokens of its answer.
    void note(const std::string &route, double readTokens, double answerTokens);

    Lane laneOf(const std::string &route) const;

    // Returns the part of the targets for routes with long answers; 0 if routes are not kept apart.
    double longAnswerShare() const;

private:
    struct Flow
    {
        // Sums that fade, so that they follow the mix.
        double requests = 0;
        double readTokens = 0;
        double answerTokens = 0;
    };

    void decideLanes();

    mutable std::mutex mutex;
    std::map<std::string, Flow> flows;
    std::map<std::string, Lane> lanes;
    double share = 0;
    int untilDecision = 0;
};

} // namespace pimentosail
