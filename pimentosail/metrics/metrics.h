// The metrics of the process (prometheus-cpp): counters, gauges and histograms with labels, printed for /metrics.
// A metric is created when it is first used.
//
//     metrics.count("pimentosail_requests_total", {{"kind", "ok"}});
//     std::string text = metrics.print();
//
// Thread-safe.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace pimentosail
{

class Metrics
{
public:
    using Labels = std::map<std::string, std::string>;

    // Adds `amount`, which is not negative, to a counter.
    void count(const std::string &name, const Labels &labels, double amount = 1);

    // Sets a gauge.
    void set(const std::string &name, const Labels &labels, double value);

    // Adds an observation in seconds to a latency histogram.
    void observeSeconds(const std::string &name, const Labels &labels, double seconds);

    // Returns all metrics in the Prometheus text format.
    std::string print() const;

    // Returns the current value of a counter, or 0 if it was not used. If the name was used with other labels
    // only, the call creates the counter.
    double counterValue(const std::string &name, const Labels &labels);

private:
    std::mutex mutex;
    prometheus::Registry registry;
    std::map<std::string, prometheus::Family<prometheus::Counter> *> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge> *> gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram> *> histograms;
};

} // namespace pimentosail
