#include "pimentosail/serve/servicecalls.h"

#include "pimentosail/base/hash.h"
#include "pimentosail/base/json.h"
#include "pimentosail/kv/etcdclient.h"

namespace pimentosail
{

namespace
{

constexpr Duration ConnectTimeout = Milliseconds(500);
constexpr Duration PollWait = Milliseconds(50);
constexpr Duration OwnerRetryDelay = Milliseconds(100);
// Time that the record owner may take beyond the timeout of the service.
constexpr Duration RecordOwnerMargin = std::chrono::seconds(2);
constexpr size_t MaxAnswerBytes = 512 * 1024;

std::string recordKeyOf(const ServiceRequest &request)
{
    return sha256Hex(request.team + '\n' + request.service + '\n' + request.idempotencyKey);
}

uint64_t bodyHashOf(const ServiceRequest &request)
{
    return stableHash(request.body, stableHash(request.path));
}

ServiceAnswer toAnswer(const HttpReply &reply)
{
    return {reply.status, reply.contentType, reply.body, false};
}

} // namespace

HttpRequest encodeServiceRequest(const ServiceRequest &request)
{
    Json::Value value;
    value["id"] = request.requestId;
    value["team"] = request.team;
    value["service"] = request.service;
    value["path"] = request.path;
    value["key"] = request.idempotencyKey;
    return {"POST", "/internal/v1/service", {{"X-Pimentosail-Service", printJson(value)}, {"Content-Type", request.contentType}}, request.body};
}

ServiceRequest decodeServiceRequest(const std::string &header, const std::string &contentType, std::string body)
{
    const Json::Value value = parseJson(header);
    ServiceRequest request;
    request.requestId = jsonString(value, "id");
    request.team = jsonString(value, "team");
    request.service = jsonString(value, "service");
    request.path = jsonString(value, "path");
    request.idempotencyKey = jsonString(value, "key");
    request.contentType = contentType;
    request.body = std::move(body);
    return request;
}

const Service &ServiceCalls::find(const std::string &name, ConfigurationPointer &configuration) const
{
    configuration = this->context.configuration.current();
    const Service *service = configuration ? configuration->lists.service(name) : nullptr;
    if (service == nullptr) {
        throw Failure(ErrorKind::UnknownService, "service '" + name + "' is not configured");
    }
    return *service;
}

ServiceAnswer ServiceCalls::fromCaller(const ServiceRequest &request)
{
    ConfigurationPointer configuration;
    const Service &service = this->find(request.service, configuration);
    this->context.retries.onRequest();
    if (service.repeatable) {
        return this->callRepeatable(request, service);
    }
    return request.idempotencyKey.empty() ? this->callOnce(request, service) : this->callThroughRecordOwner(request, service);
}

HttpReply ServiceCalls::callHost(const FleetHost &host, const ServiceRequest &request, const Service &service)
{
    HttpRequest call{"POST", request.path, {{"Content-Type", request.contentType}, {"X-Request-Id", request.requestId}}, request.body};
    if (!request.idempotencyKey.empty()) {
        call.headers.emplace_back("Idempotency-Key", request.idempotencyKey);
    }
    return this->context.http.call(host.address, call, service.timeout, service.repeatable ? ConnectionUse::Pooled : ConnectionUse::Fresh);
}

ServiceAnswer ServiceCalls::callRepeatable(const ServiceRequest &request, const Service &service)
{
    const std::shared_ptr<const Fleet> fleet = this->context.fleet.current();
    const std::vector<const FleetHost *> hosts = fleet->servicesOf(service.pool);
    if (hosts.empty()) {
        throw Failure(ErrorKind::NoTarget, "service '" + service.name + "' has no live host");
    }
    const size_t first = stableHash(request.requestId) % hosts.size();
    std::optional<Error> last;
    for (size_t index = 0; index < hosts.size() * 2; ++index) {
        if (last && !this->context.retries.tryRetry()) {
            break;
        }
        try {
            const HttpReply reply = this->callHost(*hosts[(first + index) % hosts.size()], request, service);
            if (reply.status < 500) {
                return toAnswer(reply);
            }
            last = Error(ErrorKind::TargetLost, "service '" + service.name + "' answered " + std::to_string(reply.status));
        } catch (const Failure &failure) {
            last = Error(ErrorKind::TargetLost, failure.error.message, failure.error.notRun && !last);
        }
    }
    throw Failure(*last);
}

// Sends a call that may not be repeated. It goes to another host only if the failed attempt certainly did not run, for
// example because no connection was made.
ServiceAnswer ServiceCalls::callOnce(const ServiceRequest &request, const Service &service)
{
    const std::shared_ptr<const Fleet> fleet = this->context.fleet.current();
    const std::vector<const FleetHost *> hosts = fleet->servicesOf(service.pool);
    const size_t first = stableHash(request.requestId);
    for (size_t index = 0; index < hosts.size(); ++index) {
        try {
            return toAnswer(this->callHost(*hosts[(first + index) % hosts.size()], request, service));
        } catch (const Failure &failure) {
            if (!failure.error.notRun) {
                throw Failure(ErrorKind::OutcomeUnknown, "the call may have run: " + failure.error.message);
            }
        }
    }
    throw Failure(ErrorKind::NoTarget, "service '" + service.name + "' has no live host");
}

ServiceAnswer ServiceCalls::asRecordOwner(const ServiceRequest &request)
{
    ConfigurationPointer configuration;
    const Service &service = this->find(request.service, configuration);
    const std::string key = recordKeyOf(request);
    const Time deadline = this->context.clock.now() + service.timeout;
    const RecordedAnswer recorded = this->context.records.run(recordShardOf(key), key, bodyHashOf(request), deadline, [&] {
        const ServiceAnswer answer = this->callOnce(request, service);
        return RecordedAnswer{answer.status, answer.contentType, answer.body, false};
    });
    return {recorded.status, recorded.contentType, recorded.body, recorded.replayed};
}

ServiceAnswer ServiceCalls::forwardToRecordOwner(const std::string &address, const std::string &owner, const ServiceRequest &request, const Service &service)
{
    const std::unique_ptr<HttpStream> stream = HttpStream::open(address, encodeServiceRequest(request), ConnectTimeout);
    const Time end = this->context.clock.now() + service.timeout + RecordOwnerMargin;
    while (!stream->waitForHeader(PollWait)) {
        if (this->context.clock.now() > end || !this->context.membership.hasRecentHeartbeat(owner)) {
            throw Failure(ErrorKind::PeerLost, "entry host '" + owner + "' is silent");
        }
    }
    const Json::Value value = parseJson(stream->readAll(MaxAnswerBytes * 2, ConnectTimeout * 4));
    if (value.isMember("error")) {
        const Json::Value &error = value["error"];
        throw Failure(Error(errorKindFromName(jsonString(error, "kind")), jsonString(error, "message"), jsonBoolean(error, "not_run")));
    }
    return {static_cast<int>(jsonInteger(value, "status")), jsonString(value, "type"), decodeBase64(jsonString(value, "body")), jsonBoolean(value, "replayed")};
}

ServiceAnswer ServiceCalls::callThroughRecordOwner(const ServiceRequest &request, const Service &service)
{
    const std::string role = recordRole(recordShardOf(recordKeyOf(request)));
    const Time end = this->context.clock.now() + service.timeout;
    // Becomes false once a record owner may have started the call.
    bool notRun = true;
    Error last(ErrorKind::RecordsUnavailable, "no host owns the record of this call now");
    while (this->context.clock.now() < end) {
        std::string owner;
        const std::string address = this->context.membership.ownerAddress(role, &owner);
        try {
            if (owner == this->context.membership.self().name) {
                return this->asRecordOwner(request);
            }
            if (!address.empty() && this->context.membership.hasRecentHeartbeat(owner)) {
                return this->forwardToRecordOwner(address, owner, request, service);
            }
        } catch (const Failure &failure) {
            last = failure.error;
            notRun = notRun && failure.error.notRun;
            const ErrorKind kind = failure.error.kind;
            if (kind != ErrorKind::PeerLost && kind != ErrorKind::NotOwner && kind != ErrorKind::ShuttingDown) {
                break;
            }
        }
        this->context.clock.sleepFor(OwnerRetryDelay);
    }
    if (last.kind == ErrorKind::PeerLost || last.kind == ErrorKind::NotOwner || last.kind == ErrorKind::ShuttingDown) {
        last.kind = notRun ? ErrorKind::RecordsUnavailable : ErrorKind::OutcomeUnknown;
    }
    if (!notRun && answerFor(last.kind).notRun) {
        // An earlier record owner may have run the call, so a later refusal does not prove that it was not run.
        last.kind = last.kind == ErrorKind::IdempotencyMismatch ? last.kind : ErrorKind::OutcomeUnknown;
    }
    last.notRun = notRun;
    throw Failure(last);
}

} // namespace pimentosail
