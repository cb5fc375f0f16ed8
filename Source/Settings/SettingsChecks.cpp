#include "Settings/SettingsChecks.h"

#include "Kernel/PluginCatalogue.h"

#include <algorithm>
#include <sstream>

namespace Guavalock
{

namespace
{

constexpr std::size_t maxNameLength = 64;
constexpr const char *nameDescription = "a name of 1 to 64 lower-case letters, digits and dashes";

bool isNameCharacter(char it)
{
    return (it >= 'a' && it <= 'z') || (it >= '0' && it <= '9') || it == '-';
}

} // namespace

std::string formatSetting(std::size_t value)
{
    return std::to_string(value);
}

std::string formatSetting(double value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

std::string formatSetting(std::chrono::milliseconds value)
{
    return std::to_string(value.count()) + "ms";
}

bool isPlainName(const std::string &text)
{
    return !text.empty() && text.size() <= maxNameLength && std::ranges::all_of(text, isNameCharacter);
}

SettingsCheck<std::string> plainName()
{
    return [](const std::string &it) -> std::optional<std::string> {
        if (isPlainName(it)) {
            return std::nullopt;
        }
        return nameDescription;
    };
}

SettingsCheck<std::string> poolReference()
{
    return [](const std::string &it) -> std::optional<std::string> {
        const std::size_t slash = it.find('/');
        const bool valid
            = slash == std::string::npos ? isPlainName(it) : isPlainName(it.substr(0, slash)) && isPlainName(it.substr(slash + 1));
        if (valid) {
            return std::nullopt;
        }
        return "a pool of this team (NAME) or of another (TEAM/NAME)";
    };
}

SettingsCheck<std::string> httpPath()
{
    return [](const std::string &it) -> std::optional<std::string> {
        const bool printable = std::ranges::all_of(it, [](char c) { return c > ' ' && c < 127; });
        if (!it.empty() && it.front() == '/' && printable) {
            return std::nullopt;
        }
        return "an HTTP path that starts with a slash and contains only printable ASCII without spaces";
    };
}

SettingsCheck<std::string> pluginName(const std::string &kind)
{
    return [kind](const std::string &it) -> std::optional<std::string> {
        const PluginCatalogue &catalogue = PluginCatalogue::instance();
        if (catalogue.contains(kind, it)) {
            return std::nullopt;
        }
        std::string expected = "one of the " + kind + " plug-ins:";
        for (const std::string &name : catalogue.names(kind)) {
            expected += " " + name;
        }
        return expected;
    };
}

} // namespace Guavalock
