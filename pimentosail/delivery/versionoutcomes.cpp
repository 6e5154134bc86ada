#include "pimentosail/delivery/versionoutcomes.h"

#include <algorithm>

#include "pimentosail/base/hash.h"

namespace pimentosail
{

namespace
{

// Reports of which a host remembers the counts until they are acknowledged: 3 s at one report in 50 ms. A relay that has acknowledged nothing for
// 1.7 s is given up.
constexpr size_t MaxPendingReports = 64;
// Receiver of a relay's group reports, unlike any host's name.
const std::string GroupReceiver = "\ngroup";

Duration limitOf(Duration mean, double factor)
{
    return fromSeconds(toSeconds(mean) * factor) + SlowAnswerAllowance;
}

bool isOfService(const OutcomeKey &key, const std::string &service)
{
    return key.service == service;
}

void addTo(std::map<OutcomeKey, OutcomeCounts> &sums, const std::map<OutcomeKey, OutcomeCounts> &added)
{
    for (const auto &[key, counts] : added) {
        sums[key] += counts;
    }
}

void subtractFrom(std::map<OutcomeKey, OutcomeCounts> &sums, const std::map<OutcomeKey, OutcomeCounts> &removed)
{
    for (const auto &[key, counts] : removed) {
        sums[key] -= counts;
    }
}

void addForMean(OutcomeCounts &sum, const std::map<OutcomeKey, OutcomeCounts> &sums, const DeliveryOrder &order, const std::string &route)
{
    for (auto entry = sums.lower_bound({order.service, "", ""}); entry != sums.end() && isOfService(entry->first, order.service); ++entry) {
        if (entry->first.route == route && entry->first.version != order.version) {
            sum += entry->second;
        }
    }
}

} // namespace

OutcomeCounts &OutcomeCounts::operator+=(const OutcomeCounts &other)
{
    this->answers += other.answers;
    this->failures += other.failures;
    this->slow += other.slow;
    this->verySlow += other.verySlow;
    this->firstEvents += other.firstEvents;
    return *this;
}

OutcomeCounts &OutcomeCounts::operator-=(const OutcomeCounts &other)
{
    this->answers -= other.answers;
    this->failures -= other.failures;
    this->slow -= other.slow;
    this->verySlow -= other.verySlow;
    this->firstEvents -= other.firstEvents;
    return *this;
}

VersionOutcomeTable::VersionOutcomeTable(uint64_t processId)
    : process(processId)
{
}

void VersionOutcomeTable::begin(const DeliveryOrder &order)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->orders.find(order.service);
    if (found != this->orders.end() && found->second.version == order.version) {
        // The same order written again, for example after the store was restored.
        found->second = order;
        return;
    }
    this->dropServiceLocked(order.service);
    this->orders[order.service] = order;
}

void VersionOutcomeTable::end(const std::string &service)
{
    const std::lock_guard lock(this->mutex);
    this->dropServiceLocked(service);
    this->orders.erase(service);
    if (this->orders.empty()) {
        this->streams.clear();
        this->pending.clear();
    }
}

void VersionOutcomeTable::recordAnswer(const OutcomeKey &key, const VersionAnswer &answer)
{
    const std::lock_guard lock(this->mutex);
    if (!this->orders.contains(key.service) || !this->hasRoomLocked(key)) {
        return;
    }
    OutcomeCounts counts{.answers = 1};
    if (answer.isFailure) {
        counts.failures = 1;
    } else {
        const std::optional<Duration> mean = this->meanLocked(key.service, key.route);
        counts.slow = mean && answer.firstEvent > limitOf(*mean, SlowAnswerFactor) ? 1 : 0;
        counts.verySlow = mean && answer.firstEvent > limitOf(*mean, VerySlowAnswerFactor) ? 1 : 0;
        counts.firstEvents = answer.firstEvent;
    }
    this->own[key] += counts;
}

std::optional<Duration> VersionOutcomeTable::slowLimit(const std::string &service, const std::string &route) const
{
    const std::lock_guard lock(this->mutex);
    const std::optional<Duration> mean = this->meanLocked(service, route);
    return mean ? std::optional(limitOf(*mean, SlowAnswerFactor)) : std::nullopt;
}

bool VersionOutcomeTable::recordReport(OutcomeSource source, const std::string &sender, uint64_t stream, uint64_t sequence, const std::vector<OutcomeRow> &rows)
{
    const std::lock_guard lock(this->mutex);
    const std::pair key(sender, stream);
    const auto found = this->streams.find(key);
    if (found != this->streams.end() && found->second.sequence >= sequence) {
        return false;
    }
    Sums sums = this->takeRowsLocked(rows);
    if (found == this->streams.end()) {
        if (sums.empty()) {
            return true;
        }
        if (this->streams.size() >= MaxOutcomeStreams) {
            ++this->droppedCount;
            return false;
        }
    }
    Stream &record = this->streams[key];
    // Rows that the sender left out, for example since it has not learnt of the order's new position, stay as they were.
    for (const auto &[outcomeKey, counts] : record.sums) {
        sums.try_emplace(outcomeKey, counts);
    }
    subtractFrom(this->streamSums, record.sums);
    addTo(this->streamSums, sums);
    if (source == OutcomeSource::Follower) {
        subtractFrom(this->followerSums, record.sums);
        addTo(this->followerSums, sums);
    }
    record.sequence = sequence;
    record.sums = std::move(sums);
    return true;
}

void VersionOutcomeTable::recordTotals(const std::vector<OutcomeRow> &rows)
{
    const std::lock_guard lock(this->mutex);
    this->relayTotals = this->takeRowsLocked(rows);
}

void VersionOutcomeTable::forgetTotals()
{
    const std::lock_guard lock(this->mutex);
    this->relayTotals.reset();
}

OutcomeReport VersionOutcomeTable::ownReport(const std::string &newReceiver, uint64_t sequence)
{
    const std::lock_guard lock(this->mutex);
    this->startStreamLocked(newReceiver);
    Sums rows = this->own;
    subtractFrom(rows, this->base);
    if (newReceiver.empty()) {
        // Nobody acknowledges reports to all hosts. They are sent many times, so they count as received.
        this->acknowledged = this->own;
    } else if (!this->own.empty()) {
        this->pending[sequence] = this->own;
        if (this->pending.size() > MaxPendingReports) {
            this->pending.erase(this->pending.begin());
        }
    }
    return {combineHashes(this->process, this->streamNumber), this->toRowsLocked(rows)};
}

void VersionOutcomeTable::acknowledge(const std::string &fromReceiver, uint64_t sequence)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->pending.find(sequence);
    if (fromReceiver != this->receiver || found == this->pending.end()) {
        return;
    }
    this->acknowledged = std::move(found->second);
    this->pending.erase(this->pending.begin(), std::next(found));
}

OutcomeReport VersionOutcomeTable::groupReport()
{
    const std::lock_guard lock(this->mutex);
    this->startStreamLocked(GroupReceiver);
    Sums rows = this->own;
    subtractFrom(rows, this->base);
    addTo(rows, this->followerSums);
    this->acknowledged = this->own;
    return {combineHashes(this->process, this->streamNumber), this->toRowsLocked(rows)};
}

std::vector<OutcomeRow> VersionOutcomeTable::totals() const
{
    const std::lock_guard lock(this->mutex);
    if (this->relayTotals) {
        return this->toRowsLocked(*this->relayTotals);
    }
    Sums sums = this->streamSums;
    addTo(sums, this->own);
    subtractFrom(sums, this->base);
    return this->toRowsLocked(sums);
}

int64_t VersionOutcomeTable::dropped() const
{
    const std::lock_guard lock(this->mutex);
    return this->droppedCount;
}

void VersionOutcomeTable::dropServiceLocked(const std::string &service)
{
    const auto drop = [&service](Sums &sums) {
        std::erase_if(sums, [&service](const auto &entry) { return isOfService(entry.first, service); });
    };
    drop(this->own);
    drop(this->base);
    drop(this->acknowledged);
    drop(this->streamSums);
    drop(this->followerSums);
    for (auto &[sequence, sums] : this->pending) {
        drop(sums);
    }
    for (auto &[key, stream] : this->streams) {
        drop(stream.sums);
    }
    if (this->relayTotals) {
        drop(*this->relayTotals);
    }
}

bool VersionOutcomeTable::hasRoomLocked(const OutcomeKey &key)
{
    if (this->own.contains(key) || this->streamSums.contains(key) || this->own.size() + this->streamSums.size() < MaxOutcomeRows) {
        return true;
    }
    ++this->droppedCount;
    return false;
}

VersionOutcomeTable::Sums VersionOutcomeTable::takeRowsLocked(const std::vector<OutcomeRow> &rows)
{
    Sums sums;
    for (const OutcomeRow &row : rows) {
        const auto order = this->orders.find(row.key.service);
        if (order == this->orders.end() || order->second.position != row.order || !this->hasRoomLocked(row.key)) {
            continue;
        }
        if (sums.size() >= MaxOutcomeRows) {
            ++this->droppedCount;
            break;
        }
        sums[row.key] = row.counts;
    }
    return sums;
}

std::vector<OutcomeRow> VersionOutcomeTable::toRowsLocked(const Sums &sums) const
{
    std::vector<OutcomeRow> rows;
    rows.reserve(sums.size());
    for (const auto &[key, counts] : sums) {
        const auto order = this->orders.find(key.service);
        if (order != this->orders.end() && counts != OutcomeCounts()) {
            rows.push_back({key, counts, order->second.position});
        }
    }
    return rows;
}

void VersionOutcomeTable::startStreamLocked(const std::string &newReceiver)
{
    if (newReceiver == this->receiver) {
        return;
    }
    if (this->receiver == GroupReceiver) {
        // Other relays hold what followers reported until now as part of that stream.
        this->followerSums.clear();
    }
    this->receiver = newReceiver;
    ++this->streamNumber;
    this->base = this->acknowledged;
    this->pending.clear();
}

std::optional<Duration> VersionOutcomeTable::meanLocked(const std::string &service, const std::string &route) const
{
    const auto order = this->orders.find(service);
    if (order == this->orders.end()) {
        return std::nullopt;
    }
    OutcomeCounts old;
    if (this->relayTotals) {
        addForMean(old, *this->relayTotals, order->second, route);
    }
    if (old.answers - old.failures < MinAnswersForMean) {
        old = {};
        addForMean(old, this->streamSums, order->second, route);
        addForMean(old, this->own, order->second, route);
    }
    const int64_t successes = old.answers - old.failures;
    if (successes < MinAnswersForMean) {
        return std::nullopt;
    }
    return old.firstEvents / successes;
}

} // namespace pimentosail
