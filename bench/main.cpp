// pimentosail-bench: compares the placement policies with baselines under virtual time.
//
//     pimentosail-bench --deployment winery --loads 0.3,0.6,0.85,1.0,1.3 --policies predicted,least_loaded --seeds 5
//     pimentosail-bench --zone-move
//     pimentosail-bench --ablations
//
// Prints a Markdown table to standard output. With --into it also writes the table, JSON and SVG plots to that directory.
// Exit codes: 0 success, 2 an exception, such as a bad command line.

#include <atomic>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <cxxopts.hpp>

#include "bench/experiment.h"
#include "bench/report.h"

namespace
{

using namespace pimentosail;
using namespace pimentosail::bench;

// Reported results use other seeds than tuning, so that they are not measured on traffic that the policy was tuned on.
constexpr uint64_t FirstReportedSeed = 101;
constexpr uint64_t FirstTuningSeed = 1;

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        items.push_back(item);
    }
    return items;
}

// Runs all experiments, one thread per processor, and returns the rows with their results.
std::vector<Row> runAll(const std::vector<Row> &rows)
{
    std::vector<Row> results = rows;
    std::atomic<size_t> next{0};
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < std::max(1U, std::thread::hardware_concurrency()); ++index) {
        threads.emplace_back([&] {
            for (size_t row = next.fetch_add(1); row < results.size(); row = next.fetch_add(1)) {
                results[row].result = runExperiment(results[row].experiment);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return results;
}

// Returns one row without a result for each policy, load and seed.
std::vector<Row> makeLoadRows(
    const Experiment &base, const std::vector<std::string> &policies, const std::vector<std::string> &loads, uint64_t firstSeed, int seeds)
{
    std::vector<Row> rows;
    for (const std::string &policy : policies) {
        for (const std::string &load : loads) {
            for (int seed = 0; seed < seeds; ++seed) {
                Experiment experiment = base;
                experiment.policy = policy;
                experiment.load = std::stod(load);
                experiment.seed = firstSeed + static_cast<uint64_t>(seed);
                rows.push_back({policy, experiment, {}});
            }
        }
    }
    return rows;
}

// Returns rows of the predicted policy with one mechanism switched off at a time.
std::vector<Row> makeAblationRows(const Experiment &base, const std::vector<std::string> &loads, uint64_t firstSeed, int seeds)
{
    struct Ablation
    {
        const char *name;
        void (*apply)(Experiment &experiment);
    };
    const Ablation ablations[] = {
        {"all on",
            [](Experiment &) {
            }},
        {"no preemption",
            [](Experiment &experiment) {
                experiment.options.preemption = false;
            }},
        {"no batch reserve",
            [](Experiment &experiment) {
                experiment.options.batchReserve = false;
            }},
        {"no early refusal",
            [](Experiment &experiment) {
                experiment.options.earlyRefusal = false;
            }},
        {"no lateness margin",
            [](Experiment &experiment) {
                experiment.options.latenessMargin = false;
            }},
        {"no exports",
            [](Experiment &experiment) {
                experiment.options.exports = false;
            }},
        {"export all, evict by age",
            [](Experiment &experiment) {
                experiment.options.valueExports = false;
            }},
    };
    std::vector<Row> rows;
    for (const Ablation &ablation : ablations) {
        Experiment changed = base;
        ablation.apply(changed);
        for (Row &row : makeLoadRows(changed, {"predicted"}, loads, firstSeed, seeds)) {
            row.label = ablation.name;
            rows.push_back(row);
        }
    }
    return rows;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("pimentosail-bench", "Measures routing decisions against baselines");
    options.add_options()("deployment", "winery or krathong", cxxopts::value<std::string>()->default_value("winery"))("policies", "comma-separated policies",
        cxxopts::value<std::string>()->default_value("predicted,clairvoyant,round_robin,least_loaded,sticky_hash,always_import,never_import"))(
        "loads", "comma-separated parts of the capacity", cxxopts::value<std::string>()->default_value("0.3,0.5,0.7,0.85,1.0,1.15,1.3"))(
        "seeds", "number of seeds", cxxopts::value<int>()->default_value("5"))("tuning", "use the tuning seeds")(
        "minutes", "measured minutes", cxxopts::value<int>()->default_value("30"))("zone-move", "take a zone out and bring it back")(
        "ablations", "switch each policy choice off")("into", "directory for the report", cxxopts::value<std::string>()->default_value(""))("h,help", "help");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return 0;
        }
        Experiment base;
        base.deployment = deploymentOf(arguments["deployment"].as<std::string>());
        base.measured = std::chrono::minutes(arguments["minutes"].as<int>());
        base.zoneOut = arguments.count("zone-move") != 0;
        const uint64_t firstSeed = arguments.count("tuning") != 0 ? FirstTuningSeed : FirstReportedSeed;
        const std::vector<std::string> loads = splitList(arguments["loads"].as<std::string>());
        const int seeds = arguments["seeds"].as<int>();
        const std::vector<Row> rows = arguments.count("ablations") != 0
            ? makeAblationRows(base, loads, firstSeed, seeds)
            : makeLoadRows(base, splitList(arguments["policies"].as<std::string>()), loads, firstSeed, seeds);
        const std::vector<Row> results = runAll(rows);
        const std::string table = base.zoneOut ? zoneTable(results) : loadTable(results);
        std::cout << table;
        const std::string into = arguments["into"].as<std::string>();
        if (!into.empty()) {
            writeReport(into, base, results, table);
        }
        return 0;
    } catch (const std::exception &exception) {
        std::cerr << exception.what() << "\n";
        return 2;
    }
}
