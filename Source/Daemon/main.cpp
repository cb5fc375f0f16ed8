#include "Daemon/Daemon.h"
#include "Kernel/Log.h"
#include "Settings/SettingsFile.h"

#include <boost/system/system_error.hpp>

#include <csignal>
#include <iostream>

namespace
{

using namespace Guavalock;

constexpr int exitUsage = 2;
constexpr int exitSettings = 5;
constexpr int exitAddress = 6;
constexpr int exitCut = 3;

/// Blocks the stop signals in every thread, so that the main thread can wait for one.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int serve(const ProcessSettings &settings)
{
    const sigset_t signals = blockStopSignals();
    Log::start(settings.vm);
    Daemon daemon(settings);
    try {
        daemon.start();
    } catch (const boost::system::system_error &e) {
        std::cerr << "guavalockd: cannot listen: " << e.what() << "; check the addresses in the settings\n";
        return exitAddress;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    return daemon.stop() ? 0 : exitCut;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: guavalockd SETTINGS.yaml\n";
        return exitUsage;
    }
    SettingsErrors errors;
    const std::optional<SettingsFile> file = SettingsFile::load(argv[1], errors);
    const std::optional<ProcessSettings> settings = file ? file->process(errors) : std::nullopt;
    for (const SettingsError &it : errors) {
        std::cerr << it.text() << '\n';
    }
    if (!settings || !errors.empty()) {
        return exitSettings;
    }
    return serve(*settings);
}
