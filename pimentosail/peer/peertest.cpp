#include <random>

#include <criterion/criterion.h>

#include "pimentosail/base/error.h"
#include "pimentosail/peer/heartbeat.h"
#include "pimentosail/peer/rpcserver.h"
#include "pimentosail/rpcclient/rpcclient.h"

using namespace pimentosail;

namespace
{

Heartbeat sampleHeartbeat(size_t targets)
{
    Heartbeat heartbeat;
    heartbeat.from = "entry-3";
    heartbeat.boot = "0123456789abcdef";
    heartbeat.generation = 41;
    heartbeat.echoAgeMilliseconds = 120;
    heartbeat.configRevision = 7;
    heartbeat.hasAuthority = true;
    for (size_t index = 0; index < targets; ++index) {
        heartbeat.targets.push_back({static_cast<uint32_t>(index * 7919), 3, 8, 24'000, 8000, index % 2 == 0, 90, 20'000});
    }
    heartbeat.links.push_back({99, 1, true, 250, -1});
    return heartbeat;
}

} // namespace

Test(heartbeat, a_datagram_survives_a_round_trip)
{
    const std::optional<Heartbeat> read = decodeHeartbeat(encodeHeartbeat(sampleHeartbeat(3)));
    cr_assert(read.has_value());
    cr_assert_eq(read->from, std::string("entry-3"));
    cr_assert_eq(read->generation, 41);
    cr_assert_eq(read->echoAgeMilliseconds, 120);
    cr_assert_eq(read->targets.size(), 3U);
    cr_assert_eq(read->targets[2].interactiveTokens, 8000U);
    cr_assert_eq(read->links[0].evictionAgeSeconds, -1);
    cr_assert(read->hasAuthority);
}

Test(heartbeat, damaged_datagrams_are_dropped)
{
    const std::string datagram = encodeHeartbeat(sampleHeartbeat(5));
    for (size_t length = 0; length < datagram.size(); ++length) {
        cr_assert_not(decodeHeartbeat(datagram.substr(0, length)).has_value());
    }
    std::mt19937 random(7);
    for (int index = 0; index < 2000; ++index) {
        std::string damaged = datagram;
        damaged[random() % damaged.size()] ^= static_cast<char>(1 + random() % 255);
        cr_assert_not(decodeHeartbeat(damaged).has_value());
    }
}

Test(heartbeat, three_targets_fit_the_control_budget_of_a_small_fleet)
{
    // 2000 bytes per second for six peers and two heartbeats per second leave 138 bytes after 28 bytes of UDP and IP headers.
    cr_assert_leq(encodeHeartbeat(sampleHeartbeat(3)).size(), 138U);
}

Test(rpc, results_and_errors_reach_the_caller)
{
    RpcServer server({{"add",
                          [](const Json::Value &arguments) {
                              Json::Value value;
                              value["sum"] = arguments["a"].asInt() + arguments["b"].asInt();
                              return value;
                          }},
        {"fail", [](const Json::Value &) -> Json::Value {
             throw Failure(ErrorKind::NotOwner, "not mine");
         }}});
    const RpcTransport transport = [&server](const std::string &message) {
        return server.handle(message);
    };
    Json::Value parameters;
    parameters["arguments"]["a"] = 2;
    parameters["arguments"]["b"] = 3;
    cr_assert_eq(callRpc(transport, "add", parameters)["sum"].asInt(), 5);
    try {
        callRpc(transport, "fail", parameters);
        cr_assert_fail("no error");
    } catch (const RpcError &error) {
        cr_assert_eq(error.data["kind"].asString(), std::string("not_owner"));
        cr_assert(error.data["not_run"].asBool());
    }
    cr_assert_throw(callRpc(transport, "unknown", parameters), RpcError);
}
