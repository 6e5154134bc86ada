#include "pimentosail/net/chunkdecoder.h"

#include <algorithm>

#include <Poco/NumberParser.h>
#include <Poco/String.h>

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

// Removes one line from `received`. Returns false if no complete line has arrived.
bool extractLine(std::string &received, std::string &line)
{
    const size_t end = received.find('\n');
    if (end == std::string::npos) {
        return false;
    }
    line = received.substr(0, end);
    received.erase(0, end + 1);
    if (!line.empty() && line.back() == '\r') {
        line.pop_back();
    }
    return true;
}

bool parseChunkSize(const std::string &line, uint64_t &size)
{
    const std::string digits = Poco::trimRight(line.substr(0, line.find(';')));
    if (digits.empty() || digits.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
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
    std::string line;
    while (true) {
        switch (this->state) {
        case State::Size:
            if (!extractLine(received, line)) {
                return received.size() > MaxLineBytes ? ChunkStatus::Malformed : ChunkStatus::NeedsMore;
            }
            if (!parseChunkSize(line, this->remaining)) {
                return ChunkStatus::Malformed;
            }
            this->state = this->remaining == 0 ? State::Trailer : State::Data;
            break;
        case State::Data: {
            const size_t count = std::min<size_t>(this->remaining, received.size());
            data.append(received, 0, count);
            received.erase(0, count);
            this->remaining -= count;
            if (this->remaining > 0) {
                return ChunkStatus::NeedsMore;
            }
            this->state = State::DataEnd;
            break;
        }
        case State::DataEnd:
            if (!extractLine(received, line)) {
                return received.size() >= MaxLineEndBytes ? ChunkStatus::Malformed : ChunkStatus::NeedsMore;
            }
            if (!line.empty()) {
                return ChunkStatus::Malformed;
            }
            this->state = State::Size;
            break;
        case State::Trailer:
            if (!extractLine(received, line)) {
                return this->trailerBytes + received.size() > MaxLineBytes ? ChunkStatus::Malformed : ChunkStatus::NeedsMore;
            }
            this->trailerBytes += line.size() + 1;
            if (this->trailerBytes > MaxLineBytes) {
                return ChunkStatus::Malformed;
            }
            this->state = line.empty() ? State::Done : State::Trailer;
            break;
        case State::Done:
            return ChunkStatus::Done;
        }
    }
}

} // namespace pimentosail
