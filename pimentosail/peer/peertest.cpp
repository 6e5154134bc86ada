#include <random>
#include <thread>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <criterion/criterion.h>

#include "pimentosail/base/error.h"
#include "pimentosail/net/httpclient.h"
#include "pimentosail/peer/heartbeat.h"
#include "pimentosail/peer/peerclient.h"
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

// Guards against the answer to an earlier call that is taken for the present one: the library gives each call the id 1.
Test(rpc, a_call_takes_only_the_answer_with_its_id)
{
    RpcServer server({{"echo", [](const Json::Value &arguments) {
                           return arguments;
                       }}});
    std::string first;
    const RpcTransport transport = [&server, &first](const std::string &message) {
        const std::string answer = server.handle(message);
        first = first.empty() ? answer : first;
        return first;
    };
    Json::Value parameters;
    parameters["arguments"]["a"] = 1;
    cr_assert_eq(callRpc(transport, "echo", parameters)["a"].asInt(), 1);
    parameters["arguments"]["a"] = 2;
    cr_assert_throw(callRpc(transport, "echo", parameters), RpcError);
}

// Guards against hosts whose calls to another host all get the answer to the call before, once one answer too many came on their connection.
Test(rpc, an_answer_to_an_earlier_call_ends_the_connection_between_hosts)
{
    RpcServer server({{"echo", [](const Json::Value &arguments) {
                           return arguments;
                       }}});
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1:18951"));
    std::thread peer([&] {
        std::string last;
        for (const int requests : {2, 1}) {
            Poco::Net::StreamSocket socket = listener.acceptConnection();
            char buffer[4096];
            for (int request = 0; request < requests; ++request) {
                const std::string text(buffer, static_cast<size_t>(socket.receiveBytes(buffer, sizeof(buffer))));
                const std::string body = server.handle(text.substr(text.find("\r\n\r\n") + 4));
                last = request == 0 ? "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body : last;
                socket.sendBytes(last.data(), static_cast<int>(last.size()));
            }
            socket.receiveBytes(buffer, sizeof(buffer));
        }
    });
    HttpClient http;
    PeerClient client(http, [](const std::string &, size_t) {});
    for (int call = 1; call <= 2; ++call) {
        Json::Value arguments;
        arguments["a"] = call;
        cr_expect_eq(client.call("127.0.0.1:18951", "echo", arguments, Milliseconds(1000))["a"].asInt(), call);
    }
    peer.join();
}
