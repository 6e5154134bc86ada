// A cache store restarts while prompts wait at busy workers, some to save a part and others to fetch it. Do these take parts that are being written again?
//
//     waiting FOLDER-OF-CASE TEMPORARY-FOLDER PROGRAM
#include "../standins-2/standins.h"

using namespace standins;

namespace
{

constexpr const char *Host = "pule25.example";
// The key of a tenant with priority 1, and of one with priority 0.
constexpr const char *PatientKey = "nu6wsjnbanfqasnmgkcu";
constexpr const char *UrgentKey = "yj8pjbvk9m68k7b2ex5w";
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
constexpr int Parts = 8;
// More long runs than there are slots, since they are not spread evenly.
constexpr int FirstRuns = 24;
constexpr int LaterRuns = 24;
// Requests that a worker runs at once, and how long a run takes: 49 tokens of a worker that is full, and 9 tokens.
constexpr int Slots = 4;
// Requests that wait at a worker beyond those that run; the site's workers queue three times their slots.
constexpr size_t MostWaiting = 12;
constexpr double LongRun = 2.2;
constexpr double ShortRun = 0.04;

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
            value["clock_ms"] = Json::Int64(unixMilliseconds());
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

// The slots of a worker. More urgent requests are admitted first, then those that have waited longer.
class SlotQueue
{
public:
    // Returns false if the queue is full.
    bool enter(int priority)
    {
        std::unique_lock lock(this->mutex);
        if (this->running >= Slots && this->waiting.size() >= MostWaiting) {
            return false;
        }
        const std::pair<int, int> place{priority, this->nextNumber++};
        this->waiting.insert(place);
        this->changed.wait(lock, [&] { return this->running < Slots && *this->waiting.begin() == place; });
        this->waiting.erase(place);
        ++this->running;
        this->changed.notify_all();
        return true;
    }

    void leave()
    {
        const std::lock_guard lock(this->mutex);
        --this->running;
        this->changed.notify_all();
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::set<std::pair<int, int>> waiting;
    int running = 0;
    int nextNumber = 0;
};

// A worker: takes a slot, fetches and saves the parts that it is told to, and answers with a stream.
bool serveWorker(const Message &request, Connection &connection, CacheStore &store, Totals &totals, SlotQueue &slots, Prefill &prefill)
{
    if (request.path() == "/-/report") {
        return connection.send(answerText(200, {{"Content-Type", "application/json"}},
            std::string(R"({"Stage":"both","Models":[{"Name":")") + Model
                + R"(","Version":1,"Adapters":[]}],"Busy":false,"Sequence":0,"Waiting":0,"Running":0,"KvUsed":0,"KvTotal":200000,"Handles":0})"));
    }
    const std::string id = request.header("X-Pimentosail-Request-Id");
    const std::string salt = request.header("X-Pimentosail-Cache-Salt");
    const std::vector<std::string> parts = splitList(request.header("X-Pimentosail-Prompt-Prefix"));
    const std::vector<std::string> sources = splitList(request.header("X-Pimentosail-Kv-Fetch-From"));
    const std::vector<std::string> goals = splitList(request.header("X-Pimentosail-Kv-Save-To"));
    const std::string priority = request.header("X-Pimentosail-Request-Priority");
    const double arrivedAt = now();
    if (!slots.enter(priority.empty() ? 5 : std::atoi(priority.c_str()))) {
        return connection.send(answerText(503, {{"X-Pimentosail-Request-Id", id}, {"X-Pimentosail-Not-Executed", "1"}}, ""));
    }
    Record::get().line("worker: request %s of priority %s begins after %.3f s", id.c_str(), priority.c_str(), now() - arrivedAt);
    const std::string fetchEnd = request.header("X-Pimentosail-Kv-Retain-Until");
    const auto isFetchOver = [&fetchEnd] {
        return !fetchEnd.empty() && unixMilliseconds() > std::atoll(fetchEnd.c_str());
    };
    ++totals.runs;
    for (size_t index = 0; index < parts.size(); ++index) {
        const std::string part = parts[index].substr(0, parts[index].find(':'));
        const int64_t tokens = std::atoll(parts[index].substr(parts[index].find(':') + 1).c_str());
        bool hasPart = false;
        if (index < sources.size() && sources[index] == store.address()) {
            // A fetch that has not ended by its time is thrown away, and the prompt is read.
            const std::string fetched = isFetchOver() ? "miss" : store.fetch(salt, part, tokens);
            const std::string outcome = isFetchOver() ? "thrown away" : fetched;
            totals.wholeFetches += outcome == "whole" ? 1 : 0;
            totals.unfinishedFetches += outcome == "being written" ? 1 : 0;
            hasPart = outcome == "whole" || outcome == "being written";
            Record::get().line("worker: request %s begins after %.3f s and fetches part %s: %s%s%s", id.c_str(), now() - arrivedAt, part.c_str(),
                outcome.c_str(), request.header("X-Pimentosail-Kv-Retain-Until").empty() ? "" : ", to be ended by ",
                request.header("X-Pimentosail-Kv-Retain-Until").c_str());
        }
        if (!hasPart) {
            prefill.read(tokens);
        }
        if (index < goals.size() && goals[index] == store.address()) {
            ++totals.saves;
            store.save(salt, part, tokens);
        }
    }
    const bool isLong = request.header("X-Pimentosail-Token-Usage").ends_with(",49");
    sleepFor(isLong ? LongRun : ShortRun);
    slots.leave();
    std::string text = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Pimentosail-Request-Id: " + id
        + "\r\nX-Pimentosail-Response-Signature: 3e1b." + id + "\r\nX-Pimentosail-Weight-Versions: 1\r\n\r\n";
    for (int event = 1; event <= 3; ++event) {
        const std::string data = "id: " + std::to_string(event) + "\ndata: token\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
        text += size + data + "\r\n";
    }
    return connection.send(text + "0\r\n\r\n");
}

std::string requestText(const std::string &id, const std::string &part, const char *key, int outputTokens)
{
    return std::string("POST /cufi501/2f HTTP/1.1\r\nHost: ") + Host + "\r\nX-Pimentosail-Request-Id: " + id + "\r\nX-Pimentosail-Model: " + Model
        + "\r\nX-Pimentosail-Token-Usage: " + std::to_string(PartTokens + OwnTokens) + "," + std::to_string(outputTokens)
        + "\r\nX-Pimentosail-Prompt-Prefix: " + part + ":" + std::to_string(PartTokens) + ",91bd" + id + ":" + std::to_string(OwnTokens)
        + "\r\nX-Pimentosail-Request-Deadline: 12000\r\nAuthorization: Bearer " + key + "\r\nContent-Length: 2\r\n\r\nhi";
}

// Prompts that are sent and not answered yet.
struct Group
{
    std::string label;
    std::vector<std::unique_ptr<Connection>> connections;

    // Reads the answers. Returns how many were complete.
    int await() const
    {
        int complete = 0;
        std::map<int, int> statuses;
        for (const auto &connection : this->connections) {
            Message answer;
            complete += connection->readHead(answer, now() + 12) && connection->readBody(answer, now() + 12) && answer.status() == 200 ? 1 : 0;
            ++statuses[answer.status()];
        }
        for (const auto &[status, count] : statuses) {
            Record::get().line("client: requests %s*: %d answered %d", this->label.c_str(), count, status);
        }
        return complete;
    }
};

// Sends one prompt for each of `count` parts, on connections of their own. The parts are called by `firstPart` on, the last one first if `isReversed`.
Group sendAll(const EntryHost &host, const std::string &label, int firstPart, int count, const char *key, int outputTokens, bool isReversed = false)
{
    Group group{label, {}};
    for (int sent = 0; sent < count; ++sent) {
        const int number = isReversed ? count - 1 - sent : sent;
        group.connections.push_back(Connection::open(host.ip, host.frontPort));
        group.connections.back()->send(requestText(label + std::to_string(number), partName(firstPart + number), key, outputTokens));
        sleepFor(0.002);
    }
    Record::get().line("client: %d requests %s* sent to %s", count, label.c_str(), host.name.c_str());
    return group;
}

Json::Value configuration(const std::string &storeAddress)
{
    return parseJson(R"({"Version":7,"Routes":[{"Name":"r-2","Host":"pule25.example","PathPrefix":"/cufi501/","Kind":"streaming","TimeoutMs":12000,
        "TargetLatencyMs":6000,"Priority":1,"Service":"huvo11a","MaxAttempts":1,"Public":false,"Sticky":true,"Resumable":false,"TargetGapMs":400}],
        "Services":[{"Name":"lovo22d","KvStoreAddress":")"
        + storeAddress + R"(","Zone":"melnik","KvCapacityTokens":2294961,"BandwidthMbps":58000.0,"MaxInFlight":12,"Managed":true,"first_ms":6.0},
        {"Name":"huvo11a","HealthPath":"/health","ConnectionLimit":610,"Protocol":"h1","Tls":false,"ColdS":0,"ColdPerS":0,"Engine":{"Slots":4,
        "KvCapacityTokens":400000,"KvTokenBytes":18432,"BandwidthMbps":180000.0,"Managed":true,"MaxInFlight":12,"Models":[{"Name":"daka510000"}]}}],
        "Limits":{"HeaderBytes":16384,"BodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
        "Tenants":[{"Name":"jeye930","ApiKeys":["nu6wsjnbanfqasnmgkcu"],"Priority":1},
        {"Name":"kopo112","ApiKeys":["yj8pjbvk9m68k7b2ex5w"],"Priority":0}]})");
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
    std::vector<SlotQueue> slots(Workers);
    std::vector<Prefill> prefills(Workers);
    std::vector<std::unique_ptr<Server>> workers;
    for (int worker = 0; worker < Workers; ++worker) {
        const std::string ip = addresses.nextIp();
        workers.push_back(std::make_unique<Server>(ip, addresses.freePort(ip), [&, worker](const Message &request, Connection &connection) {
            return serveWorker(request, connection, store, totals, slots[static_cast<size_t>(worker)], prefills[static_cast<size_t>(worker)]);
        }));
        Json::Value beat = parseJson(R"({"Service":"huvo11a","Zone":"sungurlare","Version":"v1","Slots":4,"State":"ready","ColdRemainingMs":0,"Stage":"both",
            "Models":[{"Name":"daka510000","Version":1,"Adapters":[]}],"Sequence":4})");
        beat["Address"] = workers.back()->address();
        beat["born"] = Json::Int64(unixMilliseconds());
        platform.put("servers/i-7f3a91c" + std::to_string(worker), beat);
    }
    platform.put("op/version/daka510000", parseJson(R"({"Model":"daka510000","Version":1})"));
    platform.put("op/config", configuration(store.address()));
    EntryHost first(addresses, "front-sungurlare-1", "sungurlare", platform.address(), run.temporary);
    EntryHost second(addresses, "front-melnik-1", "melnik", platform.address(), run.temporary);
    first.start(run.program, {first.control(), second.control()});
    second.start(run.program, {first.control(), second.control()});
    if (!first.awaitReady(10) || !second.awaitReady(10)) {
        return finish(CouldNotRun, "the machines did not become ready");
    }
    sleepFor(4);
    // Some traffic, so that the machines know the times of the workers.
    for (int round = 0; round < 3; ++round) {
        sendAll(second, "w" + std::to_string(round) + "-", 1000 + 100 * round, Parts, UrgentKey, 9).await();
    }
    const int before = totals.unfinishedFetches;
    const double start = now();
    // Long runs take all slots. Behind them wait: prompts of the first machine that save parts which the store lacks; more urgent ones of the
    // second machine with the same parts; and more long runs, as urgent.
    const Group running = sendAll(first, "r", 2000, FirstRuns, PatientKey, 49);
    sleepUntil(start + 0.3);
    const Group saving = sendAll(first, "s", 0, Parts, PatientKey, 9);
    const Group urgent = sendAll(second, "u", 0, Parts, UrgentKey, 9);
    const Group laterRuns = sendAll(second, "l", 3000, LaterRuns, UrgentKey, 49);
    urgent.await();
    // The store has the parts now, and both machines know it. Prompts that fetch them wait behind the long runs.
    sleepFor(0.6);
    const Group fetching = sendAll(second, "f", 0, Parts, PatientKey, 9, true);
    const Group fetchingToo = sendAll(first, "g", 0, Parts, PatientKey, 9, true);
    sleepFor(0.2);
    if (run.hasTrouble) {
        store.crash();
        sleepFor(0.4);
        store.comeBack();
    }
    const int served = saving.await() + fetching.await() + fetchingToo.await() + running.await() + laterRuns.await();
    Record::get().line("%d of %d prompts served, %d fetches of whole parts, %d saves", served, 3 * Parts + FirstRuns + LaterRuns, totals.wholeFetches.load(),
        totals.saves.load());
    if (before > 0) {
        return finish(CouldNotRun, "a part was fetched before it was whole, before the disruption");
    }
    first.signal(SIGTERM);
    second.signal(SIGTERM);
    first.awaitEnd(9);
    second.awaitEnd(9);
    const std::string text = std::to_string(totals.unfinishedFetches) + " requests took memory of a part that was being written in the store";
    return finish(totals.unfinishedFetches > 0 ? Broken : Held, text);
}
