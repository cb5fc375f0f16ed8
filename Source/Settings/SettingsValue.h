#pragma once

#include "Settings/Endpoint.h"
#include "Settings/SettingsError.h"
#include "Settings/SettingsNode.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Guavalock
{

/// Each readSetting fills in a value from a node. On failure it adds an error and leaves the value as it was.
using SettingsErrors = std::vector<SettingsError>;

bool readSetting(const SettingsNode &node, std::string &value, SettingsErrors &errors);
bool readSetting(const SettingsNode &node, bool &value, SettingsErrors &errors);
bool readSetting(const SettingsNode &node, std::size_t &value, SettingsErrors &errors);
bool readSetting(const SettingsNode &node, double &value, SettingsErrors &errors);
bool readSetting(const SettingsNode &node, Endpoint &value, SettingsErrors &errors);

/// Reads a whole number with a unit: ms, s, min or h.
bool readSetting(const SettingsNode &node, std::chrono::milliseconds &value, SettingsErrors &errors);

/// Reads a duration such as `300ms`. Returns nothing when the form is wrong or the number is out of range.
std::optional<std::chrono::milliseconds> parseDuration(const std::string &text);

/// Reads a struct that has a static fields() with its FieldTable.
template <class Struct>
requires requires
{
    Struct::fields();
}
bool readSetting(const SettingsNode &node, Struct &value, SettingsErrors &errors)
{
    return Struct::fields().read(node, value, errors);
}

template <class Item>
bool readSetting(const SettingsNode &node, std::vector<Item> &value, SettingsErrors &errors)
{
    if (!node.yaml().IsSequence()) {
        errors.push_back(node.error("a list"));
        return false;
    }
    std::vector<Item> items(node.yaml().size());
    bool good = true;
    for (std::size_t it = 0; it < items.size(); ++it) {
        good = readSetting(node.element(it), items[it], errors) && good;
    }
    value = std::move(items);
    return good;
}

template <class Item>
bool readSetting(const SettingsNode &node, std::optional<Item> &value, SettingsErrors &errors)
{
    Item item{};
    if (!readSetting(node, item, errors)) {
        return false;
    }
    value = std::move(item);
    return true;
}

} // namespace Guavalock
