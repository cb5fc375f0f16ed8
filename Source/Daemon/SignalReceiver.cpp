#include "Daemon/SignalReceiver.h"

#include <ctime>

namespace Guavalock
{

SignalReceiver::SignalReceiver()
{
    sigemptyset(&m_signals);
    sigaddset(&m_signals, SIGTERM);
    sigaddset(&m_signals, SIGINT);
    sigaddset(&m_signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

SignalReceiver::Signal SignalReceiver::wait(std::chrono::milliseconds timeout) const
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout);
    const std::chrono::nanoseconds rest = timeout - seconds;
    const timespec limit{seconds.count(), rest.count()};
    const int signal = sigtimedwait(&m_signals, nullptr, &limit);
    if (signal < 0) {
        return Signal::None;
    }
    return signal == SIGHUP ? Signal::Reload : Signal::Stop;
}

} // namespace Guavalock
