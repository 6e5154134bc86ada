#include "pimentosail/net/answerrules.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

constexpr std::string_view VersionPrefix = "HTTP/";
constexpr size_t StatusDigits = 3;
constexpr int MinFinalStatus = 200;
constexpr int MaxStatus = 599;

} // namespace

StatusKind classifyStatusLine(std::string_view line)
{
    if (!line.starts_with(VersionPrefix)) {
        return StatusKind::Invalid;
    }
    const size_t versionEnd = std::min(line.find(' '), line.size());
    const size_t start = std::min(line.find_first_not_of(' ', versionEnd), line.size());
    const std::string_view status = line.substr(start, std::min(line.find(' ', start), line.size()) - start);
    if (status.size() != StatusDigits || status.find_first_not_of("0123456789") != std::string_view::npos) {
        return StatusKind::Invalid;
    }
    int code = 0;
    for (const char digit : status) {
        code = 10 * code + (digit - '0');
    }
    if (code == 100 || code == 102 || code == 103) {
        return StatusKind::Interim;
    }
    return code >= MinFinalStatus && code <= MaxStatus ? StatusKind::Final : StatusKind::Invalid;
}

std::string_view answerFaultText(AnswerFault fault)
{
    switch (fault) {
    case AnswerFault::None:
        return "none";
    case AnswerFault::InvalidStatus:
        return "invalid status";
    case AnswerFault::MalformedHead:
        return "malformed header";
    case AnswerFault::Truncated:
        return "the answer was truncated";
    case AnswerFault::EndedBeforeRequest:
        return "the answer ended before the request was sent";
    case AnswerFault::Reset:
        return "the connection was reset";
    }
    return "none";
}

AnswerFault faultAtEnd(const AnswerEnding &end)
{
    if (end.framing != AnswerFraming::UntilClose) {
        return end.framing == AnswerFraming::None || end.isFramingReached ? AnswerFault::None : AnswerFault::Truncated;
    }
    if (end.isReset) {
        return AnswerFault::Reset;
    }
    return end.isRequestReceived ? AnswerFault::None : AnswerFault::EndedBeforeRequest;
}

} // namespace pimentosail
