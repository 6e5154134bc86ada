// Runs a deployment on this machine as separate processes: the entry daemons and stand-ins for the external systems. For the
// demonstration, the failure tests and the experiments; not part of the product.
//
//     LocalFleet fleet(FleetPlan::fromExample(sourceDirectory, "winery", 3, true), buildDirectory, workDirectory, 18000);
//     fleet.start();
//     fleet.signal("entry-1", SIGKILL);
//     std::string address = fleet.callerAddress("entry-2");
//
// The destructor kills all processes. Settings and logs of the processes are in the work directory. Not thread-safe, except
// for const functions and the HTTP helpers (`isReady`, `fault`, `getJson`, `postJson`, `post`).
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

// The processes to start and the configuration to apply.
struct FleetPlan
{
    std::string deployment;
    std::vector<std::string> zones;
    std::vector<FleetProcess> processes;
    // Extra settings lines for each daemon.
    std::map<std::string, std::string> settings;
    std::string plansText;
    std::string allowancesText;

    // Returns a deployment of examples/ with `entries` daemons, and with the full or a reduced number of engines.
    static FleetPlan fromExample(const std::string &sourceDirectory, const std::string &deployment, int entries, bool reduced);
};

class LocalFleet
{
public:
    // Process number i listens on `firstPort` + i; a daemon listens for callers on that port + 500.
    LocalFleet(FleetPlan fleetPlan, std::string buildDirectory, std::string workDirectory, int firstPort);
    ~LocalFleet();

    // Starts all processes, applies the configuration lists and waits until every daemon is ready and its targets are usable.
    // Throws `std::runtime_error` if a process does not start or become ready within 30 s, and `Failure` if the
    // configuration is refused.
    void start();

    // Sends a signal to a process; with SIGKILL also waits for its end.
    void signal(const std::string &name, int signalNumber);

    // Waits until a process has ended; returns its exit code, 128 + N if signal N ended it, or -1 after `timeout`.
    // After a SIGKILL by `signal` the exit code is not available, and -1 is returned.
    int waitForEnd(const std::string &name, Duration timeout);

    // Waits for the end of a process and starts it again.
    void restart(const std::string &name);

    // Waits until a daemon is ready, has all hosts in its view, and has usable targets and no record shard that it is still
    // taking over. Returns false after `timeout`.
    bool waitReady(const std::string &name, Duration timeout);

    // Returns whether /readyz of a daemon reports that it accepts callers, as a load balancer checks it.
    bool isReady(const std::string &name);

    // Sets a fault of a stand-in. Errors are ignored, as the fault may end the process before it responds.
    void fault(const std::string &name, const std::string &faultName, int64_t value);

    // Returns the address of a daemon for callers, or of any process for internal use, as `IP:PORT`.
    std::string callerAddress(const std::string &entry) const;
    std::string address(const std::string &name) const;

    // Returns the names of all processes of a kind.
    std::vector<std::string> names(const std::string &kind) const;

    // Performs an HTTP exchange; the first two parse the response as JSON. Throws `Failure` if the exchange fails;
    // `postJson` also if the status isn't 200.
    Json::Value getJson(const std::string &name, const std::string &path);
    Json::Value postJson(const std::string &name, const std::string &path, const Json::Value &body);
    HttpReply post(const std::string &address, const std::string &path, const Headers &headers, const std::string &body, Duration timeout);

    // Returns the process id, or 0 after `signal` or `waitForEnd` has observed the end of the process.
    pid_t pid(const std::string &name) const;

private:
    // A process with its ports (internal and for callers); `pid` is 0 while it doesn't run.
    struct RunningProcess
    {
        FleetProcess process;
        int port = 0;
        int callerPort = 0;
        pid_t pid = 0;
        int exitCode = -1;
    };

    void launch(RunningProcess &running);
    void writeSettings(const RunningProcess &running) const;
    void sendHostList();
    // Waits until a process responds to a GET of `path` with a status below 500.
    bool waitUntilResponding(const std::string &name, const std::string &path, Duration timeout);
    RunningProcess &find(const std::string &name);
    const RunningProcess &find(const std::string &name) const;

    FleetPlan plan;
    std::string buildDirectory;
    std::string workDirectory;
    int firstPort;
    Clock clock;
    HttpClient http;
    std::vector<RunningProcess> processes;
};

} // namespace pimentosail::testing
