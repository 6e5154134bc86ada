// Tells the story of one request from the logs of several hosts.
//
//     std::string story = explainRequest("9c41d07be2a35f68", lines);
//
// Besides the lines that carry the request's id, the story holds what the host that served it had come to believe
// shortly before (configuration, targets, dependencies), since that is what its decisions rest on.
#pragma once

#include <string>
#include <vector>

namespace pimentosail
{

// Returns the story in time order, one event a line, or an empty string if no line has the id. Text before the JSON
// object of a line (such as a collector's prefix) and lines without one are ignored.
std::string explainRequest(const std::string &requestId, const std::vector<std::string> &lines);

} // namespace pimentosail
