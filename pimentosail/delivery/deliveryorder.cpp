#include "pimentosail/delivery/deliveryorder.h"

#include <cmath>
#include <optional>

namespace pimentosail
{

namespace
{

std::optional<std::string> findNameProblem(const char *field, const std::string &name)
{
    if (name.empty()) {
        return std::string(field) + ": is missing or empty";
    }
    if (name.size() > DeliveryOrder::MaxNameLength) {
        return std::string(field) + ": has " + std::to_string(name.size()) + " bytes, at most " + std::to_string(DeliveryOrder::MaxNameLength) + " are allowed";
    }
    return std::nullopt;
}

} // namespace

Result<DeliveryOrder> DeliveryOrder::make(std::string service, std::string version, double durationSeconds, const StorePosition &position)
{
    for (const auto &problem : {findNameProblem("service", service), findNameProblem("version", version)}) {
        if (problem) {
            return failed(ErrorKind::InvalidConfiguration, *problem);
        }
    }
    // The comparison is also false for a value that is not a number.
    if (!(durationSeconds > 0) || std::isinf(durationSeconds)) {
        return failed(ErrorKind::InvalidConfiguration, "duration: must be a positive number of seconds");
    }
    if (durationSeconds > toSeconds(MaxDuration)) {
        return failed(ErrorKind::InvalidConfiguration, "duration: is longer than a day");
    }
    const Duration duration = fromSeconds(durationSeconds);
    if (duration <= Duration(0)) {
        return failed(ErrorKind::InvalidConfiguration, "duration: is shorter than a microsecond");
    }
    return DeliveryOrder{std::move(service), std::move(version), duration, position};
}

} // namespace pimentosail
