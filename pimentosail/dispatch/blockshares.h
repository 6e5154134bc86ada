// Counts which share of a service's prompt tokens belongs to prompts with the same last shared block, and from it how many
// preferred targets such prompts have. With a single one, a session or a team with most of the traffic would fill that
// target while others are idle: the reports of the other hosts come too late to prevent it.
//
//     size_t targets = shares.recordAndCount("desk", blockId, 1670, 140);
//
// Thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <mutex>
#include <string>

namespace pimentosail
{

class BlockShares
{
public:
    // Records a prompt with `tokens` to read and returns the number of preferred targets of prompts with `block`, such that each of
    // them gets no more than its share as one of `targets`. At least 1, at most `targets`.
    size_t recordAndCount(const std::string &service, const std::string &block, double tokens, size_t targets);

private:
    struct ServiceState
    {
        // Sums that decay with each prompt.
        double prompts = 0;
        double tokens = 0;
        std::map<std::string, double> blocks;
        int untilDecay = 0;
    };

    static void decay(ServiceState &service);

    std::mutex mutex;
    std::map<std::string, ServiceState> services;
};

} // namespace pimentosail
