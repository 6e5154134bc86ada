// The heartbeat datagram between entry hosts: membership, configuration revision, and summaries of targets and links in
// a compact binary form (POCO's binary codec) with a checksum.
//
//     std::string datagram = encodeHeartbeat(heartbeat);
//     std::optional<Heartbeat> received = decodeHeartbeat(datagram);
//
// Damaged, truncated and foreign datagrams decode to nothing; no function throws for them. Thread-safe: free functions on
// plain data.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

// Load of one target, as reported by its owner.
struct TargetSummary
{
    // Low 32 bits of the stable hash of the target's name.
    uint32_t nameHash = 0;
    uint16_t inFlight = 0;
    uint16_t usableSlots = 0;
    uint32_t queuedTokens = 0;
    // The share of `queuedTokens` that belongs to interactive requests.
    uint32_t interactiveTokens = 0;
    bool cold = false;
    // Seconds; negative if the target has evicted nothing.
    int32_t evictionAgeSeconds = -1;
    // Prompt tokens computed per second.
    uint32_t prefillRate = 0;
};

// State of one link of a cache store, as reported by the owner of the store's links.
struct LinkSummary
{
    // Low 32 bits of the stable hash of the store's name.
    uint32_t storeHash = 0;
    // 0 for the memory tier, 1 for the disk tier.
    uint8_t tier = 0;
    bool usable = true;
    // Time that an import would wait for the link.
    uint32_t waitMilliseconds = 0;
    // Seconds; negative if the tier has evicted nothing.
    int32_t evictionAgeSeconds = -1;
};

struct Heartbeat
{
    // Name of the sender.
    std::string from;
    // Random id of the sender's process, new at each start.
    std::string boot;
    int64_t generation = 0;
    // Milliseconds since the sender last received a heartbeat of the receiver; negative if never.
    int64_t echoAgeMilliseconds = -1;
    int64_t configRevision = 0;
    bool draining = false;
    bool hasAuthority = false;
    std::vector<TargetSummary> targets;
    std::vector<LinkSummary> links;
};

// Returns `heartbeat` as a datagram.
std::string encodeHeartbeat(const Heartbeat &heartbeat);

// Returns the heartbeat in `datagram`, or nothing if it is damaged, truncated or of another protocol version.
std::optional<Heartbeat> decodeHeartbeat(const std::string &datagram);

// Returns the hash that identifies a target or a cache store in a summary.
uint32_t targetNameHash(const std::string &name);

} // namespace pimentosail
