// The heartbeat datagram between entry hosts: membership, configuration revision and target summaries in a compact
// binary form (POCO's binary codec) with a checksum.
//
//     std::string datagram = encodeHeartbeat(heartbeat);
//     std::optional<Heartbeat> received = decodeHeartbeat(datagram);
//
// Thread-safe: free functions on plain data.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

// Load of one target, as its owner knows it.
struct TargetSummary
{
    // Low 32 bits of the stable hash of the target's name.
    uint32_t nameHash = 0;
    uint16_t inFlight = 0;
    uint16_t usableSlots = 0;
    uint32_t queuedTokens = 0;
    // Part of `queuedTokens` that belongs to interactive requests.
    uint32_t urgentTokens = 0;
    bool cold = false;
    // Seconds; negative if the target has evicted nothing.
    int32_t evictionAgeSeconds = -1;
    // Prompt tokens computed a second.
    uint32_t prefillRate = 0;
};

// State of one link of a store, as the store's owner knows it.
struct LinkSummary
{
    uint32_t storeHash = 0;
    // 0 for the memory tier, 1 for the disk tier.
    uint8_t tier = 0;
    bool usable = true;
    uint32_t waitMilliseconds = 0;
    // Seconds; negative if the tier has evicted nothing.
    int32_t evictionAgeSeconds = -1;
};

struct Heartbeat
{
    std::string from;
    std::string boot;
    int64_t generation = 0;
    // Milliseconds since the sender last heard the receiver; negative if never.
    int64_t echoAgeMilliseconds = -1;
    int64_t configRevision = 0;
    bool draining = false;
    bool hasAuthority = false;
    std::vector<TargetSummary> targets;
    std::vector<LinkSummary> links;
};

// Returns the datagram of `heartbeat`.
std::string encodeHeartbeat(const Heartbeat &heartbeat);

// Returns the heartbeat in `datagram`, or nothing if it is damaged, truncated or of another protocol version.
std::optional<Heartbeat> decodeHeartbeat(const std::string &datagram);

// Returns the hash by which a summary names a target.
uint32_t targetNameHash(const std::string &name);

} // namespace pimentosail
