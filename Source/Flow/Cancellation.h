#pragma once

#include "Decisions/RefusalCause.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Guavalock
{

/// Ends the work of one request early.
///
/// Everything done for a request runs on one strand; all members but request() are called there. Whoever waits for input or output
/// holds a CancelScope whose handler makes that wait end.
class Cancellation : public std::enable_shared_from_this<Cancellation>
{
public:
    using Handler = std::function<void()>;

    explicit Cancellation(boost::asio::any_io_executor strand);

    /// Cancels with a cause; the first cause stays.
    void cancel(RefusalCause cause);

    /// As cancel, from any thread.
    void request(RefusalCause cause);

    const std::optional<RefusalCause> &cause() const;

    const boost::asio::any_io_executor &strand() const;

private:
    friend class CancelScope;

    boost::asio::any_io_executor m_strand;
    std::optional<RefusalCause> m_cause;
    std::vector<Handler *> m_handlers;
};

} // namespace Guavalock
