#include "Flow/DeadlineTimer.h"

#include <boost/asio/bind_executor.hpp>

namespace Guavalock
{

DeadlineTimer::DeadlineTimer(const boost::asio::any_io_executor &strand, Clock::TimePoint when, std::function<void()> handler)
    : m_state(std::make_shared<State>())
    , m_timer(strand)
{
    m_state->handler = std::move(handler);
    m_timer.expires_at(when);
    m_timer.async_wait(boost::asio::bind_executor(strand, [state = m_state](const boost::system::error_code &ec) {
        // The completion may already be queued when the timer is destroyed, so it checks the shared state before calling the handler.
        if (ec || !state->active) {
            return;
        }
        state->expired = true;
        state->handler();
    }));
}

DeadlineTimer::~DeadlineTimer()
{
    m_state->active = false;
}

bool DeadlineTimer::expired() const
{
    return m_state->expired;
}

} // namespace Guavalock
