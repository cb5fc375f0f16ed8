#include "Peer/PeerCall.h"

#include "Flow/CancelScope.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Guavalock
{

namespace Asio = boost::asio;

PeerCall::PeerCall(Asio::any_io_executor strand)
    : m_strand(std::move(strand))
    , m_timer(m_strand)
{
}

void PeerCall::deliver(Message message)
{
    Asio::post(m_strand, [self = shared_from_this(), message = std::move(message)]() mutable {
        self->m_messages.push_back(std::move(message));
        self->m_timer.cancel();
    });
}

Asio::awaitable<std::optional<PeerCall::Message>> PeerCall::next(Clock::TimePoint deadline, Cancellation &cancellation)
{
    const auto self = shared_from_this();
    if (m_messages.empty() && !cancellation.cause()) {
        m_timer.expires_at(deadline);
        const CancelScope scope(cancellation, [this] { m_timer.cancel(); });
        co_await m_timer.async_wait(Asio::as_tuple(Asio::use_awaitable));
    }
    if (m_messages.empty()) {
        co_return std::nullopt;
    }
    Message message = std::move(m_messages.front());
    m_messages.pop_front();
    co_return message;
}

} // namespace Guavalock
