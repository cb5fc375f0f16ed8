#include "Settings/ProcessSettings.h"

#include "Settings/FieldTable.h"

#include <algorithm>
#include <set>

namespace Guavalock
{

namespace
{

constexpr std::size_t maxWorkers = 256;
constexpr std::size_t minKeyLength = 16;

constexpr const char *secretDescription = "a shared secret of at least 16 characters";

SettingsCheck<std::string> secret()
{
    return [](const std::string &it) -> std::optional<std::string> {
        if (it.size() >= minKeyLength) {
            return std::nullopt;
        }
        return secretDescription;
    };
}

SettingsCheck<std::vector<std::string>> secrets()
{
    return [](const std::vector<std::string> &list) -> std::optional<std::string> {
        if (std::ranges::all_of(list, [](const std::string &it) { return it.size() >= minKeyLength; })) {
            return std::nullopt;
        }
        return "a list of shared secrets of at least 16 characters each";
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
        it.required("callers", &ProcessSettings::callers, "the IP address and port for callers");
        it.required("administration", &ProcessSettings::administration, "the IP address and port for administration");
        it.required("peer_listen", &ProcessSettings::peerListen, "the IP address and port for peers");
        it.secret("peer_key", &ProcessSettings::peerKey, secretDescription, secret());
        it.optional("accepted_peer_keys", &ProcessSettings::acceptedPeerKeys, secrets());
        it.optional("peers", &ProcessSettings::peers);
        it.optional("platform_plugin", &ProcessSettings::platformPlugin, pluginName("platform"));
        it.required("platform", &ProcessSettings::platform, "the IP address and port of the platform's log service");
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
