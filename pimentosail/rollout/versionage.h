// How old a wanted version of weights is, for hosts that start after it was set.
//
// Hosts share no clock: their wall clocks differ and jump. The leases of the key-value store all run on the store's clock.
// So a host that knows when a version was set writes marks: keys that the store removes when the version reaches certain
// ages, each under a lease of its own. A host that starts later knows the age from the marks that are left, within one
// step:
//
//     const std::vector<AgeMark> marks = ageMarks(age, limit);              // to be written under leases of `mark.ttl`
//     const VersionAge bounds = ageFromMarks(record, {4, 5, 6, 7, 8});      // between 6 and 8 s
//
// A store that suspends leases during an outage keeps the marks longer by the outage, and so does one that is restored from a copy; a version
// then seems younger by at most that time. A host that heard of the version itself corrects the record for the hosts that start from then on:
//
//     if (const std::optional<Duration> delay = correctedRemovalDelay(record, {4, 5, 6, 7, 8}, age)) { ... }
//
// While marks of a version are left, some host may take it for as young as they show. The functions are pure and thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

// Mark `index` is removed when the version is `index` steps old.
struct AgeMark
{
    int64_t index = 0;
    // Time until then.
    Duration ttl{};
};

// What is written beside the marks, in the same transaction, and stays.
struct AgeRecord
{
    Duration step{};
    // Indices of the marks go from 1 to this, whether they were written or had been reached by then.
    int64_t marks = 0;
    // The marks are removed up to this long after the version has certainly reached their age, since the store took time to
    // grant their leases or suspended them.
    Duration removalDelay{};
    // The version may be younger by this than the writer of the marks assumed.
    Duration spread{};
};

struct VersionAge
{
    Duration atLeast{};
    // Empty if the version is older than all marks.
    std::optional<Duration> atMost;
};

// Returns the record for marks that cover ages up to `limit`.
AgeRecord makeAgeRecord(Duration limit, Duration removalDelay, Duration spread);

// Returns the marks to write for a version that is at most `age` old. A mark whose rest is shorter than a store's shortest lease is
// omitted; the version then seems to have reached it up to that time early.
std::vector<AgeMark> ageMarks(Duration age, const AgeRecord &record);

// Returns the age of a version of which just the marks `present` are left.
VersionAge ageFromMarks(const AgeRecord &record, const std::set<int64_t> &present);

// Returns the delay with which marks are removed if it is longer than that of `record`, or nothing: just the marks `present` are left of a
// version of the age `age`, which must not come from the marks.
std::optional<Duration> correctedRemovalDelay(const AgeRecord &record, const std::set<int64_t> &present, const VersionAge &age);

std::string encodeAgeRecord(const AgeRecord &record);

// Throws `Failure` (BadRequest) if `value` is not a record.
AgeRecord decodeAgeRecord(const std::string &value);

} // namespace pimentosail
