// Prints the results of the commands to standard output, as text or as JSON.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <json/value.h>

#include "pimentosail/config/configuration.h"

namespace pimentosail
{

// Prints the lines of a difference and the revision that it is based on.
void printDifferences(const std::vector<std::string> &lines, int64_t baseRevision, bool isJson);

// Prints both lists, and the zones and hosts that are out of service.
void printConfiguration(const Configuration &configuration, bool isJson);

// Prints the last changes, newest first.
void printHistory(const Configuration &configuration, bool isJson);

// Prints a line for each entry host and for each target that is cold or not usable.
void printStatus(const Json::Value &status, bool isJson);

} // namespace pimentosail
