#include <random>

#include <criterion/criterion.h>

#include "pimentosail/base/error.h"
#include "pimentosail/entry/loadmessages.h"

using namespace pimentosail;

namespace
{

const Time Now = std::chrono::seconds(1000);

LoadMessage makeMessage(LoadMessageKind kind)
{
    LoadMessage message;
    message.kind = kind;
    message.sender = "front-1";
    message.number = {0xfedcba9876543210, 300};
    message.relay = "front-9";
    message.replyAddress = "10.0.0.1:7580";
    message.loads = {{"i-1", 2, 70000, 0, 90000}, {"i-2", 1, 0, 5, 1}};
    message.limits = {{"i-1", 1700000000000, 2.5, Now - Milliseconds(1500)}, {"i-2", 1700000000001, std::nullopt, Now}};
    message.notices = {{"i-1", 1700000000000, NoticeKind::Leaving, Now - Milliseconds(20), {}},
        {"i-2", 1700000000001, NoticeKind::Resting, Now - Milliseconds(300), Milliseconds(1250)}};
    return message;
}

bool isRefused(std::string_view bytes)
{
    try {
        decodeLoadMessage(bytes, Now);
        return false;
    } catch (const Failure &failure) {
        return failure.error.kind == ErrorKind::BadRequest;
    }
}

} // namespace

Test(loadmessages, a_report_is_decoded_as_it_was_encoded)
{
    for (const LoadMessageKind kind : {LoadMessageKind::Report, LoadMessageKind::Group, LoadMessageKind::Totals}) {
        const LoadMessage sent = makeMessage(kind);
        const LoadMessage decoded = decodeLoadMessage(encodeLoadMessage(sent, Now), Now + Milliseconds(7));
        cr_assert_eq(decoded.kind, kind);
        cr_assert_eq(decoded.sender, sent.sender);
        cr_assert(decoded.number == sent.number);
        cr_assert_eq(decoded.relay, "front-9");
        cr_assert_eq(decoded.loads.size(), 2);
        cr_assert_eq(decoded.loads[0].target, "i-1");
        cr_assert_eq(decoded.loads[0].pendingTokens, 70000);
        cr_assert_eq(decoded.loads[0].heldTokens, 90000);
        cr_assert_eq(decoded.loads[1].lateTokens, 5);
        cr_assert_eq(decoded.limits[0].requestsPerSecond.value_or(0), 2.5);
        cr_assert_eq(decoded.limits[0].observedAt, sent.limits[0].observedAt + Milliseconds(7), "times are sent as ages");
        cr_assert_not(decoded.limits[1].requestsPerSecond.has_value());
        cr_assert_eq(decoded.notices[0].kind, NoticeKind::Leaving);
        cr_assert_eq(decoded.notices[0].startedAt, 1700000000000);
        cr_assert_eq(decoded.notices[1].rest, Duration(Milliseconds(1250)));
    }
}

Test(loadmessages, totals_for_each_follower_name_the_report_that_they_include)
{
    const TotalsEncoder encoder(makeMessage(LoadMessageKind::Totals), Now);
    for (const ReportNumber &included : {ReportNumber{}, ReportNumber{5, 7}, ReportNumber{UINT64_MAX, UINT64_MAX}}) {
        const LoadMessage decoded = decodeLoadMessage(encoder.makeFor(included), Now);
        cr_assert(decoded.included == included);
        cr_assert_eq(decoded.loads.size(), 2);
    }
}

// Guards against hosts of two versions that do not understand each other while a deployment is restarted host by host.
Test(loadmessages, reports_of_the_former_format_are_read_and_written)
{
    const LoadMessage report = decodeLoadMessage(
        R"({"follows":"front-9","gossip":"10.0.0.1:7580","host":"front-1","limits":[["i-1",1700000000000,2.5,1500]],"loads":[["i-1",2,70000,0,90000]]})", Now);
    cr_assert_eq(report.kind, LoadMessageKind::Report);
    cr_assert_eq(report.sender, "front-1");
    cr_assert_eq(report.number.process, 0);
    cr_assert_eq(report.replyAddress, "10.0.0.1:7580");
    cr_assert_eq(report.loads[0].heldTokens, 90000);
    cr_assert_eq(report.limits[0].observedAt, Time(Now - Milliseconds(1500)));
    const LoadMessage again = decodeLoadMessage(encodeLegacyLoadMessage(makeMessage(LoadMessageKind::Report), Now), Now);
    cr_assert_eq(again.relay, "front-9");
    cr_assert_eq(again.loads.size(), 2);
    const LoadMessage totals = decodeLoadMessage(encodeLegacyLoadMessage(makeMessage(LoadMessageKind::Totals), Now), Now);
    cr_assert_eq(totals.kind, LoadMessageKind::Totals);
    cr_assert_eq(totals.loads[1].lateTokens, 5);
}

// Guards against hosts of the version before outcomes that do not understand each other while they are restarted in turn.
Test(loadmessages, outcomes_are_sent_only_to_hosts_that_read_them)
{
    LoadMessage message = makeMessage(LoadMessageKind::Totals);
    cr_assert_eq(encodeLoadMessage(message, Now)[0], BinaryLoadFormat, "a message without outcomes is understood by all");
    message.outcomes
        = {77, {{{"chat", "v2", "look"}, {30, 4, 2, 1, Milliseconds(900)}, {1, 500}}, {{"chat", std::string(201, 'v'), "look"}, {1, 0, 0, 0, {}}, {1, 500}}}};
    const std::string datagram = encodeLoadMessage(message, Now);
    cr_assert_eq(datagram[0], OutcomeLoadFormat);
    const LoadMessage decoded = decodeLoadMessage(datagram, Now);
    cr_assert_eq(decoded.outcomes.stream, 77);
    cr_assert_eq(decoded.outcomes.rows.size(), 1, "a name that no host reads is left out");
    cr_assert(decoded.outcomes.rows[0] == message.outcomes.rows[0]);
    cr_assert_eq(decoded.loads.size(), 2);
    cr_assert(decodeLoadMessage(TotalsEncoder(message, Now).makeFor({5, 7}), Now).outcomes.rows == decoded.outcomes.rows);
    for (const std::string &former : {encodeLoadMessage(message, Now, BinaryLoadFormat), TotalsEncoder(message, Now, BinaryLoadFormat).makeFor({5, 7})}) {
        cr_assert_eq(former[0], BinaryLoadFormat);
        cr_assert_eq(decodeLoadMessage(former, Now).outcomes.rows.size(), 0);
        cr_assert_eq(decodeLoadMessage(former, Now).loads.size(), 2);
    }
    for (size_t size = 0; size < datagram.size(); ++size) {
        cr_assert(isRefused(std::string_view(datagram).substr(0, size)), "a datagram cut at byte %zu", size);
    }
    cr_assert(isRefused(datagram + "x"));
}

// Guards against a load report that was cut, belongs to another program or version, or claims to be huge.
// Guards against a host of an earlier version that can't read reports because they tell of saves, and against saves that are lost on the way.
Test(loadmessages, saves_are_sent_only_to_hosts_that_read_them)
{
    LoadMessage sent = makeMessage(LoadMessageKind::Report);
    cr_assert_eq(encodeLoadMessage(sent, Now)[0], BinaryLoadFormat, "a message without saves is one of an earlier format");
    sent.saves = {{UINT32_MAX, 0xfedcba9876543210, 300, Milliseconds(12450)}, {1, 2, 3, Duration(0)}, {4, 0xfedcba9876543210, 301, Duration(1)}};
    const LoadMessage decoded = decodeLoadMessage(encodeLoadMessage(sent, Now), Now);
    cr_assert_eq(decoded.saves.size(), 3);
    cr_assert_eq(decoded.saves[0].key, UINT32_MAX);
    cr_assert_eq(decoded.saves[0].process, 0xfedcba9876543210);
    cr_assert_eq(decoded.saves[0].number, 300);
    cr_assert_eq(decoded.saves[0].remaining, Duration(Milliseconds(12500)));
    cr_assert_not(decoded.saves[1].isUnderWay());
    cr_assert_eq(decoded.saves[2].process, 0xfedcba9876543210);
    cr_assert(decoded.saves[2].isUnderWay(), "a short time does not become none");
    for (const int format : {BinaryLoadFormat, OutcomeLoadFormat}) {
        const LoadMessage former = decodeLoadMessage(encodeLoadMessage(sent, Now, format), Now);
        cr_assert_eq(former.loads.size(), 2);
        cr_assert_eq(former.saves.size(), 0);
    }
}

Test(loadmessages, an_incomplete_or_foreign_datagram_is_refused)
{
    const std::string datagram = encodeLoadMessage(makeMessage(LoadMessageKind::Totals), Now);
    for (size_t size = 0; size < datagram.size(); ++size) {
        cr_assert(isRefused(std::string_view(datagram).substr(0, size)), "a datagram cut at byte %zu", size);
    }
    cr_assert(isRefused(datagram + "x"));
    std::string nextFormat = datagram;
    nextFormat[0] = LoadFormat + 1;
    cr_assert(isRefused(nextFormat));
    cr_assert(isRefused("[]"));
    cr_assert(isRefused(R"({"host":3})"));
    cr_assert(isRefused(R"({"host":"h","loads":[["i",{}]]})"));
    std::string longName("\x02\x00\x00\x00", 4);
    longName += "\xff\xff\xff\xff\x0f";
    cr_assert(isRefused(longName), "a name of 4 GiB");
    std::mt19937_64 random(1);
    for (int round = 0; round < 20000; ++round) {
        std::string damaged = datagram;
        for (int change = 0; change < 3; ++change) {
            damaged[random() % damaged.size()] = static_cast<char>(random());
        }
        try {
            decodeLoadMessage(damaged, Now);
        } catch (const Failure &failure) {
            cr_assert_eq(failure.error.kind, ErrorKind::BadRequest);
        }
    }
}
