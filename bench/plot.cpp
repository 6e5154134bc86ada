#include "bench/plot.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>

namespace pimentosail::bench
{

namespace
{

// Size of the picture and its margins in pixels; the legend is in the right margin.
constexpr double Width = 860;
constexpr double Height = 460;
constexpr double LeftMargin = 70;
constexpr double RightMargin = 200;
constexpr double TopMargin = 50;
constexpr double BottomMargin = 60;
constexpr int TickCount = 5;
constexpr std::array<const char *, 8> Colours{"#0b5394", "#cc4125", "#38761d", "#7f6000", "#674ea7", "#000000", "#a64d79", "#45818e"};
constexpr std::array<const char *, 4> Dashes{"", "6 3", "2 3", "9 3 2 3"};

std::string formatNumber(double value)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.4g", value);
    return text;
}

std::string textElement(double x, double y, const std::string &content, const std::string &attributes)
{
    return "<text x=\"" + formatNumber(x) + "\" y=\"" + formatNumber(y) + "\" " + attributes + ">" + content + "</text>\n";
}

} // namespace

void writePlot(
    const std::string &path, const std::string &title, const std::string &xLabel, const std::string &yLabel, const std::vector<Series> &series, double ceiling)
{
    double lowX = 1e300;
    double highX = -1e300;
    double highY = 0;
    for (const Series &line : series) {
        for (const auto &[x, y] : line.points) {
            lowX = std::min(lowX, x);
            highX = std::max(highX, x);
            highY = std::max(highY, y);
        }
    }
    highY = ceiling > 0 ? std::min(highY, ceiling) : highY;
    highY = highY <= 0 ? 1 : highY * 1.05;
    const double spanX = highX > lowX ? highX - lowX : 1;
    const auto toX = [&](double x) {
        return LeftMargin + (x - lowX) / spanX * (Width - LeftMargin - RightMargin);
    };
    const auto toY = [&](double y) {
        return Height - BottomMargin - std::min(y, highY) / highY * (Height - TopMargin - BottomMargin);
    };
    std::ofstream out(path);
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << Width << "\" height=\"" << Height << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << textElement(LeftMargin, 28, title, "font-size=\"15\"") << textElement(Width / 2 - 80, Height - 16, xLabel, "")
        << textElement(10, TopMargin - 12, yLabel, "");
    for (int tick = 0; tick <= TickCount; ++tick) {
        const double x = lowX + spanX * tick / TickCount;
        const double y = highY * tick / TickCount;
        out << "<line x1=\"" << LeftMargin << "\" x2=\"" << Width - RightMargin << "\" y1=\"" << toY(y) << "\" y2=\"" << toY(y) << "\" stroke=\"#dddddd\"/>\n"
            << textElement(LeftMargin - 8, toY(y) + 4, formatNumber(y), "text-anchor=\"end\"")
            << textElement(toX(x), Height - BottomMargin + 18, formatNumber(x), "text-anchor=\"middle\"");
    }
    for (size_t index = 0; index < series.size(); ++index) {
        const std::string style = std::string("stroke=\"") + Colours.at(index % Colours.size()) + "\" stroke-dasharray=\"" + Dashes.at(index % Dashes.size())
            + "\" stroke-width=\"2\" fill=\"none\"";
        out << "<polyline " << style << " points=\"";
        for (const auto &[x, y] : series[index].points) {
            out << formatNumber(toX(x)) << "," << formatNumber(toY(y)) << " ";
        }
        out << "\"/>\n";
        const double y = TopMargin + 18 * static_cast<double>(index);
        out << "<line x1=\"" << Width - RightMargin + 15 << "\" x2=\"" << Width - RightMargin + 45 << "\" y1=\"" << y << "\" y2=\"" << y << "\" " << style
            << "/>\n"
            << textElement(Width - RightMargin + 52, y + 4, series[index].label, "");
    }
    out << "</svg>\n";
}

} // namespace pimentosail::bench
