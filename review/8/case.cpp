// A cache store restarts while one machine is frozen. After the thaw, does that machine have parts fetched that are being written again?
#include "../standins-2/standins.h"

using namespace standins;

namespace
{

constexpr const char *Host = "pule25.example";
constexpr const char *Key = "nu6wsjnbanfqasnmgkcu";
constexpr const char *Model = "daka510000";
// Figures of the site.
constexpr int64_t PartTokens = 7520;
constexpr int64_t OwnTokens = 1670;
constexpr double TokenBytes = 18432;
constexpr double StoreLinkBits = 58e9;
constexpr double OtherZoneFactor = 2;
constexpr double EventLag = 0.06;
constexpr double FirstMs = 6;
constexpr double PrefillTokensPerMs = 112;
// A transfer that would wait for longer is not started.
constexpr double MaxTransferWait = 2;
// Two one-way delays between zones for the handshake and two for the call.
constexpr double RoundTrips = 4 * 0.0009;
constexpr int Workers = 4;
constexpr int Parts = 20;

std::string partName(int number)
{
    char text[16];
    std::snprintf(text, sizeof(text), "5c1e%04x", number);
    return text;
}

// A managed cache store. Over its link, in each direction, transfers run one after another.
class CacheStore
{
public:
    CacheStore(const std::string &ip, int port)
        : server(ip, port, [this](const Message &request, Connection &connection) { return this->serve(request, connection); })
    {
    }

    std::string address() const
    {
        return this->server.address();
    }

    // A worker has read a part and begins to save it: its space is reserved at once, and it is complete when the link has carried it.
    void save(const std::string &salt, const std::string &part, int64_t tokens)
    {
        const std::lock_guard lock(this->mutex);
        if (this->isDown || this->parts.contains({salt, part})) {
            return;
        }
        const double time = transferTime(tokens);
        this->linkFree = std::max(this->linkFree, now() + FirstMs / 1000) + time;
        this->parts[{salt, part}] = {tokens, this->linkFree};
        this->changes.push_back({this->linkFree + EventLag, salt, part, tokens});
        Record::get().line("store: epoch %d, part %s reserved, complete at %.3f", this->epoch, part.c_str(), this->linkFree);
    }

    // A worker fetches a part. The transfer begins when those before it have ended, and the part is looked up then. Returns "miss", "whole" or
    // "being written" after the transfer.
    std::string fetch(const std::string &salt, const std::string &part, int64_t tokens)
    {
        double startsAt = 0;
        double endsAt = 0;
        {
            const std::lock_guard lock(this->mutex);
            startsAt = std::max(now() + FirstMs / 1000, this->fetchLinkFree);
            if (startsAt - now() > MaxTransferWait || !this->parts.contains({salt, part})) {
                return "miss";
            }
            endsAt = startsAt + transferTime(tokens);
            this->fetchLinkFree = endsAt;
        }
        sleepUntil(startsAt);
        std::string outcome = "miss";
        {
            const std::lock_guard lock(this->mutex);
            const auto found = this->parts.find({salt, part});
            if (!this->isDown && found != this->parts.end()) {
                outcome = now() < found->second.completeAt ? "being written" : "whole";
            }
        }
        sleepUntil(endsAt);
        return outcome;
    }

    void crash()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->isDown = true;
            this->parts.clear();
            this->changes.clear();
            this->linkFree = 0;
            this->fetchLinkFree = 0;
            ++this->epoch;
        }
        this->server.stop();
        Record::get().line("store: down");
    }

    void comeBack()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->isDown = false;
        }
        this->server.start();
        Record::get().line("store: back and empty, epoch %d", this->epoch);
    }

private:
    static double transferTime(int64_t tokens)
    {
        return static_cast<double>(tokens) * TokenBytes * 8 / StoreLinkBits * OtherZoneFactor;
    }

    struct Part
    {
        int64_t tokens = 0;
        double completeAt = 0;
    };
    struct Change
    {
        double toldAt = 0;
        std::string salt;
        std::string part;
        int64_t tokens = 0;
    };

    bool serve(const Message &request, Connection &connection)
    {
        if (request.path() != "/-/kv-events" && request.path() != "/-/kv-list") {
            return connection.send(answerText(request.path() == "/-/kv-free" ? 200 : 404, {{"Content-Type", "application/json"}}, "{}"));
        }
        sleepFor(RoundTrips);
        const size_t since = std::strtoul(request.query("Since").c_str(), nullptr, 10);
        const double end = now() + std::atof(request.header("Wait-Ms").c_str()) / 1000;
        while (!this->server.stopping) {
            std::unique_lock lock(this->mutex);
            size_t told = 0;
            while (told < this->changes.size() && this->changes[told].toldAt <= now()) {
                ++told;
            }
            // A position that this epoch has not reached is answered at once.
            if (request.path() == "/-/kv-events" && told == since && now() < end) {
                lock.unlock();
                sleepFor(0.005);
                continue;
            }
            Json::Value value;
            value["Epoch"] = this->epoch;
            value["NextPageToken"] = Json::Int64(told);
            value["Lost"] = false;
            value["Events"] = Json::Value(Json::arrayValue);
            for (size_t index = since; index < told; ++index) {
                Json::Value event(Json::arrayValue);
                event.append(Json::Int64(index + 1));
                event.append("+");
                event.append(this->changes[index].salt);
                event.append(this->changes[index].part);
                event.append(Json::Int64(this->changes[index].tokens));
                event.append(Model);
                value["Events"].append(event);
            }
            lock.unlock();
            return connection.send(answerText(200, {{"Content-Type", "application/json"}}, jsonText(value)));
        }
        return false;
    }

    std::mutex mutex;
    std::map<std::pair<std::string, std::string>, Part> parts;
    std::vector<Change> changes;
    int epoch = 77120;
    bool isDown = false;
    double linkFree = 0;
    double fetchLinkFree = 0;
    Server server;
};

// A worker reads prompts one after another.
class Prefill
{
public:
    void read(int64_t tokens)
    {
        double end = 0;
        {
            const std::lock_guard lock(this->mutex);
            this->free = std::max(now(), this->free) + static_cast<double>(tokens) / PrefillTokensPerMs / 1000;
            end = this->free;
        }
        sleepUntil(end);
    }

private:
    std::mutex mutex;
    double free = 0;
};

struct Totals
{
    std::atomic<int> runs{0};
    std::atomic<int> wholeFetches{0};
    std::atomic<int> unfinishedFetches{0};
    std::atomic<int> saves{0};
};

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> result;
    std::istringstream stream(text);
    std::string entry;
    while (std::getline(stream, entry, ',')) {
        result.push_back(entry);
    }
    return result;
}

// A worker: fetches and saves the parts that it is told to, and answers with a short stream.
bool serveWorker(const Message &request, Connection &connection, CacheStore &store, Totals &totals, Prefill &prefill)
{
    if (request.path() == "/-/report") {
        return connection.send(answerText(200, {{"Content-Type", "application/json"}},
            std::string(R"({"Stage":"both","Models":[{"Name":")") + Model
                + R"(","Version":1,"Adapters":[]}],"Busy":false,"Sequence":0,"Waiting":0,"Running":0,"KvUsed":0,"KvTotal":65752,"Handles":0})"));
    }
    const std::string id = request.header("X-Pimentosail-Request-Id");
    const std::string salt = request.header("X-Pimentosail-Cache-Salt");
    const std::vector<std::string> parts = splitList(request.header("X-Pimentosail-Prompt-Prefix"));
    const std::vector<std::string> sources = splitList(request.header("X-Pimentosail-Kv-Fetch-From"));
    const std::vector<std::string> goals = splitList(request.header("X-Pimentosail-Kv-Save-To"));
    ++totals.runs;
    for (size_t index = 0; index < parts.size(); ++index) {
        const std::string part = parts[index].substr(0, parts[index].find(':'));
        const int64_t tokens = std::atoll(parts[index].substr(parts[index].find(':') + 1).c_str());
        bool hasPart = false;
        if (index < sources.size() && sources[index] == store.address()) {
            const std::string outcome = store.fetch(salt, part, tokens);
            totals.wholeFetches += outcome == "whole" ? 1 : 0;
            totals.unfinishedFetches += outcome == "being written" ? 1 : 0;
            hasPart = outcome != "miss";
            Record::get().line("worker: request %s fetches part %s: %s", id.c_str(), part.c_str(), outcome.c_str());
        }
        if (!hasPart) {
            prefill.read(tokens);
        }
        if (index < goals.size() && goals[index] == store.address()) {
            ++totals.saves;
            store.save(salt, part, tokens);
        }
    }
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Pimentosail-Request-Id: " + id
        + "\r\nX-Pimentosail-Response-Signature: 3e1b." + id + "\r\nX-Pimentosail-Weight-Versions: 1\r\n\r\n";
    for (int event = 1; event <= 3; ++event) {
        const std::string data = "id: " + std::to_string(event) + "\ndata: token\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
        text += size + data + "\r\n";
    }
    sleepFor(0.01);
    return connection.send(text + "0\r\n\r\n");
}

std::string requestText(const std::string &id, const std::string &part)
{
    return std::string("POST /puxa400/2f HTTP/1.1\r\nHost: ") + Host + "\r\nX-Pimentosail-Request-Id: " + id + "\r\nX-Pimentosail-Model: " + Model
        + "\r\nX-Pimentosail-Token-Usage: " + std::to_string(PartTokens + OwnTokens) + ",9\r\nX-Pimentosail-Prompt-Prefix: " + part + ":"
        + std::to_string(PartTokens) + ",91bd" + id + ":" + std::to_string(OwnTokens) + "\r\nX-Pimentosail-Request-Deadline: 4000\r\nAuthorization: Bearer "
        + Key + "\r\nContent-Length: 2\r\n\r\nhi";
}

// Sends one request for each part on the given connections and reads the answers. Returns how many were complete.
int ask(const EntryHost &host, std::vector<std::unique_ptr<Connection>> &connections, const std::string &label, const std::function<void()> &afterSending)
{
    for (int part = 0; part < Parts; ++part) {
        const std::string id = label + std::to_string(part);
        connections[static_cast<size_t>(part)]->send(requestText(id, partName(part)));
    }
    Record::get().line("client: %d requests %s* sent to %s on kept connections", Parts, label.c_str(), host.name.c_str());
    afterSending();
    int complete = 0;
    std::map<int, int> statuses;
    for (int part = 0; part < Parts; ++part) {
        Message answer;
        Connection &connection = *connections[static_cast<size_t>(part)];
        complete += connection.readHead(answer, now() + 5) && connection.readBody(answer, now() + 5) && answer.status() == 200 ? 1 : 0;
        ++statuses[answer.status()];
    }
    for (const auto &[status, count] : statuses) {
        Record::get().line("client: requests %s*: %d answered %d", label.c_str(), count, status);
    }
    return complete;
}

std::vector<std::unique_ptr<Connection>> openAll(const EntryHost &host)
{
    std::vector<std::unique_ptr<Connection>> result;
    result.reserve(Parts);
    for (int part = 0; part < Parts; ++part) {
        result.push_back(Connection::open(host.ip, host.frontPort));
    }
    return result;
}

Json::Value configuration(const std::string &storeAddress)
{
    return parseJson(R"({"Version":7,"Routes":[{"Name":"r-1","Host":"pule25.example","PathPrefix":"/puxa400/","Kind":"streaming","TimeoutMs":4000,
        "TargetLatencyMs":500,"Priority":1,"Service":"huvo11a","MaxAttempts":2,"Public":false,"Sticky":true,"Resumable":true,"TargetGapMs":400}],
        "Services":[{"Name":"lovo22d","KvStoreAddress":")"
        + storeAddress + R"(","Zone":"melnik","KvCapacityTokens":2294961,"BandwidthMbps":58000.0,"MaxInFlight":12,"Managed":true,"first_ms":6.0},
        {"Name":"huvo11a","HealthPath":"/health","ConnectionLimit":610,"Protocol":"h1","Tls":false,"ColdS":0,"ColdPerS":0,"Engine":{"Slots":128,
        "KvCapacityTokens":6575200,"KvTokenBytes":18432,"BandwidthMbps":180000.0,"Managed":true,"MaxInFlight":12,"Models":[{"Name":"daka510000"}]}}],
        "Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
        "Tenants":[{"Name":"jeye930","ApiKeys":["nu6wsjnbanfqasnmgkcu"],"Priority":1}]})");
}

} // namespace

int main(int argc, char **argv)
{
    const Run run(argc, argv);
    Addresses addresses;
    const std::string platformIp = addresses.nextIp();
    KeyValueStore platform(platformIp, addresses.freePort(platformIp));
    const std::string storeIp = addresses.nextIp();
    CacheStore store(storeIp, addresses.freePort(storeIp));
    Totals totals;
    std::vector<Prefill> prefills(Workers);
    std::vector<std::unique_ptr<Server>> workers;
    for (int worker = 0; worker < Workers; ++worker) {
        const std::string ip = addresses.nextIp();
        workers.push_back(std::make_unique<Server>(ip, addresses.freePort(ip), [&, worker](const Message &request, Connection &connection) {
            return serveWorker(request, connection, store, totals, prefills[static_cast<size_t>(worker)]);
        }));
        Json::Value beat = parseJson(R"({"Service":"huvo11a","Zone":"sungurlare","Version":"v1","Slots":128,"State":"ready","ColdRemainingMs":0,"Stage":"both",
            "Models":[{"Name":"daka510000","Version":1,"Adapters":[]}],"Sequence":4})");
        beat["Address"] = workers.back()->address();
        beat["born"] = Json::Int64(unixMilliseconds());
        platform.put("servers/i-7f3a91c" + std::to_string(worker), beat);
    }
    platform.put("op/version/daka510000", parseJson(R"({"Model":"daka510000","Version":1})"));
    platform.put("op/config", configuration(store.address()));
    EntryHost frozen(addresses, "front-sungurlare-1", "sungurlare", platform.address(), run.temporary);
    EntryHost other(addresses, "front-melnik-1", "melnik", platform.address(), run.temporary);
    frozen.start(run.program, {frozen.control(), other.control()});
    other.start(run.program, {frozen.control(), other.control()});
    if (!frozen.awaitReady(10) || !other.awaitReady(10)) {
        return finish(CouldNotRun, "the machines did not become ready");
    }
    sleepFor(4);
    std::vector<std::unique_ptr<Connection>> toFrozen = openAll(frozen);
    std::vector<std::unique_ptr<Connection>> toOther = openAll(other);
    // The parts come into use, and both machines learn that the store has them.
    ask(other, toOther, "a", [] {});
    sleepFor(2);
    ask(other, toOther, "e", [] {});
    sleepFor(4);
    if (ask(frozen, toFrozen, "b", [] {}) < Parts / 2 || totals.wholeFetches < Parts / 2 || totals.unfinishedFetches > 0) {
        return finish(CouldNotRun, "the parts were not fetched from the store before the disruption");
    }
    sleepFor(1);
    const double start = now();
    if (run.hasTrouble) {
        frozen.signal(SIGSTOP);
        Record::get().line("%s frozen", frozen.name.c_str());
        sleepUntil(start + 0.05);
        store.crash();
        sleepUntil(start + 0.25);
        store.comeBack();
    }
    sleepUntil(start + 2.75);
    // Callers return; the other machine has the lost parts saved again.
    std::thread refill([&] { ask(other, toOther, "c", [] {}); });
    sleepUntil(start + 2.85);
    const int before = totals.unfinishedFetches;
    ask(frozen, toFrozen, "d", [&] {
        sleepUntil(start + 2.97);
        if (run.hasTrouble) {
            frozen.signal(SIGCONT);
            Record::get().line("%s thawed after %.1f s", frozen.name.c_str(), now() - start);
        }
    });
    refill.join();
    const int unfinished = totals.unfinishedFetches - before;
    frozen.signal(SIGTERM);
    other.signal(SIGTERM);
    frozen.awaitEnd(9);
    other.awaitEnd(9);
    const std::string text
        = std::to_string(unfinished) + " of " + std::to_string(Parts) + " requests took memory of a part that was being written in the store";
    return finish(totals.unfinishedFetches > 0 ? Broken : Held, text);
}
