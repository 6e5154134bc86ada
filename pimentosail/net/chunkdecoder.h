// Decodes a body in HTTP/1.1 chunks (RFC 9112, 7.1). Unlike POCO's reader, it tells a complete body from one that was cut or is malformed.
//
//     ChunkDecoder decoder;
//     ChunkStatus status = ChunkStatus::NeedsMore;
//     while (status == ChunkStatus::NeedsMore) {
//         received += readAtMost(decoder.bytesWanted());
//         status = decoder.decode(received, body);
//     }
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <string>

namespace pimentosail
{

enum class ChunkStatus {
    NeedsMore,
    // The last chunk and the trailer fields have been read.
    Done,
    Malformed,
};

class ChunkDecoder
{
public:
    // Removes the bytes that belong to the body from the start of `received` and appends the data of the chunks to `data`.
    ChunkStatus decode(std::string &received, std::string &data);

    // Returns how many bytes belong to the body at least, beyond those that were decoded; 0 if it is complete.
    uint64_t bytesWanted() const;

private:
    enum class State {
        Size,
        Data,
        DataEnd,
        Trailer,
        Done,
    };

    // Decode bytes of the present state only. Return Done if they have completed it.
    ChunkStatus decodeData(std::string &received, std::string &data);
    ChunkStatus decodeLine(std::string &received);

    State state = State::Size;
    // Bytes left of the current chunk.
    uint64_t remaining = 0;
    // Bytes of trailer fields that have been read.
    size_t trailerBytes = 0;
};

} // namespace pimentosail
