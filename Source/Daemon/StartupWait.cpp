#include "Daemon/StartupWait.h"

#include "Daemon/SignalReceiver.h"

namespace Guavalock
{

namespace
{

constexpr std::chrono::milliseconds pollInterval{100}; ///< Short compared to the start of a daemon's service.

} // namespace

StartupWait::StartupWait(const SignalReceiver &signals)
    : m_signals(signals)
{
}

StartupWait::Result StartupWait::until(const std::function<bool()> &isReady, std::chrono::milliseconds limit) const
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!isReady()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return Result::TimedOut;
        }
        if (m_signals.wait(pollInterval) == SignalReceiver::Signal::Stop) {
            return Result::Stopped;
        }
    }
    return Result::Ready;
}

} // namespace Guavalock
