#pragma once

#include <yaml-cpp/yaml.h>

#include <string>
#include <vector>

namespace Guavalock
{

struct SettingsError;

/// A YAML node of a settings file with its path from the root and the file name.
class SettingsNode
{
public:
    SettingsNode(YAML::Node node, std::string path, std::string file);

    const YAML::Node &yaml() const;
    const std::string &path() const;

    /// Returns the value of a key in this map.
    SettingsNode child(const std::string &key) const;

    /// Returns the element at an index of this sequence.
    SettingsNode element(std::size_t index) const;

    /// Describes the node for an error message: the quoted scalar or the node type.
    std::string describe() const;

    SettingsError error(const std::string &expected) const;

    /// Same as error(), without the value.
    SettingsError redactedError(const std::string &expected) const;
    SettingsError missingKeyError(const std::string &key, const std::string &expected) const;
    SettingsError unknownKeyError(const std::string &key, const YAML::Node &keyNode, const std::string &expected) const;

private:
    int line() const;

    YAML::Node m_node;
    std::string m_path;
    std::string m_file;
};

} // namespace Guavalock
