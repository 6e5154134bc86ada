// Starts a whole deployment on this machine as separate processes: the stand-ins of the outside systems and the entry
// daemons. For the demonstration, the failure tests and the experiments; no part of the product.
//
//     LocalFleet fleet(FleetPlan::winery(3), buildDirectory, 18000);
//     fleet.start();
//     fleet.signal("entry-1", SIGKILL);
//     std::string url = fleet.callerAddress("entry-2");
//
// Ends every process it started when it is destroyed. Not thread-safe, but for the HTTP helpers.
#pragma once

#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

#include <json/value.h>

#include "pimentosail/base/clock.h"
#include "pimentosail/net/httpclient.h"

namespace pimentosail::testing
{

// A process of the deployment.
struct FleetProcess
{
    std::string name;
    // Kind of stand-in; "entry" for a daemon.
    std::string kind;
    std::string pool;
    std::string zone;
    std::map<std::string, std::string> options;
};

// What to start.
struct FleetPlan
{
    std::string deployment;
    std::vector<std::string> zones;
    std::vector<FleetProcess> processes;
    // Extra settings lines for each daemon.
    std::map<std::string, std::string> settings;
    std::string plansText;
    std::string allowancesText;

    // The deployments of examples/, with `entries` daemons and the full or a reduced number of engines.
    static FleetPlan fromExample(const std::string &sourceDirectory, const std::string &deployment, int entries, bool reduced);
};

class LocalFleet
{
public:
    LocalFleet(FleetPlan fleetPlan, std::string buildDirectory, std::string workDirectory, int firstPort);
    ~LocalFleet();

    // Starts everything, applies the lists and waits until every daemon is ready and its targets are usable.
    // Throws `std::runtime_error` if that takes too long.
    void start();

    // Sends a signal to a process; with SIGKILL also waits for its end.
    void signal(const std::string &name, int signalNumber);

    // Waits until a process has ended; returns its exit code, or -1 after `timeout`.
    int waitForEnd(const std::string &name, Duration timeout);

    // Starts a process that has ended again.
    void restart(const std::string &name);

    // Waits until a daemon says that it is ready and its targets are usable.
    bool waitReady(const std::string &name, Duration timeout);

    // Returns whether a daemon's /readyz says that it takes callers, as the balancer asks.
    bool isReady(const std::string &name);

    // Sets a fault of a stand-in.
    void fault(const std::string &name, const std::string &faultName, int64_t value);

    // Returns addresses, `IP:PORT`.
    std::string callerAddress(const std::string &entry) const;
    std::string address(const std::string &name) const;

    // Returns the names of all processes of a kind.
    std::vector<std::string> names(const std::string &kind) const;

    // Performs an HTTP exchange and parses the answer as JSON. Throws `Failure`.
    Json::Value getJson(const std::string &name, const std::string &path);
    Json::Value postJson(const std::string &name, const std::string &path, const Json::Value &body);
    HttpReply post(const std::string &address, const std::string &path, const Headers &headers, const std::string &body, Duration timeout);

    // Returns the process id.
    pid_t pid(const std::string &name) const;

private:
    struct Running
    {
        FleetProcess process;
        int port = 0;
        int callerPort = 0;
        pid_t pid = 0;
        int exitCode = -1;
    };

    void launch(Running &running);
    void writeSettings(const Running &running) const;
    void sendHostList();
    bool waitAnswering(const std::string &name, const std::string &path, Duration timeout);
    Running &find(const std::string &name);
    const Running &find(const std::string &name) const;

    FleetPlan plan;
    std::string buildDirectory;
    std::string workDirectory;
    int firstPort;
    Clock clock;
    HttpClient http;
    std::vector<Running> processes;
};

} // namespace pimentosail::testing
