#include <criterion/criterion.h>

#include "pimentosail/sendgate/sendgate.h"

using namespace pimentosail;

namespace
{

struct Fixture
{
    Fixture()
    {
        this->clock.pause();
        this->clock.advance(std::chrono::seconds(100));
        this->registration.id = "a";
        this->registration.service = "loom";
        this->registration.address = "10.0.0.1:80";
        this->registration.zone = "z1";
        this->registration.startedAt = 1000;
        this->registration.revision = 1;
        this->directory.apply({this->registration}, true, Time(0));
        this->target = this->directory.find("a");
    }

    SendObstacle obstacle(SendKind kind, const TargetShares &shares = {}) const
    {
        return this->gate.check(*this->target, kind, shares).obstacle;
    }

    void notice(NoticeKind kind, Duration rest = Duration(0))
    {
        this->notices.recordAnswer({"a", 1000, kind, this->clock.now(), rest});
    }

    Clock clock;
    TargetDirectory directory{this->clock};
    TargetNoticeTable notices;
    TargetSendLimiter limiter{this->clock};
    SendGate gate{this->clock, this->directory, this->notices, this->limiter};
    Registration registration;
    TargetPointer target;
};

} // namespace

// Guards against new work at a target that is leaving by its own word: a request that is sent again, a stream that is resumed and a
// load order ask the same question as a first attempt.
Test(sendgate, a_target_that_is_leaving_gets_neither_requests_nor_orders)
{
    Fixture fixture;
    cr_assert_eq(fixture.obstacle(SendKind::Request), SendObstacle::None);
    fixture.notice(NoticeKind::Leaving);
    cr_assert_eq(fixture.obstacle(SendKind::Request), SendObstacle::Leaving);
    cr_assert_eq(fixture.obstacle(SendKind::Order), SendObstacle::Leaving);
    cr_assert_eq(fixture.obstacle(SendKind::Probe), SendObstacle::None);
    cr_assert_eq(fixture.gate.check(*fixture.target, SendKind::Request).until, Time::max());
    cr_assert_not(fixture.gate.acquire(*fixture.target, {}).isAllowed());
    fixture.registration.startedAt = 2000;
    fixture.registration.revision = 2;
    fixture.directory.apply({fixture.registration}, true, Time(0));
    cr_assert_eq(fixture.obstacle(SendKind::Request), SendObstacle::Removed, "a request that was planned for the former incarnation");
    fixture.target = fixture.directory.find("a");
    cr_assert_eq(fixture.obstacle(SendKind::Request), SendObstacle::None, "the next incarnation starts free");
}

Test(sendgate, what_the_store_says_of_a_target_holds)
{
    Fixture fixture;
    fixture.directory.setEvacuated({"z1"});
    cr_assert_eq(fixture.obstacle(SendKind::Request), SendObstacle::Evacuated);
    cr_assert_eq(fixture.gate.check(*fixture.target, SendKind::Request).until, Time(0), "operators may take the zone back at any time");
    cr_assert_eq(fixture.obstacle(SendKind::Order), SendObstacle::None);
    fixture.directory.setEvacuated({});
    fixture.registration.isDraining = true;
    fixture.registration.revision = 2;
    fixture.directory.apply({fixture.registration}, true, Time(0));
    cr_assert_eq(fixture.obstacle(SendKind::Request), SendObstacle::Draining);
    cr_assert_eq(fixture.obstacle(SendKind::Order), SendObstacle::Draining);
    fixture.directory.apply({}, true, Time(0));
    cr_assert_eq(fixture.obstacle(SendKind::Probe), SendObstacle::Removed);
}

// Guards against requests at a target within the time for which it wants none of this host.
Test(sendgate, a_resting_target_gets_requests_again_when_its_time_has_passed)
{
    Fixture fixture;
    fixture.notice(NoticeKind::Resting, std::chrono::seconds(4));
    cr_assert_eq(fixture.obstacle(SendKind::Request), SendObstacle::Resting);
    cr_assert_eq(fixture.gate.check(*fixture.target, SendKind::Request).until, Time(fixture.clock.now() + std::chrono::seconds(4)));
    cr_assert_eq(fixture.obstacle(SendKind::Order), SendObstacle::Resting);
    fixture.clock.advance(Milliseconds(2001));
    cr_assert_eq(fixture.obstacle(SendKind::Order), SendObstacle::None, "the weights have a time limit of their own");
    fixture.clock.advance(Milliseconds(1998));
    cr_assert_eq(fixture.obstacle(SendKind::Request), SendObstacle::Resting);
    fixture.clock.advance(Milliseconds(1));
    cr_assert_eq(fixture.obstacle(SendKind::Request), SendObstacle::None);
}

Test(sendgate, shares_and_backoff_hold_for_requests)
{
    Fixture fixture;
    const TargetShares shares{SendShare{1, std::chrono::seconds(1)}, SendShare{2, std::chrono::seconds(4)}};
    cr_assert(fixture.gate.acquire(*fixture.target, shares).isAllowed());
    cr_assert_eq(fixture.obstacle(SendKind::Request, shares), SendObstacle::ColdShare);
    cr_assert_eq(fixture.obstacle(SendKind::Order, shares), SendObstacle::None);
    fixture.clock.advance(std::chrono::seconds(1));
    cr_assert(fixture.gate.acquire(*fixture.target, shares).isAllowed());
    fixture.clock.advance(std::chrono::seconds(1));
    cr_assert_eq(fixture.obstacle(SendKind::Request, shares), SendObstacle::RateShare);
    cr_assert_not(fixture.gate.acquire(*fixture.target, shares).isAllowed());
    fixture.target->avoidUntil.store((fixture.clock.now() + Milliseconds(100)).count());
    const SendDecision decision = fixture.gate.check(*fixture.target, SendKind::Request);
    cr_assert_eq(decision.obstacle, SendObstacle::Backoff);
    cr_assert_not(decision.endsAtKnownTime(), "a load of weights may end sooner than expected");
}

// Load: all targets of a service rest. Guards against callers that all return when the first of many targets takes work again.
Test(sendgate, callers_return_spread_over_the_ends_of_the_rests)
{
    const std::vector<Time> ends{Milliseconds(1000), Milliseconds(1200), Milliseconds(1400), Milliseconds(9000)};
    std::map<Time, int> returns;
    for (uint64_t draw = 0; draw < 300; ++draw) {
        ++returns[returnTime(ends, Milliseconds(2000), draw)];
    }
    cr_assert_eq(returns.size(), 3);
    cr_assert_eq(returns[Milliseconds(1400)], 100);
    cr_assert_eq(returnTime(ends, Milliseconds(500), 7), Time(Milliseconds(1000)), "the earliest if all are too late for the caller");
}
