#include "pimentosail/routing/configurationreview.h"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <utility>

namespace pimentosail
{

namespace
{

using Findings = std::vector<ReviewFinding>;
// Values of an entry by the words under which a difference names them.
using Description = std::vector<std::pair<std::string, std::string>>;

std::string inMilliseconds(Duration duration)
{
    return std::to_string(toMilliseconds(duration)) + " ms";
}

std::string yesOrNo(bool value)
{
    return value ? "yes" : "no";
}

// Compares limits of one route.
void reviewLimits(const Route &route, const std::function<void(ReviewField field, const std::string &message)> &add)
{
    if (route.timeout <= Duration(0)) {
        add(ReviewField::Timeout, "the timeout must be positive");
    } else if (route.targetLatency > route.timeout) {
        add(ReviewField::TargetLatency,
            "the target latency of " + inMilliseconds(route.targetLatency) + " is above the timeout of " + inMilliseconds(route.timeout));
    }
    if (route.targetGap > route.timeout) {
        add(ReviewField::TargetGap,
            "the pause of " + inMilliseconds(route.targetGap) + " between events is above the timeout of " + inMilliseconds(route.timeout));
    }
    if (route.maxAttempts < 1) {
        add(ReviewField::MaxAttempts, "at least one attempt is needed");
    } else if (route.maxAttempts > 1 && !route.isIdempotent()) {
        add(ReviewField::MaxAttempts,
            std::to_string(route.maxAttempts) + " attempts, but a request of kind " + std::string(requestKindName(route.kind))
                + (route.kind == RequestKind::Streaming ? " that is not resumable" : "") + " may run only once");
    }
    if (route.isResumable && route.kind != RequestKind::Streaming) {
        add(ReviewField::Resumable, "only streaming requests can be resumed");
    }
}

void reviewRoute(const DecodedConfiguration &decoded, size_t index, Findings &findings)
{
    const Route &route = decoded.routes[index];
    const auto add = [&findings, index](ReviewField field, const std::string &message) {
        findings.push_back({ReviewList::Routes, index, field, message});
    };
    if (route.pathPrefix.empty() || route.pathPrefix.front() != '/' || route.pathPrefix.back() != '/') {
        add(ReviewField::PathPrefix, "the path prefix must begin and end with a slash");
    } else if (route.pathPrefix.find_first_of("?#") != std::string::npos) {
        add(ReviewField::PathPrefix, "it never matches: a path contains neither ? nor #");
    }
    if (route.host.find(':') != std::string::npos) {
        add(ReviewField::Host, "it never matches: the host of a request is compared without its port");
    }
    const auto end = decoded.routes.begin() + static_cast<std::ptrdiff_t>(index);
    const auto earlier
        = std::find_if(decoded.routes.begin(), end, [&route](const Route &other) { return other.host == route.host && other.pathPrefix == route.pathPrefix; });
    if (earlier != end) {
        add(ReviewField::PathPrefix, "it never matches: route " + earlier->name + " has the same host and prefix and stands before it");
    }
    if (std::any_of(decoded.routes.begin(), end, [&route](const Route &other) { return other.name == route.name; })) {
        add(ReviewField::Name, "another route has this name, and metrics can't tell them apart");
    }
    int64_t total = 0;
    for (const WeightedService &weighted : route.services) {
        total += std::max<int64_t>(0, weighted.weight);
    }
    for (const WeightedService &weighted : route.services) {
        const bool isKnown = std::any_of(
            decoded.services.begin(), decoded.services.end(), [&weighted](const ServiceSettings &service) { return service.name == weighted.service; });
        if (!isKnown) {
            add(ReviewField::Split, "service " + weighted.service + " is unknown");
        } else if (weighted.weight < 0) {
            add(ReviewField::Split, "service " + weighted.service + " has a negative weight");
        } else if (weighted.weight == 0 && total > 0) {
            add(ReviewField::Split, "service " + weighted.service + " has the weight 0 and is never chosen");
        }
    }
    reviewLimits(route, add);
}

void reviewServices(const DecodedConfiguration &decoded, Findings &findings)
{
    std::set<std::string> used;
    for (const Route &route : decoded.routes) {
        for (const WeightedService &weighted : route.services) {
            used.insert(weighted.service);
        }
    }
    std::set<std::string> seen;
    for (size_t index = 0; index < decoded.services.size(); ++index) {
        const std::string &name = decoded.services[index].name;
        if (!seen.insert(name).second) {
            findings.push_back({ReviewList::Services, index, ReviewField::Name, "another service has this name; the last one counts"});
        } else if (!used.contains(name)) {
            findings.push_back({ReviewList::Services, index, ReviewField::Name, "no route leads to service " + name});
        }
    }
}

void reviewTeams(const DecodedConfiguration &decoded, Findings &findings)
{
    std::map<std::string, int> keys;
    for (const auto &[key, team] : decoded.keys) {
        keys[team] += key.empty() ? 0 : 1;
    }
    std::set<std::string> seen;
    for (size_t index = 0; index < decoded.teams.size(); ++index) {
        const std::string &name = decoded.teams[index].name;
        if (!seen.insert(name).second) {
            findings.push_back({ReviewList::Teams, index, ReviewField::Name, "another team has this name"});
        }
        if (keys[name] == 0) {
            findings.push_back({ReviewList::Teams, index, ReviewField::Keys, "no request belongs to team " + name + ": no key leads to it"});
        }
    }
}

std::string describeServices(const Route &route)
{
    std::string text;
    for (const WeightedService &weighted : route.services) {
        text += (text.empty() ? "" : ", ") + weighted.service + (route.services.size() > 1 ? " x " + std::to_string(weighted.weight) : "");
    }
    return text;
}

Description describe(const Route &route)
{
    return {{"host", route.host}, {"path prefix", route.pathPrefix}, {"kind", std::string(requestKindName(route.kind))},
        {"timeout", inMilliseconds(route.timeout)}, {"target latency", inMilliseconds(route.targetLatency)},
        {"pause between events", inMilliseconds(route.targetGap)}, {"priority", std::to_string(route.priority)}, {"service", describeServices(route)},
        {"attempts", std::to_string(route.maxAttempts)}, {"public", yesOrNo(route.isPublic)}, {"resumable", yesOrNo(route.isResumable)}};
}

Description describe(const ServiceSettings &service)
{
    Description result{{"health path", service.healthPath}, {"connection limit", std::to_string(service.connectionLimit)},
        {"cold time", inMilliseconds(service.coldDuration)}, {"requests per second while cold", std::to_string(service.coldRequestsPerSecond)}};
    const EngineProfile engine = service.engine.value_or(EngineProfile{});
    std::string models;
    for (const std::string &model : engine.models) {
        models += (models.empty() ? "" : ", ") + model;
    }
    result.insert(result.end(),
        {{"engine", yesOrNo(service.engine.has_value())}, {"runs at once", std::to_string(engine.slots)}, {"cache tokens", std::to_string(engine.cacheTokens)},
            {"bytes per token", std::to_string(engine.bytesPerToken)}, {"link Mbit/s", std::to_string(engine.linkMbps)}, {"models", models}});
    return result;
}

Description describe(const CacheStore &store)
{
    return {{"address", store.address}, {"zone", store.zone}, {"capacity in tokens", std::to_string(store.capacityTokens)},
        {"link Mbit/s", std::to_string(store.linkMbps)}, {"first byte", inMilliseconds(store.firstByteDelay)},
        {"event polls", std::to_string(store.maxEventPolls)}, {"managed", yesOrNo(store.isManaged)}};
}

Description describe(const TeamSettings &team)
{
    return {{"priority", team.priority ? std::to_string(*team.priority) : "that of the route"}, {"isolated", yesOrNo(team.isIsolated)}};
}

Description describe(const CallerLimits &limits)
{
    return {{"body bytes", std::to_string(limits.bodyBytes)}, {"header bytes", std::to_string(limits.headerBytes)},
        {"header timeout", inMilliseconds(limits.headerTimeout)}, {"idle timeout", inMilliseconds(limits.idleTimeout)}};
}

void compare(const std::string &what, const Description &before, const Description &after, std::vector<std::string> &lines)
{
    for (size_t index = 0; index < after.size(); ++index) {
        if (before[index].second != after[index].second) {
            lines.push_back(what + ": " + after[index].first + " from " + before[index].second + " to " + after[index].second);
        }
    }
}

template <typename Entry>
void compareLists(const std::string &kind, const std::vector<Entry> &before, const std::vector<Entry> &after, std::vector<std::string> &lines)
{
    const auto find = [](const std::vector<Entry> &entries, const std::string &name) {
        return std::find_if(entries.begin(), entries.end(), [&name](const Entry &entry) { return entry.name == name; });
    };
    for (const Entry &entry : before) {
        if (find(after, entry.name) == after.end()) {
            lines.push_back(kind + " " + entry.name + ": removed");
        }
    }
    for (const Entry &entry : after) {
        const auto former = find(before, entry.name);
        if (former == before.end()) {
            lines.push_back(kind + " " + entry.name + ": added");
        } else {
            compare(kind + " " + entry.name, describe(*former), describe(entry), lines);
        }
    }
}

// Returns how many keys of `keys` lead to another team, or to none, in `others`, by team.
std::map<std::string, int> keysBeyond(const DecodedConfiguration &configuration, const DecodedConfiguration &other)
{
    std::map<std::string, int> result;
    for (const auto &[key, team] : configuration.keys) {
        const auto found = other.keys.find(key);
        result[team] += found == other.keys.end() || found->second != team ? 1 : 0;
    }
    return result;
}

} // namespace

std::vector<ReviewFinding> reviewConfiguration(const DecodedConfiguration &decoded)
{
    Findings findings;
    for (size_t index = 0; index < decoded.routes.size(); ++index) {
        reviewRoute(decoded, index, findings);
    }
    reviewServices(decoded, findings);
    reviewTeams(decoded, findings);
    if (decoded.limits.headerBytes <= 0) {
        findings.push_back({ReviewList::Limits, 0, ReviewField::HeaderBytes, "the limit must be positive"});
    }
    if (decoded.limits.bodyBytes <= 0) {
        findings.push_back({ReviewList::Limits, 0, ReviewField::BodyBytes, "the limit must be positive"});
    }
    return findings;
}

std::vector<std::string> describeServingDifference(const DecodedConfiguration &before, const DecodedConfiguration &after)
{
    std::vector<std::string> lines;
    compareLists("route", before.routes, after.routes, lines);
    compareLists("service", before.services, after.services, lines);
    compareLists("cache store", before.stores, after.stores, lines);
    compareLists("team", before.teams, after.teams, lines);
    for (const auto &[team, count] : keysBeyond(before, after)) {
        if (count > 0) {
            lines.push_back("team " + team + ": " + std::to_string(count) + " keys removed");
        }
    }
    for (const auto &[team, count] : keysBeyond(after, before)) {
        if (count > 0) {
            lines.push_back("team " + team + ": " + std::to_string(count) + " keys added");
        }
    }
    compare("limits", describe(before.limits), describe(after.limits), lines);
    return lines;
}

} // namespace pimentosail
