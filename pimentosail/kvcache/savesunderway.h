// Saves of blocks that targets may still begin, of this host and of the others.
//
// A prompt that waits at a target saves its blocks when it begins, whatever has happened to the cache store since it was sent. If another prompt
// has saved a block in the meantime, and the store has lost it again, a prompt that was told to fetch the block reads it while it is being written.
// So a block is not fetched from a store, and not saved there again, while a save of it to that store is under way: from the sending of its
// prompt until the prompt has begun, was certainly not run, or could no longer begin.
//
// Hosts tell each other of their saves in load reports. A save is known elsewhere only some time after its prompt was sent, so that two hosts
// may choose the same block at the same moment. `CacheStores` fetches a block no earlier than `SettleTime` after the first save that the host knows of,
// or, if it knows of none, after it has learnt that the block is stored; by then both saves are known.
//
//     SavesUnderWay saves(clock);
//     auto ticket = std::make_shared<SaveTicket>(saves);
//     ticket->add(SavesUnderWay::keyOf("jar-1", salt, block));
//     ticket->recordSent(clock.nowWithSuspend() + timeLeft);
//     ticket->end();                                       // the first token has arrived
//     saves.beginInterval();
//     report.saves = saves.changes(SaveScope::Own);
//     saves.record(notice, SaveScope::Group);              // on another host
//
// All times are those of `Clock::nowWithSuspend`. `SavesUnderWay` is thread-safe; a ticket belongs to one thread at a time.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "pimentosail/base/clock.h"

namespace pimentosail
{

// A save as its host tells the others of it.
struct SaveNotice
{
    // Hash of store, salt and block, in 32 bits to keep messages short.
    uint64_t key = 0;
    // The process that sent the prompt, and the number of the save among those of this process.
    uint64_t process = 0;
    uint64_t number = 0;
    // Time after which the save can no longer begin; zero if it has begun or never will.
    Duration remaining{};

    bool isUnderWay() const
    {
        return this->remaining > Duration(0);
    }
};

// Whose saves a message tells of, from the narrowest to the widest.
enum class SaveScope {
    // Those of the sender.
    Own,
    // Those of a relay and of the hosts that follow it.
    Group,
    All,
};

class SavesUnderWay
{
public:
    // The longest time that a notice takes to reach all hosts and theirs of the same moment take to come back, over two relays each.
    static constexpr Duration SettleTime = Milliseconds(400);
    // Saves that are under way for longer are told again in this interval, for hosts that have started since.
    static constexpr Duration RepeatInterval = std::chrono::seconds(1);

    explicit SavesUnderWay(const Clock &runtimeClock);

    static uint64_t keyOf(const std::string &store, const std::string &salt, const std::string &block);

    // Begins a save of this host that can begin until `end`, and returns its number.
    uint64_t begin(uint64_t key, Time end);

    // Sets until when a save of this host can begin.
    void extend(uint64_t key, uint64_t number, Time end);

    // Ends a save of this host.
    void end(uint64_t key, uint64_t number);

    // Records what another host tells. `scope` is that of its message.
    void record(const SaveNotice &notice, SaveScope scope);

    // Returns the time since the youngest save under `key` that is under way was begun or first heard of; nothing if there is none.
    std::optional<Duration> youngest(uint64_t key) const;

    // Returns when the first of the saves under `key` that are still remembered was begun or first heard of; nothing if none is.
    std::optional<Time> firstSave(uint64_t key) const;

    // Called by the sender of reports at the beginning of each interval.
    void beginInterval();

    // Returns what the reports of this interval tell: each change in two intervals, in case a report is lost, and from time to time all saves that
    // have been under way for long, also those of processes that have ended since.
    std::vector<SaveNotice> changes(SaveScope scope) const;

    // Returns the number of saves that are known to be under way.
    size_t count() const;

private:
    struct Save
    {
        uint64_t process = 0;
        uint64_t number = 0;
        SaveScope scope = SaveScope::Own;
        Time since{};
        // Until when it can begin; zero once it has ended.
        Time end{};
        Time toldAt{};
    };
    struct Change
    {
        uint64_t interval = 0;
        uint64_t key = 0;
        uint64_t process = 0;
        uint64_t number = 0;
        // Nothing has changed; the save is under way for long.
        bool isRepeated = false;
    };

    Save *find(uint64_t key, uint64_t process, uint64_t number);
    const Save *find(uint64_t key, uint64_t process, uint64_t number) const;
    void change(uint64_t key, Save &save, Time end, Time now, bool isRepeated = false);
    void dropOld(Time now);

    const Clock &clock;
    const uint64_t process;
    mutable std::mutex mutex;
    uint64_t lastNumber = 0;
    uint64_t interval = 0;
    std::unordered_map<uint64_t, std::vector<Save>> saves;
    // Changes that are being told, the oldest first.
    std::deque<Change> recent;
    Time droppedAt{};
};

// The saves that one prompt carries. They end with the ticket, unless the prompt may still begin.
class SaveTicket
{
public:
    explicit SaveTicket(SavesUnderWay &savesUnderWay)
        : saves(savesUnderWay)
    {
    }
    ~SaveTicket();
    SaveTicket(const SaveTicket &) = delete;
    SaveTicket &operator=(const SaveTicket &) = delete;

    // Adds a save that can begin until `end`.
    void add(uint64_t key, Time end);

    // The prompt is sent now; it can begin until `end`.
    void recordSent(Time end);

    // The prompt has begun, or will never begin.
    void end();

    // Nothing more will be heard of the prompt: its saves remain under way until they can no longer begin.
    void abandon()
    {
        this->keys.clear();
    }

private:
    SavesUnderWay &saves;
    // Keys and numbers of the saves.
    std::vector<std::pair<uint64_t, uint64_t>> keys;
};

} // namespace pimentosail
