// The rollout leader's announcement to the other hosts, which it writes as one value to the platform's key-value store.
//
//     std::string value = encodeAnnouncement(announcement);
//     RolloutAnnouncement announcement = decodeAnnouncement(value);   // throws Failure(BadRequest)
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentosail
{

// A target that has finished a load. Each entry names the version that was loaded, since a later version may have become
// the wanted one in the meantime.
struct FinishedLoad
{
    std::string target;
    std::string model;
    int64_t version = 0;
};

struct RolloutAnnouncement
{
    // Fencing token of the leader that wrote the announcement.
    int64_t fencingToken = 0;
    // Targets that must not receive requests because they load weights or are about to.
    std::vector<std::string> loading;
    // The versions that these targets load; empty in announcements of former program versions.
    std::map<std::string, int64_t> loadingVersions;
    // The most recently finished loads.
    std::vector<FinishedLoad> finished;
    // Targets that may receive requests again.
    std::vector<std::string> released;
    // Targets that may have got a load order lately or may get one now (see handover.h); empty in announcements of program versions before this list.
    std::optional<std::vector<std::string>> ordered;
    // The leader gives up the leadership with this announcement, because it stops as planned.
    bool isHandOver = false;
};

// Returns `announcement` as JSON.
std::string encodeAnnouncement(const RolloutAnnouncement &announcement);

// Parses the JSON of an announcement. Throws Failure(BadRequest) if it is malformed.
RolloutAnnouncement decodeAnnouncement(const std::string &value);

} // namespace pimentosail
