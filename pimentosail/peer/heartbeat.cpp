#include "pimentosail/peer/heartbeat.h"

#include <sstream>

#include <Poco/BinaryReader.h>
#include <Poco/BinaryWriter.h>

#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

constexpr uint8_t ProtocolVersion = 1;
constexpr size_t ChecksumBytes = 4;
constexpr uint32_t MaxTargets = 4096;
constexpr uint32_t MaxNameLength = 256;

constexpr uint8_t DrainingFlag = 1;
constexpr uint8_t AuthorityFlag = 2;

uint32_t checksumOf(const std::string &payload)
{
    return static_cast<uint32_t>(stableHash(payload));
}

std::string readName(Poco::BinaryReader &reader)
{
    Poco::UInt32 length = 0;
    reader.read7BitEncoded(length);
    std::string name;
    if (length <= MaxNameLength) {
        reader.readRaw(length, name);
    }
    return name;
}

void writeName(Poco::BinaryWriter &writer, const std::string &name)
{
    writer.write7BitEncoded(static_cast<Poco::UInt32>(name.size()));
    writer.writeRaw(name);
}

int64_t readSigned(Poco::BinaryReader &reader)
{
    Poco::UInt64 value = 0;
    reader.read7BitEncoded(value);
    return static_cast<int64_t>(value) - 1;
}

// Writes a number of at least -1 as a variable-length integer: the value plus one, in groups of seven bits.
void writeSigned(Poco::BinaryWriter &writer, int64_t value)
{
    writer.write7BitEncoded(static_cast<Poco::UInt64>(value + 1));
}

TargetSummary readTarget(Poco::BinaryReader &reader)
{
    TargetSummary target;
    Poco::UInt32 hash = 0;
    uint8_t cold = 0;
    reader >> hash >> cold;
    target.nameHash = hash;
    target.cold = cold != 0;
    target.inFlight = static_cast<uint16_t>(readSigned(reader));
    target.usableSlots = static_cast<uint16_t>(readSigned(reader));
    target.queuedTokens = static_cast<uint32_t>(readSigned(reader));
    target.interactiveTokens = static_cast<uint32_t>(readSigned(reader));
    target.evictionAgeSeconds = static_cast<int32_t>(readSigned(reader));
    target.prefillRate = static_cast<uint32_t>(readSigned(reader));
    return target;
}

void writeTarget(Poco::BinaryWriter &writer, const TargetSummary &target)
{
    writer << static_cast<Poco::UInt32>(target.nameHash) << static_cast<uint8_t>(target.cold ? 1 : 0);
    writeSigned(writer, target.inFlight);
    writeSigned(writer, target.usableSlots);
    writeSigned(writer, target.queuedTokens);
    writeSigned(writer, target.interactiveTokens);
    writeSigned(writer, target.evictionAgeSeconds);
    writeSigned(writer, target.prefillRate);
}

LinkSummary readLink(Poco::BinaryReader &reader)
{
    LinkSummary link;
    Poco::UInt32 hash = 0;
    uint8_t usable = 0;
    reader >> hash >> link.tier >> usable;
    link.storeHash = hash;
    link.usable = usable != 0;
    link.waitMilliseconds = static_cast<uint32_t>(readSigned(reader));
    link.evictionAgeSeconds = static_cast<int32_t>(readSigned(reader));
    return link;
}

void writeLink(Poco::BinaryWriter &writer, const LinkSummary &link)
{
    writer << static_cast<Poco::UInt32>(link.storeHash) << link.tier << static_cast<uint8_t>(link.usable ? 1 : 0);
    writeSigned(writer, link.waitMilliseconds);
    writeSigned(writer, link.evictionAgeSeconds);
}

// Reads a list of at most MaxTargets items; returns false if it is too long or truncated.
template <typename Item, typename Read>
bool readList(Poco::BinaryReader &reader, std::vector<Item> &items, const Read &readItem)
{
    Poco::UInt32 count = 0;
    reader.read7BitEncoded(count);
    for (uint32_t index = 0; index < count && count <= MaxTargets && reader.good(); ++index) {
        items.push_back(readItem(reader));
    }
    return reader.good() && count <= MaxTargets;
}

} // namespace

std::string encodeHeartbeat(const Heartbeat &heartbeat)
{
    std::ostringstream stream;
    Poco::BinaryWriter writer(stream, Poco::BinaryWriter::NETWORK_BYTE_ORDER);
    const uint8_t flags = (heartbeat.draining ? DrainingFlag : 0) | (heartbeat.hasAuthority ? AuthorityFlag : 0);
    writer << ProtocolVersion << flags;
    writeName(writer, heartbeat.from);
    writeName(writer, heartbeat.boot);
    writeSigned(writer, heartbeat.generation);
    writeSigned(writer, heartbeat.echoAgeMilliseconds);
    writeSigned(writer, heartbeat.configRevision);
    writer.write7BitEncoded(static_cast<Poco::UInt32>(heartbeat.targets.size()));
    for (const TargetSummary &target : heartbeat.targets) {
        writeTarget(writer, target);
    }
    writer.write7BitEncoded(static_cast<Poco::UInt32>(heartbeat.links.size()));
    for (const LinkSummary &link : heartbeat.links) {
        writeLink(writer, link);
    }
    writer.flush();
    const std::string payload = stream.str();
    writer << static_cast<Poco::UInt32>(checksumOf(payload));
    writer.flush();
    return stream.str();
}

std::optional<Heartbeat> decodeHeartbeat(const std::string &datagram)
{
    if (datagram.size() <= ChecksumBytes) {
        return std::nullopt;
    }
    const std::string payload = datagram.substr(0, datagram.size() - ChecksumBytes);
    std::istringstream stream(datagram);
    Poco::BinaryReader reader(stream, Poco::BinaryReader::NETWORK_BYTE_ORDER);
    uint8_t version = 0;
    uint8_t flags = 0;
    reader >> version >> flags;
    if (version != ProtocolVersion) {
        return std::nullopt;
    }
    Heartbeat heartbeat;
    heartbeat.draining = (flags & DrainingFlag) != 0;
    heartbeat.hasAuthority = (flags & AuthorityFlag) != 0;
    heartbeat.from = readName(reader);
    heartbeat.boot = readName(reader);
    heartbeat.generation = readSigned(reader);
    heartbeat.echoAgeMilliseconds = readSigned(reader);
    heartbeat.configRevision = readSigned(reader);
    if (!readList(reader, heartbeat.targets, readTarget) || !readList(reader, heartbeat.links, readLink)) {
        return std::nullopt;
    }
    Poco::UInt32 checksum = 0;
    reader >> checksum;
    if (!reader.good() || checksum != checksumOf(payload)) {
        return std::nullopt;
    }
    return heartbeat;
}

uint32_t targetNameHash(const std::string &name)
{
    return static_cast<uint32_t>(stableHash(name));
}

} // namespace pimentosail
