#include "Settings/ProcessSettings.h"

#include "Settings/FieldTable.h"

#include <set>

namespace Guavalock
{

namespace
{

constexpr std::size_t maxWorkers = 256;
constexpr std::size_t minKeyLength = 16;

SettingsCheck<std::string> secret()
{
    return [](const std::string &it) -> std::optional<std::string> {
        if (it.size() >= minKeyLength) {
            return std::nullopt;
        }
        return "a shared secret of at least 16 characters";
    };
}

} // namespace

const FieldTable<ProcessSettings> &ProcessSettings::fields()
{
    static const FieldTable<ProcessSettings> table = [] {
        FieldTable<ProcessSettings> it;
        it.required("vm", &ProcessSettings::vm, "the name of this VM", plainName());
        it.required("data_centre", &ProcessSettings::dataCentre, "the name of this VM's data centre", plainName());
        it.optional("workers", &ProcessSettings::workers, between<std::size_t>(0, maxWorkers));
        it.required("callers", &ProcessSettings::callers, "the IP number and port for callers");
        it.required("administration", &ProcessSettings::administration, "the IP number and port for administration");
        it.required("peer_listen", &ProcessSettings::peerListen, "the IP number and port for peers");
        it.required("peer_key", &ProcessSettings::peerKey, "a shared secret of at least 16 characters", secret());
        it.optional("peers", &ProcessSettings::peers);
        it.optional("platform_plugin", &ProcessSettings::platformPlugin, pluginOf("platform"));
        it.required("platform", &ProcessSettings::platform, "the IP number and port of the platform's log service");
        it.optional("limits", &ProcessSettings::limits);
        return it;
    }();
    return table;
}

std::vector<std::string> ProcessSettings::neighbours() const
{
    std::set<std::string> names{vm};
    for (const PeerSettings &it : peers) {
        if (it.dataCentre == dataCentre) {
            names.insert(it.vm);
        }
    }
    return {names.begin(), names.end()};
}

} // namespace Guavalock
