// Writes line plots as SVG. Lines differ by colour and by dash pattern (which repeats after four lines), and each has a
// legend entry.
//
//     writePlot("out/goodput.svg", "Goodput", "load", "1/s", series, 0);
//
// Thread-safe for different paths. A file that can't be written is not reported.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace pimentosail::bench
{

// One line of a plot: its legend entry and its points (x, y).
struct Series
{
    std::string label;
    std::vector<std::pair<double, double>> points;
};

// Writes a plot. The y axis ends 5 % above the largest value or above `ceiling`, whichever is lower; larger values are drawn
// at its end. A `ceiling` of 0 sets no bound.
void writePlot(
    const std::string &path, const std::string &title, const std::string &xLabel, const std::string &yLabel, const std::vector<Series> &series, double ceiling);

} // namespace pimentosail::bench
