#include "Settings/SettingsNode.h"

#include "Settings/SettingsError.h"

namespace Guavalock
{

namespace
{

std::string joinPath(const std::string &path, const std::string &key)
{
    return path.empty() ? key : path + "." + key;
}

} // namespace

SettingsNode::SettingsNode(YAML::Node node, std::string path, std::string file)
    : m_node(std::move(node))
    , m_path(std::move(path))
    , m_file(std::move(file))
{
}

const YAML::Node &SettingsNode::yaml() const
{
    return m_node;
}

const std::string &SettingsNode::path() const
{
    return m_path;
}

SettingsNode SettingsNode::child(const std::string &key) const
{
    return {m_node[key], joinPath(m_path, key), m_file};
}

SettingsNode SettingsNode::element(std::size_t index) const
{
    return {m_node[index], m_path + "[" + std::to_string(index) + "]", m_file};
}

std::string SettingsNode::describe() const
{
    switch (m_node.Type()) {
    case YAML::NodeType::Scalar:
        return "'" + m_node.Scalar() + "'";
    case YAML::NodeType::Sequence:
        return "a list";
    case YAML::NodeType::Map:
        return "a map";
    case YAML::NodeType::Null:
    case YAML::NodeType::Undefined:
        break;
    }
    return "nothing";
}

int SettingsNode::line() const
{
    return m_node.Mark().line + 1;
}

SettingsError SettingsNode::error(const std::string &expected) const
{
    return {m_file, line(), m_path.empty() ? "(document)" : m_path, describe(), expected};
}

SettingsError SettingsNode::redactedError(const std::string &expected) const
{
    SettingsError redacted = error(expected);
    redacted.found = "a redacted value";
    return redacted;
}

SettingsError SettingsNode::missingKeyError(const std::string &key, const std::string &expected) const
{
    return {m_file, line(), joinPath(m_path, key), "nothing", expected};
}

SettingsError SettingsNode::unknownKeyError(const std::string &key, const YAML::Node &keyNode, const std::string &expected) const
{
    return {m_file, keyNode.Mark().line + 1, joinPath(m_path, key), "an unknown key", expected};
}

} // namespace Guavalock
