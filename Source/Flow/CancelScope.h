#pragma once

#include "Flow/Cancellation.h"

namespace Guavalock
{

/// Registers a cancellation handler for the duration of one wait. Handlers run on the request's strand.
class CancelScope
{
public:
    CancelScope(Cancellation &cancellation, Cancellation::Handler handler);
    ~CancelScope();

    CancelScope(const CancelScope &) = delete;
    CancelScope &operator=(const CancelScope &) = delete;

private:
    Cancellation &m_cancellation;
    Cancellation::Handler m_handler;
};

} // namespace Guavalock
