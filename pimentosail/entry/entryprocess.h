// The entry service of one host: the callers' and readiness servers, the mirror of the platform's store and all
// duties.
//
//     Result<std::unique_ptr<EntryProcess>> process = EntryProcess::create(settings, clock, log, wire, store);
//     (*process)->start();
//     (*process)->shutDown();
//
// `create` binds the ports; nothing runs before `start`.
#pragma once

#include <memory>

#include "pimentosail/entry/context.h"
#include "pimentosail/kv/prefixstore.h"

namespace pimentosail
{

class EntryProcess
{
public:
    // Builds a process. Returns an error if an address cannot be bound.
    static Result<std::unique_ptr<EntryProcess>> create(const EntrySettings &settings, Clock &clock, EventLog &log, const Wire &wire, const PrefixStore &store);

    ~EntryProcess();

    void start();

    // Says not ready, serves until the balancer has noticed and no request runs, or until shortly before the end of
    // the shutdown grace; returns how many requests were cut.
    long shutDown();

private:
    class Parts;

    explicit EntryProcess(std::unique_ptr<Parts> processParts);

    std::unique_ptr<Parts> parts;
};

} // namespace pimentosail
