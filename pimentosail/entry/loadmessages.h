// Encoding of the load reports that hosts send each other as UDP datagrams.
//
//     socket.sendTo(encodeLoadMessage(message), address);
//     LoadMessage message = decodeLoadMessage(bytes, now);   // on the other host
//
// A datagram starts with the number of its format. Hosts publish the newest format that they read in their entry
// (`HostEntry::loadFormat`), so that hosts of two versions of this program understand each other while they are restarted in
// turn. Format 1 is a JSON document, which starts with '{'; format 2 is written with Poco::BinaryWriter: integers and
// lengths with seven bits in each byte, names as length and bytes, and times as ages in milliseconds. Format 3 is format 2 with
// the outcomes of services' versions at the end; a message without outcomes is written in format 2. Format 4 is format 3 with the saves of blocks
// that are under way at the end; a message without such saves is written in an earlier format.
//
// All functions are thread-safe.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "pimentosail/delivery/versionoutcomes.h"
#include "pimentosail/directory/loadtable.h"
#include "pimentosail/directory/ratelimits.h"
#include "pimentosail/directory/targetnotices.h"
#include "pimentosail/kvcache/savesunderway.h"

namespace pimentosail
{

// The newest format of load reports that this program reads and writes.
constexpr int LoadFormat = 4;
// The first format in which reports are numbered.
constexpr int BinaryLoadFormat = 2;
// The first format with outcomes of versions.
constexpr int OutcomeLoadFormat = 3;
// The first format with saves of blocks.
constexpr int SaveLoadFormat = 4;

enum class LoadMessageKind {
    // The load of the sender alone.
    Report,
    // The load of a relay and its followers, for other relays.
    Group,
    // The load of all hosts, for a follower.
    Totals,
};

struct LoadMessage
{
    LoadMessageKind kind = LoadMessageKind::Report;
    // Name of the sending host; empty in totals of format 1.
    std::string sender;
    // Number of this report; {0, 0} in format 1.
    ReportNumber number;
    // Report: name of the relay that the sender follows, or empty.
    std::string relay;
    // Report of format 1: address to which the relay sends totals.
    std::string replyAddress;
    // Totals: the report of the receiver that they include, or {0, 0} for none.
    ReportNumber included;
    std::vector<TargetLoad> loads;
    // What targets have said of themselves to the sender; a relay adds what it heard from others.
    std::vector<RateLimitObservation> limits;
    std::vector<TargetNotice> notices;
    // Outcomes of the versions of services whose delivery is in progress, and the number of their stream (0 in totals).
    OutcomeReport outcomes;
    // Saves of blocks that have begun to be under way or have ended.
    std::vector<SaveNotice> saves;
};

// Return a datagram. `now` is the time from which ages count. Outcomes and saves are left out for a receiver of an earlier format than
// `OutcomeLoadFormat` and `SaveLoadFormat`.
std::string encodeLoadMessage(const LoadMessage &message, Time now, int receiverFormat = LoadFormat);
std::string encodeLegacyLoadMessage(const LoadMessage &message, Time now);

// Encodes totals for several followers: `makeFor` adds to the common part the report of one follower that they include.
class TotalsEncoder
{
public:
    // `message` is of the kind `Totals`; its `included` is not used.
    TotalsEncoder(const LoadMessage &message, Time now, int receiverFormat = LoadFormat);

    std::string makeFor(const ReportNumber &included) const;

private:
    const uint8_t format;
    std::string common;
};

// Decodes a datagram of any format. Throws `Failure` (BadRequest) if it is incomplete, has a format that is not known, or
// exceeds a bound.
LoadMessage decodeLoadMessage(std::string_view bytes, Time now);

} // namespace pimentosail
