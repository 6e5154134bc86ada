// Runs calls that must run at most once: the claim is durable before the first byte leaves, a finished answer is
// replayed byte for byte, and an unknown outcome is told as such and never run again.
//
//     RecordKeeper keeper(store, "entry-1", clock, retention, mayAct);
//     KeptAnswer answer = keeper.run(shard, key, bodyHash, deadline, [&] { return callTheService(); });
//
// Thread-safe; `run` blocks its thread for the length of the call.
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

// Number of shards over which the records are spread. It bounds the writes to the key-value service.
constexpr int RecordShardCount = 16;

// Returns the shard of a record key, 0 to RecordShardCount - 1.
int recordShardOf(const std::string &key);

// Returns the role of a shard for membership.
std::string recordRole(int shard);

// A service's answer, as first given or as kept.
struct KeptAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    // True if the answer comes from the records.
    bool replayed = false;
};

class RecordKeeper
{
public:
    // Tells whether this host may act as the owner of a shard at this moment.
    using MayAct = std::function<bool(int shard)>;

    // Performs the call. Throws `Failure` with notRun set if nothing was sent; any other failure leaves the outcome
    // unknown.
    using Call = std::function<KeptAnswer()>;

    RecordKeeper(KeyValueStore keyValueStore, std::string hostName, Clock &runtimeClock, Duration recordRetention, MayAct mayActFor);

    // Runs `call` unless the records say that it ran or may have run. Throws `Failure`:
    //   NotOwner, RecordsUnavailable: not run; IdempotencyMismatch: the key was used with another body;
    //   OutcomeUnknown: may have run; InProgress: still running at `deadline`.
    KeptAnswer run(int shard, const std::string &key, uint64_t bodyHash, Time deadline, const Call &call);

    // Writes answers whose records are not durable yet; call it now and then.
    void flush();

    // Returns the number of records held, and the writes to the key-value service.
    size_t recordCount();
    long writeCount();

private:
    struct Entry
    {
        CallRecord record;
        // True while a thread of this process runs the call.
        bool running = false;
        // True if this process claimed it and certainly sent nothing.
        bool unsent = false;
        Time changedAt{};
    };
    // How the write of a pending record ended; lives on the stack of the thread that waits for it.
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
        std::vector<CallRecord> unwritten;
        bool committing = false;
        Time lastWrite{-1};
        long writesBefore = 0;
    };
    using Lock = std::unique_lock<std::mutex>;

    void openLog(int number, Shard &shard);
    void commit(Shard &shard, Lock &lock, const CallRecord &record);
    void commitBatch(Shard &shard, Lock &lock);
    void dropLog(Shard &shard);
    void checkMayAct(int number) const;
    std::optional<KeptAnswer> existing(Shard &shard, Lock &lock, const std::string &key, uint64_t bodyHash, Time deadline);
    KeptAnswer finish(Shard &shard, const std::string &key, const Call &call);
    void settle(Shard &shard, Lock &lock, const CallRecord &record);
    void expire(Shard &shard);

    KeyValueStore store;
    std::string host;
    Clock &clock;
    Duration retention;
    MayAct mayAct;
    std::vector<std::unique_ptr<Shard>> shards;
};

} // namespace pimentosail
