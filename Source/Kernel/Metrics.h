#pragma once

#include "Kernel/RankedMutex.h"

#include <map>
#include <memory>
#include <string>

namespace Guavalock
{

class Counter;
class Distribution;
class Gauge;

/// Registry of all counters, gauges and distributions of one daemon, keyed by name and labels.
///
/// A name may include Prometheus labels, as in `stage_calls_total{stage="rerank"}`. Returned references stay valid for the
/// lifetime of the object, so callers on a hot path look them up once.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    Counter &counter(const std::string &name);
    Gauge &gauge(const std::string &name);
    Distribution &distribution(const std::string &name);

    /// Returns all metrics in the Prometheus text exposition format. Durations are in seconds.
    std::string prometheusText() const;

private:
    mutable RankedMutex m_mutex{LockRank::Metrics};
    std::map<std::string, std::unique_ptr<Counter>> m_counters;
    std::map<std::string, std::unique_ptr<Gauge>> m_gauges;
    std::map<std::string, std::unique_ptr<Distribution>> m_distributions;
};

} // namespace Guavalock
