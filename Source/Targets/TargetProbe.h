#pragma once

#include "Decisions/LoadReport.h"
#include "Kernel/Clock.h"
#include "Settings/Endpoint.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <optional>

namespace Guavalock
{

/// Queries the load report of a target on a separate connection.
class TargetProbe
{
public:
    static constexpr std::chrono::milliseconds timeout{1'000};

    /// Returns the report, or nothing if the target does not send a valid one within the timeout. Runs on the given strand.
    static boost::asio::awaitable<std::optional<LoadReport>> query(boost::asio::any_io_executor strand, Endpoint endpoint);
};

} // namespace Guavalock
