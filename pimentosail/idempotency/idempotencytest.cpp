#include <atomic>
#include <thread>

#include <criterion/criterion.h>

#include "pimentosail/idempotency/idempotencyrecords.h"
#include "pimentosail/kv/memorykeyvalue.h"

using namespace pimentosail;

namespace
{

constexpr size_t MaxTestThreads = 128;

constexpr Duration Day = std::chrono::hours(24);
constexpr Time Never = std::chrono::hours(1'000'000);

struct Fixture
{
    Clock clock;
    std::shared_ptr<MemoryKeyValue> memory = std::make_shared<MemoryKeyValue>(this->clock);
    KeyValueStore store = KeyValueStore::inMemory(this->memory);
    std::atomic<int> runs{0};

    std::unique_ptr<IdempotencyRecords> records(
        const std::string &host, IdempotencyRecords::OwnershipCheck ownsShard = [](int) { return true; })
    {
        return std::make_unique<IdempotencyRecords>(this->store, host, this->clock, Day, std::move(ownsShard));
    }

    IdempotencyRecords::Call call()
    {
        return [this] {
            return RecordedAnswer{200, "text/plain", "run " + std::to_string(++this->runs), false};
        };
    }
};

ErrorKind kindOf(const std::function<void()> &action, bool *notRun = nullptr)
{
    try {
        action();
    } catch (const Failure &failure) {
        if (notRun != nullptr) {
            *notRun = failure.error.notRun;
        }
        return failure.error.kind;
    }
    cr_assert_fail("no failure");
    return ErrorKind::Internal;
}

} // namespace

Test(records, a_finished_call_is_replayed_byte_for_byte)
{
    Fixture fixture;
    const auto records = fixture.records("a");
    const RecordedAnswer first = records->run(0, "k", 1, Never, [] { return RecordedAnswer{201, "x/y", std::string("a\0b\xff", 4), false}; });
    const RecordedAnswer second = records->run(0, "k", 1, Never, fixture.call());
    cr_assert(second.replayed);
    cr_assert_eq(second.status, 201);
    cr_assert_eq(second.body, first.body);
    cr_assert_eq(fixture.runs.load(), 0);
}

Test(records, another_body_under_the_same_key_is_refused)
{
    Fixture fixture;
    const auto records = fixture.records("a");
    records->run(0, "k", 1, Never, fixture.call());
    cr_assert_eq(kindOf([&] { records->run(0, "k", 2, Never, fixture.call()); }), ErrorKind::IdempotencyMismatch);
    cr_assert_eq(fixture.runs.load(), 1);
}

Test(records, a_new_owner_replays_what_the_old_one_finished)
{
    Fixture fixture;
    const auto old = fixture.records("a");
    old->run(3, "k", 1, Never, fixture.call());
    const auto next = fixture.records("b");
    const RecordedAnswer answer = next->run(3, "k", 1, Never, fixture.call());
    cr_assert(answer.replayed);
    cr_assert_eq(answer.body, std::string("run 1"));
}

Test(records, a_claim_without_an_outcome_is_never_run_again)
{
    Fixture fixture;
    // The next owner takes over while the call of the previous owner runs, so it finds a claim without an outcome.
    auto old = fixture.records("a");
    const auto next = fixture.records("b");
    bool notRun = true;
    old->run(3, "k", 1, Never, [&] {
        cr_assert_eq(kindOf([&] { next->run(3, "k", 1, Never, fixture.call()); }, &notRun), ErrorKind::OutcomeUnknown);
        return RecordedAnswer{200, "", "", false};
    });
    cr_assert_not(notRun);
    cr_assert_eq(fixture.runs.load(), 0);
}

Test(records, a_fenced_owner_cannot_claim)
{
    Fixture fixture;
    const auto old = fixture.records("a");
    old->run(3, "first", 1, Never, fixture.call());
    const auto next = fixture.records("b");
    next->run(3, "second", 1, Never, fixture.call());
    // The previous owner's check still says that it owns the shard, but the key of its next entry is in use.
    bool notRun = false;
    cr_assert_eq(kindOf([&] { old->run(3, "third", 1, Never, fixture.call()); }, &notRun), ErrorKind::NotOwner);
    cr_assert(notRun);
    cr_assert_eq(fixture.runs.load(), 2);
}

Test(records, an_owner_that_lost_its_shard_during_the_claim_does_not_send)
{
    Fixture fixture;
    int checkCount = 0;
    const auto records = fixture.records("a", [&checkCount](int) { return ++checkCount < 2; });
    bool notRun = false;
    cr_assert_eq(kindOf([&] { records->run(0, "k", 1, Never, fixture.call()); }, &notRun), ErrorKind::NotOwner);
    cr_assert(notRun);
    cr_assert_eq(fixture.runs.load(), 0);
}

Test(records, with_the_key_value_store_down_no_call_is_sent)
{
    Fixture fixture;
    const auto records = fixture.records("a");
    records->run(0, "first", 1, Never, fixture.call());
    fixture.memory->setDown(true);
    bool notRun = false;
    cr_assert_eq(kindOf([&] { records->run(0, "k", 1, Never, fixture.call()); }, &notRun), ErrorKind::RecordsUnavailable);
    cr_assert(notRun);
    cr_assert_eq(fixture.runs.load(), 1);
    fixture.memory->setDown(false);
    cr_assert_eq(records->run(0, "k", 1, Never, fixture.call()).body, std::string("run 2"));
}

Test(records, a_claim_whose_answer_is_lost_runs_once)
{
    Fixture fixture;
    const auto records = fixture.records("a");
    records->run(0, "first", 1, Never, fixture.call());
    fixture.memory->loseNextAnswers(1);
    records->run(0, "k", 1, Never, fixture.call());
    cr_assert(records->run(0, "k", 1, Never, fixture.call()).replayed);
    cr_assert_eq(fixture.runs.load(), 2);
}

Test(records, a_call_that_was_never_sent_may_run_later)
{
    Fixture fixture;
    const auto records = fixture.records("a");
    const auto refused = []() -> RecordedAnswer {
        throw Failure(ErrorKind::NoTarget, "connection refused");
    };
    cr_assert_eq(kindOf([&] { records->run(0, "k", 1, Never, refused); }), ErrorKind::NoTarget);
    cr_assert_eq(records->run(0, "k", 1, Never, fixture.call()).body, std::string("run 1"));
}

Test(records, an_unknown_outcome_stays_unknown_for_every_owner)
{
    Fixture fixture;
    const auto records = fixture.records("a");
    const auto lost = []() -> RecordedAnswer {
        throw Failure(ErrorKind::OutcomeUnknown, "the answer was lost");
    };
    cr_assert_eq(kindOf([&] { records->run(0, "k", 1, Never, lost); }), ErrorKind::OutcomeUnknown);
    cr_assert_eq(kindOf([&] { records->run(0, "k", 1, Never, fixture.call()); }), ErrorKind::OutcomeUnknown);
    const auto next = fixture.records("b");
    cr_assert_eq(kindOf([&] { next->run(0, "k", 1, Never, fixture.call()); }), ErrorKind::OutcomeUnknown);
    cr_assert_eq(fixture.runs.load(), 0);
}

Test(records, many_callers_share_few_writes_and_each_key_runs_once)
{
    Fixture fixture;
    const auto records = fixture.records("a");
    constexpr int Callers = 32;
    constexpr int KeysEach = 10;
    std::vector<std::thread> threads;
    threads.reserve(MaxTestThreads);
    for (int caller = 0; caller < Callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (int key = 0; key < KeysEach; ++key) {
                // Two callers share each key.
                records->run(0, std::to_string(caller / 2) + "/" + std::to_string(key), 1, Never, fixture.call());
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    constexpr int Calls = Callers / 2 * KeysEach;
    cr_assert_eq(fixture.runs.load(), Calls);
    // Each call writes two records, and without group commit each record would be a write of its own.
    cr_assert_lt(records->writeCount(), Calls, "%ld writes", records->writeCount());
}
