#include "pimentosail/delivery/exposurelimiter.h"

#include <algorithm>

namespace pimentosail
{

namespace
{

// Requests that a host saves up at most while none of the watched targets takes one, so that they do not arrive there all at once later.
constexpr double MaxSaved = 2;

} // namespace

void ExposureLimiter::setShare(const std::string &service, double share)
{
    const std::lock_guard lock(this->mutex);
    Allowance &allowance = this->services[service];
    const double newShare = std::clamp(share, 0.0, 1.0);
    if (newShare < allowance.share) {
        allowance.saved *= newShare / allowance.share;
    }
    allowance.share = newShare;
}

bool ExposureLimiter::mayUseNewVersion(const std::string &service)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return false;
    }
    found->second.saved = std::min(found->second.saved + found->second.share, MaxSaved);
    return takeOne(found->second);
}

bool ExposureLimiter::mayRetryOnNewVersion(const std::string &service)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->services.find(service);
    return found != this->services.end() && takeOne(found->second);
}

void ExposureLimiter::giveBack(const std::string &service)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->services.find(service);
    // After the share went to 0 nothing may be saved.
    if (found != this->services.end() && found->second.share > 0) {
        found->second.saved = std::min(found->second.saved + 1, MaxSaved);
    }
}

void ExposureLimiter::remove(const std::string &service)
{
    const std::lock_guard lock(this->mutex);
    this->services.erase(service);
}

bool ExposureLimiter::takeOne(Allowance &allowance)
{
    if (allowance.saved < 1) {
        return false;
    }
    allowance.saved -= 1;
    return true;
}

} // namespace pimentosail
