// One daemon: builds every duty, starts them, and shuts them down without cutting a request.
//
//     Clock clock;
//     Result<std::unique_ptr<Process>> process = Process::create(settings, clock);
//     (*process)->start();
//     (*process)->shutDown();   // graceful; returns the number of requests that were cut
//
// `create` binds the ports; nothing runs before `start`.
#pragma once

#include <memory>

#include "pimentosail/base/error.h"
#include "pimentosail/config/settings.h"

namespace pimentosail
{

class Process
{
public:
    // Builds a process. Returns an error if an address cannot be bound.
    static Result<std::unique_ptr<Process>> create(const Settings &settings, Clock &clock);

    ~Process();

    // Starts all duties and both servers.
    void start();

    // Ends gracefully: says not ready, lets running requests finish until the deadline of the settings or until
    // `hurry` returns true, hands the roles over, and stops. Returns how many requests were cut.
    long shutDown(const std::function<bool()> &hurry);

private:
    class Parts;

    explicit Process(std::unique_ptr<Parts> processParts);

    std::unique_ptr<Parts> parts;
};

} // namespace pimentosail
