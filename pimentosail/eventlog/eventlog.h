// Structured log of a process: one JSON object a line on standard output.
//
// Every line carries `ts` (wall clock, Unix ms), `up` (monotonic ms), `host`, `level` and `event`, then the fields of
// the event. Callers append to a bounded ring and never block; one thread writes. A line is left out when the ring
// is full or when its event kind has used up its rate; both are counted and reported by a `log_suppressed` line.
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

// Warnings and errors have a rate of their own, so that successes never displace them.
enum class LogLevel {
    Info,
    Warning,
    Error,
};

// Returns the stable lower-case name of `level`.
std::string_view logLevelName(LogLevel level);

using LogValue = std::variant<int64_t, double, bool, std::string>;

// One field of a line. Converts from the usual types.
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
    // Receives whole lines, each with its line end. Called by the writing thread only.
    using Sink = std::function<void(const std::string &lines)>;

    // Writes to the file descriptor of standard output.
    static Sink toStandardOutput();

    EventLog(Clock &runtimeClock, std::string hostName, Sink lineSink);
    ~EventLog();

    // Starts the writing thread. Lines written before are kept.
    void start();

    // Writes what is waiting and ends the thread.
    void stop();

    // Appends one line, or counts it as left out. Never blocks on the sink.
    void write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

    // Returns how many lines were left out because the ring was full, and because of their event's rate.
    long dropped() const
    {
        return this->droppedLines.load();
    }
    long suppressed() const
    {
        return this->suppressedLines.load();
    }

private:
    struct Rate
    {
        Time windowStart{};
        int written = 0;
        long leftOut = 0;
    };

    bool admit(LogLevel level, std::string_view event, Time now, long &leftOut);
    std::string formatLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) const;
    void run();

    Clock &clock;
    std::string host;
    Sink sink;
    BoundedQueue<std::string> ring;
    std::mutex mutex;
    std::map<std::string, Rate, std::less<>> rates;
    std::atomic<long> droppedLines{0};
    std::atomic<long> suppressedLines{0};
    std::thread writer;
};

} // namespace pimentosail
