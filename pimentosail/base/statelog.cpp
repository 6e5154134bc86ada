#include "pimentosail/base/statelog.h"

#include <atomic>
#include <cstdlib>

#include <glog/logging.h>

namespace pimentosail
{

namespace
{

std::atomic<long> violations{0};

void appendField(std::string &line, std::string_view key, const std::string &value)
{
    line.append(" ").append(key).append("=\"");
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            line.push_back('\\');
        }
        line.push_back(character == '\n' ? ' ' : character);
    }
    line.push_back('"');
}

} // namespace

void startLogging(const char *program)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
}

void logStateChange(std::string_view event, std::initializer_list<std::pair<std::string_view, std::string>> fields)
{
    std::string line("event=");
    line.append(event);
    for (const auto &[key, value] : fields) {
        appendField(line, key, value);
    }
    LOG(INFO) << line;
}

void reportViolation(std::string_view invariant, const std::string &detail)
{
    violations.fetch_add(1);
    LOG(ERROR) << "event=invariant_violated invariant=\"" << invariant << "\" detail=\"" << detail << "\"";
    if (std::getenv("PIMENTOSAIL_FATAL_INVARIANTS") != nullptr) {
        std::abort();
    }
}

long violationCount()
{
    return violations.load();
}

} // namespace pimentosail
