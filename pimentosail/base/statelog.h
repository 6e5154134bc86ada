// Log lines for changes of state, in key=value form that a program can parse. Counters come first; a line is
// written only when something changes state.
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

// Records a violated invariant: adds one to a process-wide counter and writes an error line. With the
// environment variable PIMENTOSAIL_FATAL_INVARIANTS set, as in tests, it ends the process instead. Thread-safe.
void reportViolation(std::string_view invariant, const std::string &detail);

// Returns how many violations this process has reported.
long violationCount();

} // namespace pimentosail
