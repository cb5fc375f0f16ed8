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

/// Errors collected by readSetting, which reads a value from a node. On failure it appends an error and leaves scalar values unchanged.
using SettingsErrors = std::vector<SettingsError>;

bool readSetting(const SettingsNode &node, std::string &value, SettingsErrors &errors);
bool readSetting(const SettingsNode &node, bool &value, SettingsErrors &errors);
bool readSetting(const SettingsNode &node, std::size_t &value, SettingsErrors &errors);
bool readSetting(const SettingsNode &node, double &value, SettingsErrors &errors);
bool readSetting(const SettingsNode &node, Endpoint &value, SettingsErrors &errors);

/// Reads an integer with a unit: ms, s, min or h.
bool readSetting(const SettingsNode &node, std::chrono::milliseconds &value, SettingsErrors &errors);

/// Parses a duration such as `300ms`. Returns nothing if it is malformed or out of range.
std::optional<std::chrono::milliseconds> parseDuration(const std::string &text);

/// Reads a struct that defines its FieldTable in a static fields().
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
    bool valid = true;
    for (std::size_t it = 0; it < items.size(); ++it) {
        valid = readSetting(node.element(it), items[it], errors) && valid;
    }
    value = std::move(items);
    return valid;
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
