#include "Kernel/Metrics.h"

#include "Kernel/Counter.h"
#include "Kernel/Distribution.h"
#include "Kernel/Gauge.h"

#include <sstream>
#include <vector>

namespace Guavalock
{

namespace
{

constexpr std::string_view prefix = "guavalock_";

std::string withLabel(const std::string &name, const std::string &suffix, const std::string &label)
{
    const std::size_t brace = name.find('{');
    const std::string base = name.substr(0, brace) + suffix;
    if (brace == std::string::npos) {
        return label.empty() ? base : base + "{" + label + "}";
    }
    const std::string inner = name.substr(brace + 1, name.size() - brace - 2);
    return base + "{" + inner + (label.empty() ? "" : "," + label) + "}";
}

void writeDistribution(std::ostream &out, const std::string &name, const Distribution::Summary &summary)
{
    out << prefix << withLabel(name, "", "quantile=\"0.5\"") << ' ' << summary.median.count() << '\n';
    out << prefix << withLabel(name, "", "quantile=\"0.95\"") << ' ' << summary.p95.count() << '\n';
    out << prefix << withLabel(name, "", "quantile=\"0.99\"") << ' ' << summary.p99.count() << '\n';
    out << prefix << withLabel(name, "_sum", "") << ' ' << summary.sum.count() << '\n';
    out << prefix << withLabel(name, "_count", "") << ' ' << summary.count << '\n';
}

} // namespace

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

Counter &Metrics::counter(const std::string &name)
{
    const std::scoped_lock lock(m_mutex);
    std::unique_ptr<Counter> &it = m_counters[name];
    if (!it) {
        it = std::make_unique<Counter>();
    }
    return *it;
}

Gauge &Metrics::gauge(const std::string &name)
{
    const std::scoped_lock lock(m_mutex);
    std::unique_ptr<Gauge> &it = m_gauges[name];
    if (!it) {
        it = std::make_unique<Gauge>();
    }
    return *it;
}

Distribution &Metrics::distribution(const std::string &name)
{
    const std::scoped_lock lock(m_mutex);
    std::unique_ptr<Distribution> &it = m_distributions[name];
    if (!it) {
        it = std::make_unique<Distribution>();
    }
    return *it;
}

std::string Metrics::prometheusText() const
{
    std::vector<std::pair<std::string, const Distribution *>> distributions;
    std::ostringstream out;
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto &[name, counter] : m_counters) {
            out << prefix << name << ' ' << counter->value() << '\n';
        }
        for (const auto &[name, gauge] : m_gauges) {
            out << prefix << name << ' ' << gauge->value() << '\n';
        }
        for (const auto &[name, distribution] : m_distributions) {
            distributions.emplace_back(name, distribution.get());
        }
    }
    // Distribution::summary takes a lock of the same rank, so it is called after this object's lock is released.
    for (const auto &[name, distribution] : distributions) {
        writeDistribution(out, name, distribution->summary());
    }
    return out.str();
}

} // namespace Guavalock
