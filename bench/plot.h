// Line plots as SVG, readable without colours: every line has its own marker and a legend entry.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace pimentosail::bench
{

struct Series
{
    std::string label;
    std::vector<std::pair<double, double>> points;
};

// Writes a plot. Values above `ceiling` are cut there; 0 takes the largest value.
void writePlot(
    const std::string &path, const std::string &title, const std::string &xLabel, const std::string &yLabel, const std::vector<Series> &series, double ceiling);

} // namespace pimentosail::bench
