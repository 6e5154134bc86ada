// The priority that an engine gets with a prompt under mixed load. Engines read prompts with a smaller number first; the
// last priority is that of late prompts (see `AttemptPlan`).
//
// The configured priority decides first. The priorities in use divide the range, and within its part a prompt with less
// of its target latency left goes before others.
//
//     ConfiguredPriorities priorities;
//     priorities.add(0);
//     priorities.add(2);
//     int priority = priorities.enginePriority(2, 0.4);   // 5: priority 2 has 4 to 7
//
// Not thread-safe for writes.
#pragma once

#include <algorithm>
#include <bitset>
#include <cstddef>

namespace pimentosail
{

class ConfiguredPriorities
{
public:
    // Number of engine priorities without that of late prompts.
    static constexpr int EnginePriorities = 9;

    // Records that a route or team has `priority`.
    void add(int priority)
    {
        this->used.set(index(priority));
    }

    // Returns the engine priority of a prompt. `leftShare` is the share of its target latency that is left, 0 to 1.
    int enginePriority(int priority, double leftShare) const
    {
        const int levels = std::max(1, static_cast<int>(this->used.count()));
        const int steps = std::max(1, EnginePriorities / levels);
        int rank = 0;
        for (size_t more = 0; more < index(priority); ++more) {
            rank += this->used.test(more) ? 1 : 0;
        }
        const int step = std::clamp(static_cast<int>(leftShare * steps), 0, steps - 1);
        return std::min(rank * steps + step, EnginePriorities - 1);
    }

private:
    static size_t index(int priority)
    {
        return static_cast<size_t>(std::clamp(priority, 0, EnginePriorities));
    }

    // By priority; those beyond the engine's range count as one.
    std::bitset<EnginePriorities + 1> used;
};

} // namespace pimentosail
