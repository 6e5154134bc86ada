#include "cli/printing.h"

#include <cstdio>
#include <ctime>
#include <iostream>

#include "pimentosail/base/json.h"

namespace pimentosail
{

namespace
{

constexpr size_t MaxTimeLength = 32;

std::string formatTime(int64_t wallMilliseconds)
{
    const auto seconds = static_cast<std::time_t>(wallMilliseconds / 1000);
    std::tm calendarTime{};
    gmtime_r(&seconds, &calendarTime);
    char text[MaxTimeLength];
    std::strftime(text, sizeof(text), "%Y-%m-%d %H:%M:%SZ", &calendarTime);
    return text;
}

void printTargets(const Json::Value &host)
{
    for (const Json::Value &target : host["targets"]) {
        const std::string state = target["state"].asString();
        const bool cold = target["cold"].asBool();
        if (state == "usable" && !cold) {
            continue;
        }
        std::printf("  target %-20s zone %-12s %s%s, %d in flight\n", target["name"].asCString(), target["zone"].asCString(), state.c_str(),
            cold ? ", cold" : "", target["in_flight"].asInt());
    }
}

} // namespace

void printDifferences(const std::vector<std::string> &lines, int64_t baseRevision, bool isJson)
{
    if (isJson) {
        Json::Value value;
        value["base_revision"] = Json::Int64(baseRevision);
        value["differences"] = Json::Value(Json::arrayValue);
        for (const std::string &line : lines) {
            value["differences"].append(line);
        }
        std::cout << printJson(value) << "\n";
        return;
    }
    for (const std::string &line : lines) {
        std::cout << line << "\n";
    }
    std::cout << "base revision " << baseRevision << (lines.empty() ? ", no difference" : "") << "\n";
}

void printConfiguration(const Configuration &configuration, bool isJson)
{
    if (isJson) {
        std::cout << configuration.toDocument() << "\n";
        return;
    }
    std::cout << "# revision " << configuration.revision << "\n# plans.yaml\n"
              << configuration.plansText << "# allowances.yaml\n"
              << configuration.allowancesText;
    for (const std::string &zone : configuration.zonesOut) {
        std::cout << "# zone out: " << zone << "\n";
    }
    for (const std::string &host : configuration.hostsOut) {
        std::cout << "# host out: " << host << "\n";
    }
}

void printHistory(const Configuration &configuration, bool isJson)
{
    if (isJson) {
        std::cout << printJson(parseJson(configuration.toDocument())["history"]) << "\n";
        return;
    }
    for (size_t index = configuration.history.size(); index-- > 0;) {
        const ConfigurationChange &change = configuration.history[index];
        std::printf("%6lld  %s  %-16s %s\n", static_cast<long long>(change.revision), formatTime(change.wallMilliseconds).c_str(), change.author.c_str(),
            change.summary.c_str());
    }
}

void printStatus(const Json::Value &status, bool isJson)
{
    if (isJson) {
        std::cout << printJson(status) << "\n";
        return;
    }
    std::printf("%-12s %-14s %-6s %-10s %9s %11s\n", "host", "zone", "ready", "authority", "revision", "generation");
    for (const Json::Value &host : status["hosts"]) {
        if (host.isMember("error")) {
            std::printf("%-12s unreachable: %s\n", host["name"].asCString(), host["error"].asCString());
            continue;
        }
        std::printf("%-12s %-14s %-6s %-10s %9lld %11lld\n", host["name"].asCString(), host["zone"].asCString(), host["ready"].asBool() ? "yes" : "no",
            host["has_authority"].asBool() ? "confirmed" : "no", static_cast<long long>(host["revision"].asInt64()),
            static_cast<long long>(host["generation"].asInt64()));
        printTargets(host);
    }
}

} // namespace pimentosail
