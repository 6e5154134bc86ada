// Stable hashes, equal on every host, and rendezvous hashing over named members.
//
//     std::string owner = rendezvousOwner("target/w-3", memberNames);
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimentosail
{

// Returns the 64-bit XXH3 hash of `data` under `seed`.
uint64_t stableHash(std::string_view data, uint64_t seed = 0);

// Returns a hash of two hashes. Swapped arguments give another hash.
uint64_t combineHashes(uint64_t first, uint64_t second);

// Returns the member with the highest rendezvous weight for `key`, or an empty string if `members` is empty.
std::string rendezvousOwner(std::string_view key, const std::vector<std::string> &members);

// Returns the members ordered by descending rendezvous weight for `key`; members of equal weight are ordered by name.
std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> members);

// Returns the position of `member` in the `rendezvousOrder` of `members`, without sorting them; the number of members if it is not one
// of them.
size_t rendezvousRank(std::string_view key, std::string_view member, const std::vector<std::string> &members);

// Returns a random 64-bit identifier as 16 hexadecimal digits. It is seeded from the system's random device, so that
// processes don't repeat each other's identifiers.
std::string randomId();

// Returns the lower-case hexadecimal SHA-256 digest of `data`.
std::string sha256Hex(std::string_view data);

} // namespace pimentosail
