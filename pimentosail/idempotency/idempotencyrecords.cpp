#include "pimentosail/idempotency/idempotencyrecords.h"

#include <algorithm>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/statelog.h"

namespace pimentosail
{

namespace
{

// Shortest time between two writes of a shard. Records that arrive in between are written together.
constexpr Duration WriteInterval = Milliseconds(50);
constexpr size_t MaxBatchRecords = 256;
// Size of the bodies above which a batch is closed. The key-value store accepts values of up to 1 MB, and base64 makes a
// body a third longer.
constexpr size_t MaxBatchBytes = 512 * 1024;
// Interval at which a caller checks whether a call that another thread runs has ended, or its own deadline has passed.
constexpr Duration RunningCallPollInterval = Milliseconds(100);
// Number of records in a shard above which old ones are removed from memory.
constexpr size_t ExpiryThreshold = 100'000;

} // namespace

int recordShardOf(const std::string &key)
{
    return static_cast<int>(stableHash(key) % RecordShardCount);
}

std::string recordRole(int shard)
{
    return "records/" + std::to_string(shard);
}

IdempotencyRecords::IdempotencyRecords(
    KeyValueStore keyValueStore, std::string hostName, Clock &runtimeClock, Duration recordRetention, OwnershipCheck ownershipCheck)
    : kvStore(std::move(keyValueStore))
    , host(std::move(hostName))
    , clock(runtimeClock)
    , retention(recordRetention)
    , ownsShard(std::move(ownershipCheck))
{
    for (int index = 0; index < RecordShardCount; ++index) {
        this->shards.push_back(std::make_unique<Shard>());
    }
}

void IdempotencyRecords::checkOwnership(int number) const
{
    if (!this->ownsShard(number)) {
        throw Failure(ErrorKind::NotOwner, "this host does not own record shard " + std::to_string(number));
    }
}

void IdempotencyRecords::closeLog(Shard &shard)
{
    if (shard.log) {
        shard.writesOfClosedLogs += shard.log->writes();
    }
    shard.log.reset();
    // Calls that still run in this process keep their entries until they end. All others are read from the log again when
    // it is next opened.
    for (auto entry = shard.entries.begin(); entry != shard.entries.end();) {
        entry = entry->second.running ? std::next(entry) : shard.entries.erase(entry);
    }
}

void IdempotencyRecords::openLog(int number, Shard &shard)
{
    if (shard.log) {
        return;
    }
    Result<RecordLog> opened = RecordLog::open(this->kvStore, number, this->host, this->retention, this->clock.now());
    if (!opened) {
        throw Failure(opened.error());
    }
    shard.log = std::make_unique<RecordLog>(std::move(*opened));
    for (CallRecord &record : shard.log->takeRecovered()) {
        Entry &entry = shard.entries[record.key];
        if (entry.running) {
            continue;
        }
        entry.record = std::move(record);
        entry.unsent = false;
        entry.changedAt = this->clock.now();
    }
    logStateChange("records_opened", {{"shard", std::to_string(number)}, {"records", std::to_string(shard.entries.size())}});
}

void IdempotencyRecords::commitBatch(Shard &shard, Lock &lock)
{
    shard.committing = true;
    const Duration sinceWrite = shard.lastWrite < Time(0) ? WriteInterval : this->clock.now() - shard.lastWrite;
    if (sinceWrite < WriteInterval) {
        lock.unlock();
        this->clock.sleepFor(WriteInterval - sinceWrite);
        lock.lock();
    }
    std::vector<CallRecord> batch;
    std::vector<Commit *> commits;
    size_t bytes = 0;
    while (!shard.pending.empty() && batch.size() < MaxBatchRecords && bytes < MaxBatchBytes) {
        bytes += shard.pending.front().record.body.size();
        commits.push_back(shard.pending.front().commit);
        batch.push_back(std::move(shard.pending.front().record));
        shard.pending.erase(shard.pending.begin());
    }
    RecordLog *log = shard.log.get();
    lock.unlock();
    std::optional<Error> failure;
    try {
        if (log == nullptr) {
            throw Failure(ErrorKind::NotOwner, "the record log was closed");
        }
        log->append(batch, this->clock.now());
    } catch (const Failure &thrown) {
        failure = thrown.error;
    }
    lock.lock();
    shard.lastWrite = this->clock.now();
    for (Commit *commit : commits) {
        commit->failure = failure;
        commit->done = true;
    }
    if (failure && failure->kind == ErrorKind::NotOwner) {
        this->closeLog(shard);
    }
    shard.committing = false;
    shard.changed.notify_all();
}

void IdempotencyRecords::commit(Shard &shard, Lock &lock, const CallRecord &record)
{
    Commit commit;
    shard.pending.push_back({record, &commit});
    while (!commit.done) {
        if (shard.committing) {
            shard.changed.wait(lock);
        } else {
            this->commitBatch(shard, lock);
        }
    }
    if (commit.failure) {
        throw Failure(Error(commit.failure->kind, commit.failure->message, true));
    }
}

std::optional<RecordedAnswer> IdempotencyRecords::existingAnswer(Shard &shard, Lock &lock, const std::string &key, uint64_t bodyHash, Time deadline)
{
    while (true) {
        const auto found = shard.entries.find(key);
        if (found == shard.entries.end()) {
            return std::nullopt;
        }
        const Entry &entry = found->second;
        if (entry.record.state != CallState::Released && entry.record.bodyHash != bodyHash) {
            throw Failure(ErrorKind::IdempotencyMismatch, "the idempotency key was used with another body");
        }
        switch (entry.record.state) {
        case CallState::Released:
            return std::nullopt;
        case CallState::Done:
            return RecordedAnswer{entry.record.status, entry.record.contentType, entry.record.body, true};
        case CallState::Unknown:
            throw Failure(ErrorKind::OutcomeUnknown, "an earlier attempt may have run; it is not run again");
        case CallState::Claimed:
            break;
        }
        if (entry.unsent && !entry.running) {
            return std::nullopt;
        }
        if (!entry.running) {
            throw Failure(ErrorKind::OutcomeUnknown, "an earlier attempt on another host may have run; it is not run again");
        }
        if (this->clock.now() >= deadline) {
            throw Failure(ErrorKind::InProgress, "the first attempt is still running");
        }
        shard.changed.wait_for(lock, RunningCallPollInterval);
    }
}

RecordedAnswer IdempotencyRecords::run(int number, const std::string &key, uint64_t bodyHash, Time deadline, const Call &call)
{
    this->checkOwnership(number);
    Shard &shard = *this->shards.at(static_cast<size_t>(number));
    Lock lock(shard.mutex);
    this->openLog(number, shard);
    this->expire(shard);
    if (std::optional<RecordedAnswer> answer = this->existingAnswer(shard, lock, key, bodyHash, deadline)) {
        return *answer;
    }
    Entry &entry = shard.entries[key];
    entry.record = CallRecord{key, bodyHash, CallState::Claimed, this->host, Clock::wallMilliseconds(), 0, "", ""};
    entry.running = true;
    entry.unsent = true;
    entry.changedAt = this->clock.now();
    const CallRecord claim = entry.record;
    try {
        this->commit(shard, lock, claim);
        // Ownership may have ended while the claim was written or while this process was paused,
        // so check it again before the call is sent.
        this->checkOwnership(number);
    } catch (const Failure &failure) {
        Entry &unsentEntry = shard.entries[key];
        unsentEntry.running = false;
        shard.changed.notify_all();
        throw Failure(Error(failure.error.kind, failure.error.message, true));
    }
    shard.entries[key].unsent = false;
    lock.unlock();
    return this->finish(shard, key, call);
}

RecordedAnswer IdempotencyRecords::finish(Shard &shard, const std::string &key, const Call &call)
{
    std::optional<Error> failure;
    RecordedAnswer answer;
    try {
        answer = call();
    } catch (const Failure &thrown) {
        failure = thrown.error;
    }
    Lock lock(shard.mutex);
    Entry &entry = shard.entries[key];
    entry.running = false;
    entry.changedAt = this->clock.now();
    if (!failure) {
        entry.record.state = CallState::Done;
        entry.record.status = answer.status;
        entry.record.contentType = answer.contentType;
        entry.record.body = answer.body;
    } else {
        entry.record.state = failure->notRun ? CallState::Released : CallState::Unknown;
    }
    const CallRecord record = entry.record;
    shard.changed.notify_all();
    this->writeOutcome(shard, lock, record);
    if (failure) {
        const ErrorKind kind = failure->notRun ? failure->kind : ErrorKind::OutcomeUnknown;
        throw Failure(Error(kind, failure->message, failure->notRun));
    }
    return answer;
}

void IdempotencyRecords::writeOutcome(Shard &shard, Lock &lock, const CallRecord &record)
{
    try {
        this->commit(shard, lock, record);
    } catch (const Failure &failure) {
        if (failure.error.kind != ErrorKind::NotOwner) {
            shard.unwritten.push_back(record);
        }
    }
}

void IdempotencyRecords::flush()
{
    for (int number = 0; number < RecordShardCount; ++number) {
        Shard &shard = *this->shards[static_cast<size_t>(number)];
        Lock lock(shard.mutex);
        if (!this->ownsShard(number)) {
            if (shard.log && !shard.committing) {
                this->closeLog(shard);
                shard.unwritten.clear();
            }
            continue;
        }
        std::vector<CallRecord> unwritten = std::move(shard.unwritten);
        shard.unwritten.clear();
        for (const CallRecord &record : unwritten) {
            this->writeOutcome(shard, lock, record);
        }
    }
}

void IdempotencyRecords::expire(Shard &shard)
{
    if (shard.entries.size() < ExpiryThreshold) {
        return;
    }
    const Time now = this->clock.now();
    for (auto entry = shard.entries.begin(); entry != shard.entries.end();) {
        const bool isExpired = !entry->second.running && now - entry->second.changedAt > this->retention;
        entry = isExpired ? shard.entries.erase(entry) : std::next(entry);
    }
}

size_t IdempotencyRecords::recordCount()
{
    size_t total = 0;
    for (const std::unique_ptr<Shard> &shard : this->shards) {
        const Lock lock(shard->mutex);
        total += shard->entries.size();
    }
    return total;
}

long IdempotencyRecords::writeCount()
{
    long total = 0;
    for (const std::unique_ptr<Shard> &shard : this->shards) {
        const Lock lock(shard->mutex);
        total += shard->writesOfClosedLogs + (shard->log ? shard->log->writes() : 0);
    }
    return total;
}

} // namespace pimentosail
