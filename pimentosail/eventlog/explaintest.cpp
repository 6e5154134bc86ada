#include <criterion/criterion.h>

#include "pimentosail/eventlog/explain.h"

using namespace pimentosail;

Test(explain, a_timeline_contains_the_lines_of_the_request_and_the_state_events_of_its_host)
{
    const std::vector<std::string> lines{
        R"(12.1 front-1 {"ts":5200,"host":"front-1","level":"info","event":"request_done","id":"r1","status":502,"total_ms":150.0})",
        R"({"ts":5100,"host":"front-1","level":"warning","event":"attempt_failed","id":"r1","end":"lost","target":"i-1"})",
        R"({"ts":4000,"host":"front-1","level":"warning","event":"dependency_lost","dependency":"store"})",
        R"({"ts":4000,"host":"front-2","level":"warning","event":"dependency_lost","dependency":"store"})",
        R"({"ts":5150,"host":"front-1","level":"info","event":"request_done","id":"r2"})",
        "not a log line",
    };
    const std::string timeline = explainRequest("r1", lines);
    const size_t lost = timeline.find("dependency_lost");
    const size_t failedAttempt = timeline.find("attempt_failed");
    const size_t done = timeline.find("request_done");
    cr_assert(lost < failedAttempt && failedAttempt < done, "%s", timeline.c_str());
    cr_assert(timeline.find("front-2") == std::string::npos);
    cr_assert(timeline.find("r2") == std::string::npos);
    cr_assert(explainRequest("r3", lines).empty());
}
