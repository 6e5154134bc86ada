// The entry service of one host: the HTTP servers for callers, readiness probes, other hosts and metrics, the mirror of
// the platform's key-value store, and all duties (threads).
//
//     Result<std::unique_ptr<EntryProcess>> process = EntryProcess::create(settings, clock, log, wire, store);
//     (*process)->start();
//     (*process)->shutDown();
//
// `create` binds the ports; no thread runs before `start`. One thread calls all functions.
#pragma once

#include <memory>

#include "pimentosail/entry/context.h"
#include "pimentosail/kv/prefixstore.h"

namespace pimentosail
{

class EntryProcess
{
public:
    // Creates the service and binds its addresses. Returns an error if one cannot be bound.
    static Result<std::unique_ptr<EntryProcess>> create(const EntrySettings &settings, Clock &clock, EventLog &log, const Wire &wire, const PrefixStore &store);

    ~EntryProcess();

    void start();

    // Reports not ready and serves until the load balancer has removed this host and no request is left, at most until
    // shortly before the end of the shutdown grace period. Returns the number of requests that were interrupted.
    long shutDown();

private:
    class Impl;

    explicit EntryProcess(std::unique_ptr<Impl> implementation);

    std::unique_ptr<Impl> impl;
};

} // namespace pimentosail
