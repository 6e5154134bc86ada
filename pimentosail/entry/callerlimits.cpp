#include "pimentosail/entry/callerlimits.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

constexpr int64_t MinConnections = 64;
constexpr int64_t MinThreads = 32;
constexpr int64_t MaxThreads = 2000;
// The threads of requests may take one part in this of the memory of the process.
constexpr int64_t MemoryPerThreads = 4;
// Requests that have not arrived completely may take one part in this of the memory.
constexpr int64_t MemoryPerPartialRequests = 32;

} // namespace

ConnectionLimits callerLimits(const EntrySettings &settings)
{
    ConnectionLimits limits;
    limits.connections = std::max<int64_t>(settings.fileDescriptors - ReservedDescriptors, MinConnections);
    limits.threads = std::clamp<int64_t>(settings.memoryBytes / MemoryPerThreads / CallerThreadBytes, MinThreads, MaxThreads);
    limits.partialBytes = settings.memoryBytes / MemoryPerPartialRequests;
    return limits;
}

} // namespace pimentosail
