// Calls of plain services beside the engines. Repeatable calls are retried on another host; a call that may not be
// repeated runs at most once, through any entry host and across retries of its caller.
//
//     ServiceCalls calls(context);
//     ServiceAnswer answer = calls.fromCaller(request);   // on the entry host
//     ServiceAnswer answer = calls.onKeeper(request);     // on the owner of the record's shard
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
    bool replayed = false;
};

class ServiceCalls
{
public:
    explicit ServiceCalls(Context &processContext)
        : context(processContext)
    {
    }

    // Serves a caller's request. Throws `Failure`; notRun tells whether the service certainly did not run it.
    ServiceAnswer fromCaller(const ServiceRequest &request);

    // Runs a request at most once, as the owner of its record. Throws `Failure`.
    ServiceAnswer onKeeper(const ServiceRequest &request);

private:
    const Service &find(const std::string &name, ConfigurationPointer &configuration) const;
    ServiceAnswer callRepeatable(const ServiceRequest &request, const Service &service);
    ServiceAnswer callOnce(const ServiceRequest &request, const Service &service);
    ServiceAnswer callThroughKeeper(const ServiceRequest &request, const Service &service);
    ServiceAnswer relayToKeeper(const std::string &address, const std::string &owner, const ServiceRequest &request, const Service &service);
    HttpReply callHost(const FleetHost &host, const ServiceRequest &request, const Service &service);

    Context &context;
};

// Returns the headers and path by which a request travels to the keeper of its record.
HttpRequest encodeServiceRequest(const ServiceRequest &request);

// Parses such a request. Throws `Failure` (BadRequest).
ServiceRequest decodeServiceRequest(const std::string &header, const std::string &contentType, std::string body);

} // namespace pimentosail
