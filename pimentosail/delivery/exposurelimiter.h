// Limits this host's requests to the watched version of a service to the delivery's share of its own requests, rounded down. The sum over all hosts
// therefore never exceeds the share, whatever each host knows of the others. A process starts with nothing.
//
//     ExposureLimiter limiter;
//     limiter.setShare("chat", 0.018);
//     bool mayUseNew = limiter.mayUseNewVersion("chat");   // once for each request
//     if (mayUseNew && !isSentToNewVersion) { limiter.giveBack("chat"); }
//
// Thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace pimentosail
{

class ExposureLimiter
{
public:
    // Sets the share of the requests to `service` that may go to its watched version. A smaller share applies at once also to what has been saved up.
    // 0 allows nothing.
    void setShare(const std::string &service, double share);

    // Counts one request to `service`. Returns true, and takes one from what the share allows, if the request may go to the watched version.
    bool mayUseNewVersion(const std::string &service);

    // Returns true, and takes one from what the share allows, if a request that was counted before may be sent to the watched version once more.
    bool mayRetryOnNewVersion(const std::string &service);

    // Gives back what was taken for a request that was not sent to the watched version.
    void giveBack(const std::string &service);

    // Drops what is known of `service`.
    void remove(const std::string &service);

private:
    struct Allowance
    {
        double share = 0;
        // Requests that may be sent now, with fractions.
        double saved = 0;
    };

    // Called with `mutex` locked.
    static bool takeOne(Allowance &allowance);

    std::mutex mutex;
    std::map<std::string, Allowance> services;
};

} // namespace pimentosail
