#pragma once

#include "Kernel/RankedMutex.h"

#include <map>
#include <memory>
#include <string>

namespace Guavalock
{

class Counter;
class Distribution;

/// All counters and distributions of one daemon, by name and labels.
///
/// A name may carry Prometheus labels, as in `stage_calls_total{stage="rerank"}`. References stay valid for the life of the
/// object; callers on a hot path keep them.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    Counter &counter(const std::string &name);
    Distribution &distribution(const std::string &name);

    /// Returns every metric in the Prometheus text format; durations are in seconds.
    std::string prometheusText() const;

private:
    mutable RankedMutex m_mutex{LockRank::Metrics};
    std::map<std::string, std::unique_ptr<Counter>> m_counters;
    std::map<std::string, std::unique_ptr<Distribution>> m_distributions;
};

} // namespace Guavalock
