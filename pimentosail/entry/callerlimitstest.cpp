#include <criterion/criterion.h>

#include "pimentosail/entry/callerlimits.h"

using namespace pimentosail;

namespace
{

constexpr int64_t MegaByte = 1024 * 1024;
// Measured for idle connections, with room to spare.
constexpr int64_t IdleConnectionBytes = 1024;
// What a host takes without callers, with room to spare.
constexpr int64_t ProcessBytes = 20 * MegaByte;
// Bodies, answers and slow readers may take one part in this of the memory each.
constexpr int64_t MemoryPerMessages = 8;

} // namespace

// Guards against limits that each look small and together exceed the memory of a host, which is killed then.
Test(caller_limits, all_limits_together_fit_the_memory)
{
    for (const auto &[megabytes, descriptors] : {std::pair<int64_t, int64_t>(88, 4100), {110, 4100}, {260, 4100}, {512, 8192}, {512, 10592}}) {
        EntrySettings settings;
        settings.memoryBytes = megabytes * MegaByte;
        settings.fileDescriptors = descriptors;
        const ConnectionLimits limits = callerLimits(settings);
        cr_assert_eq(limits.connections, descriptors - ReservedDescriptors);
        cr_assert_lt(limits.threads, limits.connections);
        const int64_t taken = ProcessBytes + limits.connections * IdleConnectionBytes + limits.threads * CallerThreadBytes + limits.partialBytes
            + 3 * settings.memoryBytes / MemoryPerMessages;
        cr_assert_leq(taken, settings.memoryBytes, "%ld MB: %ld MB are taken", static_cast<long>(megabytes), static_cast<long>(taken / MegaByte));
    }
}

// Guards against a host that serves nothing because its settings leave little.
Test(caller_limits, a_small_host_serves_some_requests)
{
    EntrySettings settings;
    settings.memoryBytes = MegaByte;
    settings.fileDescriptors = 100;
    cr_assert_geq(callerLimits(settings).connections, 64);
    cr_assert_geq(callerLimits(settings).threads, 32);
}
