// The ownership view: the generation-numbered list of entry hosts over which roles are spread by rendezvous
// hashing. It is one value in the key-value service and changes by compare-and-swap only.
//
//     Result<View> view = View::fromDocument(text);
//     std::string owner = view->ownerOf("target/w-3");
//
// Plain data; copies are independent.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pimentosail/base/error.h"

namespace pimentosail
{

// One entry host in the view.
struct Member
{
    std::string name;
    std::string zone;
    // Internal address, `IP:PORT`.
    std::string address;
    // Identifies one run of the host's daemon.
    std::string boot;
    // True once every other member has acknowledged a view that holds this member. Only established members may
    // remove others, because every member is then known to wait for their heartbeats.
    bool established = false;
};

// A host that was removed without having said that it leaves. It may still run and use its fallback shares, so
// owners keep room for them: at most one part in `divisor` of each limit, rounded up.
struct RemovedMember
{
    std::string name;
    int64_t divisor = 1;
};

struct View
{
    int64_t generation = 0;
    std::string nonce;
    std::vector<Member> members;
    std::vector<RemovedMember> removedMembers;

    // Parses a stored view. Returns `Internal` if the document is malformed.
    static Result<View> fromDocument(const std::string &document);

    // Prints the document that is stored.
    std::string toDocument() const;

    // Returns the member called `name`, or null.
    const Member *find(const std::string &name) const;

    // Returns the names of all members.
    std::vector<std::string> names() const;

    // Returns the name of the member that owns `role`, or an empty string in an empty view.
    std::string ownerOf(const std::string &role) const;
};

// Returns the part of `limit` that `host` may use of `role` when no owner can be confirmed. The parts of all
// `members` add up to `limit`.
int64_t fallbackShare(const std::string &role, int64_t limit, const std::string &host, const std::vector<std::string> &members);

} // namespace pimentosail
