// The benchmark's report: Markdown tables, JSON and SVG plots.
#pragma once

#include <string>
#include <vector>

#include "bench/world.h"

namespace pimentosail::bench
{

// An experiment with its result; rows of the same label and load differ by their seed.
struct Row
{
    std::string label;
    Experiment experiment;
    ExperimentResult result;
};

// Returns a table of medians over the seeds (spread in brackets), a line for each label and load.
std::string loadTable(const std::vector<Row> &rows);

// Returns a table of what a zone move did.
std::string zoneTable(const std::vector<Row> &rows);

// Writes results.json, table.md and the plots into a directory.
void writeReport(const std::string &directory, const Experiment &base, const std::vector<Row> &rows, const std::string &table);

} // namespace pimentosail::bench
