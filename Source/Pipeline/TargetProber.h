#pragma once

#include "Decisions/ProbeRateLimiter.h"
#include "Tables/TargetTable.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <set>
#include <string>

namespace Guavalock
{

struct DaemonContext;

/// Probes targets whose latest load report is too old, at a limited rate.
class TargetProber
{
public:
    explicit TargetProber(const DaemonContext &context);

    void start();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> probeTarget(TargetTable::Probe probe);

    const DaemonContext &m_context;
    boost::asio::any_io_executor m_strand;
    ProbeRateLimiter m_plan;
    std::set<std::string> m_inProgress; ///< Targets with a probe in progress.
};

} // namespace Guavalock
