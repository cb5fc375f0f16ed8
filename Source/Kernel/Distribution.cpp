#include "Kernel/Distribution.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace Guavalock
{

namespace
{

namespace Acc = boost::accumulators;

using QuantileSet = Acc::accumulator_set<double, Acc::stats<Acc::tag::p_square_quantile>>;
using TotalSet = Acc::accumulator_set<double, Acc::stats<Acc::tag::count, Acc::tag::sum>>;

} // namespace

struct Distribution::Accumulators {
    TotalSet total;
    QuantileSet median{Acc::quantile_probability = 0.5};
    QuantileSet p95{Acc::quantile_probability = 0.95};
    QuantileSet p99{Acc::quantile_probability = 0.99};
};

Distribution::Distribution()
    : m_accumulators(std::make_unique<Accumulators>())
{
}

Distribution::~Distribution() = default;

void Distribution::observe(std::chrono::nanoseconds value)
{
    const double seconds = std::chrono::duration<double>(value).count();
    const std::scoped_lock lock(m_mutex);
    m_accumulators->total(seconds);
    m_accumulators->median(seconds);
    m_accumulators->p95(seconds);
    m_accumulators->p99(seconds);
}

Distribution::Summary Distribution::summary() const
{
    using Seconds = std::chrono::duration<double>;
    const std::scoped_lock lock(m_mutex);
    Summary summary;
    summary.count = Acc::count(m_accumulators->total);
    if (summary.count == 0) {
        return summary;
    }
    summary.sum = Seconds(Acc::sum(m_accumulators->total));
    summary.median = Seconds(Acc::p_square_quantile(m_accumulators->median));
    summary.p95 = Seconds(Acc::p_square_quantile(m_accumulators->p95));
    summary.p99 = Seconds(Acc::p_square_quantile(m_accumulators->p99));
    return summary;
}

} // namespace Guavalock
