// Writes and reads the binary messages between hosts: integers and lengths with seven bits in each byte, names as length and bytes.
//
//     MessageWriter writer;
//     writer.number(17);
//     writer.name("front-1");
//     MessageReader reader(writer.take());
//     uint64_t number = reader.number();
//
// `MessageReader` throws `Failure` (BadRequest) if a message is incomplete or exceeds a bound; the bytes must outlive it. Not
// thread-safe.
#pragma once

#include <algorithm>
#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

#include <Poco/BinaryReader.h>
#include <Poco/BinaryWriter.h>
#include <Poco/MemoryStream.h>

#include "pimentosail/base/clock.h"
#include "pimentosail/base/error.h"

namespace pimentosail
{

// Returns `value`, or 0 if it is negative.
inline uint64_t toUnsigned(int64_t value)
{
    return static_cast<uint64_t>(std::max<int64_t>(0, value));
}

// Bytes of the longest name that is read.
constexpr uint64_t MaxSentName = 200;

class MessageWriter
{
public:
    MessageWriter()
        : writer(this->stream, Poco::BinaryWriter::LITTLE_ENDIAN_BYTE_ORDER)
    {
    }

    void byte(uint8_t value)
    {
        this->writer << value;
    }

    void number(uint64_t value)
    {
        this->writer.write7BitEncoded(static_cast<Poco::UInt64>(value));
    }

    void name(const std::string &value)
    {
        this->number(value.size());
        this->writer.writeRaw(value);
    }

    std::string take()
    {
        return std::move(this->stream).str();
    }

private:
    std::ostringstream stream;
    Poco::BinaryWriter writer;
};

class MessageReader
{
public:
    explicit MessageReader(std::string_view bytes)
        : stream(bytes.data(), static_cast<std::streamsize>(bytes.size()))
        , reader(this->stream, Poco::BinaryReader::LITTLE_ENDIAN_BYTE_ORDER)
    {
    }

    uint8_t byte()
    {
        uint8_t value = 0;
        this->reader >> value;
        this->check(this->reader.good());
        return value;
    }

    uint64_t number()
    {
        Poco::UInt64 value = 0;
        this->reader.read7BitEncoded(value);
        this->check(this->reader.good());
        return value;
    }

    int64_t signedNumber()
    {
        const uint64_t value = this->number();
        this->check(value <= static_cast<uint64_t>(INT64_MAX / 4));
        return static_cast<int64_t>(value);
    }

    std::string name()
    {
        const uint64_t size = this->number();
        this->check(size <= MaxSentName);
        std::string value;
        this->reader.readRaw(static_cast<std::streamsize>(size), value);
        this->check(this->reader.good() && value.size() == size);
        return value;
    }

    // Returns the number of rows that follow.
    uint64_t rows(uint64_t limit)
    {
        const uint64_t count = this->number();
        this->check(count <= limit);
        return count;
    }

    Duration age()
    {
        return Milliseconds(std::min<int64_t>(this->signedNumber(), MaxAge.count()));
    }

    void checkEnd()
    {
        this->check(this->stream.peek() == std::char_traits<char>::eof());
    }

private:
    static constexpr Milliseconds MaxAge = std::chrono::hours(24);

    void check(bool isValid)
    {
        if (!isValid) {
            throw Failure(ErrorKind::BadRequest, "the message is incomplete or exceeds a bound");
        }
    }

    Poco::MemoryInputStream stream;
    Poco::BinaryReader reader;
};

} // namespace pimentosail
