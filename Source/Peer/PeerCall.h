#pragma once

#include "Flow/AttemptResult.h"
#include "Flow/GeneratedToken.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <variant>
#include <vector>

namespace Guavalock
{

class Cancellation;

/// Queue of the messages that a peer sends for one stage call, read by the waiting request. Owned by a shared_ptr.
class PeerCall : public std::enable_shared_from_this<PeerCall>
{
public:
    using Message = std::variant<std::vector<GeneratedToken>, AttemptResult>;

    explicit PeerCall(boost::asio::any_io_executor strand);

    /// Adds a message. Thread-safe.
    void deliver(Message message);

    /// Returns the next message, or nothing if the deadline passes or the request is cancelled first. Must be called on the strand.
    boost::asio::awaitable<std::optional<Message>> next(Clock::TimePoint deadline, Cancellation &cancellation);

private:
    boost::asio::any_io_executor m_strand;
    boost::asio::steady_timer m_timer;
    std::deque<Message> m_messages;
};

} // namespace Guavalock
