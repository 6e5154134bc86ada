// How many connections of callers a host keeps, and how many requests it serves at once.
//
// Idle connections take little memory, so that their number goes by the descriptors. Requests take threads, whose number goes by the memory. What
// waits for slow readers, bodies and answers have bounds of their own (`CallerBuffers`, `MessageMemory`).
//
//     HttpServer server(settings.listen, callerLimits(settings), handler);
//
// Thread-safe.
#pragma once

#include "pimentosail/entry/entrysettings.h"
#include "pimentosail/net/connectionserver.h"

namespace pimentosail
{

// Bytes that a thread takes with the request that it serves.
inline constexpr int64_t CallerThreadBytes = 96 * 1024;
// File descriptors reserved for files and for connections to targets, stores and other hosts.
inline constexpr int64_t ReservedDescriptors = 600;

ConnectionLimits callerLimits(const EntrySettings &settings);

} // namespace pimentosail
