// The command `check-configuration`: reports what is wrong with a configuration file, and what it would change, before it is sent.
//
//     const int exitCode = checkConfigurationFile({.file = "config.json", .otherFile = "sent.json"}, std::cout, std::cerr);
//
// Not thread-safe.
#pragma once

#include <ostream>
#include <string>

namespace pimentosail
{

struct ConfigurationCheckRequest
{
    std::string file;
    // The version in force: a second file, or the address (`IP:PORT`) of the store that has it. Differences are reported if one is given.
    std::string otherFile;
    std::string storeAddress;
    bool isJson = false;
};

// Prints the report to `out`, and why something could not be checked to `errors`. Returns 0 if nothing was found (differences are no finding),
// 1 if something was, 2 if the file or the version in force could not be read.
int checkConfigurationFile(const ConfigurationCheckRequest &request, std::ostream &out, std::ostream &errors);

} // namespace pimentosail
