#include "pimentosail/net/chunkdecoder.h"

#include <algorithm>
#include <cctype>
#include <string_view>

#include <Poco/NumberParser.h>

#include "pimentosail/net/messagehead.h"

namespace pimentosail
{

namespace
{

// Size of a line with a chunk size, and of all trailer fields.
constexpr size_t MaxLineBytes = 4096;
// Size of the line end after the data of a chunk.
constexpr size_t MaxLineEndBytes = 2;
// Larger chunks are malformed. A size has any number of leading zeros.
constexpr uint64_t MaxChunkBytes = uint64_t(1) << 40;

enum class LineResult {
    NeedsMore,
    Line,
    // The line does not end with CR LF.
    Malformed,
};

// Removes one line and its end from `received`.
LineResult extractLine(std::string &received, std::string &line)
{
    const size_t end = received.find('\n');
    if (end == std::string::npos) {
        return LineResult::NeedsMore;
    }
    if (end == 0 || received[end - 1] != '\r') {
        return LineResult::Malformed;
    }
    line = received.substr(0, end - 1);
    received.erase(0, end + 1);
    return LineResult::Line;
}

// Returns true if what follows a chunk size begins an extension, and holds no control characters.
bool isExtension(std::string_view text)
{
    return text.empty() || (text.front() == ';' && std::none_of(text.begin(), text.end(), [](char character) {
        return std::iscntrl(static_cast<unsigned char>(character)) != 0 && character != '\t';
    }));
}

bool parseChunkSize(const std::string &line, uint64_t &size)
{
    const std::string digits = line.substr(0, line.find_first_not_of("0123456789abcdefABCDEF"));
    if (digits.empty() || !isExtension(std::string_view(line).substr(digits.size()))) {
        return false;
    }
    const size_t first = digits.find_first_not_of('0');
    Poco::UInt64 value = 0;
    if (first != std::string::npos && !Poco::NumberParser::tryParseHex64(digits.substr(first), value)) {
        return false;
    }
    size = value;
    return value <= MaxChunkBytes;
}

} // namespace

uint64_t ChunkDecoder::bytesWanted() const
{
    switch (this->state) {
    case State::Data:
        return this->remaining;
    case State::Done:
        return 0;
    case State::Size:
    case State::DataEnd:
    case State::Trailer:
        break;
    }
    return 1;
}

ChunkStatus ChunkDecoder::decode(std::string &received, std::string &data)
{
    while (this->state != State::Done) {
        const ChunkStatus status = this->state == State::Data ? this->decodeData(received, data) : this->decodeLine(received);
        if (status != ChunkStatus::Done) {
            return status;
        }
    }
    return ChunkStatus::Done;
}

ChunkStatus ChunkDecoder::decodeData(std::string &received, std::string &data)
{
    const size_t count = std::min<size_t>(this->remaining, received.size());
    data.append(received, 0, count);
    received.erase(0, count);
    this->remaining -= count;
    if (this->remaining > 0) {
        return ChunkStatus::NeedsMore;
    }
    this->state = State::DataEnd;
    return ChunkStatus::Done;
}

ChunkStatus ChunkDecoder::decodeLine(std::string &received)
{
    std::string line;
    switch (extractLine(received, line)) {
    case LineResult::Malformed:
        return ChunkStatus::Malformed;
    case LineResult::NeedsMore: {
        const size_t limit = this->state == State::DataEnd ? MaxLineEndBytes - 1 : MaxLineBytes;
        return this->trailerBytes + received.size() > limit ? ChunkStatus::Malformed : ChunkStatus::NeedsMore;
    }
    case LineResult::Line:
        break;
    }
    if (this->state == State::Size) {
        if (!parseChunkSize(line, this->remaining)) {
            return ChunkStatus::Malformed;
        }
        this->state = this->remaining == 0 ? State::Trailer : State::Data;
    } else if (this->state == State::DataEnd) {
        if (!line.empty()) {
            return ChunkStatus::Malformed;
        }
        this->state = State::Size;
    } else {
        this->trailerBytes += line.size() + MaxLineEndBytes;
        if (this->trailerBytes > MaxLineBytes || (!line.empty() && !isHeaderField(line))) {
            return ChunkStatus::Malformed;
        }
        this->state = line.empty() ? State::Done : State::Trailer;
    }
    return ChunkStatus::Done;
}

} // namespace pimentosail
