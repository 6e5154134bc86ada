#include <criterion/criterion.h>

#include "pimentosail/directory/targetnotices.h"

using namespace pimentosail;

namespace
{

const Time Start = std::chrono::seconds(100);

} // namespace

// Guards against new work at a target that has said that it is leaving: later answers without a word change nothing, and the
// notice ends with the incarnation.
Test(targetnotices, a_leaving_target_stays_so_until_its_next_incarnation)
{
    TargetNoticeTable table;
    cr_assert_not(table.isLeaving("a", 1000));
    cr_assert(table.recordAnswer({"a", 1000, NoticeKind::Leaving, Start, {}}));
    cr_assert_not(table.recordAnswer({"a", 1000, NoticeKind::Leaving, Start + Milliseconds(100), {}}), "known already");
    cr_assert(table.isLeaving("a", 1000));
    cr_assert_not(table.isLeaving("a", 2000));
    const Time later = Start + 10 * TargetNoticeTable::Memory;
    table.dropOld({{"a", 1000}}, later);
    cr_assert(table.isLeaving("a", 1000), "it is registered still");
    cr_assert_eq(table.own(later).size(), 1, "hosts that start now hear of it");
    table.dropOld({{"a", 2000}}, later);
    cr_assert_not(table.isLeaving("a", 1000));
}

// Guards against work at a target while it wants none from this host: the rest counts from the answer, is bounded, and is not
// shortened by a later answer.
Test(targetnotices, a_rest_counts_from_the_answer_and_is_bounded)
{
    TargetNoticeTable table;
    cr_assert(table.recordAnswer({"a", 1000, NoticeKind::Resting, Start, Milliseconds(1000)}));
    cr_assert_eq(table.restsUntil("a", 1000), Time(Start + Milliseconds(1000)));
    cr_assert_eq(table.restsUntil("a", 2000), Time(0), "the next incarnation starts free");
    cr_assert_not(table.recordAnswer({"a", 1000, NoticeKind::Resting, Start + Milliseconds(100), Milliseconds(100)}));
    cr_assert_eq(table.restsUntil("a", 1000), Time(Start + Milliseconds(1000)));
    cr_assert(table.recordAnswer({"a", 1000, NoticeKind::Resting, Start, std::chrono::hours(5)}));
    cr_assert_eq(table.restsUntil("a", 1000), Time(Start + TargetNoticeTable::MaxRest));
    cr_assert_eq(table.known(Start).size(), 1);
    cr_assert(table.known(Start + TargetNoticeTable::MaxRest).empty());
}

// A target asks one host to rest; the others hear of it and are free to send if nothing else serves.
Test(targetnotices, rests_of_other_hosts_are_kept_apart_and_count_from_their_age)
{
    TargetNoticeTable table;
    cr_assert(table.recordReport({"a", 1000, NoticeKind::Resting, Start - Milliseconds(200), Milliseconds(1000)}));
    cr_assert_eq(table.restsUntil("a", 1000), Time(0));
    cr_assert_eq(table.othersRestUntil("a", 1000), Time(Start + Milliseconds(800)));
    cr_assert_not(table.recordReport({"a", 1000, NoticeKind::Resting, Start - Milliseconds(195), Milliseconds(1000)}), "the same, with a rounded age");
    cr_assert(table.own(Start).empty());
    cr_assert_eq(table.known(Start).size(), 1);
}

Test(targetnotices, a_host_reports_its_own_answers_and_a_relay_all)
{
    TargetNoticeTable table;
    table.recordReport({"a", 1, NoticeKind::Leaving, Start, {}});
    table.recordAnswer({"b", 1, NoticeKind::Leaving, Start, {}});
    cr_assert_eq(table.own(Start).size(), 1);
    cr_assert_eq(table.known(Start).size(), 2);
    cr_assert_eq(table.known(Start).front().target, "b", "the latest change is at the front");
    const uint64_t changes = table.changeCount();
    table.recordAnswer({"a", 1, NoticeKind::Leaving, Start, {}});
    cr_assert_eq(table.own(Start).size(), 2);
    cr_assert_gt(table.changeCount(), changes, "it is to be reported now");
}
