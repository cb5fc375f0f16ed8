#pragma once

#include <chrono>
#include <optional>
#include <string>

#include <sys/types.h>

namespace Guavalock
{

/// One daemon as a process of its own. Only this process is ever signalled.
class SoakProcess
{
public:
    SoakProcess(std::string program, std::string settingsFile, std::string logFile);
    ~SoakProcess();

    SoakProcess(const SoakProcess &) = delete;
    SoakProcess &operator=(const SoakProcess &) = delete;

    void start();
    void signal(int number);

    /// Returns the exit status once the process has ended; a negative number is the signal that ended it.
    std::optional<int> ended();

    bool running() const;

private:
    std::string m_program;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_pid = 0;
};

} // namespace Guavalock
