// A durable log of call records for one shard, stored in the key-value store under consecutive keys.
//
// Each entry is created by compare-and-swap on an absent key, so only one host can write the next entry. A new owner
// appends a takeover entry; a previous owner that still writes then finds its next key in use and stops.
// One entry contains many records (group commit), so that concurrent calls share writes.
//
//     Result<RecordLog> log = RecordLog::open(kvStore, 3, "entry-1", retention, clock.now());
//     log->append({record}, clock.now());   // durable when it returns
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
    // A host has claimed the call and may have run it.
    Claimed,
    // The call ran; its answer is recorded.
    Done,
    // The call certainly did not run; it may be claimed again.
    Released,
    // The call may have run; it is never run again.
    Unknown,
};

// Returns the name of `state`.
const char *callStateName(CallState state);

// The record of one call.
struct CallRecord
{
    // Hash of team, service and idempotency key.
    std::string key;
    uint64_t bodyHash = 0;
    CallState state = CallState::Claimed;
    std::string claimedBy;
    int64_t wallMilliseconds = 0;
    // The answer, if the state is Done.
    int status = 0;
    std::string contentType;
    std::string body;
};

class RecordLog
{
public:
    // Reads the log of `shard` and takes it over for `host`. Entries expire no earlier than `retention` after they were
    // written. Returns `RecordsUnavailable` if the key-value store cannot be reached.
    static Result<RecordLog> open(KeyValueStore keyValueStore, int shard, std::string host, Duration retention, Time now);

    // Makes `records` durable. Throws `Failure`: NotOwner if another host has taken the log over (nothing was
    // written), RecordsUnavailable if it is unknown whether they were written; the next call first repeats that write.
    void append(const std::vector<CallRecord> &records, Time now);

    // Moves out the records that `open` read, oldest first.
    std::vector<CallRecord> takeRecovered();

    // Returns the number of writes to the key-value store so far.
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

    KeyValueStore kvStore;
    int shard;
    std::string host;
    Duration retention;
    int64_t nextSequence = 1;
    int64_t lease = 0;
    Time leaseGrantedAt{};
    // Entry of a write whose outcome is unknown; empty if there is none.
    std::string unconfirmedEntry;
    std::vector<CallRecord> recovered;
    long writeCount = 0;
};

} // namespace pimentosail
