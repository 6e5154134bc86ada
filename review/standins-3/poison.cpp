// A request that crashes each worker that runs it comes again after planned restarts of the hosts.
//
//     poison FOLDER RECORD
//     poison worker ADDRESS ID FILE     (a worker, which the first form starts)
//
// FOLDER gets settings and logs. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "rig.h"

using namespace rig;

namespace
{

constexpr Milliseconds ContactTime(3000);
constexpr Milliseconds AnswerTime(4000);
constexpr Milliseconds WorkerRestart(3000);
constexpr Milliseconds StartTime(15000);
constexpr int Workers = 4;
// The rule: no more retries than these, later than `ContactTime` after the third crash.
constexpr int64_t MostRetries = 3;
constexpr int Cycles = 2;
constexpr const char *PoisonPath = "/desk/poison";
constexpr const char *SlowPath = "/desk/slow";

// Appends a line to a file that several processes write.
void append(const std::string &path, const std::string &line)
{
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const std::string text = line + "\n";
    if (::write(file, text.data(), text.size()) < 0) {
        std::_Exit(2);
    }
    ::close(file);
}

int runWorker(const std::string &address, const std::string &id, const std::string &file)
{
    const size_t colon = address.rfind(':');
    const Listener listener(address.substr(0, colon), std::stoi(address.substr(colon + 1)), [&id, &file](Connection &connection) {
        while (const std::optional<Message> request = readMessage(connection, Milliseconds(60000))) {
            const std::string idHeader = "X-Pimentosail-Request-Id: " + request->value("x-pimentosail-request-id") + "\r\n";
            if (!request->fault.empty() || request->value("x-pimentosail-expected-instance") != id) {
                connection.send("HTTP/1.1 421 Misdirected Request\r\n" + idHeader + "X-Pimentosail-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            append(file, id + " " + request->target());
            if (request->target() == PoisonPath) {
                std::_Exit(1);
            }
            sleepFor(Milliseconds(request->target() == SlowPath ? 2000 : 10));
            connection.send("HTTP/1.1 200 OK\r\n" + idHeader + "X-Pimentosail-Response-Signature: sig\r\nContent-Length: 4\r\n\r\ndone");
        }
    });
    while (true) {
        sleepFor(Milliseconds(1000));
    }
}

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
    Json::Value service;
    service["Name"] = "desk";
    service["HealthPath"] = "/health";
    service["ConnectionLimit"] = 96;
    service["ColdS"] = 0.0;
    service["ColdPerS"] = 0.0;
    Json::Value tenant;
    tenant["Name"] = "t1";
    tenant["ApiKeys"].append("key-of-t1");
    Json::Value document;
    document["Version"] = 1;
    document["Routes"].append(route);
    document["Services"].append(service);
    document["Tenants"].append(tenant);
    return document;
}

// The workers, each a process that is started again under another id some seconds after its end.
class WorkerGroup
{
public:
    WorkerGroup(StoreStandIn &platformStore, std::string ownProgram, std::string runFile, Record &runRecord)
        : store(platformStore)
        , program(std::move(ownProgram))
        , file(std::move(runFile))
        , record(runRecord)
        , places(Workers)
    {
        for (int index = 0; index < Workers; ++index) {
            this->places[static_cast<size_t>(index)].address = "127.0.0." + std::to_string(60 + index) + ":" + std::to_string(freePort(60 + index));
            this->start(this->places[static_cast<size_t>(index)]);
        }
        this->supervisor = std::thread([this] { this->supervise(); });
    }
    // Ends the workers.
    void end()
    {
        this->isEnding.store(true);
        this->supervisor.join();
        for (Place &place : this->places) {
            if (place.process > 0) {
                ::kill(place.process, SIGKILL);
                ::waitpid(place.process, nullptr, 0);
            }
        }
    }

    // Kills the worker with this id.
    void kill(const std::string &id)
    {
        const std::lock_guard lock(this->mutex);
        for (const Place &place : this->places) {
            if (place.id == id && place.process > 0) {
                ::kill(place.process, SIGKILL);
            }
        }
    }

private:
    struct Place
    {
        std::string address;
        std::string id;
        pid_t process = 0;
        SteadyTime endedAt{};
    };

    static int freePort(int place)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        ::inet_pton(AF_INET, ("127.0.0." + std::to_string(place)).c_str(), &address.sin_addr);
        ::bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address));
        socklen_t size = sizeof(address);
        ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
        ::close(descriptor);
        return ntohs(address.sin_port);
    }

    void start(Place &place)
    {
        place.id = "i-" + std::to_string(++this->started);
        place.process = ::fork();
        if (place.process == 0) {
            ::execl(this->program.c_str(), this->program.c_str(), "worker", place.address.c_str(), place.id.c_str(), this->file.c_str(), nullptr);
            ::_exit(127);
        }
        Json::Value entry;
        entry["Service"] = "desk";
        entry["Address"] = place.address;
        entry["Zone"] = "z1";
        entry["Version"] = "v1";
        entry["Slots"] = 6;
        entry["State"] = "ready";
        entry["ColdRemainingMs"] = 0;
        entry["Sequence"] = 1;
        entry["born"] = Json::Int64(1700000000000 + this->started);
        this->store.put("servers/" + place.id, entry);
    }

    void supervise()
    {
        while (!this->isEnding.load()) {
            sleepFor(Milliseconds(20));
            const std::lock_guard lock(this->mutex);
            for (Place &place : this->places) {
                if (place.process > 0 && ::waitpid(place.process, nullptr, WNOHANG) == place.process) {
                    this->record.write("worker " + place.id + " has crashed");
                    place.process = 0;
                    place.endedAt = now();
                }
                if (place.process == 0 && now() > place.endedAt + WorkerRestart) {
                    this->store.remove("servers/" + place.id);
                    this->start(place);
                }
            }
        }
    }

    StoreStandIn &store;
    const std::string program;
    const std::string file;
    Record &record;
    std::mutex mutex;
    std::vector<Place> places;
    int started = 0;
    std::atomic<bool> isEnding{false};
    std::thread supervisor;
};

class Case
{
public:
    Case(const std::string &program, const std::string &workFolder, const std::string &recordPath)
        : folder(workFolder)
        , runs(workFolder + "/runs.txt")
        , record(recordPath)
        , store("127.0.0.2", 0)
        , workers((::unlink(runs.c_str()), store), program, runs, record)
    {
        this->store.put("op/config", configuration());
        std::vector<std::string> seeds;
        for (int index = 0; index < 2; ++index) {
            HostPlan plan{.name = "front-" + std::to_string(index + 1), .ip = "127.0.0." + std::to_string(11 + index), .storeAddress = this->store.address()};
            plan.seeds = seeds;
            this->hosts.push_back(std::make_unique<HostProcess>(plan, this->folder));
            seeds.push_back(this->hosts.back()->controlAddress());
        }
    }

    int play()
    {
        for (const auto &host : this->hosts) {
            host->start();
        }
        for (const auto &host : this->hosts) {
            if (!host->awaitReady(StartTime)) {
                this->record.write("a host is not ready");
                return 2;
            }
        }
        for (int index = 0; index < 3; ++index) {
            this->send(0, PoisonPath);
        }
        sleepFor(ContactTime + Milliseconds(500));
        const int64_t before = this->poisonRuns();
        this->sendPoisonEverywhere();
        for (int cycle = 0; hasTrouble() && cycle < Cycles; ++cycle) {
            if (!this->restartHosts() || !this->crashUnderOtherRequest() || !this->restartHosts()) {
                return 2;
            }
            sleepFor(ContactTime + Milliseconds(500));
            this->sendPoisonEverywhere();
        }
        const int64_t retries = this->poisonRuns() - before;
        this->record.write(std::to_string(before) + " workers crashed at first, and " + std::to_string(retries) + " later than "
            + std::to_string(ContactTime.count()) + " ms after the third");
        const bool isBroken = retries > MostRetries;
        this->record.write(isBroken ? "BROKEN" : "held");
        return before < 3 ? 2 : isBroken ? 1 : 0;
    }

    // Ends all processes.
    void end()
    {
        this->hosts.clear();
        this->workers.end();
    }

private:
    void send(size_t host, const std::string &path)
    {
        const std::string id = "r-" + std::to_string(++this->sent);
        const std::string bytes = "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Pimentosail-Request-Id: " + id
            + "\r\nX-Pimentosail-Request-Deadline: 3000\r\nAuthorization: Bearer key-of-t1\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody";
        const std::vector<Message> answers = call(this->hosts[host]->callerAddress(), {bytes}, 1, AnswerTime);
        this->record.write(id + " POST " + path + " to front-" + std::to_string(host + 1) + ": "
            + (answers.empty() ? "no answer" : answers.front().startLine + " " + answers.front().body));
    }

    void sendPoisonEverywhere()
    {
        for (int index = 0; index < 4; ++index) {
            this->send(static_cast<size_t>(index % 2), PoisonPath);
            sleepFor(Milliseconds(300));
        }
    }

    bool restartHosts()
    {
        for (const auto &host : this->hosts) {
            host->signal(SIGTERM);
            const SteadyTime end = now() + Milliseconds(8000);
            while (!host->hasEnded() && now() < end) {
                sleepFor(Milliseconds(20));
            }
            if (!host->hasEnded()) {
                host->kill();
            }
            host->start();
            if (!host->awaitReady(StartTime)) {
                this->record.write("a host is not ready");
                return false;
            }
        }
        this->record.write("both hosts were stopped with SIGTERM and started in turn");
        return true;
    }

    // Kills a worker while it runs a sound request of front-1.
    bool crashUnderOtherRequest()
    {
        sleepFor(WorkerRestart);
        const size_t known = this->lines().size();
        std::thread caller([this] { this->send(0, SlowPath); });
        std::string id;
        for (int round = 0; round < 50 && id.empty(); ++round) {
            sleepFor(Milliseconds(20));
            const std::vector<std::string> all = this->lines();
            for (size_t index = known; index < all.size(); ++index) {
                id = all[index].ends_with(SlowPath) ? all[index].substr(0, all[index].find(' ')) : id;
            }
        }
        this->workers.kill(id);
        caller.join();
        sleepFor(Milliseconds(1500));
        return !id.empty();
    }

    std::vector<std::string> lines() const
    {
        std::ifstream text(this->runs);
        std::vector<std::string> result;
        std::string line;
        while (std::getline(text, line)) {
            result.push_back(line);
        }
        return result;
    }

    int64_t poisonRuns() const
    {
        const std::vector<std::string> all = this->lines();
        return std::count_if(all.begin(), all.end(), [](const std::string &line) { return line.ends_with(PoisonPath); });
    }

    const std::string folder;
    const std::string runs;
    Record record;
    StoreStandIn store;
    WorkerGroup workers;
    std::vector<std::unique_ptr<HostProcess>> hosts;
    int sent = 0;
};

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.size() == 4 && arguments[0] == "worker") {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        return runWorker(arguments[1], arguments[2], arguments[3]);
    }
    if (arguments.size() != 2) {
        std::cerr << "usage: poison FOLDER RECORD\n";
        return 2;
    }
    // Outlives the threads of the stand-ins, which end with the program.
    Case &played = *new Case(argv[0], arguments[0], arguments[1]);
    const int result = played.play();
    played.end();
    std::_Exit(result);
}
