// Log lines for state changes, in key=value form that a program can parse. A line is written only when a state
// changes; repeated occurrences are counted in metrics instead.
//
//     logStateChange("target", {{"target", "w-3"}, {"from", "warm"}, {"to", "cold"}});
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace pimentosail
{

// Starts glog for the process called `program`, writing to standard error.
void startLogging(const char *program);

// Writes one line: `event=<event> key="value" ...`. Thread-safe.
void logStateChange(std::string_view event, std::initializer_list<std::pair<std::string_view, std::string>> fields);

// Records a violated invariant: increments a process-wide counter and writes an error line. If the environment
// variable PIMENTOSAIL_FATAL_INVARIANTS is set, as in tests, it then aborts the process. Thread-safe.
void reportViolation(std::string_view invariant, const std::string &detail);

// Returns the number of violations that this process has reported. Thread-safe.
long violationCount();

} // namespace pimentosail
