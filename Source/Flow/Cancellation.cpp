#include "Flow/Cancellation.h"

#include <boost/asio/post.hpp>

namespace Guavalock
{

Cancellation::Cancellation(boost::asio::any_io_executor strand)
    : m_strand(std::move(strand))
{
}

void Cancellation::cancel(RefusalCause cause)
{
    if (m_cause) {
        return;
    }
    m_cause = cause;
    for (Handler *it : m_handlers) {
        (*it)();
    }
}

void Cancellation::requestCancel(RefusalCause cause)
{
    boost::asio::post(m_strand, [self = shared_from_this(), cause] { self->cancel(cause); });
}

const std::optional<RefusalCause> &Cancellation::cause() const
{
    return m_cause;
}

const boost::asio::any_io_executor &Cancellation::strand() const
{
    return m_strand;
}

} // namespace Guavalock
