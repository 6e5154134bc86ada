// A durable log of call records for one shard, kept in the key-value service under consecutive keys.
//
// Each entry is created by compare-and-swap on an absent key, so that the sequence of keys has one writer at a time:
// a new owner appends its takeover entry, and an old owner that still writes finds its next key taken and stops.
// One entry holds many records (group commit), so the number of writes does not grow with the number of calls.
//
//     Result<RecordLog> log = RecordLog::open(store, 3, "entry-1", retention);
//     log->append({record});   // durable when it returns
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "pimentosail/base/clock.h"
#include "pimentosail/base/error.h"
#include "pimentosail/kv/keyvaluestore.h"

namespace pimentosail
{

// State of a call that must run at most once.
enum class CallState {
    // A host has the right to run it and may have done so.
    Claimed,
    // It ran; the answer is kept.
    Done,
    // It certainly did not run; it may be claimed again.
    Released,
    // It may have run; it is never run again.
    Unknown,
};

// Returns the name of `state`.
const char *callStateName(CallState state);

// What is kept of one call.
struct CallRecord
{
    // Team, service and idempotency key, hashed.
    std::string key;
    uint64_t bodyHash = 0;
    CallState state = CallState::Claimed;
    std::string claimedBy;
    int64_t wallMilliseconds = 0;
    // The answer, if done.
    int status = 0;
    std::string contentType;
    std::string body;
};

class RecordLog
{
public:
    // Reads the log of `shard` and takes it over for `host`. Entries end `retention` after they were written.
    // Returns `RecordsUnavailable` if the service cannot be reached.
    static Result<RecordLog> open(KeyValueStore store, int shard, std::string host, Duration retention, Time now);

    // Makes `records` durable. Throws `Failure`: NotOwner if another host has taken the log over (nothing was
    // written), RecordsUnavailable if the outcome is unknown; the next call first settles it.
    void append(const std::vector<CallRecord> &records, Time now);

    // Returns the records found at `open`, oldest first, and releases them.
    std::vector<CallRecord> takeRecovered();

    // Returns the number of writes to the service so far.
    long writes() const
    {
        return this->writeCount;
    }

private:
    RecordLog(KeyValueStore keyValueStore, int shardNumber, std::string hostName, Duration recordRetention);

    void load();
    void write(const std::string &value, Time now);
    int64_t currentLease(Time now);
    std::string keyOf(int64_t sequence) const;

    KeyValueStore store;
    int shard;
    std::string host;
    Duration retention;
    int64_t nextSequence = 1;
    int64_t lease = 0;
    Time leaseGrantedAt{};
    std::string unsettled;
    std::vector<CallRecord> recovered;
    long writeCount = 0;
};

} // namespace pimentosail
