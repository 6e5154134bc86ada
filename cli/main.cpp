// pimentosail: the command line tool for operators.
//
// Exit codes: 0 done (diff: no difference), 1 diff found differences, 2 bad command line or invalid lists,
// 3 the daemon cannot be reached, 4 conflict with another operator's change, 5 the daemon refused. check-configuration: 0 nothing found,
// 1 findings, 2 could not be checked.

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include <cxxopts.hpp>

#include "cli/checkconfiguration.h"
#include "cli/printing.h"
#include "pimentosail/base/json.h"
#include "pimentosail/config/configuration.h"
#include "pimentosail/eventlog/explain.h"
#include "pimentosail/net/httpclient.h"

namespace
{

using namespace pimentosail;

constexpr int ExitDifferent = 1;
constexpr int ExitUsage = 2;
constexpr int ExitUnreachable = 3;
constexpr int ExitConflict = 4;
constexpr int ExitRefused = 5;
constexpr Duration CallTimeout = std::chrono::seconds(15);

constexpr const char *Help = R"(
Commands:
  check DIR              check DIR/plans.yaml and DIR/allowances.yaml
  diff DIR               show what applying DIR would change; prints the base revision
  apply DIR              apply DIR if the revision that was diffed is still in force (--revision N)
  get                    print the lists in force (--into DIR writes them)
  history                print the last changes
  zone out|in NAME       take an availability zone out of service or back in
  host out|in NAME       take a host out of service or back in
  status                 revision in force on each entry host, draining hosts, cold targets
  dump [HOST]            print the state of an entry host
  explain ID [FILE...]   print the timeline of a request from log files or standard input
  check-configuration FILE
                         check a configuration for entry hosts; --against FILE or --store IP:PORT prints what it changes

Examples:
  pimentosail check examples/winery
  pimentosail --host 127.0.0.1:18022 diff examples/winery
  pimentosail --host 127.0.0.1:18022 apply examples/winery --revision 3 --summary "more slots"
  pimentosail --host 127.0.0.1:18022 zone out melnik
  pimentosail --host 127.0.0.1:18022 status --output json
  pimentosail check-configuration next.json --against sent.json --json

The daemon is named by --host or the environment variable PIMENTOSAIL_HOST (IP:PORT, the internal address).
Exit codes: 0 done, 1 diff found differences, 2 usage or invalid lists, 3 unreachable, 4 conflict, 5 refused.
Exit codes of check-configuration: 0 nothing found, 1 findings, 2 could not be checked.)";

class UsageError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// The parsed command line.
struct Invocation
{
    // The command and what follows it, without options.
    std::vector<std::string> arguments;
    std::string host;
    std::string author;
    std::string summary;
    std::string outputDirectory;
    std::string otherFile;
    std::string storeAddress;
    // The revision that was diffed; negative if none was given.
    int64_t revision = -1;
    bool isJson = false;

    const std::string &argument(size_t index, const std::string &description) const
    {
        if (index >= this->arguments.size()) {
            throw UsageError("missing " + description + "; see --help");
        }
        return this->arguments[index];
    }
};

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        throw UsageError(path + ": cannot be read");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Json::Value callDaemon(const Invocation &invocation, const std::string &method, const std::string &path, const Json::Value &body)
{
    if (invocation.host.empty()) {
        throw UsageError("name a daemon by --host IP:PORT or PIMENTOSAIL_HOST");
    }
    HttpClient http;
    const HttpReply reply = http.call(invocation.host, {method, path, {}, body.isNull() ? "" : printJson(body)}, CallTimeout);
    const Json::Value value = parseJson(reply.body);
    if (reply.status != 200) {
        throw Failure(errorKindFromName(jsonString(value["error"], "kind")), jsonString(value["error"], "message"));
    }
    return value;
}

// Reads and checks plans.yaml and allowances.yaml in a directory. Throws `Failure` (InvalidConfiguration) with every problem.
Configuration readLists(const std::string &directory)
{
    Result<Configuration> lists = Configuration::fromLists(readFile(directory + "/plans.yaml"), readFile(directory + "/allowances.yaml"));
    if (!lists) {
        throw Failure(lists.error());
    }
    return *lists;
}

Configuration readConfigurationInForce(const Invocation &invocation)
{
    const Json::Value value = callDaemon(invocation, "GET", "/admin/v1/configuration", Json::Value());
    if (jsonInteger(value, "revision") == 0) {
        return Configuration();
    }
    Result<Configuration> configuration = Configuration::fromDocument(printJson(value));
    if (!configuration) {
        throw Failure(configuration.error());
    }
    return *configuration;
}

int check(const Invocation &invocation)
{
    const Configuration lists = readLists(invocation.argument(1, "directory"));
    std::cout << "valid: " << lists.lists.plans.size() << " plans, " << lists.lists.teams.size() << " teams, " << lists.lists.models.size() << " models\n";
    return 0;
}

// Returns a line for each change that applying a directory would make, and the revision in force that it was compared with.
std::pair<std::vector<std::string>, int64_t> differences(const Invocation &invocation, const std::string &directory)
{
    const Configuration current = readConfigurationInForce(invocation);
    Configuration next = readLists(directory);
    next.zonesOut = current.zonesOut;
    next.hostsOut = current.hostsOut;
    return {describeDifference(current, next), current.revision};
}

int diff(const Invocation &invocation)
{
    const auto [lines, revision] = differences(invocation, invocation.argument(1, "directory"));
    printDifferences(lines, revision, invocation.isJson);
    return lines.empty() ? 0 : ExitDifferent;
}

int apply(const Invocation &invocation)
{
    const std::string &directory = invocation.argument(1, "directory");
    const auto [lines, current] = differences(invocation, directory);
    const int64_t base = invocation.revision >= 0 ? invocation.revision : current;
    if (lines.empty() && base == current) {
        std::cout << "nothing to change; revision " << current << " is in force\n";
        return 0;
    }
    printDifferences(lines, base, invocation.isJson);
    Json::Value body;
    body["plans"] = readFile(directory + "/plans.yaml");
    body["allowances"] = readFile(directory + "/allowances.yaml");
    body["base_revision"] = Json::Int64(base);
    body["author"] = invocation.author;
    body["summary"] = invocation.summary;
    const Json::Value accepted = callDaemon(invocation, "POST", "/admin/v1/configuration", body);
    std::cout << "accepted as revision " << jsonInteger(accepted, "revision") << "\n";
    return 0;
}

int get(const Invocation &invocation)
{
    const Configuration configuration = readConfigurationInForce(invocation);
    if (!invocation.outputDirectory.empty()) {
        std::ofstream(invocation.outputDirectory + "/plans.yaml") << configuration.plansText;
        std::ofstream(invocation.outputDirectory + "/allowances.yaml") << configuration.allowancesText;
        std::cout << "wrote revision " << configuration.revision << " into " << invocation.outputDirectory << "\n";
        return 0;
    }
    printConfiguration(configuration, invocation.isJson);
    return 0;
}

int outage(const Invocation &invocation)
{
    const std::string &outOrIn = invocation.argument(1, "out or in");
    if (outOrIn != "out" && outOrIn != "in") {
        throw UsageError("expected out or in, found '" + outOrIn + "'");
    }
    Json::Value body;
    body["kind"] = invocation.argument(0, "command");
    body["name"] = invocation.argument(2, "name");
    body["out"] = outOrIn == "out";
    body["author"] = invocation.author;
    const Json::Value accepted = callDaemon(invocation, "POST", "/admin/v1/outage", body);
    std::cout << invocation.arguments[0] << " " << invocation.arguments[2] << " " << outOrIn << ", accepted as revision " << jsonInteger(accepted, "revision")
              << "\n";
    return 0;
}

int explain(const Invocation &invocation);

int run(const Invocation &invocation)
{
    const std::string &command = invocation.argument(0, "command");
    if (command == "check") {
        return check(invocation);
    }
    if (command == "check-configuration") {
        return checkConfigurationFile({invocation.argument(1, "file"), invocation.otherFile, invocation.storeAddress, invocation.isJson}, std::cout, std::cerr);
    }
    if (command == "diff") {
        return diff(invocation);
    }
    if (command == "apply") {
        return apply(invocation);
    }
    if (command == "get") {
        return get(invocation);
    }
    if (command == "history") {
        printHistory(readConfigurationInForce(invocation), invocation.isJson);
        return 0;
    }
    if (command == "zone" || command == "host") {
        return outage(invocation);
    }
    if (command == "status") {
        printStatus(callDaemon(invocation, "GET", "/admin/v1/status", Json::Value()), invocation.isJson);
        return 0;
    }
    if (command == "dump") {
        const std::string host = invocation.arguments.size() > 1 ? "?host=" + invocation.arguments[1] : "";
        std::cout << printJsonIndented(callDaemon(invocation, "GET", "/admin/v1/dump" + host, Json::Value())) << "\n";
        return 0;
    }
    if (command == "explain") {
        return explain(invocation);
    }
    const std::string nearest
        = nearestName(command, {"check", "check-configuration", "diff", "apply", "get", "history", "zone", "host", "status", "dump", "explain"});
    throw UsageError("unknown command '" + command + "'" + (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
}

// Prints the timeline of a request from log files or, for "-" or without files, from standard input.
int explain(const Invocation &invocation)
{
    if (invocation.arguments.size() < 2) {
        throw UsageError("explain: a request id is needed");
    }
    std::vector<std::string> paths(invocation.arguments.begin() + 2, invocation.arguments.end());
    if (paths.empty()) {
        paths.emplace_back("-");
    }
    std::vector<std::string> lines;
    for (const std::string &path : paths) {
        std::ifstream file;
        if (path != "-") {
            file.open(path);
            if (!file) {
                throw UsageError(path + ": cannot be read");
            }
        }
        std::istream &in = path == "-" ? std::cin : file;
        for (std::string line; std::getline(in, line);) {
            lines.push_back(std::move(line));
        }
    }
    const std::string timeline = explainRequest(invocation.arguments[1], lines);
    if (timeline.empty()) {
        std::cerr << "no log line has the id " << invocation.arguments[1] << "\n";
        return ExitRefused;
    }
    std::cout << timeline;
    return 0;
}

int exitCodeFor(const Error &error)
{
    switch (error.kind) {
    case ErrorKind::InvalidConfiguration:
        return ExitUsage;
    case ErrorKind::PeerLost:
        return ExitUnreachable;
    case ErrorKind::Conflict:
        return ExitConflict;
    default:
        return ExitRefused;
    }
}

Invocation parse(int argc, char **argv, bool &wantsHelp)
{
    const char *hostVariable = std::getenv("PIMENTOSAIL_HOST");
    const char *userVariable = std::getenv("USER");
    cxxopts::Options options("pimentosail", "Operates a pimentosail deployment");
    options.positional_help("COMMAND [ARGUMENT...]");
    options.add_options()("host", "internal address of any daemon, IP:PORT",
        cxxopts::value<std::string>()->default_value(hostVariable == nullptr ? "" : hostVariable))("output", "text or json",
        cxxopts::value<std::string>()->default_value("text"))("revision", "revision that was diffed", cxxopts::value<int64_t>()->default_value("-1"))(
        "author", "who makes the change", cxxopts::value<std::string>()->default_value(userVariable == nullptr ? "operator" : userVariable))(
        "summary", "why the change is made", cxxopts::value<std::string>()->default_value("lists applied"))(
        "against", "file with the configuration in force", cxxopts::value<std::string>()->default_value(""))(
        "store", "address of the store with the configuration in force, IP:PORT", cxxopts::value<std::string>()->default_value(""))(
        "json", "the same as --output json")("into", "directory that get writes the lists into", cxxopts::value<std::string>()->default_value(""))(
        "h,help", "show this help")("words", "command and arguments", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    wantsHelp = arguments.count("help") != 0 || arguments.count("words") == 0;
    if (wantsHelp) {
        std::cout << options.help() << Help << "\n";
        return {};
    }
    const std::string output = arguments["output"].as<std::string>();
    if (output != "text" && output != "json") {
        throw UsageError("--output: expected text or json, found '" + output + "'");
    }
    return {arguments["words"].as<std::vector<std::string>>(), arguments["host"].as<std::string>(), arguments["author"].as<std::string>(),
        arguments["summary"].as<std::string>(), arguments["into"].as<std::string>(), arguments["against"].as<std::string>(),
        arguments["store"].as<std::string>(), arguments["revision"].as<int64_t>(), output == "json" || arguments.count("json") != 0};
}

} // namespace

int main(int argc, char **argv)
{
    try {
        bool wantsHelp = false;
        const Invocation invocation = parse(argc, argv, wantsHelp);
        return wantsHelp ? (argc > 1 ? 0 : ExitUsage) : run(invocation);
    } catch (const Failure &failure) {
        std::cerr << "pimentosail: " << failure.what() << "\n";
        return exitCodeFor(failure.error);
    } catch (const std::exception &exception) {
        std::cerr << "pimentosail: " << exception.what() << "\n";
        return ExitUsage;
    }
}
