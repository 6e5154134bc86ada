// What the holder of the right to give orders tells the other hosts, as one value in the platform's store.
//
//     std::string value = encodeAnnouncement(announcement);
//     RolloutAnnouncement announcement = decodeAnnouncement(value);   // throws Failure(BadRequest)
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace pimentosail
{

// A target that has finished loading. Each names its own version: the next version may have been named meanwhile.
struct FinishedLoad
{
    std::string target;
    std::string model;
    int64_t version = 0;
};

struct RolloutAnnouncement
{
    // Of the holder that speaks.
    int64_t fence = 0;
    // Targets that get no work: they load, or are about to.
    std::vector<std::string> loading;
    // The latest loads that were finished.
    std::vector<FinishedLoad> finished;
    // Targets that may get work again.
    std::vector<std::string> released;
};

std::string encodeAnnouncement(const RolloutAnnouncement &announcement);
RolloutAnnouncement decodeAnnouncement(const std::string &value);

} // namespace pimentosail
