// Runs calls of services that must run at most once for each idempotency key.
//
// Before the first byte of a call is sent, a record that claims the key is durable. When the call has ended, its answer
// is recorded too, and later calls with the same key get this answer byte for byte. If it is unknown whether a call ran
// (its answer was lost, or the owner of the record failed), later calls fail with OutcomeUnknown and never run it again.
//
// The records are spread over shards. Each shard has one host at a time as its owner, which alone writes its log.
//
//     IdempotencyRecords records(kvStore, "entry-1", clock, retention, ownsShard);
//     RecordedAnswer answer = records.run(shard, key, bodyHash, deadline, [&] { return callTheService(); });
//
// Thread-safe. `run` blocks its thread while the call runs.
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "pimentosail/idempotency/recordlog.h"

namespace pimentosail
{

// Number of shards over which the records are spread. Each shard groups its writes, so this number limits the rate of
// writes to the key-value store.
constexpr int RecordShardCount = 16;

// Returns the shard of a record key, 0 to RecordShardCount - 1.
int recordShardOf(const std::string &key);

// Returns the name of the membership role whose owner owns the records of a shard.
std::string recordRole(int shard);

// The answer of a service, either just received or read from the records.
struct RecordedAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    // True if the answer was read from the records.
    bool replayed = false;
};

class IdempotencyRecords
{
public:
    // Returns true if this host may act as the owner of a shard at this moment.
    using OwnershipCheck = std::function<bool(int shard)>;

    // Performs the call. Throws `Failure` with notRun set if nothing was sent; any other failure leaves the outcome
    // unknown.
    using Call = std::function<RecordedAnswer()>;

    IdempotencyRecords(KeyValueStore keyValueStore, std::string hostName, Clock &runtimeClock, Duration recordRetention, OwnershipCheck ownershipCheck);

    // Runs `call` unless the records say that it ran or may have run. Throws `Failure`:
    //   NotOwner, RecordsUnavailable: not run; IdempotencyMismatch: the key was used with another body;
    //   OutcomeUnknown: may have run; InProgress: still running at `deadline`;
    //   the kind that `call` threw: not run.
    RecordedAnswer run(int shard, const std::string &key, uint64_t bodyHash, Time deadline, const Call &call);

    // Writes outcomes that could not be written when their calls ended, and closes the logs of shards that this host no
    // longer owns. Call it periodically.
    void flush();

    // Returns the number of records in memory.
    size_t recordCount();

    // Returns the number of writes to the key-value store so far.
    long writeCount();

private:
    struct Entry
    {
        CallRecord record;
        // True while a thread of this process runs the call.
        bool running = false;
        // True if this process claimed the call and has certainly sent nothing.
        bool unsent = false;
        Time changedAt{};
    };
    // Result of the write of a pending record. It is on the stack of the thread that waits for the write.
    struct Commit
    {
        bool done = false;
        std::optional<Error> failure;
    };
    struct Pending
    {
        CallRecord record;
        Commit *commit = nullptr;
    };
    struct Shard
    {
        std::mutex mutex;
        std::condition_variable changed;
        std::unique_ptr<RecordLog> log;
        std::unordered_map<std::string, Entry> entries;
        std::vector<Pending> pending;
        // Outcomes whose write failed; `flush` writes them again.
        std::vector<CallRecord> unwritten;
        // True while a thread writes a batch without holding `mutex`.
        bool committing = false;
        // Negative: nothing has been written yet.
        Time lastWrite{-1};
        long writesOfClosedLogs = 0;
    };
    using Lock = std::unique_lock<std::mutex>;

    void openLog(int number, Shard &shard);
    void commit(Shard &shard, Lock &lock, const CallRecord &record);
    void commitBatch(Shard &shard, Lock &lock);
    void closeLog(Shard &shard);
    void checkOwnership(int number) const;
    // Returns the recorded answer of `key`, or nothing if the call may run now. Waits while another thread runs the call.
    std::optional<RecordedAnswer> existingAnswer(Shard &shard, Lock &lock, const std::string &key, uint64_t bodyHash, Time deadline);
    RecordedAnswer finish(Shard &shard, const std::string &key, const Call &call);
    // Makes an outcome durable. If that fails, the caller still gets the answer, and `flush` tries again.
    void writeOutcome(Shard &shard, Lock &lock, const CallRecord &record);
    void expire(Shard &shard);

    KeyValueStore kvStore;
    std::string host;
    Clock &clock;
    Duration retention;
    OwnershipCheck ownsShard;
    std::vector<std::unique_ptr<Shard>> shards;
};

} // namespace pimentosail
