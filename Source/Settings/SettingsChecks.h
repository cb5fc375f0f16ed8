#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

/// Validates a value. Returns nothing if it is valid, otherwise a description of the expected value.
template <class Value>
using SettingsCheck = std::function<std::optional<std::string>(const Value &)>;

/// Formats a value in settings file syntax.
std::string formatSetting(std::size_t value);
std::string formatSetting(double value);
std::string formatSetting(std::chrono::milliseconds value);

/// Accepts values from low to high, inclusive.
template <class Value>
SettingsCheck<Value> between(Value low, Value high)
{
    return [low, high](const Value &it) -> std::optional<std::string> {
        if (it >= low && it <= high) {
            return std::nullopt;
        }
        return "a value from " + formatSetting(low) + " to " + formatSetting(high);
    };
}

/// Accepts names of 1 to 64 lower-case letters, digits and dashes.
SettingsCheck<std::string> plainName();

/// Accepts NAME or TEAM/NAME.
SettingsCheck<std::string> poolReference();

/// Accepts an absolute HTTP path of printable ASCII characters without spaces.
SettingsCheck<std::string> httpPath();

/// Accepts the name of a registered plug-in of a kind; the error message lists the valid names.
SettingsCheck<std::string> pluginName(const std::string &kind);

/// Accepts non-empty lists.
template <class Item>
SettingsCheck<std::vector<Item>> notEmpty()
{
    return [](const std::vector<Item> &it) -> std::optional<std::string> {
        if (!it.empty()) {
            return std::nullopt;
        }
        return "a list with at least one entry";
    };
}

/// Returns whether text is a name of 1 to 64 lower-case letters, digits and dashes.
bool isPlainName(const std::string &text);

} // namespace Guavalock
