// Reads and checks YAML mappings. Each problem is reported with file, line, column, what was expected and, for a misspelt
// name, the most similar valid name.
//
//     Diagnostics problems;
//     MapReader reader(document, "plans.yaml", problems);
//     std::string name = reader.requiredString("name");
//     int64_t limit = reader.integer("limit", 8, 1, 1000);
//     reader.finish();  // reports unknown keys
//
// Not thread-safe; use one reader per thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

namespace pimentosail
{

// A problem in a configuration text. Lines and columns count from 1.
struct Diagnostic
{
    std::string file;
    int line = 0;
    int column = 0;
    std::string message;
};

using Diagnostics = std::vector<Diagnostic>;

// Prints problems as `file:line:column: message`, one on each line.
std::string formatDiagnostics(const Diagnostics &problems);

// Returns the candidate with the smallest edit distance to `name`, or an empty string if that distance is
// above 3 or not below the length of the candidate.
std::string nearestName(std::string_view name, const std::vector<std::string> &candidates);

// Parses `text` as one YAML document. Adds a problem and returns a null node if the syntax is wrong.
YAML::Node parseYaml(const std::string &text, const std::string &file, Diagnostics &problems);

// Reads the fields of one mapping. A reading function that finds a problem reports it and returns a fallback value.
class MapReader
{
public:
    // Starts reading `node`. Reports a problem if it is not a mapping or repeats a key.
    MapReader(const YAML::Node &node, std::string file, Diagnostics &problems);

    // Returns a required field that must be a nonempty scalar.
    std::string requiredString(const std::string &key);

    // Returns an optional scalar field.
    std::string string(const std::string &key, const std::string &fallback);

    // Returns an optional integer field within [minimum, maximum].
    int64_t integer(const std::string &key, int64_t fallback, int64_t minimum, int64_t maximum);

    // Returns a required integer field within [minimum, maximum].
    int64_t requiredInteger(const std::string &key, int64_t minimum, int64_t maximum);

    // Returns an optional boolean field.
    bool boolean(const std::string &key, bool fallback);

    // Returns an optional list of nonempty scalars, which must differ from each other.
    std::vector<std::string> strings(const std::string &key);

    // Returns an optional field that must be one of `choices`.
    std::string choice(const std::string &key, const std::string &fallback, const std::vector<std::string> &choices);

    // Calls `visit` with a reader for each mapping of the list `key`, then checks each for unknown keys.
    void eachMap(const std::string &key, const std::function<void(MapReader &)> &visit);

    // Reports a problem at the value of `key`, or at the mapping if the key is absent.
    void report(const std::string &key, const std::string &message);

    // Reports every key of the mapping that no call has read. Call it once, after all reads.
    void finish();

private:
    // Returns the value of `key`, or an undefined node, and marks the key as known.
    YAML::Node find(const std::string &key);
    void reportAt(const YAML::Node &offendingNode, const std::string &message);
    int64_t checkedInteger(const YAML::Node &node, const std::string &key, int64_t fallback, int64_t minimum, int64_t maximum);

    YAML::Node node;
    std::string file;
    Diagnostics &problems;
    std::set<std::string> knownKeys;
};

} // namespace pimentosail
