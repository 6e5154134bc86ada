#include <atomic>
#include <thread>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include "pimentosail/base/boundedqueue.h"
#include "pimentosail/base/clock.h"
#include "pimentosail/base/error.h"
#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"

using namespace pimentosail;

Test(error, every_kind_has_a_unique_name_and_an_error_status)
{
    for (int index = 0; index <= static_cast<int>(ErrorKind::Internal); ++index) {
        const auto kind = static_cast<ErrorKind>(index);
        cr_assert_eq(errorKindFromName(errorName(kind)), kind);
        cr_assert_geq(answerFor(kind).httpStatus, 400);
    }
}

Test(error, an_unknown_outcome_is_never_reported_as_not_run)
{
    cr_assert_not(Error(ErrorKind::OutcomeUnknown, "").notRun);
    cr_assert_not(Error(ErrorKind::TargetLost, "").notRun);
    cr_assert(Error(ErrorKind::RecordsUnavailable, "").notRun);
}

Test(clock, a_paused_clock_moves_only_by_advance)
{
    Clock clock;
    clock.pause();
    const Time start = clock.now();
    cr_assert_eq(clock.now().count(), start.count());
    clock.advance(std::chrono::seconds(3));
    cr_assert_eq((clock.now() - start).count(), 3'000'000);
}

Test(clock, advance_wakes_a_sleeper)
{
    Clock clock;
    clock.pause();
    std::atomic<bool> woke{false};
    std::thread sleeper([&] {
        clock.sleepFor(std::chrono::seconds(5));
        woke.store(true);
    });
    while (!woke.load()) {
        clock.advance(std::chrono::seconds(1));
    }
    sleeper.join();
    cr_assert(woke.load());
}

Test(queue, a_full_queue_refuses_and_keeps_order)
{
    BoundedQueue<int> queue(2);
    cr_assert(queue.tryPush(1));
    cr_assert(queue.tryPush(2));
    cr_assert_not(queue.tryPush(3));
    cr_assert_eq(*queue.pop(Duration(0)), 1);
    cr_assert_eq(*queue.pop(Duration(0)), 2);
    cr_assert_not(queue.pop(Duration(0)).has_value());
}

Test(hash, rendezvous_moves_only_the_keys_of_a_removed_member)
{
    const bool passed = rc::check("rendezvous stability", [](const std::string &key) {
        const std::vector<std::string> all{"a", "b", "c", "d", "e"};
        const std::vector<std::string> withoutLast{"a", "b", "c", "d"};
        const std::string owner = rendezvousOwner(key, all);
        RC_ASSERT(owner == "e" || rendezvousOwner(key, withoutLast) == owner);
        const std::vector<std::string> order = rendezvousOrder(key, all);
        RC_ASSERT(order.front() == owner);
        for (size_t rank = 0; rank < order.size(); ++rank) {
            RC_ASSERT(rendezvousRank(key, order[rank], all) == rank);
        }
        RC_ASSERT(rendezvousRank(key, "absent", all) == all.size());
    });
    cr_assert(passed);
}

Test(hash, sha256_matches_its_published_vector)
{
    cr_assert_eq(sha256Hex("abc"), std::string("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"));
}

Test(json, malformed_deep_and_non_utf8_input_is_refused)
{
    const std::vector<std::string> bad{"", "{", "{\"a\":1,}", "{\"a\":\"\xff\xfe\"}", std::string(5000, '['), "{\"a\":1} x", "nul"};
    for (const std::string &text : bad) {
        bool refused = false;
        try {
            parseJson(text);
        } catch (const Failure &failure) {
            refused = failure.error.kind == ErrorKind::BadRequest;
        }
        cr_assert(refused, "accepted: %s", text.substr(0, 20).c_str());
    }
}

Test(json, utf8_check_agrees_with_known_cases)
{
    cr_assert(isUtf8("g\xc3\xbcn"));
    cr_assert(isUtf8("\xe0\xb8\xa5\xe0\xb8\xad\xe0\xb8\xa2"));
    cr_assert_not(isUtf8("\xc0\x80"));
    cr_assert_not(isUtf8("\xed\xa0\x80"));
    cr_assert_not(isUtf8("\xe0\xb8"));
}
