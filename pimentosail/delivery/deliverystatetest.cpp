#include <criterion/criterion.h>

#include <cmath>
#include <limits>

#include "pimentosail/delivery/deliverystate.h"

using namespace pimentosail;

namespace
{

DeliveryState makeState()
{
    return {
        .order = *DeliveryOrder::make("chat", "v2", 12, {1, 7}),
        .phase = DeliveryPhase::Watching,
        .share = 0.018,
        .chosenTargets = {"t4", "t1"},
        .oldVersions = {"v0", "v1"},
        .withdrawnVersions = {"v1b"},
        .elapsed = Milliseconds(4200),
        .phaseBegan = Milliseconds(300),
        .oldRuns = 17,
        .isRejected = true,
        .reason = "10 targets of \"v2\"",
        .evidence = {1, 2, 3, 4, 5, 6},
    };
}

std::string errorOf(const std::string &service, const std::string &version, double seconds)
{
    const Result<DeliveryOrder> order = DeliveryOrder::make(service, version, seconds, {});
    return order ? "" : order.error().message;
}

void assertRefused(const std::string &value, const std::string &named)
{
    const Result<DeliveryState> state = decodeDeliveryState(value);
    cr_assert_not(state.has_value(), "%s", value.c_str());
    cr_assert_eq(state.error().kind, ErrorKind::BadRequest);
    cr_assert(state.error().message.find(named) != std::string::npos, "%s", state.error().message.c_str());
}

} // namespace

// Failure: a faulty order is carried out, or its error does not say which field is at fault.
Test(deliverystate, a_faulty_order_is_refused_with_the_name_of_the_field)
{
    cr_assert_eq(errorOf("chat", "v2", 12), "");
    cr_assert_eq(errorOf("chat", "v2", 86400), "");
    cr_assert(errorOf("", "v2", 12).starts_with("service:"));
    cr_assert(errorOf("chat", "", 12).starts_with("version:"));
    cr_assert(errorOf("chat", std::string(257, 'v'), 12).starts_with("version:"));
    for (const double seconds : {0.0, -1.0, 86401.0, 1e300, 1e-9, std::nan(""), std::numeric_limits<double>::infinity()}) {
        cr_assert(errorOf("chat", "v2", seconds).starts_with("duration:"), "%g", seconds);
    }
}

// Failure: a successor continues from another state than its predecessor wrote.
Test(deliverystate, a_decoded_state_is_the_encoded_one)
{
    for (const DeliveryPhase phase :
        {DeliveryPhase::Waiting, DeliveryPhase::Watching, DeliveryPhase::Switching, DeliveryPhase::Completed, DeliveryPhase::RolledBack}) {
        DeliveryState state = makeState();
        state.phase = phase;
        const Result<DeliveryState> decoded = decodeDeliveryState(encodeDeliveryState(state));
        cr_assert(decoded.has_value());
        cr_assert(*decoded == state);
        cr_assert_eq(deliveryPhaseFromName(deliveryPhaseName(phase)).value(), phase);
    }
}

// Failure: a malformed value is taken for a state, or stops the host.
Test(deliverystate, a_malformed_state_is_refused_with_the_name_of_the_field)
{
    assertRefused("", "JSON");
    assertRefused("[1]", "object");
    assertRefused(R"({"service":"chat","version":"v2","phase":"running"})", "phase");
    assertRefused(R"({"version":"v2","phase":"waiting"})", "service");
    assertRefused(R"({"service":"chat","phase":"waiting"})", "version");
    assertRefused(R"({"service":"chat","version":"v2","phase":"watching","share":2})", "share");
    assertRefused(R"({"service":"chat","version":"v2","phase":"watching","elapsed_ms":-1})", "elapsed_ms");
    assertRefused(R"({"service":"chat","version":"v2","phase":"watching","elapsed_ms":9000000000000000})", "elapsed_ms");
    assertRefused(R"({"service":"chat","version":"v2","phase":"watching","chosen_targets":[1]})", "chosen_targets");
    assertRefused(R"({"service":"chat","version":"v2","phase":"watching","evidence":[]})", "evidence");
    assertRefused(R"({"service":"chat","version":"v2","phase":"watching","reason":7})", "reason");
}

// Failure: a successor whose clock started at another time misses the deadline.
Test(deliverystate, the_time_since_the_order_continues_on_another_host)
{
    const DeliveryState state = makeState();
    cr_assert_eq(elapsedSinceOrder(state, Milliseconds(1000), std::nullopt), Duration(Milliseconds(5200)));
    cr_assert_eq(elapsedSinceOrder(state, Milliseconds(1000), Milliseconds(5900)), Duration(Milliseconds(5900)));
    cr_assert_eq(elapsedSinceOrder(state, Milliseconds(-1000), Milliseconds(900)), Duration(Milliseconds(4200)));
}
