// Formats the results of the benchmark as Markdown tables, JSON and SVG plots.
//
//     writeReport("docs/plots", experiment, rows, loadTable(rows));
//
// Thread-safe, except for writing the same directory. Files that can't be written are not reported.
#pragma once

#include <string>
#include <vector>

#include "bench/experiment.h"

namespace pimentosail::bench
{

// An experiment with its result. Rows with the same label and load differ only in their seed.
struct Row
{
    std::string label;
    Experiment experiment;
    ExperimentResult result;
};

// Returns a table with a line for each label and load: medians over the seeds, with the lowest and highest value in brackets.
std::string loadTable(const std::vector<Row> &rows);

// Returns the table of an experiment with a zone outage: served requests, first-token times and cold overloads.
std::string zoneTable(const std::vector<Row> &rows);

// Writes DEPLOYMENT-load.json, DEPLOYMENT-load.md and the plots (for a zone outage DEPLOYMENT-zone.*) to a directory.
void writeReport(const std::string &directory, const Experiment &base, const std::vector<Row> &rows, const std::string &table);

} // namespace pimentosail::bench
