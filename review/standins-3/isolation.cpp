// A tenant becomes isolated by a new version of the configuration; what it had cached before must not serve other tenants any more.
//
//     isolation FOLDER RECORD
//
// FOLDER gets settings and logs. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
#include <iostream>
#include <sstream>

#include "rig.h"

using namespace rig;

namespace
{

constexpr Milliseconds AnswerTime(4000);
// ConfigApplyMs and half a second.
constexpr Milliseconds ApplyTime(2500);

Json::Value configuration(int version, bool isIsolated)
{
    Json::Value route;
    route["Name"] = "r-call";
    route["Host"] = "frost.example";
    route["PathPrefix"] = "/call/";
    route["Kind"] = "streaming";
    route["TimeoutMs"] = 4000;
    route["TargetLatencyMs"] = 500;
    route["Priority"] = 1;
    route["Service"] = "dispatcher";
    route["MaxAttempts"] = 2;
    route["Public"] = false;
    route["Sticky"] = true;
    route["Resumable"] = true;
    route["TargetGapMs"] = 400;
    Json::Value service;
    service["Name"] = "dispatcher";
    service["HealthPath"] = "/health";
    service["ConnectionLimit"] = 610;
    service["ColdS"] = 0.0;
    service["ColdPerS"] = 0.0;
    service["Engine"]["Slots"] = 128;
    service["Engine"]["KvCapacityTokens"] = 65752;
    service["Engine"]["KvTokenBytes"] = 18432;
    service["Engine"]["BandwidthMbps"] = 180000.0;
    service["Engine"]["Models"][0]["Name"] = "m";
    Json::Value document;
    document["Version"] = version;
    document["Routes"].append(route);
    document["Services"].append(service);
    for (const char *name : {"t1", "t2"}) {
        Json::Value tenant;
        tenant["Name"] = name;
        tenant["ApiKeys"].append(std::string("key-of-") + name);
        tenant["Isolated"] = isIsolated && std::string(name) == "t1";
        document["Tenants"].append(tenant);
    }
    return document;
}

// A model worker that keeps the parts of prompts by salt, and records which tenant made each.
class ModelWorker
{
public:
    ModelWorker(const std::string &ip, std::string workerId, Record &runRecord)
        : id(std::move(workerId))
        , record(runRecord)
        , listener(ip, 0, [this](Connection &connection) { this->serve(connection); })
    {
    }

    Json::Value registration() const
    {
        Json::Value value;
        value["Service"] = "dispatcher";
        value["Address"] = this->listener.address();
        value["Zone"] = "z1";
        value["Version"] = "v1";
        value["Slots"] = 128;
        value["State"] = "ready";
        value["ColdRemainingMs"] = 0;
        value["Stage"] = "both";
        value["Models"][0]["Name"] = "m";
        value["Models"][0]["Version"] = 1;
        value["Models"][0]["Adapters"] = Json::Value(Json::arrayValue);
        value["Sequence"] = 1;
        value["born"] = Json::Int64(1700000000000);
        return value;
    }

    // The uses of parts that another tenant had made: the tenant that used one, and the one that made it.
    std::vector<std::pair<std::string, std::string>> foreignUses() const
    {
        const std::lock_guard lock(this->mutex);
        return this->uses;
    }

    int64_t runs() const
    {
        const std::lock_guard lock(this->mutex);
        return this->runCount;
    }

private:
    void run(const Message &request)
    {
        const std::lock_guard lock(this->mutex);
        ++this->runCount;
        const std::string tenant = request.value("x-pimentosail-tenant");
        const std::string salt = request.value("x-pimentosail-cache-salt");
        std::string text = "worker " + this->id + " runs " + request.value("x-pimentosail-request-id") + " of " + tenant + " under salt " + salt;
        std::istringstream parts(request.value("x-pimentosail-prompt-prefix"));
        std::string part;
        bool isKept = true;
        while (std::getline(parts, part, ',')) {
            const auto found = this->kept.find(salt + " " + part);
            isKept = isKept && found != this->kept.end();
            if (!isKept) {
                this->kept[salt + " " + part] = tenant;
                text += ", reads " + part;
                continue;
            }
            text += ", uses " + part + " made by " + found->second;
            if (found->second != tenant) {
                this->uses.emplace_back(tenant, found->second);
            }
        }
        this->record.write(text);
    }

    void serve(Connection &connection)
    {
        while (const std::optional<Message> request = readMessage(connection, Milliseconds(60000))) {
            const std::string idHeader = "X-Pimentosail-Request-Id: " + request->value("x-pimentosail-request-id") + "\r\n";
            const std::string instance = request->value("x-pimentosail-expected-instance");
            if (request->target() == "/-/report") {
                const std::string body = R"({"Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"Sequence":0,"Waiting":0,)"
                                         R"("Running":0,"KvUsed":0,"KvTotal":65752,"Handles":0})";
                connection.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
                continue;
            }
            if (!request->fault.empty() || (!instance.empty() && instance != this->id)) {
                connection.send("HTTP/1.1 421 Misdirected Request\r\n" + idHeader + "Content-Length: 0\r\n\r\n");
                continue;
            }
            this->run(*request);
            connection.send("HTTP/1.1 200 OK\r\n" + idHeader
                + "X-Pimentosail-Response-Signature: sig\r\nX-Pimentosail-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n13\r\nid: 1\ndata: first\n\n\r\n0\r\n\r\n");
        }
    }

    const std::string id;
    Record &record;
    mutable std::mutex mutex;
    std::map<std::string, std::string> kept;
    std::vector<std::pair<std::string, std::string>> uses;
    int64_t runCount = 0;
    Listener listener;
};

int play(const std::string &folder, const std::string &recordPath)
{
    Record record(recordPath);
    StoreStandIn store("127.0.0.2", 0);
    ModelWorker worker("127.0.0.50", "i-1", record);
    store.put("op/config", configuration(1, false));
    Json::Value weights;
    weights["Model"] = "m";
    weights["Version"] = 1;
    store.put("op/version/m", weights);
    store.put("servers/i-1", worker.registration());
    HostProcess host({.name = "front-1", .ip = "127.0.0.11", .storeAddress = store.address()}, folder);
    host.start();
    if (!host.awaitReady(Milliseconds(15000))) {
        record.write("the host is not ready");
        return 2;
    }
    int sent = 0;
    const auto ask = [&](const std::string &tenant, const std::string &lastPart) {
        const std::string id = tenant + "-" + std::to_string(++sent);
        const std::string bytes = "POST /call/1 HTTP/1.1\r\nHost: frost.example\r\nX-Pimentosail-Request-Id: " + id
            + "\r\nX-Pimentosail-Request-Deadline: 4000\r\nAuthorization: Bearer key-of-" + tenant
            + "\r\nX-Pimentosail-Model: m\r\nX-Pimentosail-Token-Usage: 1000,8\r\nX-Pimentosail-Prompt-Prefix: 5c1e07a2:800," + lastPart
            + ":200\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        const std::vector<Message> answers = call(host.callerAddress(), {bytes}, 1, AnswerTime);
        record.write(id + ": " + (answers.empty() ? "no answer" : answers.front().startLine));
    };
    ask("t1", "a0000001");
    store.put("op/config", configuration(2, hasTrouble()));
    record.write(std::string("configuration 2 is acknowledged") + (hasTrouble() ? "; t1 is isolated in it" : ""));
    sleepFor(ApplyTime);
    ask("t1", "a0000002");
    ask("t2", "b0000001");
    if (worker.runs() != 3) {
        record.write("not all requests were run");
        return 2;
    }
    int result = 0;
    for (const auto &[user, maker] : worker.foreignUses()) {
        if (hasTrouble() && (user == "t1" || maker == "t1")) {
            record.write("BROKEN: a request of " + user + " used what a request of " + maker + " had made, while t1 is isolated");
            result = 1;
        }
    }
    record.write(result == 0 ? "held" : "broken");
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: isolation FOLDER RECORD\n";
        return 2;
    }
    return play(argv[1], argv[2]);
}
