// Bounds the memory that messages take while this host holds them, for one message and for all together. The bodies of requests and the
// answers of targets have one bound each.
//
//     MessageMemory memory(settings.memoryBytes);
//     MessageMemory::Share share(memory);
//     if (!share.resize(body.capacity())) { give the message up, or wait }
//
// Sizes are in bytes. A share up to `UncountedBytes` is always granted, so that a small message does not fail because of large ones, and so
// is the only counted share. `MessageMemory` is thread-safe; a share belongs to one thread at a time.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace pimentosail
{

class MessageMemory
{
public:
    // Most messages have some KB.
    static constexpr int64_t UncountedBytes = 16 * 1024;

    explicit MessageMemory(int64_t hostMemoryBytes)
        : totalBytes(hostMemoryBytes / HostMemoryPerTotal)
    {
    }

    // Maximum size of one message, where the configuration sets none.
    int64_t maxMessageBytes() const
    {
        return std::max(UncountedBytes, this->totalBytes / TotalPerMessage);
    }

    // The memory of one message. It is returned when the share is destroyed.
    class Share
    {
    public:
        explicit Share(MessageMemory &messageMemory)
            : memory(messageMemory)
        {
        }
        ~Share()
        {
            this->memory.usedBytes.fetch_sub(this->counted);
        }
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        // Sets the size of this share. Returns false, without a change, if that would exceed the memory for all messages.
        bool resize(int64_t bytes)
        {
            const int64_t wanted = bytes <= UncountedBytes ? 0 : bytes;
            const int64_t growth = wanted - this->counted;
            const int64_t before = this->memory.usedBytes.fetch_add(growth);
            if (before + growth > this->memory.totalBytes && growth > 0 && before > this->counted) {
                this->memory.usedBytes.fetch_sub(growth);
                return false;
            }
            this->counted = wanted;
            return true;
        }

    private:
        MessageMemory &memory;
        int64_t counted = 0;
    };

private:
    // All messages together may take one part in this of the memory of the process.
    static constexpr int64_t HostMemoryPerTotal = 8;
    // One message may take one part in this of the memory for all, so that a few large ones do not take it all.
    static constexpr int64_t TotalPerMessage = 8;

    int64_t totalBytes;
    std::atomic<int64_t> usedBytes{0};
};

} // namespace pimentosail
