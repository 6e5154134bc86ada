// The daemon process: builds all duties, starts them, and shuts them down without interrupting requests.
//
//     Clock clock;
//     Result<std::unique_ptr<Process>> process = Process::create(settings, clock);
//     (*process)->start();
//     (*process)->shutDown([] { return false; });   // graceful; returns the number of interrupted requests
//
// `create` binds the ports; nothing runs before `start`. Not thread-safe: one thread creates, starts and shuts down.
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

    // Ends gracefully: reports not ready, lets running requests finish until the shutdown deadline of the settings or until
    // `endNow` returns true, hands over its roles, and stops. Returns how many requests were interrupted. If there are any,
    // their threads still run and the caller must end the program without destroying this object.
    long shutDown(const std::function<bool()> &endNow);

private:
    class Implementation;

    explicit Process(std::unique_ptr<Implementation> processImplementation);

    std::unique_ptr<Implementation> implementation;
};

} // namespace pimentosail
