#include "pimentosail/base/hash.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

#include <Poco/SHA2Engine.h>
#include <xxhash.h>

namespace pimentosail
{

uint64_t stableHash(std::string_view data, uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

uint64_t combineHashes(uint64_t first, uint64_t second)
{
    const std::array<uint64_t, 2> pair{first, second};
    return XXH3_64bits(pair.data(), sizeof(pair));
}

std::string rendezvousOwner(std::string_view key, const std::vector<std::string> &members)
{
    const uint64_t seed = stableHash(key);
    const std::string *best = nullptr;
    uint64_t bestWeight = 0;
    for (const std::string &member : members) {
        const uint64_t weight = stableHash(member, seed);
        if (best == nullptr || weight > bestWeight || (weight == bestWeight && member < *best)) {
            best = &member;
            bestWeight = weight;
        }
    }
    return best == nullptr ? std::string() : *best;
}

std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> members)
{
    const uint64_t seed = stableHash(key);
    std::sort(members.begin(), members.end(), [seed](const std::string &left, const std::string &right) {
        const uint64_t leftWeight = stableHash(left, seed);
        const uint64_t rightWeight = stableHash(right, seed);
        return leftWeight != rightWeight ? leftWeight > rightWeight : left < right;
    });
    return members;
}

size_t rendezvousRank(std::string_view key, std::string_view member, const std::vector<std::string> &members)
{
    const uint64_t seed = stableHash(key);
    const uint64_t ownWeight = stableHash(member, seed);
    size_t rank = 0;
    bool isMember = false;
    for (const std::string &other : members) {
        const uint64_t weight = stableHash(other, seed);
        rank += weight > ownWeight || (weight == ownWeight && other < member) ? 1 : 0;
        isMember = isMember || other == member;
    }
    return isMember ? rank : members.size();
}

std::string randomId()
{
    thread_local std::mt19937_64 generator{std::random_device{}() ^ (static_cast<uint64_t>(std::random_device{}()) << 32U)};
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(generator()));
    return std::string(text.data(), 16);
}

std::string sha256Hex(std::string_view data)
{
    Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
    engine.update(data.data(), static_cast<unsigned>(data.size()));
    return Poco::DigestEngine::digestToHex(engine.digest());
}

} // namespace pimentosail
