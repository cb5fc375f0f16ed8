#pragma once

#include "Decisions/ProbePlan.h"
#include "Tables/TargetTable.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <set>
#include <string>

namespace Guavalock
{

struct Services;

/// Asks targets for their load when no answer has brought a report for a while, within a fixed rate.
class TargetProber
{
public:
    explicit TargetProber(const Services &services);

    void start();

private:
    boost::asio::awaitable<void> probe();
    boost::asio::awaitable<void> ask(TargetTable::Probe probe);

    const Services &m_services;
    boost::asio::any_io_executor m_strand;
    ProbePlan m_plan;
    std::set<std::string> m_asking; ///< Targets whose answer is awaited.
};

} // namespace Guavalock
