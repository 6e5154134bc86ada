#include "pimentosail/config/configuration.h"

#include <algorithm>
#include <sstream>

#include "pimentosail/base/json.h"

namespace pimentosail
{

namespace
{

// Number of latest changes that the stored document contains.
constexpr size_t MaxHistory = 50;
// Largest table for a comparison by lines: 16 MB of 4-byte cells.
constexpr size_t MaxDifferenceCells = 4'000'000;

std::set<std::string> readNames(const Json::Value &document, const char *key)
{
    std::set<std::string> names;
    for (const Json::Value &name : document[key]) {
        names.insert(name.asString());
    }
    return names;
}

Json::Value printNames(const std::set<std::string> &names)
{
    Json::Value list(Json::arrayValue);
    for (const std::string &name : names) {
        list.append(name);
    }
    return list;
}

std::vector<std::string> splitLines(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

// Appends the lines in which two texts differ, found by their longest common subsequence.
void appendTextDifference(const std::string &file, const std::string &before, const std::string &after, std::vector<std::string> &result)
{
    if (before == after) {
        return;
    }
    const std::vector<std::string> left = splitLines(before);
    const std::vector<std::string> right = splitLines(after);
    if ((left.size() + 1) * (right.size() + 1) > MaxDifferenceCells) {
        result.push_back(file + ": changed (too long to compare by line)");
        return;
    }
    // `commonLength[i][j]` is the length of the longest common subsequence of the lines from `left[i]` on and those from
    // `right[j]` on.
    std::vector<std::vector<uint32_t>> commonLength(left.size() + 1, std::vector<uint32_t>(right.size() + 1, 0));
    for (size_t i = left.size(); i-- > 0;) {
        for (size_t j = right.size(); j-- > 0;) {
            commonLength[i][j] = left[i] == right[j] ? commonLength[i + 1][j + 1] + 1 : std::max(commonLength[i + 1][j], commonLength[i][j + 1]);
        }
    }
    size_t i = 0;
    size_t j = 0;
    while (i < left.size() || j < right.size()) {
        if (i < left.size() && j < right.size() && left[i] == right[j]) {
            ++i;
            ++j;
        } else if (j >= right.size() || (i < left.size() && commonLength[i + 1][j] >= commonLength[i][j + 1])) {
            result.push_back(file + ": - " + left[i++]);
        } else {
            result.push_back(file + ": + " + right[j++]);
        }
    }
}

void appendSetDifference(const std::string &kind, const std::set<std::string> &before, const std::set<std::string> &after, std::vector<std::string> &result)
{
    for (const std::string &name : after) {
        if (before.count(name) == 0) {
            result.push_back(kind + " " + name + ": out");
        }
    }
    for (const std::string &name : before) {
        if (after.count(name) == 0) {
            result.push_back(kind + " " + name + ": in");
        }
    }
}

} // namespace

Result<Configuration> Configuration::fromLists(const std::string &plansText, const std::string &allowancesText)
{
    Diagnostics problems;
    std::optional<Lists> lists = parseLists(plansText, allowancesText, problems);
    if (!lists) {
        return failed(ErrorKind::InvalidConfiguration, formatDiagnostics(problems));
    }
    Configuration configuration;
    configuration.plansText = plansText;
    configuration.allowancesText = allowancesText;
    configuration.lists = std::move(*lists);
    return configuration;
}

Result<Configuration> Configuration::fromDocument(const std::string &document)
{
    try {
        const Json::Value value = parseJson(document);
        Result<Configuration> configuration = fromLists(jsonString(value, "plans"), jsonString(value, "allowances"));
        if (!configuration) {
            return configuration;
        }
        configuration->revision = jsonInteger(value, "revision");
        configuration->nonce = jsonString(value, "nonce");
        configuration->zonesOut = readNames(value, "zones_out");
        configuration->hostsOut = readNames(value, "hosts_out");
        for (const Json::Value &change : value["history"]) {
            configuration->history.push_back(
                {jsonInteger(change, "revision"), jsonInteger(change, "wall_ms"), jsonString(change, "author"), jsonString(change, "summary")});
        }
        return configuration;
    } catch (const Failure &failure) {
        return failed(ErrorKind::InvalidConfiguration, failure.what());
    } catch (const Json::Exception &exception) {
        return failed(ErrorKind::InvalidConfiguration, exception.what());
    }
}

std::string Configuration::toDocument() const
{
    Json::Value value;
    value["revision"] = Json::Int64(this->revision);
    value["nonce"] = this->nonce;
    value["plans"] = this->plansText;
    value["allowances"] = this->allowancesText;
    value["zones_out"] = printNames(this->zonesOut);
    value["hosts_out"] = printNames(this->hostsOut);
    value["history"] = Json::Value(Json::arrayValue);
    const size_t first = this->history.size() > MaxHistory ? this->history.size() - MaxHistory : 0;
    for (size_t index = first; index < this->history.size(); ++index) {
        const ConfigurationChange &change = this->history[index];
        Json::Value item;
        item["revision"] = Json::Int64(change.revision);
        item["wall_ms"] = Json::Int64(change.wallMilliseconds);
        item["author"] = change.author;
        item["summary"] = change.summary;
        value["history"].append(item);
    }
    return printJson(value);
}

std::vector<std::string> describeDifference(const Configuration &before, const Configuration &after)
{
    std::vector<std::string> result;
    appendTextDifference("plans.yaml", before.plansText, after.plansText, result);
    appendTextDifference("allowances.yaml", before.allowancesText, after.allowancesText, result);
    appendSetDifference("zone", before.zonesOut, after.zonesOut, result);
    appendSetDifference("host", before.hostsOut, after.hostsOut, result);
    return result;
}

} // namespace pimentosail
