#include "cli/checkconfiguration.h"

#include <fstream>
#include <sstream>
#include <vector>

#include "pimentosail/base/json.h"
#include "pimentosail/routing/configurationreview.h"
#include "platform/configurationcheck.h"
#include "platform/storeclient.h"
#include "platform/storevalues.h"

namespace pimentosail
{

namespace
{

constexpr int ExitClean = 0;
constexpr int ExitFindings = 1;
constexpr int ExitNotChecked = 2;

// Throws `Failure` (InvalidConfiguration).
std::string readText(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        throw Failure(ErrorKind::InvalidConfiguration, path + ": cannot be read, or is empty");
    }
    return text.str();
}

// Returns the version in force, or null if none was asked for. Throws `Failure` (InvalidConfiguration, KeyValueUnavailable).
ServingConfigurationPointer readInForce(const ConfigurationCheckRequest &request)
{
    if (request.otherFile.empty() && request.storeAddress.empty()) {
        return nullptr;
    }
    std::string source = request.otherFile;
    std::string text;
    if (!request.otherFile.empty()) {
        text = readText(request.otherFile);
    } else {
        source = "store " + request.storeAddress;
        const std::string key = platform::keyValueLayout().servingKey;
        for (const StoredItem &item : platform::makeStoreClient(request.storeAddress).list(key).items) {
            text = item.key == key ? item.value : text;
        }
        if (text.empty()) {
            throw Failure(ErrorKind::InvalidConfiguration, source + ": it has no configuration");
        }
    }
    Result<ServingConfigurationPointer> decoded = platform::decodeServing(text);
    if (!decoded) {
        throw Failure(ErrorKind::InvalidConfiguration, source + ": " + decoded.error().message);
    }
    return *decoded;
}

void print(const ConfigurationCheckRequest &request, const std::vector<platform::ConfigurationFinding> &findings, const std::vector<std::string> &differences,
    std::ostream &out)
{
    if (request.isJson) {
        Json::Value report;
        report["findings"] = Json::Value(Json::arrayValue);
        report["differences"] = Json::Value(Json::arrayValue);
        for (const platform::ConfigurationFinding &finding : findings) {
            Json::Value entry;
            entry["file"] = request.file;
            entry["line"] = Json::Int64(finding.line);
            entry["field"] = finding.field;
            entry["message"] = finding.message;
            report["findings"].append(entry);
        }
        for (const std::string &difference : differences) {
            report["differences"].append(difference);
        }
        out << printJson(report) << "\n";
        return;
    }
    for (const platform::ConfigurationFinding &finding : findings) {
        out << request.file << ":" << finding.line << ": " << (finding.field.empty() ? "" : finding.field + ": ") << finding.message << "\n";
    }
    for (const std::string &difference : differences) {
        out << "changes " << difference << "\n";
    }
}

} // namespace

int checkConfigurationFile(const ConfigurationCheckRequest &request, std::ostream &out, std::ostream &errors)
{
    try {
        platform::ConfigurationCheck check = platform::checkConfiguration(readText(request.file));
        const ServingConfigurationPointer inForce = readInForce(request);
        std::vector<std::string> differences;
        if (inForce && check.serving) {
            differences = describeServingDifference(inForce->all(), check.serving->all());
            if (!differences.empty()) {
                platform::checkVersion(check, *inForce);
            }
        }
        print(request, check.findings, differences, out);
        return check.findings.empty() ? ExitClean : ExitFindings;
    } catch (const std::exception &exception) {
        errors << "pimentosail: " << exception.what() << "\n";
        return ExitNotChecked;
    }
}

} // namespace pimentosail
