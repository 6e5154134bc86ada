// Reviews a configuration before it is sent: what is valid and yet can't work as written, and what it changes.
//
//     for (const ReviewFinding &finding : reviewConfiguration(decoded)) { print(finding.message); }
//     for (const std::string &line : describeServingDifference(inForce, next)) { print(line); }
//
// The functions keep no state. Thread-safe.
#pragma once

#include <string>
#include <vector>

#include "pimentosail/routing/servingconfiguration.h"

namespace pimentosail
{

// The list of the configuration to which a finding belongs.
enum class ReviewList {
    Routes,
    Services,
    Teams,
    Limits,
};

enum class ReviewField {
    Name,
    Host,
    PathPrefix,
    Kind,
    Timeout,
    TargetLatency,
    TargetGap,
    MaxAttempts,
    Resumable,
    Split,
    Keys,
    HeaderBytes,
    BodyBytes,
};

struct ReviewFinding
{
    ReviewList list = ReviewList::Routes;
    // Position in the list; 0 for the limits.
    size_t index = 0;
    ReviewField field = ReviewField::Name;
    std::string message;
};

// Returns what hosts would refuse, entries that can never match, and limits that contradict each other. `decoded` need not be valid.
std::vector<ReviewFinding> reviewConfiguration(const DecodedConfiguration &decoded);

// Returns a line for each difference in what hosts do. Keys of teams are counted, not named, because they are secrets.
std::vector<std::string> describeServingDifference(const DecodedConfiguration &before, const DecodedConfiguration &after);

} // namespace pimentosail
