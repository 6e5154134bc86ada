#include "pimentosail/metrics/metrics.h"

#include <prometheus/text_serializer.h>

namespace pimentosail
{

namespace
{

// Upper bounds in seconds.
const prometheus::Histogram::BucketBoundaries LatencyBuckets{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 1.7, 3, 5, 10, 30, 60};

// Returns the family called `name`; `create` registers it when it is first used.
template <typename Family, typename Create>
Family &findOrCreateFamily(std::map<std::string, Family *> &families, const std::string &name, const Create &create)
{
    const auto found = families.find(name);
    if (found != families.end()) {
        return *found->second;
    }
    Family &family = create();
    families.emplace(name, &family);
    return family;
}

} // namespace

void Metrics::count(const std::string &name, const Labels &labels, double amount)
{
    const std::lock_guard lock(this->mutex);
    findOrCreateFamily(
        this->counters, name, [&]() -> auto & { return prometheus::BuildCounter().Name(name).Register(this->registry); })
        .Add(labels)
        .Increment(amount);
}

void Metrics::set(const std::string &name, const Labels &labels, double value)
{
    const std::lock_guard lock(this->mutex);
    findOrCreateFamily(
        this->gauges, name, [&]() -> auto & { return prometheus::BuildGauge().Name(name).Register(this->registry); })
        .Add(labels)
        .Set(value);
}

void Metrics::observeSeconds(const std::string &name, const Labels &labels, double seconds)
{
    const std::lock_guard lock(this->mutex);
    findOrCreateFamily(
        this->histograms, name, [&]() -> auto & { return prometheus::BuildHistogram().Name(name).Register(this->registry); })
        .Add(labels, LatencyBuckets)
        .Observe(seconds);
}

std::string Metrics::print() const
{
    return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

double Metrics::counterValue(const std::string &name, const Labels &labels)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->counters.find(name);
    return found == this->counters.end() ? 0 : found->second->Add(labels).Value();
}

} // namespace pimentosail
