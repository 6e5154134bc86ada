// pimentosaild: the daemon of an entry host.
//
// Exit codes: 0 stopped after all requests had ended, 1 requests were interrupted, 2 bad command line or settings,
// 3 cannot start.

#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>

#include <cxxopts.hpp>

#include "pimentosail/base/statelog.h"
#include "pimentosail/config/settings.h"
#include "pimentosail/serve/process.h"

namespace
{

using namespace pimentosail;

constexpr int ExitInterrupted = 1;
constexpr int ExitUsage = 2;
constexpr int ExitCannotStart = 3;
constexpr Duration SignalPollInterval = Milliseconds(50);

volatile std::sig_atomic_t terminateSignals = 0;

void onTerminate(int /*signal*/)
{
    terminateSignals = terminateSignals + 1;
}

std::optional<Settings> readSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    Diagnostics problems;
    std::optional<Settings> settings = parseSettings(text.str(), path, problems);
    std::cerr << formatDiagnostics(problems);
    return settings;
}

int serve(const Settings &settings)
{
    startLogging("pimentosaild");
    std::signal(SIGTERM, onTerminate);
    std::signal(SIGINT, onTerminate);
    std::signal(SIGPIPE, SIG_IGN);
    Clock clock;
    Result<std::unique_ptr<Process>> process = Process::create(settings, clock);
    if (!process) {
        std::cerr << process.error().message << "\n";
        return ExitCannotStart;
    }
    (*process)->start();
    while (terminateSignals == 0) {
        clock.sleepFor(SignalPollInterval);
    }
    const long interrupted = (*process)->shutDown([] { return terminateSignals > 1; });
    if (interrupted > 0) {
        std::cerr << "interrupted " << interrupted << " running requests\n";
        // The threads of these requests still run, so the process exits without destroying the objects that they use.
        std::_Exit(ExitInterrupted);
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("pimentosaild", "Entry host daemon of pimentosail");
    options.add_options()("config", "settings file (YAML)", cxxopts::value<std::string>())("check", "check the settings and exit")("h,help", "show this help");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0 || arguments.count("config") == 0) {
            std::cout << options.help();
            return arguments.count("help") != 0 ? 0 : ExitUsage;
        }
        const std::optional<Settings> settings = readSettings(arguments["config"].as<std::string>());
        if (!settings) {
            return ExitUsage;
        }
        if (arguments.count("check") != 0) {
            std::cout << "settings are valid\n";
            return 0;
        }
        return serve(*settings);
    } catch (const std::exception &exception) {
        std::cerr << exception.what() << "\n";
        return ExitUsage;
    }
}
