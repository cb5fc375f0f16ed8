#pragma once

#include <chrono>
#include <csignal>

namespace Guavalock
{

/// Receives the signals that control a daemon. SIGTERM and SIGINT stop it, SIGHUP makes it read its settings again.
class SignalReceiver
{
public:
    enum class Signal {
        None, ///< None arrived in time.
        Reload,
        Stop,
    };

    /// Blocks the signals in the calling thread and in all threads that it starts later, so that they wait for wait(). Ignores SIGPIPE.
    SignalReceiver();

    /// Waits for the next signal. One that arrived since the construction is returned at once.
    Signal wait(std::chrono::milliseconds timeout) const;

private:
    sigset_t m_signals{};
};

} // namespace Guavalock
