#include "pimentosail/entry/eventtext.h"

#include <algorithm>

namespace pimentosail
{

size_t eventLength(std::string_view data, size_t searched)
{
    constexpr std::string_view LineFeedEnd = "\n\n";
    constexpr std::string_view CarriageReturnEnd = "\r\n\r\n";
    // An end may start in the bytes that were searched.
    const size_t start = searched - std::min(searched, CarriageReturnEnd.size() - 1);
    const size_t lineFeedEnd = data.find(LineFeedEnd, start);
    const size_t carriageReturnEnd
        = data.substr(0, lineFeedEnd == std::string_view::npos ? lineFeedEnd : lineFeedEnd + LineFeedEnd.size()).find(CarriageReturnEnd, start);
    if (carriageReturnEnd != std::string_view::npos) {
        return carriageReturnEnd + CarriageReturnEnd.size();
    }
    return lineFeedEnd == std::string_view::npos ? 0 : lineFeedEnd + LineFeedEnd.size();
}

bool isComment(const std::string &event)
{
    bool isLineStart = true;
    for (const char character : event) {
        if (isLineStart && character != ':' && character != '\n' && character != '\r') {
            return false;
        }
        isLineStart = character == '\n';
    }
    return true;
}

std::string eventId(const std::string &event)
{
    size_t start = 0;
    while (start < event.size()) {
        const size_t end = std::min(event.find('\n', start), event.size());
        if (event.compare(start, 3, "id:") == 0) {
            size_t first = start + 3;
            while (first < end && event[first] == ' ') {
                ++first;
            }
            size_t last = end;
            while (last > first && (event[last - 1] == '\r' || event[last - 1] == ' ')) {
                --last;
            }
            return event.substr(first, last - first);
        }
        start = end + 1;
    }
    return {};
}

} // namespace pimentosail
