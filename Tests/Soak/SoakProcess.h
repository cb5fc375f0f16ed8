#pragma once

#include <chrono>
#include <optional>
#include <string>

#include <sys/types.h>

namespace Guavalock
{

/// A daemon in a child process. Signals are sent to this process only.
class SoakProcess
{
public:
    SoakProcess(std::string program, std::string settingsFile, std::string logFile);
    ~SoakProcess();

    SoakProcess(const SoakProcess &) = delete;
    SoakProcess &operator=(const SoakProcess &) = delete;

    void start();
    void sendSignal(int number);

    /// Returns the exit status when the process has ended, or the negated number of the signal that terminated it.
    std::optional<int> pollExitStatus();

    bool running() const;

private:
    std::string m_program;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_pid = 0;
};

} // namespace Guavalock
