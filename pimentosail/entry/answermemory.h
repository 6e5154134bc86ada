// Bounds the memory that answers of targets take while this host receives them, for one answer and for all together.
//
//     AnswerMemory memory(settings.memoryBytes);
//     AnswerMemory::Share share(memory);
//     if (!share.resize(body.capacity())) { give the answer up }
//
// Sizes are in bytes. A share up to `UncountedBytes` is always granted, so that a small answer does not fail because of large
// ones. `AnswerMemory` is thread-safe; a share belongs to one thread at a time.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace pimentosail
{

class AnswerMemory
{
public:
    // Most answers have some KB.
    static constexpr int64_t UncountedBytes = 16 * 1024;

    explicit AnswerMemory(int64_t hostMemoryBytes)
        : totalBytes(hostMemoryBytes / HostMemoryPerTotal)
    {
    }

    // Maximum size of one answer.
    int64_t maxAnswerBytes() const
    {
        return std::max(UncountedBytes, this->totalBytes / TotalPerAnswer);
    }

    // The memory of one answer. It is returned when the share is destroyed.
    class Share
    {
    public:
        explicit Share(AnswerMemory &answerMemory)
            : memory(answerMemory)
        {
        }
        ~Share()
        {
            this->memory.usedBytes.fetch_sub(this->counted);
        }
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        // Sets the size of this share. Returns false, without a change, if that would exceed the memory for all answers.
        bool resize(int64_t bytes)
        {
            const int64_t wanted = bytes <= UncountedBytes ? 0 : bytes;
            const int64_t growth = wanted - this->counted;
            if (this->memory.usedBytes.fetch_add(growth) + growth > this->memory.totalBytes && growth > 0) {
                this->memory.usedBytes.fetch_sub(growth);
                return false;
            }
            this->counted = wanted;
            return true;
        }

    private:
        AnswerMemory &memory;
        int64_t counted = 0;
    };

private:
    // All answers together may take one part in this of the memory of the process.
    static constexpr int64_t HostMemoryPerTotal = 8;
    // One answer may take one part in this of the memory for all, so that a few large answers do not take it all.
    static constexpr int64_t TotalPerAnswer = 8;

    int64_t totalBytes;
    std::atomic<int64_t> usedBytes{0};
};

} // namespace pimentosail
