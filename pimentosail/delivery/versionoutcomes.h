// Counts of the answers of each version, which all hosts sum up while a delivery is in progress.
//
//     VersionOutcomeTable table(processId);
//     table.begin(order);
//     table.recordAnswer({"chat", "v2", "/v1/complete"}, {.isFailure = false, .firstEvent = Milliseconds(80)});
//     table.recordReport(OutcomeSource::Direct, "front-2", stream, sequence, rows);
//     std::vector<OutcomeRow> rows = table.totals();
//
// Counts are cumulative since the order became known, so a later report repairs the loss of an earlier one. Reports of a host carry the number of
// their stream; each stream counts from zero, and the streams of a sender add up. A host starts a stream when its process starts and when it begins
// to report to another relay. The new stream holds what the former relay has not acknowledged; so of what one host counted, at most what it reported
// within one round trip counts twice after a change of relays, and nothing is lost.
//
// Without relays every host sends `ownReport("")` to all others (`Direct`). With relays, a host sends `ownReport(RELAY)` to its relay (`Follower`) and
// calls `acknowledge` when totals of the relay name the included report; a relay sends `groupReport()` to the other relays (`Group`) and `totals()` to
// its followers, which pass them to `recordTotals`.
//
// Thread-safe.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/delivery/deliveryorder.h"

namespace pimentosail
{

// What a count is about.
struct OutcomeKey
{
    std::string service;
    std::string version;
    std::string route;

    friend bool operator==(const OutcomeKey &, const OutcomeKey &) = default;
    friend auto operator<=>(const OutcomeKey &left, const OutcomeKey &right)
    {
        return std::tie(left.service, left.version, left.route) <=> std::tie(right.service, right.version, right.route);
    }
};

struct OutcomeCounts
{
    // Answers, failures among them. An attempt that a target refused as not run is no answer.
    int64_t answers = 0;
    int64_t failures = 0;
    // Answers whose first event came later than `slowLimit`.
    int64_t slow = 0;
    // Those of them whose first event came even later than the limit with `VerySlowAnswerFactor`.
    int64_t verySlow = 0;
    // Sum of the first-event times of all answers that are no failures.
    Duration firstEvents{};

    OutcomeCounts &operator+=(const OutcomeCounts &other);
    OutcomeCounts &operator-=(const OutcomeCounts &other);
    friend bool operator==(const OutcomeCounts &, const OutcomeCounts &) = default;
};

struct OutcomeRow
{
    OutcomeKey key;
    OutcomeCounts counts;
    // The order since which the counts are. Rows of another order than the receiver's are left out, since hosts learn of an order one after another.
    StorePosition order;

    friend bool operator==(const OutcomeRow &, const OutcomeRow &) = default;
};

// One answer of a target.
struct VersionAnswer
{
    bool isFailure = false;
    // Time from sending to the first event or answer.
    Duration firstEvent{};
};

// Whose counts a report holds.
enum class OutcomeSource {
    // One host, which reports to every host or to every relay.
    Direct,
    // One host that follows this relay.
    Follower,
    // Another relay and its followers.
    Group,
};

struct OutcomeReport
{
    // Number of the stream; differs from those of other processes.
    uint64_t stream = 0;
    std::vector<OutcomeRow> rows;
};

// Bounds of the table: different keys, and streams of all senders. What exceeds them is dropped and counted in `dropped`.
constexpr size_t MaxOutcomeRows = 512;
constexpr size_t MaxOutcomeStreams = 2048;

// An answer counts as slow if its first event takes longer than this multiple of the old versions' mean on the same route, and the time in
// addition, which covers the way to another zone. A version that always takes three times as long exceeds it if its mean was above 7 ms; where times vary
// as in an exponential distribution, a tenth of the old versions' answers does.
constexpr double SlowAnswerFactor = 2.25;
// The same for very slow answers, which hardly any version has. They reveal a version of which only a part of the answers is slow, in services with
// widely varying times.
constexpr double VerySlowAnswerFactor = 5;
constexpr Duration SlowAnswerAllowance = Milliseconds(5);
// Answers of the old versions on a route from which their mean counts as known.
constexpr int64_t MinAnswersForMean = 10;

class VersionOutcomeTable
{
public:
    // `processId` tells this process apart from earlier ones of the same host.
    explicit VersionOutcomeTable(uint64_t processId);

    // Starts to count for `order`. Counts for another order of the service are dropped; the same order again changes nothing.
    void begin(const DeliveryOrder &order);

    // Ends to count for `service` and drops its counts.
    void end(const std::string &service);

    // Counts an answer of this host. Without an order in progress it does nothing.
    void recordAnswer(const OutcomeKey &key, const VersionAnswer &answer);

    // Returns the first-event time from which an answer counts as slow; nothing before the mean of the old versions (all but the order's) is known.
    std::optional<Duration> slowLimit(const std::string &service, const std::string &route) const;

    // Replaces the last report of this stream of `sender`. Returns false and changes nothing if a later one was recorded already.
    bool recordReport(OutcomeSource source, const std::string &sender, uint64_t stream, uint64_t sequence, const std::vector<OutcomeRow> &rows);

    // Records the totals of the relay that this host follows. They replace its own sums until `forgetTotals`.
    void recordTotals(const std::vector<OutcomeRow> &rows);

    // To be called when this host follows no relay any more.
    void forgetTotals();

    // Returns this host's own counts for `receiver`, and keeps them as report `sequence` until they are acknowledged. `receiver` names the relay and
    // its process; empty for reports that go to every host.
    OutcomeReport ownReport(const std::string &receiver, uint64_t sequence);

    // Records that the totals of `receiver` include the report `sequence`.
    void acknowledge(const std::string &receiver, uint64_t sequence);

    // Returns the sums of this host and its followers, ordered by key. Takes the place of `ownReport` on a relay.
    OutcomeReport groupReport();

    // Returns the sums of all hosts, ordered by key.
    std::vector<OutcomeRow> totals() const;

    // Returns how many rows and reports were dropped because of a bound.
    int64_t dropped() const;

private:
    using Sums = std::map<OutcomeKey, OutcomeCounts>;
    struct Stream
    {
        uint64_t sequence = 0;
        Sums sums;
    };

    // Called with `mutex` locked.
    void dropServiceLocked(const std::string &service);
    bool hasRoomLocked(const OutcomeKey &key);
    Sums takeRowsLocked(const std::vector<OutcomeRow> &rows);
    std::vector<OutcomeRow> toRowsLocked(const Sums &sums) const;
    void startStreamLocked(const std::string &receiver);
    // Returns the mean first-event time of the old versions, if it is known.
    std::optional<Duration> meanLocked(const std::string &service, const std::string &route) const;

    const uint64_t process;
    mutable std::mutex mutex;
    // By service.
    std::map<std::string, DeliveryOrder> orders;
    Sums own;

    // The current stream of own reports: who gets it, what former receivers hold, what the receiver has acknowledged, and own counts by report that
    // is not acknowledged yet.
    std::string receiver;
    uint64_t streamNumber = 0;
    Sums base;
    Sums acknowledged;
    std::map<uint64_t, Sums> pending;

    // By sender and stream.
    std::map<std::pair<std::string, uint64_t>, Stream> streams;
    // Sum of all streams, and of what followers have reported since this host was last a relay.
    Sums streamSums;
    Sums followerSums;
    std::optional<Sums> relayTotals;
    int64_t droppedCount = 0;
};

} // namespace pimentosail
