#include "Settings/SettingsFile.h"

#include "Settings/ConfigurationDocument.h"
#include "Settings/FieldTable.h"
#include "Settings/ProcessSettings.h"

#include <yaml-cpp/yaml.h>

#include <fstream>
#include <sstream>

namespace Guavalock
{

SettingsFile::SettingsFile(SettingsNode root)
    : m_root(std::move(root))
{
}

std::optional<SettingsFile> SettingsFile::load(const std::string &file, SettingsErrors &errors)
{
    std::ifstream in(file);
    if (!in) {
        errors.push_back({file, 1, "(file)", "no readable file", "a YAML settings file; check the path and its permissions"});
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    return parse(text.str(), file, errors);
}

std::optional<SettingsFile> SettingsFile::parse(const std::string &text, const std::string &name, SettingsErrors &errors)
{
    try {
        return SettingsFile(SettingsNode(YAML::Load(text), "", name));
    } catch (const YAML::Exception &e) {
        errors.push_back({name, e.mark.line + 1, "(document)", "invalid YAML (" + e.msg + ")", "valid YAML"});
        return std::nullopt;
    }
}

bool SettingsFile::isConfiguration() const
{
    if (!m_root.yaml().IsMap()) {
        return false;
    }
    for (const auto &it : m_root.yaml()) {
        if (it.first.IsScalar() && it.first.Scalar().find('/') != std::string::npos) {
            return true;
        }
    }
    return false;
}

void SettingsFile::check(SettingsErrors &errors) const
{
    if (isConfiguration()) {
        documents(errors);
    } else {
        process(errors);
    }
}

std::optional<ProcessSettings> SettingsFile::process(SettingsErrors &errors) const
{
    ProcessSettings settings;
    if (!readSetting(m_root, settings, errors)) {
        return std::nullopt;
    }
    return settings;
}

std::map<std::string, std::string> SettingsFile::documents(SettingsErrors &errors) const
{
    std::map<std::string, std::string> texts;
    for (const auto &it : m_root.yaml()) {
        const std::string path = it.first.Scalar();
        ConfigurationDocument::check(path, m_root.child(path), errors);
        texts[path] = YAML::Dump(it.second);
    }
    return texts;
}

SettingsNode SettingsFile::root() const
{
    return m_root;
}

} // namespace Guavalock
