#include <algorithm>

#include <criterion/criterion.h>

#include "pimentosail/routing/configurationreview.h"

using namespace pimentosail;

namespace
{

Route route(const std::string &name, const std::string &prefix)
{
    Route result;
    result.name = name;
    result.host = "h.example";
    result.pathPrefix = prefix;
    result.kind = RequestKind::Safe;
    result.timeout = Milliseconds(3000);
    result.targetLatency = Milliseconds(500);
    result.services = {{"desk", 1}};
    return result;
}

DecodedConfiguration sound()
{
    DecodedConfiguration decoded;
    decoded.routes = {route("look", "/look/"), route("near", "/look/near/")};
    decoded.services = {{.name = "desk"}};
    decoded.teams = {{.name = "t1"}};
    decoded.keys = {{"k1", "t1"}};
    return decoded;
}

bool isFound(const DecodedConfiguration &decoded, ReviewList list, size_t index, ReviewField field)
{
    const std::vector<ReviewFinding> findings = reviewConfiguration(decoded);
    return findings.size() == 1 && findings.front().list == list && findings.front().index == index && findings.front().field == field;
}

} // namespace

// Guards against findings in a configuration that works.
Test(configuration_review, a_sound_configuration_has_no_findings)
{
    cr_assert(reviewConfiguration(sound()).empty());
}

// Guards against entries that are sent although nothing ever matches them.
Test(configuration_review, entries_that_never_match_are_found)
{
    DecodedConfiguration decoded = sound();
    decoded.routes.push_back(route("again", "/look/"));
    cr_expect(isFound(decoded, ReviewList::Routes, 2, ReviewField::PathPrefix));
    decoded = sound();
    decoded.routes[1].pathPrefix = "/look?near/";
    cr_expect(isFound(decoded, ReviewList::Routes, 1, ReviewField::PathPrefix));
    decoded = sound();
    decoded.routes[1].host = "h.example:80";
    cr_expect(isFound(decoded, ReviewList::Routes, 1, ReviewField::Host));
    decoded = sound();
    decoded.services.push_back({.name = "unused"});
    cr_expect(isFound(decoded, ReviewList::Services, 1, ReviewField::Name));
    decoded = sound();
    decoded.services.push_back({.name = "other"});
    decoded.routes[0].services.push_back({"other", 0});
    cr_expect(isFound(decoded, ReviewList::Routes, 0, ReviewField::Split));
    decoded = sound();
    decoded.teams.push_back({.name = "t2"});
    cr_expect(isFound(decoded, ReviewList::Teams, 1, ReviewField::Keys));
}

// Guards against limits that contradict each other.
Test(configuration_review, contradictory_limits_are_found)
{
    DecodedConfiguration decoded = sound();
    decoded.routes[0].targetLatency = Milliseconds(3001);
    cr_expect(isFound(decoded, ReviewList::Routes, 0, ReviewField::TargetLatency));
    decoded = sound();
    decoded.routes[0].targetGap = Milliseconds(3001);
    cr_expect(isFound(decoded, ReviewList::Routes, 0, ReviewField::TargetGap));
    for (const RequestKind kind : {RequestKind::Unsafe, RequestKind::Streaming}) {
        decoded = sound();
        decoded.routes[1].kind = kind;
        decoded.routes[1].maxAttempts = 2;
        cr_expect(isFound(decoded, ReviewList::Routes, 1, ReviewField::MaxAttempts));
    }
    decoded = sound();
    decoded.routes[1].kind = RequestKind::Streaming;
    decoded.routes[1].isResumable = true;
    decoded.routes[1].maxAttempts = 2;
    cr_expect(reviewConfiguration(decoded).empty());
    decoded.limits.bodyBytes = 0;
    cr_expect(isFound(decoded, ReviewList::Limits, 0, ReviewField::BodyBytes));
}

// Guards against a change that an operator sends without seeing it, and against keys that are printed.
Test(configuration_review, each_difference_is_described)
{
    cr_assert(describeServingDifference(sound(), sound()).empty());
    DecodedConfiguration next = sound();
    next.routes[0].timeout = Milliseconds(2000);
    next.routes[1].name = "far";
    next.keys = {{"secret", "t1"}};
    next.limits.bodyBytes = 100;
    const std::vector<std::string> expected{"route near: removed", "route look: timeout from 3000 ms to 2000 ms", "route far: added", "team t1: 1 keys removed",
        "team t1: 1 keys added", "limits: body bytes from 4194304 to 100"};
    const std::vector<std::string> lines = describeServingDifference(sound(), next);
    cr_assert(std::is_permutation(lines.begin(), lines.end(), expected.begin(), expected.end()));
}
