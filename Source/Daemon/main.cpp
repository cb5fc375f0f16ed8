#include "Daemon/Daemon.h"
#include "Daemon/SignalReceiver.h"
#include "Daemon/StartupWait.h"
#include "Kernel/Log.h"
#include "Kernel/Registry.h"
#include "Net/AddressCheck.h"
#include "Settings/SettingsFile.h"
#include "Site/Site.h"
#include "Site/SiteDaemon.h"

#include <boost/system/system_error.hpp>

#include <chrono>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace
{

using namespace Guavalock;

constexpr int exitUsage = 2; ///< The command line is invalid or names an unknown site plug-in.
constexpr int exitSettings = 5; ///< The settings cannot be read or are invalid.
constexpr int exitListenFailed = 6; ///< A listening address cannot be bound.
constexpr int exitRequestsAborted = 3; ///< Requests were still in progress when the stop time-out passed.
/// Interval at which the settings file is checked for changes: 2 s, the time within which other changes of the configuration take effect.
constexpr std::chrono::seconds settingsCheckInterval{2};
/// The settings may still be being written when the daemon starts.
constexpr std::chrono::seconds settingsTimeout{5};
/// Above the grace period of a daemon that still stops on the same addresses.
constexpr std::chrono::seconds addressTimeout{30};

/// Waits until the daemon can listen on its addresses, and logs the first one that it waits for.
template <class AnyDaemon>
StartupWait::Result awaitAddresses(const AnyDaemon &daemon, const SignalReceiver &signals)
{
    bool logged = false;
    const auto areAvailable = [&] {
        const std::optional<AddressCheck::Unavailable> found = AddressCheck::findUnavailable(daemon.listenAddresses());
        if (found && !logged) {
            logged = true;
            Log::warning("daemon", "address-unavailable", {{"address", found->address.text()}, {"reason", found->reason.message()}});
        }
        return !found;
    };
    return StartupWait(signals).until(areAvailable, addressTimeout);
}

/// Runs a daemon until the first stop signal. Calls `reload` with true on SIGHUP, and with false periodically, since the settings file
/// may change without a signal.
template <class AnyDaemon, class Reload>
int serve(AnyDaemon &daemon, const SignalReceiver &signals, Reload reload)
{
    if (awaitAddresses(daemon, signals) == StartupWait::Result::Stopped) {
        return 0;
    }
    try {
        daemon.start();
    } catch (const boost::system::system_error &e) {
        std::cerr << "guavalockd: cannot listen: " << e.what() << "; check the addresses in the settings and which process uses them\n";
        return exitListenFailed;
    }
    using Signal = SignalReceiver::Signal;
    for (Signal signal = Signal::None; signal != Signal::Stop;) {
        signal = signals.wait(settingsCheckInterval);
        if (signal != Signal::Stop) {
            reload(signal == Signal::Reload);
        }
    }
    return daemon.stop() ? 0 : exitRequestsAborted;
}

/// Serves with the settings and codecs of a site plug-in.
int serveSite(const std::string &name, const SignalReceiver &signals)
{
    const std::unique_ptr<Site> site = Registry<Site>::instance().create(name);
    if (!site) {
        std::cerr << "guavalockd: no site plug-in is named '" << name << "'; available:";
        for (const std::string &it : PluginCatalogue::instance().names(Site::pluginKind)) {
            std::cerr << ' ' << it;
        }
        std::cerr << '\n';
        return exitUsage;
    }
    Reason reason;
    std::optional<SiteSettings> settings;
    const auto areComplete = [&] {
        const bool isFirst = reason.text.empty();
        settings = site->settings({}, reason);
        if (!settings && isFirst) {
            std::cerr << "guavalockd: waiting for the settings: " << reason.text << '\n';
        }
        return settings.has_value();
    };
    const StartupWait::Result result = StartupWait(signals).until(areComplete, settingsTimeout);
    if (result == StartupWait::Result::Stopped) {
        return 0;
    }
    if (!settings) {
        std::cerr << "guavalockd: " << reason.text << '\n';
        return exitSettings;
    }
    Log::start(settings->self.vm);
    SiteDaemon daemon(*site, *settings);
    std::string lastError; // Reason of the last rejected reload. Periodic checks log the same reason only once.
    return serve(daemon, signals, [&](bool requested) {
        Reason reloadReason;
        const std::optional<SiteSettings> renewed = site->settings({}, reloadReason);
        if (!renewed && (requested || reloadReason.text != lastError)) {
            Log::warning("daemon", "reload-refused", {{"reason", reloadReason.text}});
        }
        lastError = renewed ? std::string() : reloadReason.text;
        if (renewed && (requested || *renewed != *settings)) {
            settings = renewed;
            daemon.reload(*renewed);
        }
    });
}

} // namespace

int main(int argc, char **argv)
{
    const SignalReceiver signals; // First, since a signal before it ends the process.
    const std::vector<std::string> args(argv + 1, argv + argc);
    if (args.size() == 2 && args.front() == "--site") {
        return serveSite(args.back(), signals);
    }
    if (args.size() != 1) {
        std::cerr << "usage: guavalockd SETTINGS.yaml\n       guavalockd --site PLUGIN\n";
        return exitUsage;
    }
    SettingsErrors errors;
    const std::optional<SettingsFile> file = SettingsFile::load(args.front(), errors);
    const std::optional<ProcessSettings> settings = file ? file->process(errors) : std::nullopt;
    for (const SettingsError &it : errors) {
        std::cerr << it.text() << '\n';
    }
    if (!settings || !errors.empty()) {
        return exitSettings;
    }
    Log::start(settings->vm);
    Daemon daemon(*settings);
    return serve(daemon, signals, [](bool requested) {
        if (requested) {
            Log::info("daemon", "reload-ignored", {{"reason", "settings are read only at startup"}});
        }
    });
}
