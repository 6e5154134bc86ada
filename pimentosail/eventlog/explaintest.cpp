#include <criterion/criterion.h>

#include "pimentosail/eventlog/explain.h"

using namespace pimentosail;

Test(explain, a_story_holds_the_requests_lines_and_what_its_host_believed)
{
    const std::vector<std::string> lines{
        R"(12.1 front-1 {"ts":5200,"host":"front-1","level":"info","event":"request_done","id":"r1","status":502,"total_ms":150.0})",
        R"({"ts":5100,"host":"front-1","level":"warning","event":"attempt_failed","id":"r1","end":"lost","target":"i-1"})",
        R"({"ts":4000,"host":"front-1","level":"warning","event":"dependency_lost","dependency":"store"})",
        R"({"ts":4000,"host":"front-2","level":"warning","event":"dependency_lost","dependency":"store"})",
        R"({"ts":5150,"host":"front-1","level":"info","event":"request_done","id":"r2"})",
        "not a log line",
    };
    const std::string story = explainRequest("r1", lines);
    const size_t lost = story.find("dependency_lost");
    const size_t failedAttempt = story.find("attempt_failed");
    const size_t done = story.find("request_done");
    cr_assert(lost < failedAttempt && failedAttempt < done, "%s", story.c_str());
    cr_assert(story.find("front-2") == std::string::npos);
    cr_assert(story.find("r2") == std::string::npos);
    cr_assert(explainRequest("r3", lines).empty());
}
