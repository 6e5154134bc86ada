#include "testing/localfleet.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "pimentosail/base/json.h"

namespace pimentosail::testing
{

namespace
{

constexpr Duration StartTimeout = std::chrono::seconds(30);
constexpr Duration CallTimeout = std::chrono::seconds(5);
constexpr Duration PollInterval = Milliseconds(50);
constexpr int CallerPortOffset = 500;

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void addEngines(FleetPlan &plan, const std::string &pool, int count, bool checksFencing)
{
    for (int index = 0; index < count; ++index) {
        FleetProcess engine;
        engine.name = pool + "-" + std::to_string(index + 1);
        engine.kind = "engine";
        engine.pool = pool;
        engine.zone = plan.zones[static_cast<size_t>(index) % plan.zones.size()];
        engine.options = {{"prefill_rate", "20000"}, {"decode_ms", "20"}, {"cache_pieces", "40"}, {"checks_fencing", checksFencing ? "1" : "0"}};
        plan.processes.push_back(engine);
    }
}

void addService(FleetPlan &plan, const std::string &pool)
{
    plan.processes.push_back({pool + "-1", "service", pool, plan.zones[0], {}});
}

} // namespace

FleetPlan FleetPlan::fromExample(const std::string &sourceDirectory, const std::string &deployment, int entries, bool reduced)
{
    FleetPlan plan;
    plan.deployment = deployment;
    const bool isWinery = deployment == "winery";
    plan.zones = isWinery ? std::vector<std::string>{"sungurlare", "melnik", "pomorie"} : std::vector<std::string>{"nimman", "mae-rim", "hang-dong"};
    plan.plansText = readFile(sourceDirectory + "/examples/" + deployment + "/plans.yaml");
    plan.allowancesText = readFile(sourceDirectory + "/examples/" + deployment + "/allowances.yaml");
    plan.processes.push_back({"key-value", "key-value", "", "", {}});
    plan.processes.push_back({"platform", "platform", "", "", {{"max_loading", isWinery ? "2" : "3"}}});
    if (isWinery) {
        addEngines(plan, "dispatcher", reduced ? 3 : 12, true);
        addEngines(plan, "cellar-desk", reduced ? 1 : 3, false);
        for (const char *pool : {"trucks", "press", "weather"}) {
            addService(plan, pool);
        }
    } else {
        addEngines(plan, "phrase-loom", reduced ? 3 : 18, true);
        addEngines(plan, "card-desk", reduced ? 1 : 3, false);
        for (const char *pool : {"orders", "calendar"}) {
            addService(plan, pool);
        }
    }
    for (const char *store : isWinery ? std::array{"dossier-cache", "dossier-spare"} : std::array{"memory-jar", "memory-urn"}) {
        plan.processes.push_back({store, "store", "", plan.zones[1], {{"memory_rate", "8000000000"}, {"disk_rate", "1500000000"}}});
    }
    for (int index = 0; index < entries; ++index) {
        plan.processes.push_back({"entry-" + std::to_string(index + 1), "entry", "", plan.zones[static_cast<size_t>(index) % plan.zones.size()], {}});
    }
    return plan;
}

LocalFleet::LocalFleet(FleetPlan fleetPlan, std::string buildDirectoryPath, std::string workDirectoryPath, int firstPortNumber)
    : plan(std::move(fleetPlan))
    , buildDirectory(std::move(buildDirectoryPath))
    , workDirectory(std::move(workDirectoryPath))
    , firstPort(firstPortNumber)
{
    int port = this->firstPort;
    for (const FleetProcess &process : this->plan.processes) {
        this->processes.push_back({process, port, port + CallerPortOffset, 0, -1});
        ++port;
    }
}

LocalFleet::~LocalFleet()
{
    for (RunningProcess &running : this->processes) {
        if (running.pid > 0) {
            ::kill(running.pid, SIGKILL);
            ::kill(running.pid, SIGCONT);
        }
    }
    for (RunningProcess &running : this->processes) {
        if (running.pid > 0) {
            ::waitpid(running.pid, nullptr, 0);
        }
    }
}

LocalFleet::RunningProcess &LocalFleet::find(const std::string &name)
{
    for (RunningProcess &running : this->processes) {
        if (running.process.name == name) {
            return running;
        }
    }
    throw std::runtime_error("no process called " + name);
}

const LocalFleet::RunningProcess &LocalFleet::find(const std::string &name) const
{
    return const_cast<LocalFleet *>(this)->find(name);
}

std::string LocalFleet::address(const std::string &name) const
{
    return "127.0.0.1:" + std::to_string(this->find(name).port);
}

std::string LocalFleet::callerAddress(const std::string &entry) const
{
    return "127.0.0.1:" + std::to_string(this->find(entry).callerPort);
}

pid_t LocalFleet::pid(const std::string &name) const
{
    return this->find(name).pid;
}

std::vector<std::string> LocalFleet::names(const std::string &kind) const
{
    std::vector<std::string> result;
    for (const RunningProcess &running : this->processes) {
        if (running.process.kind == kind) {
            result.push_back(running.process.name);
        }
    }
    return result;
}

void LocalFleet::writeSettings(const RunningProcess &running) const
{
    std::ofstream file(this->workDirectory + "/" + running.process.name + ".yaml");
    file << "name: " << running.process.name << "\nzone: " << running.process.zone << "\n";
    file << "listen: 127.0.0.1:" << running.callerPort << "\ninternal: 127.0.0.1:" << running.port << "\n";
    file << "key_value: [" << this->address("key-value") << "]\nhost_list: " << this->address("platform") << "\npeers: [";
    bool first = true;
    for (const std::string &name : this->names("entry")) {
        file << (first ? "" : ", ") << this->address(name);
        first = false;
    }
    file << "]\n";
    for (const auto &[key, value] : this->plan.settings) {
        file << key << ": " << value << "\n";
    }
}

void LocalFleet::launch(RunningProcess &running)
{
    std::vector<std::string> arguments;
    if (running.process.kind == "entry") {
        this->writeSettings(running);
        arguments = {this->buildDirectory + "/daemon/pimentosaild", "--config", this->workDirectory + "/" + running.process.name + ".yaml"};
    } else {
        arguments = {this->buildDirectory + "/standins/pimentosail-standin", "--kind", running.process.kind, "--listen", this->address(running.process.name)};
        std::map<std::string, std::string> options = running.process.options;
        if (running.process.kind == "engine") {
            options["weight_store"] = this->address("platform");
        }
        for (const auto &[name, value] : options) {
            arguments.insert(arguments.end(), {"--set", name + "=" + value});
        }
    }
    const std::string log = this->workDirectory + "/" + running.process.name + ".log";
    std::vector<char *> pointers;
    pointers.reserve(arguments.size() + 1);
    for (std::string &argument : arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    running.pid = ::fork();
    if (running.pid == 0) {
        // A failing test exits without running destructors; the kernel then kills its processes.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(file, STDOUT_FILENO);
        ::dup2(file, STDERR_FILENO);
        ::execv(pointers[0], pointers.data());
        ::_exit(127);
    }
    running.exitCode = -1;
}

bool LocalFleet::waitUntilResponding(const std::string &name, const std::string &path, Duration timeout)
{
    const Time end = this->clock.now() + timeout;
    while (this->clock.now() < end) {
        try {
            if (this->http.call(this->address(name), {"GET", path, {}, ""}, CallTimeout).status < 500) {
                return true;
            }
        } catch (const Failure &) {
            // Not listening yet.
        }
        this->clock.sleepFor(PollInterval);
    }
    return false;
}

void LocalFleet::sendHostList()
{
    Json::Value list;
    for (const RunningProcess &running : this->processes) {
        const FleetProcess &process = running.process;
        if (process.kind == "key-value" || process.kind == "platform") {
            continue;
        }
        Json::Value host;
        host["name"] = process.name;
        host["kind"] = process.kind;
        host["pool"] = process.pool;
        host["zone"] = process.zone;
        host["address"] = this->address(process.name);
        host["state"] = "live";
        list["hosts"].append(host);
    }
    this->postJson("platform", "/hosts", list);
}

void LocalFleet::start()
{
    for (RunningProcess &running : this->processes) {
        if (running.process.kind != "entry") {
            this->launch(running);
        }
    }
    for (const RunningProcess &running : this->processes) {
        if (running.process.kind != "entry"
            && !this->waitUntilResponding(running.process.name, running.process.kind == "service" ? "/runs" : "/load", StartTimeout)) {
            throw std::runtime_error(running.process.name + " did not start");
        }
    }
    this->sendHostList();
    for (RunningProcess &running : this->processes) {
        if (running.process.kind == "entry") {
            this->launch(running);
        }
    }
    const std::vector<std::string> entries = this->names("entry");
    for (const std::string &entry : entries) {
        if (!this->waitUntilResponding(entry, "/healthz", StartTimeout)) {
            throw std::runtime_error(entry + " did not start");
        }
    }
    Json::Value body;
    body["plans"] = this->plan.plansText;
    body["allowances"] = this->plan.allowancesText;
    body["base_revision"] = 0;
    body["author"] = "launcher";
    body["summary"] = "first lists";
    this->postJson(entries.front(), "/admin/v1/configuration", body);
    for (const std::string &entry : entries) {
        if (!this->waitReady(entry, StartTimeout)) {
            throw std::runtime_error(entry + " did not become ready");
        }
    }
}

bool LocalFleet::isReady(const std::string &name)
{
    try {
        return this->http.call(this->address(name), {"GET", "/readyz", {}, ""}, CallTimeout).status == 200;
    } catch (const Failure &) {
        return false;
    }
}

bool LocalFleet::waitReady(const std::string &name, Duration timeout)
{
    const Time end = this->clock.now() + timeout;
    while (this->clock.now() < end) {
        try {
            const Json::Value state = this->getJson(name, "/debug/state");
            bool usable = state["ready"].asBool() && state["view"]["has_authority"].asBool() && !state["decisions"]["targets"].empty();
            for (const Json::Value &target : state["decisions"]["targets"]) {
                usable = usable && target["state"].asString() == "usable";
            }
            for (const Json::Value &shard : state["records"]["shards"]) {
                usable = usable && shard["standing"].asString() != "settling";
            }
            if (usable && state["view"]["members"].size() >= this->names("entry").size()) {
                return true;
            }
        } catch (const std::exception &) {
            // Not listening yet.
        }
        this->clock.sleepFor(PollInterval);
    }
    return false;
}

void LocalFleet::signal(const std::string &name, int signalNumber)
{
    RunningProcess &running = this->find(name);
    ::kill(running.pid, signalNumber);
    if (signalNumber == SIGKILL) {
        ::waitpid(running.pid, nullptr, 0);
        running.pid = 0;
    }
}

int LocalFleet::waitForEnd(const std::string &name, Duration timeout)
{
    RunningProcess &running = this->find(name);
    const Time end = this->clock.now() + timeout;
    while (running.pid > 0) {
        int status = 0;
        if (::waitpid(running.pid, &status, WNOHANG) == running.pid) {
            running.pid = 0;
            running.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
            return running.exitCode;
        }
        if (this->clock.now() >= end) {
            return -1;
        }
        this->clock.sleepFor(PollInterval);
    }
    return running.exitCode;
}

void LocalFleet::restart(const std::string &name)
{
    RunningProcess &running = this->find(name);
    if (running.pid > 0) {
        ::waitpid(running.pid, nullptr, 0);
    }
    this->launch(running);
}

void LocalFleet::fault(const std::string &name, const std::string &faultName, int64_t value)
{
    Json::Value body;
    body["name"] = faultName;
    body["value"] = Json::Int64(value);
    try {
        this->postJson(name, "/fault", body);
    } catch (const Failure &) {
        // The fault may have ended the process before it responded.
    }
}

Json::Value LocalFleet::getJson(const std::string &name, const std::string &path)
{
    return parseJson(this->http.call(this->address(name), {"GET", path, {}, ""}, CallTimeout).body);
}

Json::Value LocalFleet::postJson(const std::string &name, const std::string &path, const Json::Value &body)
{
    const HttpReply reply = this->http.call(this->address(name), {"POST", path, {}, printJson(body)}, CallTimeout);
    const Json::Value value = parseJson(reply.body);
    if (reply.status != 200) {
        throw Failure(errorKindFromName(jsonString(value["error"], "kind")), jsonString(value["error"], "message"));
    }
    return value;
}

HttpReply LocalFleet::post(const std::string &target, const std::string &path, const Headers &headers, const std::string &body, Duration timeout)
{
    return this->http.call(target, {"POST", path, headers, body}, timeout, ConnectionUse::Fresh);
}

} // namespace pimentosail::testing
