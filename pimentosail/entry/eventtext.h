// The text of server-sent events: where one ends, and what it holds.
//
//     const size_t length = eventLength(received, 0);
//     const std::string event = received.substr(0, length);
//     if (!isComment(event)) { resumeAfter = eventId(event); }
//
// Sizes are in bytes. The functions keep no state. Thread-safe.
#pragma once

#include <string>
#include <string_view>

namespace pimentosail
{

// Returns the length of the first complete event in `data`, its terminating empty line included, or 0 if there is none.
// `searched` bytes at the start are known to contain no end of an event.
size_t eventLength(std::string_view data, size_t searched);

// Returns true if the event contains comments only: each line is empty or begins with a colon.
bool isComment(const std::string &event);

// Returns the value of the event's `id:` line, or an empty string.
std::string eventId(const std::string &event);

} // namespace pimentosail
