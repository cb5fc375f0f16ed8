#pragma once

#include <chrono>
#include <functional>

namespace Guavalock
{

class SignalReceiver;

/// Waits during startup for what another process provides, such as the settings or an address that a stopping daemon still uses.
class StartupWait
{
public:
    enum class Result {
        Ready,
        Stopped, ///< A stop signal arrived.
        TimedOut,
    };

    explicit StartupWait(const SignalReceiver &signals);

    /// Calls `isReady` until it returns true, a stop signal arrives or the time limit is reached. Calls it at least once, and at once
    /// after SIGHUP.
    Result until(const std::function<bool()> &isReady, std::chrono::milliseconds limit) const;

private:
    const SignalReceiver &m_signals;
};

} // namespace Guavalock
