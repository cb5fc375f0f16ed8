#include "FakePlatform.h"
#include "FakeTarget.h"
#include "Kernel/WorkerPool.h"
#include "Settings/FieldTable.h"
#include "Settings/SettingsFile.h"
#include "StandInSettings.h"

#include <csignal>
#include <iostream>
#include <memory>

using namespace Guavalock;

/// Runs the fakes listed in a settings file until SIGTERM or SIGINT.
int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: guavalock-standin SETTINGS.yaml\n";
        return 2;
    }
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    SettingsErrors errors;
    StandInSettings settings;
    const std::optional<SettingsFile> file = SettingsFile::load(argv[1], errors);
    if (!file || !readSetting(file->root(), settings, errors)) {
        for (const SettingsError &it : errors) {
            std::cerr << it.text() << '\n';
        }
        return 5;
    }
    WorkerPool pool(1);
    std::unique_ptr<FakePlatform> platform;
    if (settings.platformPort != 0) {
        platform = std::make_unique<FakePlatform>(pool.executor(), static_cast<std::uint16_t>(settings.platformPort));
        platform->start();
    }
    std::vector<std::unique_ptr<FakeTarget>> targets;
    for (const FakeTargetSettings &it : settings.targets) {
        targets.push_back(std::make_unique<FakeTarget>(pool.executor(), it));
        targets.back()->start();
    }
    int signal = 0;
    sigwait(&signals, &signal);
    pool.stop();
    return 0;
}
