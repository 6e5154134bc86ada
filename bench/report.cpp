#include "bench/report.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>

#include <json/value.h>

#include "bench/plot.h"
#include "pimentosail/base/json.h"

namespace pimentosail::bench
{

namespace
{

using Metric = std::function<double(const Row &)>;

const PriorityResult &interactive(const Row &row)
{
    static const PriorityResult empty;
    const auto found = row.result.resultsByPriority.find(Priority::Interactive);
    return found == row.result.resultsByPriority.end() ? empty : found->second;
}

double interactiveQuantile(const Row &row, double quantile)
{
    return quantileOf(interactive(row).firstTokenSeconds, quantile);
}

double ratio(long numerator, long denominator)
{
    return denominator == 0 ? 0 : static_cast<double>(numerator) / static_cast<double>(denominator);
}

double recomputedShare(const Row &row)
{
    return row.result.promptTokens == 0 ? 0 : static_cast<double>(row.result.computedTokens) / static_cast<double>(row.result.promptTokens);
}

// Returns the interactive answers per second whose first token met its limit.
double goodput(const Row &row)
{
    return static_cast<double>(interactive(row).inTime) / toSeconds(row.experiment.measured);
}

double batchServed(const Row &row)
{
    const auto found = row.result.resultsByPriority.find(Priority::Batch);
    return found == row.result.resultsByPriority.end() ? 0 : ratio(found->second.served, found->second.offered);
}

// Groups rows with the same label and load, in order of first appearance.
std::vector<std::vector<const Row *>> groupRows(const std::vector<Row> &rows)
{
    std::vector<std::vector<const Row *>> groups;
    for (const Row &row : rows) {
        const auto found = std::find_if(groups.begin(), groups.end(), [&row](const std::vector<const Row *> &group) {
            return group.front()->label == row.label && group.front()->experiment.load == row.experiment.load;
        });
        if (found == groups.end()) {
            groups.push_back({&row});
        } else {
            found->push_back(&row);
        }
    }
    return groups;
}

std::vector<double> valuesOf(const std::vector<const Row *> &group, const Metric &metric)
{
    std::vector<double> values;
    values.reserve(group.size());
    for (const Row *row : group) {
        values.push_back(metric(*row));
    }
    return values;
}

std::string formatCell(const std::vector<const Row *> &group, const Metric &metric, const char *format)
{
    const std::vector<double> values = valuesOf(group, metric);
    char median[32];
    char low[32];
    char high[32];
    std::snprintf(median, sizeof(median), format, quantileOf(values, 0.5));
    std::snprintf(low, sizeof(low), format, *std::min_element(values.begin(), values.end()));
    std::snprintf(high, sizeof(high), format, *std::max_element(values.begin(), values.end()));
    return std::string(median) + " [" + low + ".." + high + "]";
}

// Returns the p95 first-token time of the worst 10 s window since the zone left, relative to the p95 before.
double worstWindowRatio(const Row &row)
{
    const auto &windows = row.result.interactiveWindows;
    const auto first = static_cast<size_t>(row.experiment.zoneOutAt / std::chrono::seconds(10));
    std::vector<double> steady;
    for (size_t index = 0; index < first && index < windows.size(); ++index) {
        steady.insert(steady.end(), windows[index].firstTokenSeconds.begin(), windows[index].firstTokenSeconds.end());
    }
    const double reference = quantileOf(steady, 0.95);
    double worst = 0;
    // Skips the window in which the zone leaves: it contains the 5 s that moving the traffic away may take.
    for (size_t index = first + 1; index + 1 < windows.size(); ++index) {
        worst = std::max(worst, quantileOf(windows[index].firstTokenSeconds, 0.95));
    }
    return reference > 0 ? worst / reference : 0;
}

Json::Value toJson(const Row &row)
{
    Json::Value value;
    value["label"] = row.label;
    value["load"] = row.experiment.load;
    value["seed"] = Json::UInt64(row.experiment.seed);
    value["first_token_p50"] = interactiveQuantile(row, 0.5);
    value["first_token_p95"] = interactiveQuantile(row, 0.95);
    value["first_token_p99"] = interactiveQuantile(row, 0.99);
    value["recomputed_share"] = recomputedShare(row);
    value["goodput"] = goodput(row);
    value["memory_link_use"] = row.result.linkUse[0];
    value["disk_link_use"] = row.result.linkUse[1];
    value["batch_served"] = batchServed(row);
    value["lost"] = Json::Int64(row.result.lost);
    value["cold_overloads"] = Json::Int64(row.result.coldOverloads);
    value["decision_us"] = row.result.decisionMicroseconds;
    return value;
}

Series seriesOf(const std::vector<Row> &rows, const std::string &label, const Metric &metric)
{
    Series series{label, {}};
    for (const std::vector<const Row *> &group : groupRows(rows)) {
        if (group.front()->label == label) {
            series.points.emplace_back(group.front()->experiment.load, quantileOf(valuesOf(group, metric), 0.5));
        }
    }
    return series;
}

std::vector<Series> allSeries(const std::vector<Row> &rows, const Metric &metric)
{
    std::vector<Series> result;
    for (const Row &row : rows) {
        const bool alreadyAdded = std::any_of(result.begin(), result.end(), [&row](const Series &series) { return series.label == row.label; });
        if (!alreadyAdded) {
            result.push_back(seriesOf(rows, row.label, metric));
        }
    }
    return result;
}

// Plots the p95 first-token time per 10 s window, for the first row of each label.
void writeTimeline(const std::string &path, const std::vector<Row> &rows)
{
    std::vector<Series> series;
    for (const Row &row : rows) {
        const bool alreadyAdded = std::any_of(series.begin(), series.end(), [&row](const Series &item) { return item.label == row.label; });
        if (alreadyAdded) {
            continue;
        }
        Series line{row.label, {}};
        for (size_t index = 0; index + 1 < row.result.interactiveWindows.size(); ++index) {
            line.points.emplace_back(static_cast<double>(index) / 6, quantileOf(row.result.interactiveWindows[index].firstTokenSeconds, 0.95));
        }
        series.push_back(line);
    }
    writePlot(path, "First token p95 in 10 s windows while a zone leaves (minute 5) and returns (minute 15)", "minutes", "seconds", series, 5);
}

} // namespace

std::string loadTable(const std::vector<Row> &rows)
{
    std::string table = "| policy | load | first token p50 s | p95 s | p99 s | in time /s | refused % | refused late % | recomputed % | memory link % | disk "
                        "link % | batch served % | "
                        "imports | exports | preempted | decision us |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const std::vector<const Row *> &group : groupRows(rows)) {
        char load[16];
        std::snprintf(load, sizeof(load), "%.2f", group.front()->experiment.load);
        table += "| " + group.front()->label + " | " + load;
        table += " | "
            + formatCell(
                group, [](const Row &row) { return interactiveQuantile(row, 0.5); }, "%.3f");
        table += " | "
            + formatCell(
                group, [](const Row &row) { return interactiveQuantile(row, 0.95); }, "%.3f");
        table += " | "
            + formatCell(
                group, [](const Row &row) { return interactiveQuantile(row, 0.99); }, "%.3f");
        table += " | " + formatCell(group, goodput, "%.1f");
        table += " | "
            + formatCell(
                group, [](const Row &row) { return 100 * ratio(interactive(row).refused, interactive(row).offered); }, "%.1f");
        table += " | "
            + formatCell(
                group, [](const Row &row) { return 100 * ratio(interactive(row).refusedLate, interactive(row).offered); }, "%.2f");
        table += " | "
            + formatCell(
                group, [](const Row &row) { return 100 * recomputedShare(row); }, "%.1f");
        table += " | "
            + formatCell(
                group, [](const Row &row) { return 100 * row.result.linkUse[0]; }, "%.0f");
        table += " | "
            + formatCell(
                group, [](const Row &row) { return 100 * row.result.linkUse[1]; }, "%.0f");
        table += " | "
            + formatCell(
                group, [](const Row &row) { return 100 * batchServed(row); }, "%.1f");
        table += " | "
            + formatCell(
                group, [](const Row &row) { return static_cast<double>(row.result.imports); }, "%.0f");
        table += " | "
            + formatCell(
                group, [](const Row &row) { return static_cast<double>(row.result.exports); }, "%.0f");
        table += " | "
            + formatCell(
                group, [](const Row &row) { return static_cast<double>(row.result.preemptions); }, "%.0f");
        table += " | "
            + formatCell(
                group, [](const Row &row) { return row.result.decisionMicroseconds; }, "%.1f")
            + " |\n";
    }
    return table;
}

std::string zoneTable(const std::vector<Row> &rows)
{
    std::string table = "| policy | load | interactive served % | p95 s whole run | worst 10 s window p95 / steady p95 | lost | cold overloads "
                        "|\n|---|---|---|---|---|---|---|\n";
    for (const std::vector<const Row *> &group : groupRows(rows)) {
        char load[16];
        std::snprintf(load, sizeof(load), "%.2f", group.front()->experiment.load);
        table += "| " + group.front()->label + " | " + load;
        table += " | "
            + formatCell(
                group, [](const Row &row) { return 100 * ratio(interactive(row).served, interactive(row).offered); }, "%.2f");
        table += " | "
            + formatCell(
                group, [](const Row &row) { return interactiveQuantile(row, 0.95); }, "%.3f");
        table += " | " + formatCell(group, worstWindowRatio, "%.2f");
        table += " | "
            + formatCell(
                group, [](const Row &row) { return static_cast<double>(row.result.lost); }, "%.0f");
        table += " | "
            + formatCell(
                group, [](const Row &row) { return static_cast<double>(row.result.coldOverloads); }, "%.0f")
            + " |\n";
    }
    return table;
}

void writeReport(const std::string &directory, const Experiment &base, const std::vector<Row> &rows, const std::string &table)
{
    const std::string prefix = directory + "/" + base.deployment.name;
    const std::string kind = base.zoneOut ? "-zone" : "-load";
    Json::Value document;
    document["capacity_per_s"] = capacityOf(base.deployment);
    document["prefill_tokens_per_s"] = base.deployment.prefillTokensPerSecond;
    document["engine_cache_tokens"] = Json::Int64(base.engines.cacheTokens);
    document["cache_bytes_per_token"] = base.deployment.cacheBytesPerToken;
    document["memory_link_bytes_per_s"] = base.deployment.memoryLinkBytesPerSecond;
    document["disk_link_bytes_per_s"] = base.deployment.diskLinkBytesPerSecond;
    for (const Row &row : rows) {
        document["rows"].append(toJson(row));
    }
    std::ofstream(prefix + kind + ".json") << printJsonIndented(document) << "\n";
    std::ofstream(prefix + kind + ".md") << table;
    if (base.zoneOut) {
        writeTimeline(prefix + "-zone.svg", rows);
        return;
    }
    writePlot(prefix + "-first-token.svg", "Interactive first token, p95", "load (part of capacity)", "seconds",
        allSeries(rows, [](const Row &row) { return interactiveQuantile(row, 0.95); }), 4);
    writePlot(prefix + "-recomputed.svg", "Recomputed share of prompt tokens", "load (part of capacity)", "part", allSeries(rows, recomputedShare), 1);
    writePlot(prefix + "-goodput.svg", "Interactive answers in time, a second", "load (part of capacity)", "1/s", allSeries(rows, goodput), 0);
    writePlot(prefix + "-links.svg", "Busy part of the memory links", "load (part of capacity)", "part",
        allSeries(rows, [](const Row &row) { return row.result.linkUse[0]; }), 1);
}

} // namespace pimentosail::bench
