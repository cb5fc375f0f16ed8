#pragma once

#include "Kernel/Clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace Guavalock
{

/// Calls a handler on a strand at a given time, unless the timer is destroyed first.
class DeadlineTimer
{
public:
    DeadlineTimer(const boost::asio::any_io_executor &strand, Clock::TimePoint when, std::function<void()> handler);
    ~DeadlineTimer();

    DeadlineTimer(const DeadlineTimer &) = delete;
    DeadlineTimer &operator=(const DeadlineTimer &) = delete;

    /// Returns whether the handler has been called.
    bool expired() const;

private:
    struct State {
        std::function<void()> handler;
        bool active = true;
        bool expired = false;
    };

    std::shared_ptr<State> m_state;
    boost::asio::steady_timer m_timer;
};

} // namespace Guavalock
