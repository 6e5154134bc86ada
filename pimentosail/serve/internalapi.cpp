#include "pimentosail/serve/internalapi.h"

#include "pimentosail/base/json.h"
#include "pimentosail/base/statelog.h"
#include "pimentosail/kv/etcdclient.h"
#include "pimentosail/serve/statedump.h"

namespace pimentosail
{

namespace
{

constexpr Duration BodyTimeout = std::chrono::seconds(15);
constexpr Duration PeerTimeout = Milliseconds(1500);
constexpr int64_t MaxInternalBody = 64LL << 20U;

AllowanceLeaseRequest leaseRequestFromJson(const Json::Value &value)
{
    AllowanceLeaseRequest request;
    request.team = jsonString(value, "team");
    request.host = jsonString(value, "host");
    request.neededTokens = jsonInteger(value, "needed");
    request.wantedTokens = jsonInteger(value, "wanted");
    request.returnedTokens = jsonInteger(value, "returned");
    request.wantedSlots = jsonInteger(value, "slots");
    return request;
}

Json::Value leaseToJson(const AllowanceLease &lease)
{
    Json::Value value;
    value["tokens"] = Json::Int64(lease.tokens);
    value["slots"] = Json::Int64(lease.slots);
    value["life_us"] = Json::Int64(lease.duration.count());
    value["retry_us"] = Json::Int64(lease.retryAfter.count());
    value["new"] = lease.isNewBucket;
    return value;
}

// Returns a configuration with the lists of `body`. Lists that `body` lacks, and outages, stay as in `current`.
Result<Configuration> withLists(const Configuration &current, const Json::Value &body)
{
    const std::string plans = jsonString(body, "plans", current.plansText);
    const std::string allowances = jsonString(body, "allowances", current.allowancesText);
    Result<Configuration> next = Configuration::fromLists(plans, allowances);
    if (next) {
        next->zonesOut = current.zonesOut;
        next->hostsOut = current.hostsOut;
    }
    return next;
}

} // namespace

Json::Value configurationToJson(const Configuration &configuration)
{
    return parseJson(configuration.toDocument());
}

InternalApi::InternalApi(Context &processContext, Runner &completionRunner, ServiceCalls &serviceCalls, std::function<bool()> readiness)
    : context(processContext)
    , runner(completionRunner)
    , services(serviceCalls)
    , isReady(std::move(readiness))
    , rpc(this->rpcHandlers())
{
}

std::map<std::string, RpcHandler> InternalApi::rpcHandlers()
{
    std::map<std::string, RpcHandler> handlers;
    handlers["configuration"] = [this](const Json::Value & /*arguments*/) {
        const ConfigurationPointer configuration = this->context.configuration.current();
        if (!configuration) {
            throw Failure(ErrorKind::NotFound, "no configuration is in force here");
        }
        Json::Value value;
        value["document"] = configuration->toDocument();
        return value;
    };
    handlers["view"] = [this](const Json::Value & /*arguments*/) {
        Json::Value value;
        value["document"] = this->context.membership.view().toDocument();
        return value;
    };
    handlers["lend"] = [this](const Json::Value &arguments) {
        return leaseToJson(this->context.allowances.grantLease(leaseRequestFromJson(arguments)));
    };
    handlers["suspect"] = [this](const Json::Value &arguments) {
        this->context.suspects.record(std::stoull(jsonString(arguments, "fingerprint", "0")), jsonString(arguments, "dead"), this->context.clock.now());
        return Json::Value(Json::objectValue);
    };
    handlers["transfer"] = [this](const Json::Value &arguments) {
        Json::Value value;
        value["tokens"] = Json::Int64(this->context.transfers.perform(transferOrderFromJson(arguments)));
        return value;
    };
    handlers["status"] = [this](const Json::Value & /*arguments*/) {
        return this->localStatus();
    };
    handlers["dump"] = [this](const Json::Value & /*arguments*/) {
        return this->dumpState();
    };
    return handlers;
}

void InternalApi::handle(HttpExchange &exchange)
{
    try {
        this->route(exchange);
    } catch (const Failure &failure) {
        if (!exchange.isHeaderSent()) {
            exchange.sendError(failure.error, exchange.header("X-Request-Id"));
        }
    } catch (const std::exception &exception) {
        if (!exchange.isHeaderSent()) {
            exchange.sendError(Error(ErrorKind::Internal, exception.what()), exchange.header("X-Request-Id"));
        }
    }
}

void InternalApi::route(HttpExchange &exchange)
{
    const std::string path = exchange.path();
    if (path == "/internal/v1/run") {
        this->run(exchange);
    } else if (path == "/internal/v1/service") {
        this->service(exchange);
    } else if (path == "/rpc") {
        exchange.send(200, "application/json", this->rpc.handle(exchange.readBody(MaxInternalBody, this->context.clock, BodyTimeout)));
    } else if (path == "/healthz") {
        exchange.send(200, "text/plain", "ok\n");
    } else if (path == "/readyz") {
        const bool ready = this->isReady();
        exchange.send(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
    } else if (path == "/metrics") {
        this->context.metrics.set("pimentosail_invariant_violations", {}, static_cast<double>(violationCount()));
        exchange.send(200, "text/plain; version=0.0.4", this->context.metrics.print());
    } else if (path == "/debug/state") {
        exchange.send(200, "application/json", printJsonIndented(this->dumpState()) + "\n");
    } else if (path.rfind("/admin/v1/", 0) == 0) {
        this->administration(exchange, path.substr(std::string("/admin/v1/").size()));
    } else {
        throw Failure(ErrorKind::NotFound, path + " is not served");
    }
}

void InternalApi::run(HttpExchange &exchange)
{
    RunSpec spec
        = decodeRun(exchange.header("X-Pimentosail-Run"), exchange.readBody(MaxInternalBody, this->context.clock, BodyTimeout), this->context.clock.now());
    exchange.startStream("application/x-ndjson");
    // Sends a first line at once, so that the sender sees that this host is alive.
    exchange.write(encodeAnswer(AnswerKeepAlive{}) + "\n");
    const AnswerSink sink = [&exchange](const AnswerEvent &event) {
        exchange.write(encodeAnswer(event) + "\n");
    };
    try {
        this->runner.run(spec, sink);
    } catch (const Failure &failure) {
        if (failure.error.kind != ErrorKind::Cancelled) {
            exchange.write(encodeAnswer(AnswerError{failure.error, spec.deaths, spec.excludedTargets}) + "\n");
        }
    }
}

void InternalApi::service(HttpExchange &exchange)
{
    const ServiceRequest request = decodeServiceRequest(
        exchange.header("X-Pimentosail-Service"), exchange.header("Content-Type"), exchange.readBody(MaxInternalBody, this->context.clock, BodyTimeout));
    Json::Value value;
    try {
        const ServiceAnswer answer = this->services.asRecordOwner(request);
        value["status"] = answer.status;
        value["type"] = answer.contentType;
        value["body"] = encodeBase64(answer.body);
        value["replayed"] = answer.replayed;
    } catch (const Failure &failure) {
        value = errorBody(failure.error, request.requestId);
    }
    exchange.sendJson(200, value);
}

void InternalApi::administration(HttpExchange &exchange, const std::string &path)
{
    if (path == "configuration" && exchange.method() == "GET") {
        const ConfigurationPointer configuration = this->context.configuration.current();
        exchange.sendJson(200, configurationToJson(configuration ? *configuration : Configuration()));
    } else if (path == "configuration" && exchange.method() == "POST") {
        this->applyLists(exchange);
    } else if (path == "outage" && exchange.method() == "POST") {
        this->applyOutage(exchange);
    } else if (path == "status") {
        exchange.sendJson(200, this->status());
    } else if (path == "dump") {
        exchange.sendJson(200, this->dumpOf(exchange.query("host")));
    } else {
        throw Failure(ErrorKind::NotFound, "/admin/v1/" + path + " is not served");
    }
}

void InternalApi::sendConfiguration(HttpExchange &exchange, const Result<ConfigurationPointer> &result)
{
    if (!result) {
        throw Failure(result.error());
    }
    exchange.sendJson(200, configurationToJson(**result));
}

void InternalApi::applyLists(HttpExchange &exchange)
{
    const Json::Value body = parseJson(exchange.readBody(MaxInternalBody, this->context.clock, BodyTimeout));
    const auto change = [&body](const Configuration &current) {
        return withLists(current, body);
    };
    const int64_t base = jsonInteger(body, "base_revision");
    this->sendConfiguration(exchange, this->context.configuration.apply(base, change, jsonString(body, "author"), jsonString(body, "summary")));
}

void InternalApi::applyOutage(HttpExchange &exchange)
{
    const Json::Value body = parseJson(exchange.readBody(MaxInternalBody, this->context.clock, BodyTimeout));
    const std::string kind = jsonString(body, "kind");
    const std::string name = jsonString(body, "name");
    const bool out = jsonBoolean(body, "out");
    const std::shared_ptr<const Fleet> fleet = this->context.fleet.current();
    bool isListed = false;
    std::vector<std::string> names;
    for (const FleetHost &host : fleet->hosts) {
        const std::string &candidate = kind == "zone" ? host.zone : host.name;
        isListed = isListed || candidate == name;
        names.push_back(candidate);
    }
    if (!isListed) {
        const std::string nearest = nearestName(name, names);
        throw Failure(ErrorKind::NotFound, kind + " '" + name + "' is not in the host list" + (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
    }
    const auto change = [&](const Configuration &current) -> Result<Configuration> {
        Configuration next = current;
        std::set<std::string> &outOfService = kind == "zone" ? next.zonesOut : next.hostsOut;
        if (out) {
            outOfService.insert(name);
        } else {
            outOfService.erase(name);
        }
        return next;
    };
    const std::string summary = kind + " " + name + (out ? " out" : " in");
    // An outage does not depend on other changes, so after a conflict it is applied to the newer revision.
    constexpr int MaxConflicts = 10;
    Result<ConfigurationPointer> result = failed(ErrorKind::Conflict, "");
    for (int attempt = 0; attempt < MaxConflicts; ++attempt) {
        const ConfigurationPointer current = this->context.configuration.current();
        result = this->context.configuration.apply(current ? current->revision : 0, change, jsonString(body, "author"), summary);
        if (result || result.error().kind != ErrorKind::Conflict) {
            break;
        }
        this->context.clock.sleepFor(Milliseconds(100));
    }
    this->sendConfiguration(exchange, result);
}

Json::Value InternalApi::localStatus()
{
    return dumpStatus(this->context, this->isReady());
}

Json::Value InternalApi::status()
{
    Json::Value value;
    value["hosts"].append(this->localStatus());
    for (const Member &member : this->context.membership.view().members) {
        if (member.name == this->context.membership.self().name) {
            continue;
        }
        try {
            value["hosts"].append(this->context.peers.call(member.address, "status", Json::Value(), PeerTimeout));
        } catch (const Failure &failure) {
            Json::Value missing;
            missing["name"] = member.name;
            missing["error"] = failure.what();
            value["hosts"].append(missing);
        }
    }
    return value;
}

Json::Value InternalApi::dumpOf(const std::string &host)
{
    const View view = this->context.membership.view();
    if (host.empty() || host == this->context.membership.self().name) {
        return this->dumpState();
    }
    const Member *member = view.find(host);
    if (member == nullptr) {
        const std::string nearest = nearestName(host, view.names());
        throw Failure(ErrorKind::NotFound, "entry host '" + host + "' is not in the view" + (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
    }
    return this->context.peers.call(member->address, "dump", Json::Value(), PeerTimeout);
}

Json::Value InternalApi::dumpState()
{
    return dumpProcess(this->context, this->isReady());
}

} // namespace pimentosail
