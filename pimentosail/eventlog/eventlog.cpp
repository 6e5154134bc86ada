#include "pimentosail/eventlog/eventlog.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace pimentosail
{

namespace
{

// Lines that may wait for the writing thread; about 2 MB at 250 bytes per line.
constexpr size_t QueueCapacity = 8192;
// Lines of one event kind per second. A host serves about 60 requests/s at its peak, so that ordinary load stays below
// the limit.
constexpr int InfoLinesPerSecond = 150;
constexpr int WarningLinesPerSecond = 100;
constexpr Duration RateWindow = std::chrono::seconds(1);
constexpr Duration WriterWait = Milliseconds(500);
// Lines are joined into blocks of about this size, so that one write to the sink covers many lines.
constexpr size_t WriteBlockBytes = 16 * 1024;

void appendQuoted(std::string &line, std::string_view text)
{
    line.push_back('"');
    for (const char character : text) {
        const auto code = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            line.push_back('\\');
            line.push_back(character);
        } else if (code < 0x20 || code >= 0x7f) {
            std::array<char, 8> escaped{};
            std::snprintf(escaped.data(), escaped.size(), "\\u%04x", code);
            line.append(escaped.data());
        } else {
            line.push_back(character);
        }
    }
    line.push_back('"');
}

template <typename T>
void appendNumber(std::string &line, T number)
{
    std::array<char, 32> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
    line.append(digits.data(), static_cast<size_t>(end - digits.data()));
}

struct ValueWriter
{
    std::string &line;

    void operator()(int64_t number) const
    {
        appendNumber(this->line, number);
    }
    void operator()(double number) const
    {
        std::array<char, 32> digits{};
        std::snprintf(digits.data(), digits.size(), "%.3f", number);
        this->line.append(digits.data());
    }
    void operator()(bool flag) const
    {
        this->line.append(flag ? "true" : "false");
    }
    void operator()(const std::string &text) const
    {
        appendQuoted(this->line, text);
    }
};

} // namespace

std::string_view logLevelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

EventLog::Sink EventLog::toStandardOutput()
{
    return [](const std::string &lines) {
        std::fwrite(lines.data(), 1, lines.size(), stdout);
        std::fflush(stdout);
    };
}

EventLog::EventLog(Clock &runtimeClock, std::string hostName, Sink lineSink)
    : clock(runtimeClock)
    , host(std::move(hostName))
    , sink(std::move(lineSink))
    , queue(QueueCapacity)
{
}

EventLog::~EventLog()
{
    this->stop();
}

void EventLog::start()
{
    this->writer = std::thread([this] { this->run(); });
}

void EventLog::stop()
{
    this->queue.close();
    if (this->writer.joinable()) {
        this->writer.join();
    }
}

bool EventLog::admit(LogLevel level, std::string_view event, Time now, long &previouslySuppressed)
{
    const std::lock_guard lock(this->mutex);
    auto found = this->rates.find(event);
    if (found == this->rates.end()) {
        found = this->rates.emplace(std::string(event), Rate{}).first;
    }
    Rate &rate = found->second;
    if (now - rate.windowStart >= RateWindow) {
        previouslySuppressed = rate.suppressed;
        rate = {now, 0, 0};
    }
    const int limit = level == LogLevel::Info ? InfoLinesPerSecond : WarningLinesPerSecond;
    if (rate.written >= limit) {
        ++rate.suppressed;
        return false;
    }
    ++rate.written;
    return true;
}

std::string EventLog::formatLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) const
{
    std::string line;
    line.reserve(256);
    line.append("{\"ts\":");
    appendNumber(line, Clock::wallMilliseconds());
    line.append(",\"up\":");
    appendNumber(line, toMilliseconds(this->clock.now()));
    line.append(",\"host\":");
    appendQuoted(line, this->host);
    line.append(",\"level\":");
    appendQuoted(line, logLevelName(level));
    line.append(",\"event\":");
    appendQuoted(line, event);
    for (const LogField &field : fields) {
        line.push_back(',');
        appendQuoted(line, field.name);
        line.push_back(':');
        std::visit(ValueWriter{line}, field.value);
    }
    line.append("}\n");
    return line;
}

void EventLog::write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    long previouslySuppressed = 0;
    const bool admitted = this->admit(level, event, this->clock.now(), previouslySuppressed);
    if (previouslySuppressed > 0) {
        this->queue.tryPush(this->formatLine(
            LogLevel::Warning, "log_suppressed", {{"of", event}, {"lines", previouslySuppressed}, {"dropped_total", this->droppedLines.load()}}));
    }
    if (!admitted) {
        this->suppressedLines.fetch_add(1);
        return;
    }
    if (!this->queue.tryPush(this->formatLine(level, event, fields))) {
        this->droppedLines.fetch_add(1);
    }
}

void EventLog::run()
{
    while (true) {
        std::optional<std::string> line = this->queue.pop(WriterWait);
        if (!line) {
            if (this->queue.isClosed()) {
                return;
            }
            continue;
        }
        std::string block = std::move(*line);
        while (block.size() < WriteBlockBytes) {
            std::optional<std::string> next = this->queue.pop(Duration(0));
            if (!next) {
                break;
            }
            block.append(*next);
        }
        this->sink(block);
    }
}

} // namespace pimentosail
