#include "pimentosail/idempotency/recordlog.h"

#include <array>
#include <cstdio>

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"
#include "pimentosail/kv/etcdclient.h"

namespace pimentosail
{

namespace
{

// All entries written within this time share a lease, which saves writes.
constexpr Duration LeaseReuse = std::chrono::hours(1);

constexpr std::array<const char *, 4> StateNames{"claimed", "done", "released", "unknown"};

Json::Value toJson(const CallRecord &record)
{
    Json::Value value;
    value["key"] = record.key;
    value["body_hash"] = std::to_string(record.bodyHash);
    value["state"] = static_cast<int>(record.state);
    value["by"] = record.claimedBy;
    value["wall_ms"] = Json::Int64(record.wallMilliseconds);
    if (record.state == CallState::Done) {
        value["status"] = record.status;
        value["type"] = record.contentType;
        // The body can contain any bytes, which JSON strings cannot.
        value["body"] = encodeBase64(record.body);
    }
    return value;
}

CallRecord fromJson(const Json::Value &value)
{
    CallRecord record;
    record.key = jsonString(value, "key");
    record.bodyHash = std::stoull(jsonString(value, "body_hash", "0"));
    record.state = static_cast<CallState>(jsonInteger(value, "state"));
    record.claimedBy = jsonString(value, "by");
    record.wallMilliseconds = jsonInteger(value, "wall_ms");
    record.status = static_cast<int>(jsonInteger(value, "status"));
    record.contentType = jsonString(value, "type");
    record.body = decodeBase64(jsonString(value, "body"));
    return record;
}

} // namespace

const char *callStateName(CallState state)
{
    return StateNames.at(static_cast<size_t>(state));
}

RecordLog::RecordLog(KeyValueStore keyValueStore, int shardNumber, std::string hostName, Duration recordRetention)
    : kvStore(std::move(keyValueStore))
    , shard(shardNumber)
    , host(std::move(hostName))
    , retention(recordRetention)
{
}

std::string RecordLog::keyOf(int64_t sequence) const
{
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "records/%04d/%012lld", this->shard, static_cast<long long>(sequence));
    return text.data();
}

void RecordLog::load()
{
    this->recovered.clear();
    std::string prefix = this->keyOf(0);
    prefix.resize(prefix.size() - 12);
    for (const KeyValue &entry : this->kvStore.list(prefix)) {
        this->nextSequence = std::stoll(entry.key.substr(prefix.size())) + 1;
        const Json::Value value = parseJson(entry.value);
        for (const Json::Value &item : value["records"]) {
            this->recovered.push_back(fromJson(item));
        }
    }
}

int64_t RecordLog::currentLease(Time now)
{
    if (this->lease == 0 || now - this->leaseGrantedAt > LeaseReuse) {
        this->lease = this->kvStore.grantLease(this->retention + LeaseReuse);
        this->leaseGrantedAt = now;
        ++this->writeCount;
    }
    return this->lease;
}

void RecordLog::write(const std::string &value, Time now)
{
    const int64_t entryLease = this->currentLease(now);
    this->unconfirmedEntry = value;
    ++this->writeCount;
    const SwapOutcome outcome = compareAndSwapWithRetry(this->kvStore, this->keyOf(this->nextSequence), 0, value, entryLease);
    this->unconfirmedEntry.clear();
    if (!outcome.swapped) {
        throw Failure(ErrorKind::NotOwner, "the record log of shard " + std::to_string(this->shard) + " has another owner");
    }
    ++this->nextSequence;
}

Result<RecordLog> RecordLog::open(KeyValueStore keyValueStore, int shard, std::string host, Duration retention, Time now)
{
    RecordLog log(std::move(keyValueStore), shard, std::move(host), retention);
    Json::Value takeover;
    takeover["owner"] = log.host;
    takeover["records"] = Json::Value(Json::arrayValue);
    // If the previous owner appends while this host reads, the key of the takeover entry exists already: read again.
    constexpr int MaxTakeoverAttempts = 8;
    for (int attempt = 0; attempt < MaxTakeoverAttempts; ++attempt) {
        try {
            log.load();
            takeover["nonce"] = randomId();
            log.write(printJson(takeover), now);
            return log;
        } catch (const Failure &failure) {
            if (failure.error.kind != ErrorKind::NotOwner) {
                return failed(ErrorKind::RecordsUnavailable, failure.what());
            }
        }
    }
    return failed(ErrorKind::RecordsUnavailable, "the record log is contended");
}

void RecordLog::append(const std::vector<CallRecord> &records, Time now)
{
    try {
        if (!this->unconfirmedEntry.empty()) {
            const std::string earlierEntry = this->unconfirmedEntry;
            this->write(earlierEntry, now);
        }
        Json::Value value;
        value["owner"] = this->host;
        value["nonce"] = randomId();
        for (const CallRecord &record : records) {
            value["records"].append(toJson(record));
        }
        this->write(printJson(value), now);
    } catch (const Failure &failure) {
        if (failure.error.kind == ErrorKind::NotOwner) {
            throw;
        }
        throw Failure(ErrorKind::RecordsUnavailable, failure.what());
    }
}

std::vector<CallRecord> RecordLog::takeRecovered()
{
    return std::move(this->recovered);
}

} // namespace pimentosail
