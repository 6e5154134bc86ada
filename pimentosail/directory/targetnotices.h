// What targets have said in their answers about new requests: that they are leaving, and for how long they want none.
//
// A host learns of a notice by an answer that it receives, and from the reports of the hosts that do. A notice concerns one
// incarnation of a target; the next one starts without. A target that is leaving stays so, whatever its later answers say.
//
//     notices.recordAnswer({"i-7f3a", 1700000000000, NoticeKind::Leaving, clock.now(), {}});
//     if (notices.isLeaving("i-7f3a", 1700000000000)) { send nothing new }
//     Time restsUntil = notices.restsUntil("i-7f3a", 1700000000000);
//
// A target asks single hosts to rest, so this host keeps apart what it was asked itself and what other hosts were.
//
// All times are those of the runtime clock of this host: reports carry ages. Thread-safe.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

enum class NoticeKind {
    // The target is going to end.
    Leaving,
    // The target wants no request for a time.
    Resting,
};

// Returns the name of the kind, as it stands in logs.
std::string_view noticeKindName(NoticeKind kind);

// What one incarnation of a target has said.
struct TargetNotice
{
    std::string target;
    // Start of the incarnation in Unix ms, as in `TargetState`.
    int64_t startedAt = 0;
    NoticeKind kind = NoticeKind::Leaving;
    // When the answer arrived.
    Time observedAt{};
    // Resting: how long after `observedAt` the target wants no request.
    Duration rest{};
};

class TargetNoticeTable
{
public:
    // Time for which the notice of a leaving target that is no longer registered is kept.
    static constexpr Duration Memory = std::chrono::seconds(60);
    // Longest rest that holds; a longer one is cut to it.
    static constexpr Duration MaxRest = std::chrono::minutes(5);

    // Record a notice of an answer that this host received, or of another host's report. Return true if it changes what holds for
    // the incarnation.
    bool recordAnswer(const TargetNotice &notice);
    bool recordReport(const TargetNotice &notice);

    // Returns true if the incarnation has said that it is leaving.
    bool isLeaving(const std::string &target, int64_t startedAt) const;

    // Return until when the incarnation wants no requests of this host, and of any other host; zero or a past time if it takes
    // them.
    Time restsUntil(const std::string &target, int64_t startedAt) const;
    // Returns when this host was asked so; zero if it was not.
    Time restsSince(const std::string &target, int64_t startedAt) const;
    Time othersRestUntil(const std::string &target, int64_t startedAt) const;

    // Return the notices that still apply, those that changed last at the front: all that this host knows, or those of its own
    // answers only.
    std::vector<TargetNotice> known(Time now) const;
    std::vector<TargetNotice> own(Time now) const;

    // Drops notices of ended rests, and those of leaving targets that are older than `Memory` and not among `registered`.
    void dropOld(const std::set<std::pair<std::string, int64_t>> &registered, Time now);

    // Counts the changes, so that a duty sees that there is something to report.
    uint64_t changeCount() const
    {
        return this->changes.load();
    }

private:
    using Incarnation = std::pair<std::string, int64_t>;
    struct Rest
    {
        Time since{};
        Time until{};
    };
    struct Entry
    {
        // Zero if the incarnation has not said that it is leaving.
        Time leavingSince{};
        // An answer to this host has said so.
        bool isLeavingOwn = false;
        Rest ownRest;
        Rest otherRest;
        uint64_t lastChange = 0;
    };

    bool record(const TargetNotice &notice, bool isOwn);
    std::vector<TargetNotice> list(Time now, bool ownOnly) const;
    Entry find(const std::string &target, int64_t startedAt) const;

    mutable std::mutex mutex;
    std::map<Incarnation, Entry> entries;
    std::atomic<uint64_t> changes{0};
};

} // namespace pimentosail
