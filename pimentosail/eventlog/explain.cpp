#include "pimentosail/eventlog/explain.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>

#include <json/value.h>

#include "pimentosail/base/error.h"
#include "pimentosail/base/json.h"

namespace pimentosail
{

namespace
{

// Changes of a host's state up to this time before the start of the request are shown.
constexpr int64_t ContextMs = 6000;

struct Line
{
    int64_t at = 0;
    std::string host;
    std::string event;
    Json::Value fields;
};

std::vector<Line> parseLines(const std::vector<std::string> &texts)
{
    std::vector<Line> result;
    for (const std::string &text : texts) {
        const size_t begin = text.find('{');
        if (begin == std::string::npos) {
            continue;
        }
        try {
            Line line;
            line.fields = parseJson(std::string_view(text).substr(begin));
            line.at = jsonInteger(line.fields, "ts");
            line.host = jsonString(line.fields, "host");
            line.event = jsonString(line.fields, "event");
            result.push_back(std::move(line));
        } catch (const Failure &) {
            // Not a line of this log: other programs may write to the same output.
        }
    }
    std::stable_sort(result.begin(), result.end(), [](const Line &a, const Line &b) { return a.at < b.at; });
    return result;
}

// Returns true for events that report a change of a host's state, not the handling of a request.
bool isStateEvent(const std::string &event)
{
    static const std::set<std::string> events{"started", "draining", "stopped", "configuration_in_force", "targets_changed", "zones_evacuated",
        "version_wanted", "dependency_lost", "dependency_regained", "cache_store_restarted", "load_ordered", "load_done", "load_given_up", "value_unreadable",
        "log_suppressed", "settings_reloaded", "settings_unreadable"};
    return events.contains(event);
}

std::string printValue(const Json::Value &value)
{
    if (value.isString()) {
        return value.asString();
    }
    if (value.type() == Json::realValue) {
        std::array<char, 32> digits{};
        std::snprintf(digits.data(), digits.size(), "%.1f", value.asDouble());
        return digits.data();
    }
    return printJson(value);
}

std::string printLine(const Line &line, int64_t start)
{
    std::string text = std::to_string(line.at - start) + " ms  " + line.host + "  " + line.event;
    for (const std::string &name : line.fields.getMemberNames()) {
        static const std::set<std::string> shown{"ts", "up", "host", "event", "id"};
        if (!shown.contains(name)) {
            text += "  " + name + "=" + printValue(line.fields[name]);
        }
    }
    return text + "\n";
}

} // namespace

std::string explainRequest(const std::string &requestId, const std::vector<std::string> &lines)
{
    const std::vector<Line> parsed = parseLines(lines);
    std::set<std::string> hosts;
    int64_t first = 0;
    int64_t last = 0;
    for (const Line &line : parsed) {
        if (line.fields["id"] == Json::Value(requestId)) {
            first = hosts.empty() ? line.at : first;
            last = line.at;
            hosts.insert(line.host);
            // A line is written at the end of the action that it reports, so that the start lies `total_ms` earlier.
            const double totalMs = line.fields["total_ms"].isNumeric() ? line.fields["total_ms"].asDouble() : 0;
            first = std::min(first, line.at - static_cast<int64_t>(totalMs));
        }
    }
    std::string timeline;
    for (const Line &line : parsed) {
        const bool hasRequestId = line.fields["id"] == Json::Value(requestId);
        const bool isContext = isStateEvent(line.event) && hosts.contains(line.host) && line.at >= first - ContextMs && line.at <= last;
        if (hasRequestId || isContext) {
            timeline += (hasRequestId ? "* " : "  ") + printLine(line, first);
        }
    }
    return hosts.empty() ? std::string() : timeline;
}

} // namespace pimentosail
