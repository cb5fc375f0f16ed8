#include "Flow/CancelScope.h"

namespace Guavalock
{

CancelScope::CancelScope(Cancellation &cancellation, Cancellation::Handler handler)
    : m_cancellation(cancellation)
    , m_handler(std::move(handler))
{
    m_cancellation.m_handlers.push_back(&m_handler);
}

CancelScope::~CancelScope()
{
    std::erase(m_cancellation.m_handlers, &m_handler);
}

} // namespace Guavalock
