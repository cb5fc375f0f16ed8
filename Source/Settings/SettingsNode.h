#pragma once

#include <yaml-cpp/yaml.h>

#include <string>
#include <vector>

namespace Guavalock
{

struct SettingsError;

/// A place in a settings file: its YAML node, its path from the top and the file's name.
class SettingsNode
{
public:
    SettingsNode(YAML::Node node, std::string path, std::string file);

    const YAML::Node &yaml() const;
    const std::string &path() const;

    /// Returns the node below a key of this map.
    SettingsNode child(const std::string &key) const;

    /// Returns the node at an index of this sequence.
    SettingsNode element(std::size_t index) const;

    /// Says what stands here, for an error: the scalar itself or the kind of node.
    std::string found() const;

    SettingsError error(const std::string &expected) const;

    /// As error, for a value that must not be shown.
    SettingsError hiddenError(const std::string &expected) const;
    SettingsError missing(const std::string &key, const std::string &expected) const;
    SettingsError unknownKey(const std::string &key, const YAML::Node &keyNode, const std::string &expected) const;

private:
    int line() const;

    YAML::Node m_node;
    std::string m_path;
    std::string m_file;
};

} // namespace Guavalock
