#include <criterion/criterion.h>

#include "pimentosail/base/error.h"
#include "pimentosail/rollout/versionage.h"

using namespace pimentosail;

namespace
{

// Returns the indices of the marks that are left `later` after they were written.
std::set<int64_t> remaining(const std::vector<AgeMark> &marks, Duration later)
{
    std::set<int64_t> result;
    for (const AgeMark &mark : marks) {
        if (mark.ttl > later) {
            result.insert(mark.index);
        }
    }
    return result;
}

} // namespace

// Guards against a host that takes a version for younger or older than it is after a restart.
Test(versionage, the_bounds_contain_the_age_at_every_moment)
{
    const Duration limit = std::chrono::seconds(15);
    const AgeRecord record = decodeAgeRecord(encodeAgeRecord(makeAgeRecord(limit, Duration(0), Duration(0))));
    for (Duration written{}; written < std::chrono::seconds(17); written += Milliseconds(130)) {
        const std::vector<AgeMark> marks = ageMarks(written, record);
        for (Duration later{}; later < std::chrono::seconds(20); later += Milliseconds(170)) {
            const VersionAge age = ageFromMarks(record, remaining(marks, later));
            cr_assert_leq(age.atLeast.count(), (written + later).count());
            if (age.atMost) {
                cr_assert_geq(age.atMost->count(), (written + later).count());
            } else {
                cr_assert(written + later >= limit - std::chrono::seconds(1), "too young to be past all marks");
            }
        }
    }
}

Test(versionage, all_marks_fit_into_one_transaction_of_the_store)
{
    cr_assert_leq(ageMarks(Duration(0), makeAgeRecord(std::chrono::seconds(20), Duration(0), Duration(0))).size(), 31);
}

Test(versionage, a_malformed_record_is_an_error)
{
    cr_assert_throw(decodeAgeRecord("{}"), Failure);
    cr_assert_throw(decodeAgeRecord("[]"), Failure);
    cr_assert_throw(decodeAgeRecord(R"({"named_ms":5})"), Failure);
}

// Guards against a host that does not know when a version was set, records it as old, and so lets the leader free blocks that
// other hosts still use.
Test(versionage, a_version_of_unknown_age_is_old_for_work_and_young_for_what_cannot_be_undone)
{
    const Duration limit = std::chrono::seconds(15);
    const Duration knownFor = std::chrono::seconds(3);
    const AgeRecord record = makeAgeRecord(limit, Duration(0), limit - knownFor);
    cr_assert(ageMarks(limit, record).size() <= 1, "old for work");
    const VersionAge age = ageFromMarks(record, {});
    cr_assert_not(age.atMost);
    cr_assert(age.atLeast <= knownFor);
}

Test(versionage, a_slow_store_makes_a_version_seem_older_and_not_younger)
{
    const AgeRecord record = makeAgeRecord(std::chrono::seconds(15), std::chrono::seconds(1), Duration(0));
    cr_assert_eq(ageFromMarks(record, {3, 4}).atMost->count(), Duration(std::chrono::seconds(7)).count());
}

// Guards against a host that takes a version for younger than it is because the store suspended the leases of its marks (review/6).
Test(versionage, after_an_outage_that_suspends_leases_the_corrected_record_bounds_the_age)
{
    const Duration limit = std::chrono::seconds(15);
    for (Duration written{}; written < std::chrono::seconds(6); written += Milliseconds(230)) {
        const std::vector<AgeMark> marks = ageMarks(written, makeAgeRecord(limit, Duration(0), Duration(0)));
        for (Duration outage = Milliseconds(100); outage < std::chrono::seconds(9); outage += Milliseconds(700)) {
            AgeRecord record = makeAgeRecord(limit, Duration(0), Duration(0));
            Duration delay{};
            for (Duration later{}; later < std::chrono::seconds(20); later += Milliseconds(170)) {
                const Duration age = written + outage + later;
                const std::set<int64_t> present = remaining(marks, later);
                // The corrector knows the age within 50 ms.
                if (const std::optional<Duration> corrected = correctedRemovalDelay(record, present, {age - Milliseconds(30), age + Milliseconds(20)})) {
                    cr_assert_eq(delay.count(), 0, "the first correction must last");
                    delay = *corrected;
                    record.removalDelay = delay;
                }
                const std::optional<Duration> atMost = ageFromMarks(record, present).atMost;
                cr_assert(!atMost || *atMost >= age - Milliseconds(600), "seems younger by %ld ms", static_cast<long>(toMilliseconds(age - *atMost)));
            }
            cr_assert_leq(delay.count(), (outage + std::chrono::seconds(4)).count(), "seems older than needed");
        }
    }
}

// Guards against corrections, which make versions seem older, where no lease was suspended.
Test(versionage, marks_that_are_removed_in_time_need_no_correction)
{
    const AgeRecord record = makeAgeRecord(std::chrono::seconds(15), Duration(0), Duration(0));
    const std::vector<AgeMark> marks = ageMarks(Duration(0), record);
    for (Duration age{}; age < std::chrono::seconds(20); age += Milliseconds(90)) {
        cr_assert_not(correctedRemovalDelay(record, remaining(marks, age), {age, age + std::chrono::seconds(3)}));
    }
    cr_assert_not(correctedRemovalDelay(record, {1}, {std::chrono::seconds(60), std::nullopt}), "the age is not known");
}
