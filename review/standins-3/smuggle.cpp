// A caller sends one request in a form that hides a second one; the worker must run none but the request that was sent.
//
//     smuggle encoded-word | spaced-name FOLDER RECORD
//
// FOLDER gets settings and logs. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
#include <algorithm>
#include <cstdlib>
#include <iostream>

#include "rig.h"

using namespace rig;

namespace
{

constexpr Milliseconds AnswerTime(4000);
// Between the head and the body of a request.
constexpr Milliseconds BodyDelay(500);
constexpr const char *SentId = "sent-1";
constexpr const char *HiddenId = "hidden-1";

Json::Value configuration()
{
    Json::Value route;
    route["Name"] = "r-desk";
    route["Host"] = "desk.example";
    route["PathPrefix"] = "/desk/";
    route["Kind"] = "unsafe";
    route["TimeoutMs"] = 3000;
    route["TargetLatencyMs"] = 300;
    route["Priority"] = 2;
    route["Service"] = "desk";
    route["MaxAttempts"] = 2;
    route["Public"] = false;
    route["Sticky"] = false;
    route["Resumable"] = false;
    Json::Value service;
    service["Name"] = "desk";
    service["HealthPath"] = "/health";
    service["ConnectionLimit"] = 96;
    service["ColdS"] = 0.0;
    service["ColdPerS"] = 0.0;
    Json::Value document;
    document["Version"] = 1;
    document["Routes"].append(route);
    document["Services"].append(service);
    document["Limits"]["HeaderBytes"] = 16384;
    document["Limits"]["BodyBytes"] = 4194304;
    document["Limits"]["HeaderTimeoutMs"] = 3000;
    document["Limits"]["IdleTimeoutMs"] = 15000;
    for (const char *name : {"t1", "t2"}) {
        Json::Value tenant;
        tenant["Name"] = name;
        tenant["ApiKeys"].append(std::string("key-of-") + name);
        document["Tenants"].append(tenant);
    }
    return document;
}

// Returns the head of the request.
std::string head(const std::string &moreHeaders)
{
    return std::string("POST /desk/1 HTTP/1.1\r\nHost: desk.example\r\nX-Pimentosail-Request-Id: ") + SentId
        + "\r\nX-Pimentosail-Request-Deadline: 3000\r\nAuthorization: Bearer key-of-t1\r\n" + moreHeaders + "\r\n";
}

// The header value is an encoded word (RFC 2047), which has no meaning in HTTP. Decoded, it ends the request and holds another one, of a
// tenant whose key the caller does not have.
std::vector<std::string> encodedWord(bool hasTrouble)
{
    const std::string hidden = std::string("a=0D=0AContent-Length:_0=0D=0A=0D=0APOST_/desk/2_HTTP/1.1=0D=0AHost:_desk.example=0D=0A")
        + "X-Pimentosail-Request-Id:_" + HiddenId + "=0D=0AX-Pimentosail-Tenant:_t2=0D=0AContent-Length:_0=0D=0A=0D=0A";
    return {head("X-Note: " + (hasTrouble ? "=?utf-8?q?" + hidden + "?=" : std::string("a note")) + "\r\nContent-Length: 5\r\n"), "hello"};
}

// The name of the header that tells the length is followed by a blank, which RFC 9112 demands to refuse (5.1). The body is a request.
std::vector<std::string> spacedName(bool hasTrouble)
{
    const std::string body = std::string("POST /desk/2 HTTP/1.1\r\nHost: desk.example\r\nX-Pimentosail-Request-Id: ") + HiddenId
        + "\r\nX-Pimentosail-Request-Deadline: 3000\r\nAuthorization: Bearer key-of-t1\r\nContent-Length: 0\r\n\r\n";
    return {head(std::string("Content-Length") + (hasTrouble ? " " : "") + ": " + std::to_string(body.size()) + "\r\n"), body};
}

int play(const std::string &form, const std::string &folder, const std::string &recordPath)
{
    // These outlive their threads, which end with the program.
    static Record record(recordPath);
    static StoreStandIn store("127.0.0.2", 0);
    static WorkerStandIn worker("127.0.0.50", 0, "i-1", record);
    store.put("op/config", configuration());
    store.put("servers/i-1", worker.registration("desk", "z1"));
    HostProcess host({.name = "front-1", .ip = "127.0.0.11", .storeAddress = store.address()}, folder);
    host.start();
    if (!host.awaitReady(Milliseconds(15000))) {
        record.write("the host is not ready");
        return 2;
    }
    const std::vector<std::string> parts = form == "encoded-word" ? encodedWord(hasTrouble()) : spacedName(hasTrouble());
    record.write("the caller sends the head " + parts[0]);
    record.write("and then the body " + parts[1]);
    const std::vector<Message> answers = call(host.callerAddress(), parts, 2, AnswerTime, BodyDelay);
    for (const Message &answer : answers) {
        record.write("the caller gets " + answer.startLine + " id=" + answer.value("x-pimentosail-request-id") + " body=" + answer.body);
    }
    int result = 0;
    for (const Run &run : worker.runs()) {
        if (run.id != SentId) {
            record.write("BROKEN: the worker ran " + run.target + " with id " + run.id + " of tenant " + run.tenants + ", which was smuggled inside " + SentId
                + " of tenant t1");
            result = 1;
        }
    }
    if (!hasTrouble() && worker.runs().size() != 1) {
        record.write("without the disruption, the request was not run once");
        return 2;
    }
    record.write(result == 0 ? "held" : "broken");
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.size() != 3 || (arguments[0] != "encoded-word" && arguments[0] != "spaced-name")) {
        std::cerr << "usage: smuggle encoded-word | spaced-name FOLDER RECORD\n";
        return 2;
    }
    std::_Exit(play(arguments[0], arguments[1], arguments[2]));
}
