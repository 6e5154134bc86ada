// pimentosail-fleetslopes: measures what idle entry daemons cost as processes, for fleets of 3 to 24 daemons on this machine:
// processor time, memory, control traffic and calls of the key-value service.
//
//     pimentosail-fleetslopes [SOURCE-DIRECTORY]
//
// Exit codes: 0 success, 2 a process did not start or did not respond.

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

#include "pimentosail/base/json.h"
#include "testing/caller.h"
#include "testing/localfleet.h"

namespace
{

using namespace pimentosail;
using namespace pimentosail::testing;

constexpr int FirstPort = 24000;
// Time after the start that is not measured, and length of the measurement.
constexpr Duration SettleTime = std::chrono::seconds(8);
constexpr Duration MeasuredTime = std::chrono::seconds(10);

// Counters of one daemon since its start, and its present memory.
struct Sample
{
    double cpuSeconds = 0;
    double residentBytes = 0;
    double controlBytes = 0;
};

// Returns the sum of a daemon's counters of control traffic, in bytes.
double controlBytesOf(LocalFleet &fleet, const std::string &entry)
{
    HttpClient http;
    std::istringstream text(http.call(fleet.address(entry), {"GET", "/metrics", {}, ""}, std::chrono::seconds(5)).body);
    double total = 0;
    for (std::string line; std::getline(text, line);) {
        if (line.rfind("pimentosail_control_bytes_total{", 0) == 0) {
            total += std::stod(line.substr(line.rfind(' ')));
        }
    }
    return total;
}

Sample takeSample(LocalFleet &fleet, const std::string &entry)
{
    const std::string base = "/proc/" + std::to_string(fleet.pid(entry));
    Sample sample;
    std::ifstream stat(base + "/stat");
    std::string value;
    for (int field = 1; stat >> value; ++field) {
        // Fields 14 and 15: user and system time in clock ticks.
        if (field == 14 || field == 15) {
            sample.cpuSeconds += std::stod(value) / static_cast<double>(sysconf(_SC_CLK_TCK));
        }
    }
    std::ifstream memory(base + "/statm");
    long total = 0;
    long resident = 0;
    memory >> total >> resident;
    sample.residentBytes = static_cast<double>(resident * sysconf(_SC_PAGESIZE));
    sample.controlBytes = controlBytesOf(fleet, entry);
    return sample;
}

// Starts a fleet, measures it and prints a row of the table.
void measure(int entries, const std::string &source, const std::string &build, const std::string &work)
{
    LocalFleet fleet(FleetPlan::fromExample(source, "winery", entries, false), build, work, FirstPort);
    fleet.start();
    Clock clock;
    clock.sleepFor(SettleTime);
    const std::vector<std::string> names = fleet.names("entry");
    std::vector<Sample> before;
    before.reserve(names.size());
    for (const std::string &name : names) {
        before.push_back(takeSample(fleet, name));
    }
    const Json::Value callsBefore = fleet.getJson("key-value", "/counts");
    clock.sleepFor(MeasuredTime);
    const Json::Value callsAfter = fleet.getJson("key-value", "/counts");
    double cpu = 0;
    double resident = 0;
    double bytes = 0;
    for (size_t index = 0; index < names.size(); ++index) {
        const Sample after = takeSample(fleet, names[index]);
        cpu += (after.cpuSeconds - before[index].cpuSeconds) / toSeconds(MeasuredTime) / static_cast<double>(names.size());
        resident += after.residentBytes / static_cast<double>(names.size());
        bytes += (after.controlBytes - before[index].controlBytes) / toSeconds(MeasuredTime) / static_cast<double>(names.size());
    }
    const double reads = (callsAfter["reads"].asDouble() - callsBefore["reads"].asDouble()) / toSeconds(MeasuredTime);
    const double writes = (callsAfter["writes"].asDouble() - callsBefore["writes"].asDouble()) / toSeconds(MeasuredTime);
    std::printf("| %d | %.2f | %.1f | %.0f | %.1f | %.1f |\n", entries, 100 * cpu, resident / 1e6, bytes, reads, writes);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    const std::string source = argc > 1 ? argv[1] : ".";
    std::printf(
        "| daemons | %% of a core each | resident MB each | control bytes/s each | key-value reads/s, all | writes/s, all |\n|---|---|---|---|---|---|\n");
    try {
        for (const int entries : {3, 6, 12, 24}) {
            measure(entries, source, source + "/build", source + "/out");
        }
        return 0;
    } catch (const std::exception &exception) {
        std::cerr << exception.what() << "\n";
        return 2;
    }
}
