// Structured log of a process: one JSON object per line, usually on standard output.
//
// Every line contains `ts` (wall clock, Unix ms), `up` (monotonic ms), `host`, `level` and `event`, then the fields of
// the event. Callers append to a bounded queue and never wait for the output; one thread writes. A line is
// dropped if the queue is full, and suppressed if its event kind has reached its rate limit. Both are counted. When an
// event kind that was suppressed is logged again in a later second, a `log_suppressed` line reports how many of its
// lines are missing and the total number of dropped lines.
//
//     EventLog log(clock, "front-1", EventLog::toStandardOutput());
//     log.start();
//     log.write(LogLevel::Info, "request_done", {{"id", id}, {"status", 200}, {"ms", 12}});
//
// Thread-safe.
#pragma once

#include <atomic>
#include <functional>
#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>

#include "pimentosail/base/boundedqueue.h"
#include "pimentosail/base/clock.h"

namespace pimentosail
{

// Severity of a line. Each event kind has a rate limit of its own, which depends on the level, so that frequent
// successes do not displace warnings and errors.
enum class LogLevel {
    Info,
    Warning,
    Error,
};

// Returns the stable lower-case name of `level`.
std::string_view logLevelName(LogLevel level);

using LogValue = std::variant<int64_t, double, bool, std::string>;

// One field of a line. Booleans, integers, floating-point numbers and strings convert to it.
struct LogField
{
    template <typename T>
    LogField(std::string_view fieldName, const T &fieldValue)
        : name(fieldName)
    {
        if constexpr (std::is_same_v<T, bool>) {
            this->value = fieldValue;
        } else if constexpr (std::is_integral_v<T>) {
            this->value = static_cast<int64_t>(fieldValue);
        } else if constexpr (std::is_floating_point_v<T>) {
            this->value = static_cast<double>(fieldValue);
        } else {
            this->value = std::string(fieldValue);
        }
    }

    std::string_view name;
    LogValue value;
};

class EventLog
{
public:
    // Receives one or more complete lines, each with its line end. Called by the writing thread only.
    using Sink = std::function<void(const std::string &lines)>;

    // Returns a sink that writes to standard output and flushes it.
    static Sink toStandardOutput();

    EventLog(Clock &runtimeClock, std::string hostName, Sink lineSink);
    ~EventLog();

    // Starts the writing thread. Lines that were logged before are written then.
    void start();

    // Writes the lines that are waiting and ends the thread. Later lines are dropped.
    void stop();

    // Appends one line, or counts it as dropped or suppressed. Never waits for the sink.
    void write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

    // Returns how many lines are missing because the queue was full.
    long dropped() const
    {
        return this->droppedLines.load();
    }
    // Returns how many lines are missing because their event kind had reached its rate limit.
    long suppressed() const
    {
        return this->suppressedLines.load();
    }

private:
    // Lines of one event kind in its current window of one second.
    struct Rate
    {
        Time windowStart{};
        int written = 0;
        long suppressed = 0;
    };

    // Returns true if the rate limit of `event` allows one more line. At the start of a new window,
    // `previouslySuppressed` becomes the number of lines that were suppressed in the window before.
    bool admit(LogLevel level, std::string_view event, Time now, long &previouslySuppressed);
    std::string formatLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) const;
    void run();

    Clock &clock;
    std::string host;
    Sink sink;
    BoundedQueue<std::string> queue;
    std::mutex mutex;
    std::map<std::string, Rate, std::less<>> rates;
    std::atomic<long> droppedLines{0};
    std::atomic<long> suppressedLines{0};
    std::thread writer;
};

} // namespace pimentosail
