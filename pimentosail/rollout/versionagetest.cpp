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
    const AgeRecord record = decodeAgeRecord(encodeAgeRecord(makeAgeRecord(limit, Milliseconds(100))));
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
    cr_assert_leq(ageMarks(Duration(0), makeAgeRecord(std::chrono::seconds(20), Duration(0))).size(), 31);
}

Test(versionage, a_malformed_record_is_an_error)
{
    cr_assert_throw(decodeAgeRecord("{}"), Failure);
    cr_assert_throw(decodeAgeRecord("[]"), Failure);
    cr_assert_throw(decodeAgeRecord(R"({"named_ms":5})"), Failure);
}
