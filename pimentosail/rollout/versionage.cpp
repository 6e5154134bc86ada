#include "pimentosail/rollout/versionage.h"

#include <algorithm>

#include "pimentosail/base/error.h"
#include "pimentosail/base/json.h"

namespace pimentosail
{

namespace
{

// Ages are known within this. Each step costs one lease for each version.
constexpr Duration AgeStep = std::chrono::seconds(2);
// Shortest lease that the key-value store grants.
constexpr Duration ShortestLease = std::chrono::seconds(1);
// A store without faults removes a key this long after the end of its lease at most.
constexpr Duration MaxExpiryDelay = Milliseconds(500);

} // namespace

AgeRecord makeAgeRecord(Duration limit, Duration removalDelay, Duration spread)
{
    return {AgeStep, (limit + AgeStep - Duration(1)) / AgeStep, removalDelay, spread};
}

std::vector<AgeMark> ageMarks(Duration age, const AgeRecord &record)
{
    std::vector<AgeMark> marks;
    for (int64_t index = 1; index <= record.marks; ++index) {
        const Duration ttl = index * record.step - age;
        if (ttl >= ShortestLease) {
            marks.push_back({index, ttl});
        }
    }
    return marks;
}

VersionAge ageFromMarks(const AgeRecord &record, const std::set<int64_t> &present)
{
    VersionAge age;
    const int64_t reached = present.empty() ? record.marks : *present.begin() - 1;
    age.atLeast = std::max(Duration(0), Duration(reached * record.step - record.spread - ShortestLease));
    if (!present.empty()) {
        age.atMost = *present.begin() * record.step + record.removalDelay;
    }
    return age;
}

std::optional<Duration> correctedRemovalDelay(const AgeRecord &record, const std::set<int64_t> &present, const VersionAge &age)
{
    if (present.empty() || !age.atMost) {
        return std::nullopt;
    }
    const int64_t lowest = *present.begin();
    if (age.atLeast <= lowest * record.step + record.removalDelay + MaxExpiryDelay) {
        return std::nullopt;
    }
    // The mark before the lowest one has been removed, or was omitted because the rest of its lease would have been too short.
    return std::max<Duration>(record.removalDelay, *age.atMost - (lowest - 1) * record.step + ShortestLease);
}

std::string encodeAgeRecord(const AgeRecord &record)
{
    Json::Value value;
    value["step_ms"] = Json::Int64(toMilliseconds(record.step));
    value["marks"] = Json::Int64(record.marks);
    value["grant_delay_ms"] = Json::Int64(toMilliseconds(record.removalDelay) + 1);
    value["spread_ms"] = Json::Int64(toMilliseconds(record.spread) + 1);
    return printJson(value);
}

AgeRecord decodeAgeRecord(const std::string &value)
{
    const Json::Value document = parseJson(value);
    const AgeRecord record{Milliseconds(jsonInteger(document, "step_ms")), jsonInteger(document, "marks"),
        Milliseconds(jsonInteger(document, "grant_delay_ms")), Milliseconds(jsonInteger(document, "spread_ms"))};
    if (record.step <= Duration(0) || record.marks < 0 || record.removalDelay < Duration(0) || record.spread < Duration(0)) {
        throw Failure(ErrorKind::BadRequest, "a record of a version's age needs a step, a number of marks, a delay and a spread");
    }
    return record;
}

} // namespace pimentosail
