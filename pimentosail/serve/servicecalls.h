// Calls plain services, which are back ends other than engines. Repeatable calls are retried on another host. A call that
// may not be repeated runs at most once; with an idempotency key this holds through any entry host and across retries of
// the caller.
//
//     ServiceCalls calls(context);
//     ServiceAnswer answer = calls.fromCaller(request);      // on the entry host
//     ServiceAnswer answer = calls.asRecordOwner(request);   // on the host that owns the record's shard
//
// Thread-safe; a call blocks its thread.
#pragma once

#include <string>

#include "pimentosail/serve/context.h"

namespace pimentosail
{

struct ServiceRequest
{
    std::string requestId;
    std::string team;
    std::string service;
    // Path below the service, with its leading slash.
    std::string path;
    std::string contentType;
    std::string body;
    // Empty if the caller gave none.
    std::string idempotencyKey;
};

struct ServiceAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    // True if this is the recorded answer of an earlier call with the same key.
    bool replayed = false;
};

class ServiceCalls
{
public:
    explicit ServiceCalls(Context &processContext)
        : context(processContext)
    {
    }

    // Serves a caller's request. Throws `Failure`; its notRun is true only if the service certainly did not run the request.
    ServiceAnswer fromCaller(const ServiceRequest &request);

    // Runs a request at most once, as the owner of its idempotency record. Throws `Failure` (NotOwner and others).
    ServiceAnswer asRecordOwner(const ServiceRequest &request);

private:
    const Service &find(const std::string &name, ConfigurationPointer &configuration) const;
    ServiceAnswer callRepeatable(const ServiceRequest &request, const Service &service);
    ServiceAnswer callOnce(const ServiceRequest &request, const Service &service);
    ServiceAnswer callThroughRecordOwner(const ServiceRequest &request, const Service &service);
    ServiceAnswer forwardToRecordOwner(const std::string &address, const std::string &owner, const ServiceRequest &request, const Service &service);
    HttpReply callHost(const FleetHost &host, const ServiceRequest &request, const Service &service);

    Context &context;
};

// Returns the HTTP request that forwards a service request to the owner of its record.
HttpRequest encodeServiceRequest(const ServiceRequest &request);

// Parses such a request. Throws `Failure` (BadRequest).
ServiceRequest decodeServiceRequest(const std::string &header, const std::string &contentType, std::string body);

} // namespace pimentosail
