#include "pimentosail/config/yamlreader.h"

#include <algorithm>
#include <numeric>

namespace pimentosail
{

namespace
{

constexpr size_t MaxSuggestionDistance = 3;

size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (size_t i = 1; i <= left.size(); ++i) {
        size_t diagonal = row[0];
        row[0] = i;
        for (size_t j = 1; j <= right.size(); ++j) {
            const size_t substitution = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitution});
        }
    }
    return row.back();
}

} // namespace

std::string formatDiagnostics(const Diagnostics &problems)
{
    std::string text;
    for (const Diagnostic &problem : problems) {
        text += problem.file + ":" + std::to_string(problem.line) + ":" + std::to_string(problem.column) + ": " + problem.message + "\n";
    }
    return text;
}

std::string nearestName(std::string_view name, const std::vector<std::string> &candidates)
{
    std::string best;
    size_t bestDistance = MaxSuggestionDistance + 1;
    for (const std::string &candidate : candidates) {
        const size_t distance = editDistance(name, candidate);
        if (distance < bestDistance && distance < candidate.size()) {
            best = candidate;
            bestDistance = distance;
        }
    }
    return best;
}

YAML::Node parseYaml(const std::string &text, const std::string &file, Diagnostics &problems)
{
    try {
        return YAML::Load(text);
    } catch (const YAML::Exception &exception) {
        problems.push_back({file, exception.mark.line + 1, exception.mark.column + 1, "YAML syntax: " + exception.msg});
        return YAML::Node();
    }
}

MapReader::MapReader(const YAML::Node &mapNode, std::string fileName, Diagnostics &problemList)
    : node(mapNode)
    , file(std::move(fileName))
    , problems(problemList)
{
    if (!this->node.IsMap()) {
        this->reportAt(this->node, "expected a mapping of keys to values");
        return;
    }
    std::set<std::string> seen;
    for (const auto &entry : this->node) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : std::string();
        if (!seen.insert(key).second) {
            this->reportAt(entry.first, "key '" + key + "' is given twice");
        }
    }
}

YAML::Node MapReader::find(const std::string &key)
{
    this->knownKeys.insert(key);
    if (!this->node.IsMap()) {
        return YAML::Node(YAML::NodeType::Undefined);
    }
    for (const auto &entry : this->node) {
        if (entry.first.IsScalar() && entry.first.Scalar() == key) {
            return entry.second;
        }
    }
    return YAML::Node(YAML::NodeType::Undefined);
}

void MapReader::reportAt(const YAML::Node &offendingNode, const std::string &message)
{
    const YAML::Mark mark = offendingNode.Mark();
    this->problems.push_back({this->file, std::max(mark.line, 0) + 1, std::max(mark.column, 0) + 1, message});
}

void MapReader::report(const std::string &key, const std::string &message)
{
    const YAML::Node value = this->find(key);
    this->reportAt(value.IsDefined() ? value : this->node, message);
}

std::string MapReader::requiredString(const std::string &key)
{
    const YAML::Node value = this->find(key);
    if (!value.IsDefined()) {
        this->reportAt(this->node, "missing key '" + key + "'");
        return {};
    }
    if (!value.IsScalar() || value.Scalar().empty()) {
        this->reportAt(value, "key '" + key + "': expected a nonempty string");
        return {};
    }
    return value.Scalar();
}

std::string MapReader::string(const std::string &key, const std::string &fallback)
{
    const YAML::Node value = this->find(key);
    if (!value.IsDefined()) {
        return fallback;
    }
    if (!value.IsScalar()) {
        this->reportAt(value, "key '" + key + "': expected a string");
        return fallback;
    }
    return value.Scalar();
}

int64_t MapReader::checkedInteger(const YAML::Node &value, const std::string &key, int64_t fallback, int64_t minimum, int64_t maximum)
{
    int64_t number = fallback;
    if (!value.IsScalar() || !YAML::convert<int64_t>::decode(value, number)) {
        this->reportAt(value, "key '" + key + "': expected an integer");
        return fallback;
    }
    if (number < minimum || number > maximum) {
        this->reportAt(value, "key '" + key + "': expected " + std::to_string(minimum) + " to " + std::to_string(maximum) + ", found " + value.Scalar());
        return fallback;
    }
    return number;
}

int64_t MapReader::integer(const std::string &key, int64_t fallback, int64_t minimum, int64_t maximum)
{
    const YAML::Node value = this->find(key);
    return value.IsDefined() ? this->checkedInteger(value, key, fallback, minimum, maximum) : fallback;
}

int64_t MapReader::requiredInteger(const std::string &key, int64_t minimum, int64_t maximum)
{
    const YAML::Node value = this->find(key);
    if (!value.IsDefined()) {
        this->reportAt(this->node, "missing key '" + key + "'");
        return minimum;
    }
    return this->checkedInteger(value, key, minimum, minimum, maximum);
}

bool MapReader::boolean(const std::string &key, bool fallback)
{
    const YAML::Node value = this->find(key);
    if (!value.IsDefined()) {
        return fallback;
    }
    bool result = fallback;
    if (!value.IsScalar() || !YAML::convert<bool>::decode(value, result)) {
        this->reportAt(value, "key '" + key + "': expected true or false");
        return fallback;
    }
    return result;
}

std::vector<std::string> MapReader::strings(const std::string &key)
{
    std::vector<std::string> result;
    const YAML::Node value = this->find(key);
    if (!value.IsDefined()) {
        return result;
    }
    if (!value.IsSequence()) {
        this->reportAt(value, "key '" + key + "': expected a list of names");
        return result;
    }
    for (const auto &item : value) {
        if (!item.IsScalar() || item.Scalar().empty()) {
            this->reportAt(item, "key '" + key + "': expected a name");
            continue;
        }
        if (std::find(result.begin(), result.end(), item.Scalar()) != result.end()) {
            this->reportAt(item, "'" + item.Scalar() + "' is listed twice");
        }
        result.push_back(item.Scalar());
    }
    return result;
}

std::string MapReader::choice(const std::string &key, const std::string &fallback, const std::vector<std::string> &choices)
{
    const std::string value = this->string(key, fallback);
    if (std::find(choices.begin(), choices.end(), value) != choices.end()) {
        return value;
    }
    std::string expected;
    for (const std::string &candidate : choices) {
        expected += (expected.empty() ? "" : ", ") + candidate;
    }
    const std::string nearest = nearestName(value, choices);
    this->report(
        key, "key '" + key + "': expected one of " + expected + ", found '" + value + "'" + (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
    return fallback;
}

void MapReader::eachMap(const std::string &key, const std::function<void(MapReader &)> &visit)
{
    const YAML::Node value = this->find(key);
    if (!value.IsDefined()) {
        return;
    }
    if (!value.IsSequence()) {
        this->reportAt(value, "key '" + key + "': expected a list");
        return;
    }
    for (const auto &item : value) {
        MapReader reader(item, this->file, this->problems);
        visit(reader);
        reader.finish();
    }
}

void MapReader::finish()
{
    if (!this->node.IsMap()) {
        return;
    }
    const std::vector<std::string> names(this->knownKeys.begin(), this->knownKeys.end());
    for (const auto &entry : this->node) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : std::string();
        if (this->knownKeys.count(key) != 0) {
            continue;
        }
        const std::string nearest = nearestName(key, names);
        this->reportAt(entry.first, "unknown key '" + key + "'" + (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
    }
}

} // namespace pimentosail
