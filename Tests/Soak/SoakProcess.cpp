#include "SoakProcess.h"

#include <array>
#include <csignal>
#include <cstdlib>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Guavalock
{

SoakProcess::SoakProcess(std::string program, std::string settingsFile, std::string logFile)
    : m_program(std::move(program))
    , m_settingsFile(std::move(settingsFile))
    , m_logFile(std::move(logFile))
{
}

SoakProcess::~SoakProcess()
{
    if (m_pid != 0) {
        sendSignal(SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

void SoakProcess::start()
{
    const std::string variable = "GUAVALOCK_NODE_FILE=" + m_settingsFile;
    const std::array<const char *, 4> arguments{m_program.c_str(), "--site", "platform", nullptr};
    const std::array<const char *, 2> environment{variable.c_str(), nullptr};
    const int log = ::open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    m_pid = ::fork();
    if (m_pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // The daemon must not outlive the run.
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::close_range(STDERR_FILENO + 1, ~0U, 0); // The daemon must not keep this process's connections open.
        ::execve(m_program.c_str(), const_cast<char *const *>(arguments.data()), const_cast<char *const *>(environment.data()));
        ::_exit(127);
    }
    ::close(log);
}

void SoakProcess::sendSignal(int number)
{
    if (m_pid > 0) {
        ::kill(m_pid, number);
    }
}

std::optional<int> SoakProcess::pollExitStatus()
{
    int status = 0;
    if (m_pid == 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid) {
        return std::nullopt;
    }
    m_pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

bool SoakProcess::running() const
{
    return m_pid != 0;
}

} // namespace Guavalock
