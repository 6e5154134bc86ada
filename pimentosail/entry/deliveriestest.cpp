// Tests of what a host makes of orders and states: also of those that a restored store lacks, and of outcomes without a decider.
#include <criterion/criterion.h>

#include "pimentosail/entry/deliveries.h"

using namespace pimentosail;

namespace
{

DeliveryOrder makeOrder(int64_t revision, const std::string &version = "v2", int64_t era = 0)
{
    return {"chat", version, std::chrono::seconds(12), {era, revision}};
}

StoredDeliveryState makeState(const DeliveryOrder &order, DeliveryPhase phase, const StorePosition &position)
{
    DeliveryState state{.order = order, .phase = phase};
    state.share = phase == DeliveryPhase::Watching ? 0.1 : 0;
    state.chosenTargets = {"n1"};
    return {state, position};
}

class Fixture
{
public:
    explicit Fixture(bool isEnabled = true)
        : deliveries(this->clock, this->log, this->metrics, isEnabled)
    {
    }

    // Returns true if a request may go to the target `id`.
    bool mayUse(const std::string &version, const std::string &id, bool isDrawn = false)
    {
        const std::shared_ptr<const DeliveryView> view = this->deliveries.view("chat", this->clock.now());
        return !view || checkDelivery(*view, version, id, isDrawn).isAllowed();
    }

    Clock clock;
    EventLog log{this->clock, "front-1", [](const std::string & /*line*/) {
                 }};
    Metrics metrics;
    Deliveries deliveries;
};

} // namespace

// Guards against requests to a new version between its order and the decider's first state.
Test(deliveries, a_version_gets_nothing_before_there_is_a_state)
{
    Fixture fixture;
    cr_assert_not(fixture.deliveries.isActive());
    cr_assert(fixture.mayUse("v2", "n1"), "without an order, all versions are used");
    fixture.deliveries.setOrders({{makeOrder(5), ""}}, false);
    cr_assert(fixture.deliveries.isActive() && fixture.deliveries.isCounting());
    cr_assert_not(fixture.mayUse("v2", "n1", true));
    cr_assert(fixture.mayUse("v1", "o1"));
    fixture.deliveries.setStates({makeState(makeOrder(5), DeliveryPhase::Watching, {0, 6})}, false);
    cr_assert(fixture.mayUse("v2", "n1", true));
    cr_assert_not(fixture.mayUse("v2", "n1", false));
    fixture.deliveries.setOrders({}, false);
    cr_assert_not(fixture.mayUse("v2", "n1", true), "an order that was removed is rolled back");
    fixture.deliveries.setStates({}, false);
    cr_assert_not(fixture.deliveries.isActive());
}

// Guards against a version that gets traffic because another field of its order is wrong.
Test(deliveries, the_version_of_an_invalid_order_gets_nothing)
{
    Fixture fixture;
    fixture.deliveries.setOrders({{makeOrder(5), "field 'DurationS' must be a number"}}, false);
    cr_assert_not(fixture.mayUse("v2", "n1", true));
    cr_assert(fixture.mayUse("v1", "o1"));
    cr_assert_not(fixture.deliveries.isCounting());
    fixture.deliveries.setOrders({{makeOrder(6, ""), "field 'To' must be a string"}}, false);
    cr_assert(fixture.mayUse("", "t1"), "an order without a version concerns no target");
}

// Guards against requests to targets that have stopped, because a restored store shows an earlier phase or no delivery at all.
Test(deliveries, a_restored_store_brings_no_earlier_phase_back)
{
    Fixture fixture;
    fixture.deliveries.setOrders({{makeOrder(5), ""}}, false);
    fixture.deliveries.setStates({makeState(makeOrder(5), DeliveryPhase::Completed, {0, 9})}, false);
    cr_assert_not(fixture.mayUse("v1", "o1"));
    // The copy has the state of another time; the order was read anew under the next era.
    fixture.deliveries.setOrders({{makeOrder(5, "v2", 1), ""}}, true);
    fixture.deliveries.setStates({makeState(makeOrder(5), DeliveryPhase::Watching, {1, 6})}, true);
    cr_assert_not(fixture.mayUse("v1", "o1"));
    cr_assert(fixture.deliveries.knowledge("chat").isRewriteDue);
    cr_assert(fixture.deliveries.knowledge("chat").itemPosition == (StorePosition{1, 6}));
    // The copy is older than the order.
    fixture.deliveries.setOrders({}, true);
    fixture.deliveries.setStates({}, true);
    cr_assert_not(fixture.mayUse("v1", "o1"));
    cr_assert(fixture.deliveries.knowledge("chat").isRewriteDue && fixture.deliveries.knowledge("chat").mayLackOrder);
    fixture.deliveries.setOrders({}, false);
    fixture.deliveries.setStates({}, false);
    cr_assert(fixture.mayUse("v1", "o1"), "what the store lacks after the time for rewriting was removed");
}

// Guards against a host that goes on sending to a bad version until the decider has written so.
Test(deliveries, a_host_stops_a_bad_version_by_the_sums_of_all_hosts)
{
    Fixture fixture;
    const DeliveryOrder order = makeOrder(5);
    fixture.deliveries.setOrders({{order, ""}}, false);
    fixture.deliveries.setStates({makeState(order, DeliveryPhase::Watching, {0, 6})}, false);
    for (int answer = 0; answer < 200; ++answer) {
        fixture.deliveries.outcomes.recordAnswer({"chat", "v1", "look"}, {.isFailure = false, .firstEvent = Milliseconds(10)});
    }
    fixture.deliveries.refresh(fixture.clock.now());
    cr_assert(fixture.mayUse("v2", "n1", true));
    // The bad answers are those of another host.
    fixture.deliveries.outcomes.recordReport(OutcomeSource::Direct, "front-2", 7, 1,
        {{{"chat", "v2", "look"}, {.answers = 50, .failures = 40, .slow = 0, .firstEvents = Milliseconds(100)}, order.position}});
    fixture.deliveries.refresh(fixture.clock.now());
    cr_assert_not(fixture.mayUse("v2", "n1", true));
    cr_assert(fixture.mayUse("v1", "o1"));
    const std::string reason = fixture.deliveries.knowledge("chat").evidence.reason;
    cr_assert_eq(reason, "route look: 40 failures in 50 answers, old versions 0.0 % of 200", "%s", reason.c_str());
    fixture.deliveries.setStates({makeState(order, DeliveryPhase::RolledBack, {0, 8})}, false);
    cr_assert_not(fixture.mayUse("v2", "n1", true));
    // The same version ordered again is judged anew.
    fixture.deliveries.setOrders({{makeOrder(20), ""}}, false);
    fixture.deliveries.setStates({makeState(makeOrder(20), DeliveryPhase::Watching, {0, 21})}, false);
    cr_assert(fixture.mayUse("v2", "n1", true));
}

// Guards against a host that cannot learn of bad answers and goes on sending to a version that is watched.
Test(deliveries, a_host_that_hears_nothing_sends_nothing_to_a_watched_version)
{
    Fixture fixture;
    fixture.deliveries.setOrders({{makeOrder(5), ""}}, false);
    fixture.deliveries.setStates({makeState(makeOrder(5), DeliveryPhase::Watching, {0, 6})}, false);
    const Time longAgo = fixture.clock.now() - IsolationLimit - Milliseconds(1);
    cr_assert(fixture.deliveries.view("chat", longAgo)->isIsolated);
    fixture.deliveries.recordOtherHost();
    cr_assert_not(fixture.deliveries.view("chat", longAgo)->isIsolated);
}

// Guards against orders that have an effect where the settings do not ask for it.
Test(deliveries, orders_have_no_effect_where_delivery_is_off)
{
    Fixture fixture(false);
    fixture.deliveries.setOrders({{makeOrder(5), ""}}, false);
    fixture.deliveries.setStates({makeState(makeOrder(5), DeliveryPhase::Completed, {0, 9})}, false);
    cr_assert_not(fixture.deliveries.isActive());
    cr_assert(fixture.mayUse("v1", "o1") && fixture.mayUse("v2", "n1"));
}
