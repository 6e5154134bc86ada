// Decides whether a prompt is sent to a target whose cache memory is taken by other runs, waits at its host, or is refused.
//
// An engine that has more runs than memory preempts the newest of the least urgent and reads their prompts again later. That work is
// lost, so runs last longer, hold their memory longer, and the engine stays in this state after the load that caused it has gone.
// Prompts are therefore sent only while the memory that the runs of the best target hold, of all hosts as far as known, is below a
// limit. The limit is higher for more urgent prompts, so that they do not wait behind the others, and does not depend on the size
// of the prompt, so that large ones are not served less often than small ones of the same priority.
//
//     switch (admitPrompt({heldShare, priority, targetLatency, waited, timeLeft, draw}).verdict) { ... }
//
// Needs no clock and no network; thread-safe.
#pragma once

#include <cstdint>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

struct PromptDemand
{
    // Share of the best target's cache memory that its present runs hold; 0 if unknown.
    double heldShare = 0;
    // Priority of the prompt's route; 0 is the most urgent.
    int priority = 0;
    // Time within which the first token should reach the caller, and how much of it has passed.
    Duration targetLatency{};
    Duration waited{};
    // Time until the caller's deadline.
    Duration timeLeft{};
    // Uniformly distributed random number, which spreads the returns of refused callers.
    uint64_t draw = 0;
};

enum class AdmissionVerdict {
    Send,
    // Ask again later with the load of then.
    Wait,
    Refuse,
};

struct AdmissionDecision
{
    AdmissionVerdict verdict = AdmissionVerdict::Send;
    // Refuse: when the caller should return.
    Duration retryAfter{};
};

AdmissionDecision admitPrompt(const PromptDemand &demand);

// Returns the share of a target's memory below which a prompt of `priority` is sent.
double memoryLimit(int priority);

} // namespace pimentosail
