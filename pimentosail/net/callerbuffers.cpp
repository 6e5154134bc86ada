#include "pimentosail/net/callerbuffers.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "pimentosail/base/socketstate.h"

namespace pimentosail
{

namespace
{

// Size of a block, and the time within which bytes go to the same one: they count as received together.
constexpr size_t BlockBytes = 16 * 1024;
// Above the sizes for which strings choose their capacity themselves.
constexpr size_t MinBlockBytes = 64;
constexpr Duration BlockTime = Milliseconds(250);
// Counted for each block beside its data.
constexpr int64_t BlockOverhead = 128;
// While bytes of an answer wait, the connection of a caller that reads nothing lasts for this time. The ordinary time of a connection, which is to
// find connections that have gone silent, is shorter than the pauses of slow readers.
constexpr unsigned ReaderTimeoutMilliseconds = 15'000;

int64_t sizeOf(const std::string &data)
{
    return static_cast<int64_t>(data.capacity()) + BlockOverhead;
}

} // namespace

CallerWriter *CallerBuffers::slowest() const
{
    const int64_t evenShare = this->usedBytes.load() / std::max<int64_t>(1, static_cast<int64_t>(this->writers.size()));
    CallerWriter *result = nullptr;
    for (CallerWriter *writer : this->writers) {
        const bool isLarge = writer->keptBytes.load() >= evenShare;
        if (isLarge && (result == nullptr || writer->blocks.front().receivedAt < result->blocks.front().receivedAt)) {
            result = writer;
        }
    }
    return result;
}

void CallerBuffers::makeRoom(CallerWriter &writer, int64_t bytes)
{
    while (!writer.isEnded.load() && this->usedBytes.load() + bytes > this->limitBytes) {
        CallerWriter *victim = this->slowest();
        victim = victim == nullptr ? &writer : victim;
        victim->isEnded.store(true);
        victim->drop();
        // Wakes the thread of the writer. The missing end shows the caller that the answer is not complete.
        ::shutdown(victim->socket, SHUT_RDWR);
        this->endedCount.fetch_add(1);
    }
}

CallerWriter::CallerWriter(CallerBuffers &callerBuffers, int callerSocket)
    : buffers(callerBuffers)
    , socket(callerSocket)
{
}

CallerWriter::~CallerWriter()
{
    if (this->wasKept) {
        // Another thread that ends this answer uses the writer until it releases the lock.
        const std::lock_guard lock(this->buffers.mutex);
        this->drop();
    }
}

ssize_t CallerWriter::sendNow(std::string_view data)
{
    size_t sent = 0;
    while (sent < data.size()) {
        const ssize_t count = ::send(this->socket, data.data() + sent, data.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count >= 0) {
            sent += static_cast<size_t>(count);
            continue;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK) {
            break;
        }
        if (errno != EINTR) {
            this->isFailed = true;
            return -1;
        }
    }
    return static_cast<ssize_t>(sent);
}

bool CallerWriter::write(std::string_view data)
{
    if (this->isFailed || this->isEnded.load()) {
        return false;
    }
    if (!this->hasPending()) {
        const ssize_t sent = this->sendNow(data);
        if (sent < 0) {
            return false;
        }
        if (!this->hasLongTimeout && hasUnsentBytes(this->socket)) {
            this->lengthenUserTimeout();
        }
        data.remove_prefix(static_cast<size_t>(sent));
        if (data.empty()) {
            return true;
        }
    }
    const std::lock_guard lock(this->buffers.mutex);
    if (!this->flushKept() || isPeerClosed(this->socket)) {
        this->isFailed = true;
        return false;
    }
    this->keep(data);
    return !this->isEnded.load();
}

bool CallerWriter::flush()
{
    if (this->isFailed || this->isEnded.load()) {
        return false;
    }
    if (!this->hasPending()) {
        return true;
    }
    const std::lock_guard lock(this->buffers.mutex);
    return this->flushKept();
}

void CallerWriter::keep(std::string_view data)
{
    const Time now = this->buffers.clock.now();
    while (!data.empty()) {
        const bool isFresh = this->blocks.empty() || now - this->blocks.back().receivedAt > BlockTime || this->blocks.back().data.size() >= BlockBytes;
        const size_t used = isFresh ? 0 : this->blocks.back().data.size();
        const size_t count = std::min(data.size(), BlockBytes - used);
        const size_t capacity = isFresh ? 0 : this->blocks.back().data.capacity();
        // Grows by doubling, up to the size of a block.
        const size_t wanted = used + count <= capacity ? capacity : std::min(BlockBytes, std::max({MinBlockBytes, used + count, 2 * capacity}));
        this->buffers.makeRoom(*this, static_cast<int64_t>(wanted - capacity) + (isFresh ? BlockOverhead : 0));
        if (this->isEnded.load()) {
            return;
        }
        if (this->blocks.empty()) {
            this->wasKept = true;
            this->progressAt = now;
            this->buffers.writers.push_back(this);
            this->buffers.readerCount.fetch_add(1);
            this->lengthenUserTimeout();
        }
        if (isFresh) {
            this->blocks.push_back({now, {}, 0});
        }
        std::string &block = this->blocks.back().data;
        const int64_t before = isFresh ? 0 : sizeOf(block);
        if (block.capacity() < wanted) {
            // A string that already has a capacity grows to at least twice that, which may be more than room was made for.
            std::string grown;
            grown.reserve(wanted);
            grown.append(block);
            block = std::move(grown);
        }
        block.append(data.substr(0, count));
        this->account(sizeOf(block) - before);
        data.remove_prefix(count);
    }
}

bool CallerWriter::flushKept()
{
    while (!this->blocks.empty()) {
        Block &block = this->blocks.front();
        const std::string_view left = std::string_view(block.data).substr(block.written);
        const ssize_t sent = this->sendNow(left);
        if (sent < 0) {
            return false;
        }
        if (sent > 0) {
            this->progressAt = this->buffers.clock.now();
        }
        block.written += static_cast<size_t>(sent);
        if (block.written < block.data.size()) {
            return true;
        }
        if (this->blocks.size() == 1) {
            this->drop();
            return !this->isEnded.load();
        }
        this->account(-sizeOf(block.data));
        this->blocks.pop_front();
    }
    return !this->isEnded.load();
}

void CallerWriter::account(int64_t change)
{
    this->keptBytes.fetch_add(change);
    this->buffers.usedBytes.fetch_add(change);
}

void CallerWriter::drop()
{
    if (this->blocks.empty()) {
        return;
    }
    this->blocks.clear();
    this->blocks.shrink_to_fit();
    this->account(-this->keptBytes.load());
    std::erase(this->buffers.writers, this);
    this->buffers.readerCount.fetch_sub(1);
}

void CallerWriter::lengthenUserTimeout()
{
    if (this->hasLongTimeout) {
        return;
    }
    this->hasLongTimeout = true;
    ::setsockopt(this->socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &ReaderTimeoutMilliseconds, sizeof(ReaderTimeoutMilliseconds));
}

} // namespace pimentosail
