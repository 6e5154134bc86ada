// The ownership view: the generation-numbered list of entry hosts over which roles are distributed by rendezvous
// hashing. It is stored as one value in the key-value store and changes only by compare-and-swap.
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
    // Identifies one run of the host's daemon process.
    std::string boot;
    // True once every other member has acknowledged a view that contains this member. An established member may remove
    // others, because every member is then known to require its heartbeats. A member that is not yet established may
    // remove only hosts that are missing in the platform's host list.
    bool established = false;
};

// A host that was removed without a graceful leave. It may still run and use its fallback shares, so owners reserve
// them: at most 1/`divisor` of each limit, rounded up.
struct RemovedMember
{
    std::string name;
    int64_t divisor = 1;
};

struct View
{
    int64_t generation = 0;
    // Random value of the writer, which makes the document unique: a writer whose answer was lost recognises its own write.
    std::string nonce;
    std::vector<Member> members;
    std::vector<RemovedMember> removedMembers;

    // Parses a stored view. Returns an `Internal` error if the document is malformed.
    static Result<View> fromDocument(const std::string &document);

    // Returns the document to store.
    std::string toDocument() const;

    // Returns the member called `name`, or null.
    const Member *find(const std::string &name) const;

    // Returns the names of all members.
    std::vector<std::string> names() const;

    // Returns the name of the member that owns `role`, or an empty string in an empty view.
    std::string ownerOf(const std::string &role) const;
};

// Returns the share of `limit` that `host` may use of `role` when no owner can be confirmed; 0 if `host` is not one of
// `members`. The shares of all `members` add up to `limit`.
int64_t fallbackShare(const std::string &role, int64_t limit, const std::string &host, const std::vector<std::string> &members);

} // namespace pimentosail
