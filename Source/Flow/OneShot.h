#pragma once

#include "Flow/CancelScope.h"
#include "Kernel/Clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace Guavalock
{

/// A single-value channel: one operation waits for the value on its strand, and any thread may set it once.
///
/// Must be owned by a shared_ptr. A value that arrives after the wait has ended is passed to the late handler on the strand.
template <class Value>
class OneShot : public std::enable_shared_from_this<OneShot<Value>>
{
public:
    using LateHandler = std::function<void(Value)>;

    explicit OneShot(boost::asio::any_io_executor strand, LateHandler lateHandler = {})
        : m_strand(std::move(strand))
        , m_timer(m_strand)
        , m_lateHandler(std::move(lateHandler))
    {
    }

    /// Sets the value. Thread-safe; values after the first are ignored.
    void set(Value value)
    {
        boost::asio::post(m_strand,
                          [self = this->shared_from_this(), value = std::move(value)]() mutable { self->accept(std::move(value)); });
    }

    /// Waits for the value. Returns nothing when the time is reached or the request is cancelled first.
    boost::asio::awaitable<std::optional<Value>> wait(Clock::TimePoint until, Cancellation &cancellation)
    {
        const auto self = this->shared_from_this();
        if (!m_value && !cancellation.cause()) {
            m_timer.expires_at(until);
            const CancelScope scope(cancellation, [this] { m_timer.cancel(); });
            co_await m_timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        m_waitEnded = true;
        co_return std::move(m_value);
    }

private:
    void accept(Value value)
    {
        if (m_waitEnded) {
            if (m_lateHandler) {
                m_lateHandler(std::move(value));
            }
            return;
        }
        if (!m_value) {
            m_value = std::move(value);
            m_timer.cancel();
        }
    }

    boost::asio::any_io_executor m_strand;
    boost::asio::steady_timer m_timer;
    LateHandler m_lateHandler;
    std::optional<Value> m_value;
    bool m_waitEnded = false;
};

} // namespace Guavalock
