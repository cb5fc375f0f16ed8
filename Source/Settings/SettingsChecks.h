#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

/// Returns nothing when a value is allowed, or else what is expected in its place.
template <class Value>
using SettingsCheck = std::function<std::optional<std::string>(const Value &)>;

/// Writes a number or a duration in milliseconds as it stands in a settings file.
std::string settingText(std::size_t value);
std::string settingText(double value);
std::string settingText(std::chrono::milliseconds value);

/// Allows values from low to high, both included.
template <class Value>
SettingsCheck<Value> between(Value low, Value high)
{
    return [low, high](const Value &it) -> std::optional<std::string> {
        if (it >= low && it <= high) {
            return std::nullopt;
        }
        return "a value from " + settingText(low) + " to " + settingText(high);
    };
}

/// Allows names of 1 to 64 lower-case letters, digits and dashes.
SettingsCheck<std::string> plainName();

/// Allows a name, or a team's and a name with a slash between them.
SettingsCheck<std::string> poolReference();

/// Allows an absolute HTTP path without blanks.
SettingsCheck<std::string> httpPath();

/// Allows the names of plug-ins of one kind; the error lists them.
SettingsCheck<std::string> pluginOf(const std::string &kind);

/// Allows lists that are not empty.
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
