// Builds the timeline of one request from the logs of several hosts.
//
//     std::string timeline = explainRequest("9c41d07be2a35f68", lines);
//
// Besides the lines with the request's id, the timeline contains the changes of state that the hosts which served the
// request logged shortly before and during it (configuration, targets, dependencies), because their decisions were
// based on this state. Thread-safe.
#pragma once

#include <string>
#include <vector>

namespace pimentosail
{

// Returns the timeline ordered by time, one event per line, or an empty string if no line has the id. Each line starts
// with the milliseconds since the start of the request; lines with the id are marked by `*`. Text before the JSON
// object of a line (such as a collector's prefix) and lines without a JSON object are ignored.
std::string explainRequest(const std::string &requestId, const std::vector<std::string> &lines);

} // namespace pimentosail
