// Answers that wait for callers who read slowly, bounded over all callers of a host together.
//
// A `CallerWriter` writes one answer to its caller's connection and never waits: what the connection does not take is kept, so that the host
// goes on reading the target, which cuts off an answer that stays unread for some seconds. `flush` writes more once the connection is
// writable. If all that is kept exceeds the bound, the answer of the slowest reader ends: the one whose oldest kept bytes have waited longest,
// among those that keep at least an even share. Its connection is shut down, so that its caller sees an answer that is not complete.
//
//     CallerBuffers buffers(clock, settings.memoryBytes / 8);
//     CallerWriter writer(buffers, exchange.callerSocket());
//     if (!writer.write(bytes)) { the caller has disconnected, or its answer was ended: stop }
//     while (writer.hasPending()) { poll({socket, POLLOUT}); writer.flush(); }
//
// Sizes are in bytes. `CallerBuffers` is thread-safe. A writer belongs to one thread; another thread's writer may end its answer. An answer
// whose caller reads as fast as it comes takes no lock.
#pragma once

#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

class CallerWriter;

class CallerBuffers
{
public:
    CallerBuffers(const Clock &runtimeClock, int64_t maxTotalBytes)
        : clock(runtimeClock)
        , limitBytes(maxTotalBytes)
    {
    }

    // Returns the memory that all kept bytes take now.
    int64_t bytes() const
    {
        return this->usedBytes.load();
    }

    // Returns the number of callers for whom bytes are kept now.
    int64_t readers() const
    {
        return this->readerCount.load();
    }

    // Returns how many answers were ended because the bound was reached.
    int64_t ended() const
    {
        return this->endedCount.load();
    }

private:
    friend class CallerWriter;

    // Ends answers until `bytes` more fit. To be called with `mutex` locked, for `writer`.
    void makeRoom(CallerWriter &writer, int64_t bytes);
    // Returns the writer whose answer ends next; nullptr if nothing is kept.
    CallerWriter *slowest() const;

    const Clock &clock;
    const int64_t limitBytes;
    std::mutex mutex;
    // Writers that keep bytes.
    std::vector<CallerWriter *> writers;
    std::atomic<int64_t> usedBytes{0};
    std::atomic<int64_t> readerCount{0};
    std::atomic<int64_t> endedCount{0};
};

class CallerWriter
{
public:
    // `callerSocket` stays open for the life of the writer.
    CallerWriter(CallerBuffers &callerBuffers, int callerSocket);
    ~CallerWriter();
    CallerWriter(const CallerWriter &) = delete;
    CallerWriter &operator=(const CallerWriter &) = delete;

    // Writes `data` behind what is kept, and keeps what the connection does not take. Returns false if the caller has disconnected or the
    // answer was ended.
    bool write(std::string_view data);

    // Writes what is kept, as far as the connection takes it. Returns as `write`.
    bool flush();

    bool hasPending() const
    {
        return this->keptBytes.load() > 0;
    }

    // Returns true if the answer was ended because its caller was the slowest reader when the bound was reached.
    bool wasEnded() const
    {
        return this->isEnded.load();
    }

    // Returns when the connection last took bytes that had been kept, or when bytes were first kept.
    Time lastProgress() const
    {
        return this->progressAt;
    }

private:
    friend class CallerBuffers;

    // Bytes that arrived at about the same time.
    struct Block
    {
        Time receivedAt{};
        std::string data;
        size_t written = 0;
    };

    // Returns how many bytes the connection took, or -1 if it has failed.
    ssize_t sendNow(std::string_view data);
    // To be called with the mutex of the buffers locked.
    void keep(std::string_view data);
    bool flushKept();
    void account(int64_t change);
    void drop();
    // Lets the kernel keep the connection for longer while its caller reads nothing, from the first bytes on that the caller does not take at once.
    // The time stays until the connection ends, because bytes of the answer wait in the kernel after its end too.
    void lengthenUserTimeout();

    CallerBuffers &buffers;
    const int socket;
    std::deque<Block> blocks;
    std::atomic<int64_t> keptBytes{0};
    std::atomic<bool> isEnded{false};
    bool isFailed = false;
    // Bytes have been kept, so that other threads may know the writer.
    bool wasKept = false;
    Time progressAt{};
    bool hasLongTimeout = false;
};

} // namespace pimentosail
