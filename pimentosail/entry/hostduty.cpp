#include <algorithm>
#include <utility>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"
#include "pimentosail/entry/loadmessages.h"
#include "pimentosail/entry/ownwrites.h"
#include "pimentosail/entry/stateupdater.h"
#include "pimentosail/entry/storeduties.h"
#include "pimentosail/rollout/versionage.h"

namespace pimentosail
{

namespace
{

// Lease time of this host's entry. After a host has failed, the others still reserve its share of the limits for at most
// this much longer.
constexpr Duration HostLease = std::chrono::seconds(4);
constexpr Duration RenewInterval = Milliseconds(1300);
// Interval of the duty's work, and of trying again to publish observations that the store did not accept.
constexpr Duration PublishInterval = Milliseconds(400);
// New observations are published at most once in this time. Until the other hosts know of them, each host sends more requests
// that end targets.
constexpr Duration ObservationInterval = Milliseconds(50);
// The host that rendezvous hashing selects records when a version became the wanted one. The other hosts do so if the record
// is still missing after this time or a multiple of it, which spreads their calls.
constexpr Duration FallbackPublishDelay = Milliseconds(1500);
// The age marks of a version are discarded if the store takes longer than this to grant their leases, because the same thread
// renews this host's lease.
constexpr Duration MaxGrantTime = Milliseconds(1500);
// The hosts correct a record one after another, this far apart, until one has done so.
constexpr Duration CorrectionStep = Milliseconds(200);
// Pause between two records of versions, and after one that failed, so that a store that is slow or down is not loaded further.
constexpr Duration RecordRetry = std::chrono::seconds(1);

} // namespace

HostDuty::HostDuty(EntryContext &entryContext, PrefixStore platformStore, const StoreMirror &storeMirror)
    : context(entryContext)
    , store(std::move(platformStore))
    , mirror(storeMirror)
    , thread("host", [this] { this->run(); })
{
}

HostDuty::~HostDuty()
{
    this->stopping.store(true);
    this->thread.join();
}

void HostDuty::start()
{
    this->thread.start();
}

void HostDuty::stop()
{
    this->stopping.store(true);
    this->thread.join();
    endLease(this->context.log, this->mirror, this->store, this->lease);
}

bool HostDuty::checkEntry()
{
    // Read before the item, which is then at least as recent.
    const StorePosition seen = this->mirror.status().position();
    if (!this->isWritten) {
        this->lease = seen.era > this->lease.era ? StoreLease{} : this->lease;
        return true;
    }
    if (seen < this->entryPosition) {
        return true;
    }
    const std::optional<StoredItem> item = itemAt(this->mirror, HostsPrefix + this->context.settings.name);
    if (!item || item->revision != this->entryPosition.revision || item->value != this->entryValue) {
        this->context.log.write(LogLevel::Warning, "host_entry_lost",
            {{"era", seen.era}, {"revision", seen.revision}, {"written_era", this->entryPosition.era}, {"written_revision", this->entryPosition.revision},
                {"found_revision", item ? item->revision : 0}});
        this->lease = {};
        this->isWritten = false;
        return false;
    }
    if (seen.era > this->lease.era) {
        // The store came back from a copy that has this write, and so its lease.
        this->lease.era = seen.era;
        this->entryPosition.era = seen.era;
        this->isLeaseRefused = false;
    }
    return true;
}

void HostDuty::renew()
{
    try {
        if (this->lease.isGranted() && !this->store.keepAlive(this->lease)) {
            if (this->isWritten && !std::exchange(this->isLeaseRefused, true)) {
                // If the store has begun a new era, the lease may go on in it. The mirror is about to show whether the store has the entry.
                return;
            }
            this->context.log.write(LogLevel::Warning, "host_lease_ended", {{"lease", this->lease.id}, {"era", this->lease.era}});
            this->lease = {};
        }
        this->isLeaseRefused = false;
        if (!this->lease.isGranted()) {
            this->lease = this->store.grantLease(HostLease);
            this->isWritten = false;
        }
        if (!this->isWritten) {
            Json::Value value;
            value["address"] = this->context.settings.peerListen;
            value["zone"] = this->context.settings.zone;
            value["gossip"] = this->context.settings.gossipListen;
            value["cores"] = this->context.settings.cores;
            value["load_format"] = LoadFormat;
            // So that a write under another lease has another value.
            value["lease"] = Json::Int64(this->lease.id);
            this->entryValue = printJson(value);
            const CommitOutcome outcome = this->store.commit({{}, {{HostsPrefix + this->context.settings.name, this->entryValue, this->lease}}, {}});
            this->isWritten = outcome.status == CommitStatus::Committed;
            this->entryPosition = outcome.position();
            this->lease = outcome.status == CommitStatus::LeaseEnded ? StoreLease{} : this->lease;
        }
    } catch (const Failure &) {
        // The mirror logs that the store is unreachable. The renewal is tried again after the next interval.
        this->context.metrics.count("pimentosail_store_failures_total", {{"duty", "host"}});
    }
}

Json::Value HostDuty::observations() const
{
    Json::Value value;
    for (const auto &[fingerprint, incarnation] : this->context.quarantine.ownLosses()) {
        Json::Value loss;
        loss["request"] = std::to_string(fingerprint);
        loss["target"] = incarnation;
        value["losses"].append(loss);
    }
    for (const uint64_t fingerprint : this->context.quarantine.soundRequests()) {
        value["sound_requests"].append(std::to_string(fingerprint));
    }
    encodeBlockFindings(this->context.blockQuarantine.ownFindings(), value);
    return value;
}

// Returns true if the store has begun an era since the last call or publication, and does not have this host's observations.
bool HostDuty::hasLostObservations()
{
    const int64_t era = this->mirror.status().era;
    if (era <= this->observationsEra) {
        return false;
    }
    this->observationsEra = era;
    const Json::Value value = this->observations();
    const std::optional<StoredItem> item = itemAt(this->mirror, ObservationsPrefix + this->context.settings.name);
    // An item that another process of this host wrote may have more than this one knows, until this one has news.
    return item ? this->publishedChanges != 0 && item->value != printJson(value) : !value.isNull();
}

// Publishes what this host observed if it has changed, or if the store has lost it. Returns false if the store did not accept it.
bool HostDuty::publishObservations()
{
    // Read before the observations: one that is recorded in between is published again.
    const uint64_t changes = this->observationChanges();
    this->areObservationsLost = this->areObservationsLost || this->hasLostObservations();
    if (changes == this->publishedChanges && !this->areObservationsLost) {
        return true;
    }
    try {
        const CommitOutcome outcome = this->store.commit({{}, {{ObservationsPrefix + this->context.settings.name, printJson(this->observations()), {}}}, {}});
        this->observationsEra = outcome.era;
        this->areObservationsLost = false;
        this->publishedChanges = changes;
        return true;
    } catch (const Failure &) {
        this->context.metrics.count("pimentosail_store_failures_total", {{"duty", "observations"}});
        return false;
    }
}

uint64_t HostDuty::observationChanges() const
{
    return this->context.quarantine.changeCount() + this->context.blockQuarantine.changeCount();
}

// Publishes when each wanted version was set, for hosts that start later.
void HostDuty::publishVersionTimes()
{
    const Time now = this->context.clock.nowWithSuspend();
    // If a store that came back from an older copy has lost a record, the calls of the hosts are spread as well.
    const Time eraSince = this->mirror.status().eraSince;
    std::vector<std::string> hosts;
    for (const HostEntry &host : this->context.state.hosts()) {
        hosts.push_back(host.name);
    }
    for (const auto &[model, wanted] : this->context.state.allWantedVersions()) {
        const std::string name = model + "/" + std::to_string(wanted.version);
        const bool isSelected = rendezvousOwner(VersionTimesPrefix + name, hosts) == this->context.settings.name;
        const auto rank = static_cast<int64_t>(stableHash(name + this->context.settings.name) % std::max<size_t>(1, hosts.size()));
        Duration delay = isSelected ? Duration(0) : (1 + rank) * FallbackPublishDelay;
        // A host that started after the version was set does not know its age, so it leaves time to all others.
        delay = wanted.setTime.earliest == UnknownPast ? std::max<Duration>(2 * FallbackPublishDelay, delay) : delay;
        if (now >= std::max(wanted.setTime.latest, eraSince) + delay && now >= this->nextVersionRecord
            && this->mirror.items(VersionTimesPrefix + name).empty()) {
            this->publishVersionTime(name, wanted.setTime);
        }
    }
}

void HostDuty::publishVersionTime(const std::string &name, const TimeBounds &setTime)
{
    const Time begin = this->context.clock.nowWithSuspend();
    this->nextVersionRecord = begin + RecordRetry;
    const Duration limit = this->context.settings.versionLimit;
    const Duration age = setTime.earliest == UnknownPast ? limit : begin - setTime.earliest;
    const Duration spread = age - std::max(Duration(0), begin - setTime.latest);
    StoreTransaction transaction;
    try {
        for (const AgeMark &mark : ageMarks(age, makeAgeRecord(limit, Duration(0), spread))) {
            const StoreLease markLease = this->store.grantLease(mark.ttl);
            if (this->context.clock.nowWithSuspend() > begin + MaxGrantTime) {
                this->context.log.write(LogLevel::Warning, "version_time_not_recorded", {{"version", name}, {"reason", "the store is slow"}});
                return;
            }
            transaction.puts.push_back({VersionMarksPrefix + name + "/" + std::to_string(mark.index), "", markLease});
        }
        // A lease starts up to this much later than `begin`.
        const Duration took = this->context.clock.nowWithSuspend() - begin;
        transaction.conditions.push_back({VersionTimesPrefix + name, 0});
        transaction.puts.push_back({VersionTimesPrefix + name, encodeAgeRecord(makeAgeRecord(limit, took, spread)), 0});
        const CommitOutcome outcome = this->store.commit(transaction);
        this->context.log.write(LogLevel::Info, "version_time_recorded",
            {{"version", name}, {"age_ms", toMilliseconds(age)}, {"spread_ms", toMilliseconds(spread)}, {"marks", transaction.puts.size() - 1},
                {"written", outcome.status == CommitStatus::Committed}});
    } catch (const Failure &failure) {
        // Tried again in the next step. Leases without a key expire.
        this->context.metrics.count("pimentosail_store_failures_total", {{"duty", "version_times"}});
        this->context.log.write(LogLevel::Warning, "version_time_not_recorded", {{"version", name}, {"reason", failure.what()}});
    }
}

void HostDuty::correctVersionTimes()
{
    if (this->mirror.items(VersionMarksPrefix).empty()) {
        this->lateMarksSince.clear();
        return;
    }
    // Read before the items, which have all changes up to this time.
    const Time completeAt = this->mirror.status().completeAt;
    const size_t hosts = std::max<size_t>(1, this->context.state.hostCount());
    std::map<std::string, Time> late;
    for (const StoredItem &item : this->mirror.items(VersionTimesPrefix)) {
        const std::string name = item.key.substr(VersionTimesPrefix.size());
        try {
            const std::set<int64_t> present = ageMarksLeft(this->mirror, name);
            const auto [model, version] = splitVersionName(name);
            const std::optional<TimeBounds> heard = this->context.state.heardTime(model, version);
            if (present.empty() || !heard || heard->earliest == UnknownPast) {
                continue;
            }
            const Time now = this->context.clock.nowWithSuspend();
            AgeRecord record = decodeAgeRecord(item.value);
            const std::optional<Duration> delay = correctedRemovalDelay(record, present, {completeAt - heard->latest, now - heard->earliest});
            if (!delay) {
                continue;
            }
            const auto since = this->lateMarksSince.find(name);
            late[name] = since == this->lateMarksSince.end() ? now : since->second;
            const auto rank = static_cast<int64_t>(stableHash(name + this->context.settings.name) % hosts);
            // A host that heard of the version long after it was set leaves the correction to the others.
            const Duration vagueness = std::max(Duration(0), heard->latest - heard->earliest - record.step);
            if (now >= late[name] + rank * CorrectionStep + vagueness && now >= this->nextVersionRecord) {
                record.removalDelay = *delay;
                this->correctVersionTime(item, record);
            }
        } catch (const std::exception &) {
            // The record or a mark is unreadable, which `StateUpdater` logs.
        }
    }
    this->lateMarksSince = std::move(late);
}

void HostDuty::correctVersionTime(const StoredItem &item, const AgeRecord &corrected)
{
    this->nextVersionRecord = this->context.clock.nowWithSuspend() + RecordRetry;
    try {
        const CommitOutcome outcome = this->store.commit({{{item.key, item.revision, item.era}}, {{item.key, encodeAgeRecord(corrected), {}}}, {}});
        this->context.log.write(LogLevel::Warning, "version_time_corrected",
            {{"version", item.key.substr(VersionTimesPrefix.size())}, {"removal_delay_ms", toMilliseconds(corrected.removalDelay)},
                {"written", outcome.status == CommitStatus::Committed}});
    } catch (const Failure &failure) {
        this->context.metrics.count("pimentosail_store_failures_total", {{"duty", "version_times"}});
        this->context.log.write(
            LogLevel::Warning, "version_time_not_recorded", {{"version", item.key.substr(VersionTimesPrefix.size())}, {"reason", failure.what()}});
    }
}

void HostDuty::publishCacheEpochs()
{
    const Time now = this->context.clock.nowWithSuspend();
    std::vector<std::string> hosts;
    std::map<std::string, Time> missing;
    for (const auto &[cacheStore, epoch] : this->context.cacheStores.openEpochs()) {
        const std::string key = CacheEpochsPrefix + cacheStore;
        const std::optional<StoredItem> item = itemAt(this->mirror, key);
        if (item && item->value == std::to_string(epoch)) {
            continue;
        }
        if (hosts.empty()) {
            for (const HostEntry &host : this->context.state.hosts()) {
                hosts.push_back(host.name);
            }
        }
        const auto since = this->missingEpochsSince.find(cacheStore);
        missing[cacheStore] = since == this->missingEpochsSince.end() ? now : since->second;
        const bool isSelected = rendezvousOwner(key, hosts) == this->context.settings.name;
        const auto rank = static_cast<int64_t>(stableHash(key + this->context.settings.name) % std::max<size_t>(1, hosts.size()));
        const Duration delay = isSelected ? Duration(0) : (1 + rank) * FallbackPublishDelay;
        if (now >= missing[cacheStore] + delay && now >= this->nextEpochRecord) {
            this->publishCacheEpoch(cacheStore, epoch);
        }
    }
    this->missingEpochsSince = std::move(missing);
}

void HostDuty::publishCacheEpoch(const std::string &cacheStore, int64_t epoch)
{
    // One record in each step of the duty, which also renews this host's lease.
    Duration pause = PublishInterval;
    try {
        this->store.commit({{}, {{CacheEpochsPrefix + cacheStore, std::to_string(epoch), {}}}, {}});
    } catch (const Failure &) {
        // The mirror logs that the store is unreachable.
        pause = RecordRetry;
        this->context.metrics.count("pimentosail_store_failures_total", {{"duty", "cache_epochs"}});
    }
    this->nextEpochRecord = this->context.clock.nowWithSuspend() + pause;
}

void HostDuty::run()
{
    Time nextRenewal{};
    while (!this->stopping.load()) {
        const bool isInPlace = this->checkEntry();
        if (!isInPlace || this->context.clock.now() >= nextRenewal) {
            this->renew();
            nextRenewal = this->context.clock.now() + RenewInterval;
        }
        bool isAccepted = this->publishObservations();
        this->publishVersionTimes();
        this->correctVersionTimes();
        this->publishCacheEpochs();
        const Time next = this->context.clock.now() + PublishInterval;
        while (!this->stopping.load() && this->context.clock.now() < next) {
            this->context.clock.sleepFor(ObservationInterval);
            isAccepted = isAccepted && this->publishObservations();
        }
    }
}

} // namespace pimentosail
