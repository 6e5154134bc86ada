#include "bench/plot.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>

namespace pimentosail::bench
{

namespace
{

constexpr double Width = 860;
constexpr double Height = 460;
constexpr double Left = 70;
constexpr double Right = 200;
constexpr double Top = 50;
constexpr double Bottom = 60;
constexpr int Ticks = 5;
constexpr std::array<const char *, 8> Colours{"#0b5394", "#cc4125", "#38761d", "#7f6000", "#674ea7", "#000000", "#a64d79", "#45818e"};
constexpr std::array<const char *, 4> Dashes{"", "6 3", "2 3", "9 3 2 3"};

std::string number(double value)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.4g", value);
    return text;
}

std::string text(double x, double y, const std::string &content, const std::string &attributes)
{
    return "<text x=\"" + number(x) + "\" y=\"" + number(y) + "\" " + attributes + ">" + content + "</text>\n";
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
        return Left + (x - lowX) / spanX * (Width - Left - Right);
    };
    const auto toY = [&](double y) {
        return Height - Bottom - std::min(y, highY) / highY * (Height - Top - Bottom);
    };
    std::ofstream out(path);
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << Width << "\" height=\"" << Height << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
        << text(Left, 28, title, "font-size=\"15\"") << text(Width / 2 - 80, Height - 16, xLabel, "") << text(10, Top - 12, yLabel, "");
    for (int tick = 0; tick <= Ticks; ++tick) {
        const double x = lowX + spanX * tick / Ticks;
        const double y = highY * tick / Ticks;
        out << "<line x1=\"" << Left << "\" x2=\"" << Width - Right << "\" y1=\"" << toY(y) << "\" y2=\"" << toY(y) << "\" stroke=\"#dddddd\"/>\n"
            << text(Left - 8, toY(y) + 4, number(y), "text-anchor=\"end\"") << text(toX(x), Height - Bottom + 18, number(x), "text-anchor=\"middle\"");
    }
    for (size_t index = 0; index < series.size(); ++index) {
        const std::string style = std::string("stroke=\"") + Colours.at(index % Colours.size()) + "\" stroke-dasharray=\"" + Dashes.at(index % Dashes.size())
            + "\" stroke-width=\"2\" fill=\"none\"";
        out << "<polyline " << style << " points=\"";
        for (const auto &[x, y] : series[index].points) {
            out << number(toX(x)) << "," << number(toY(y)) << " ";
        }
        out << "\"/>\n";
        const double y = Top + 18 * static_cast<double>(index);
        out << "<line x1=\"" << Width - Right + 15 << "\" x2=\"" << Width - Right + 45 << "\" y1=\"" << y << "\" y2=\"" << y << "\" " << style << "/>\n"
            << text(Width - Right + 52, y + 4, series[index].label, "");
    }
    out << "</svg>\n";
}

} // namespace pimentosail::bench
