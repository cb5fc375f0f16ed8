#pragma once

#include "Decisions/RefusalCause.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Guavalock
{

/// Cancels the work of one request.
///
/// All work of a request runs on one strand. All members except request() must be called on that strand. Code that waits for I/O
/// holds a CancelScope whose handler ends the wait.
class Cancellation : public std::enable_shared_from_this<Cancellation>
{
public:
    using Handler = std::function<void()>;

    explicit Cancellation(boost::asio::any_io_executor strand);

    /// Cancels the request with a cause. Later calls do not replace the first cause.
    void cancel(RefusalCause cause);

    /// Posts cancel() to the request's strand. Thread-safe.
    void requestCancel(RefusalCause cause);

    const std::optional<RefusalCause> &cause() const;

    const boost::asio::any_io_executor &strand() const;

private:
    friend class CancelScope;

    boost::asio::any_io_executor m_strand;
    std::optional<RefusalCause> m_cause;
    std::vector<Handler *> m_handlers;
};

} // namespace Guavalock
