#include <atomic>
#include <condition_variable>

#include <criterion/criterion.h>

#include "pimentosail/base/json.h"
#include "pimentosail/eventlog/eventlog.h"

using namespace pimentosail;

Test(eventlog, a_line_is_one_json_object_with_its_fields)
{
    Clock clock;
    std::string written;
    EventLog log(clock, "front-1", [&written](const std::string &lines) { written += lines; });
    log.start();
    log.write(LogLevel::Warning, "attempt_failed", {{"id", "a\"b\n"}, {"status", 503}, {"ms", 1.5}, {"kept", true}});
    log.stop();
    const Json::Value line = parseJson(written);
    cr_assert_eq(line["host"].asString(), "front-1");
    cr_assert_eq(line["level"].asString(), "warning");
    cr_assert_eq(line["event"].asString(), "attempt_failed");
    cr_assert_eq(line["id"].asString(), "a\"b\n");
    cr_assert_eq(line["status"].asInt(), 503);
    cr_assert(line["kept"].asBool());
}

// The sink blocks until all lines are logged: callers must not block, and each missing line must be counted.
Test(eventlog, a_blocked_sink_blocks_no_caller_and_every_missing_line_is_counted)
{
    Clock clock;
    clock.pause();
    std::mutex mutex;
    std::condition_variable released;
    bool isReleased = false;
    std::atomic<long> lines{0};
    EventLog log(clock, "front-1", [&](const std::string &block) {
        std::unique_lock lock(mutex);
        released.wait(lock, [&isReleased] { return isReleased; });
        lines += std::count(block.begin(), block.end(), '\n');
    });
    log.start();
    constexpr int Kinds = 400;
    constexpr int LinesPerKind = 60;
    for (int kind = 0; kind < Kinds; ++kind) {
        const std::string event = "event_" + std::to_string(kind);
        for (int index = 0; index < LinesPerKind; ++index) {
            log.write(LogLevel::Info, event, {{"index", index}});
        }
    }
    cr_assert(log.dropped() > 0, "the queue must have filled");
    {
        const std::lock_guard lock(mutex);
        isReleased = true;
    }
    released.notify_all();
    log.stop();
    cr_assert_eq(lines.load() + log.dropped() + log.suppressed(), Kinds * LinesPerKind);
}

Test(eventlog, one_frequent_event_does_not_displace_others)
{
    Clock clock;
    clock.pause();
    std::string written;
    EventLog log(clock, "front-1", [&written](const std::string &lines) { written += lines; });
    log.start();
    for (int index = 0; index < 1000; ++index) {
        log.write(LogLevel::Info, "request_done", {{"index", index}});
    }
    log.write(LogLevel::Warning, "request_failed", {{"id", "x"}});
    clock.advance(std::chrono::seconds(2));
    log.write(LogLevel::Info, "request_done", {{"index", 1000}});
    log.stop();
    cr_assert(written.find("request_failed") != std::string::npos);
    cr_assert(written.find("\"of\":\"request_done\",\"lines\":850") != std::string::npos, "the lines left out are reported: %s",
        written.substr(written.size() - 400).c_str());
    cr_assert_eq(log.suppressed(), 850);
}
