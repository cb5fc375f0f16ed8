#pragma once

#include "Settings/SettingsValue.h"

#include <map>
#include <optional>
#include <string>

namespace Guavalock
{

struct ProcessSettings;

/// Reads settings files: the settings of a process, or documents of the configuration tree by path.
///
/// A file whose top-level keys hold slashes is a configuration file; any other is a process settings file.
class SettingsFile
{
public:
    /// Loads a file. Returns nothing, with errors, when it cannot be read or is not valid YAML.
    static std::optional<SettingsFile> load(const std::string &file, SettingsErrors &errors);

    /// Reads from text; the name stands in errors.
    static std::optional<SettingsFile> parse(const std::string &text, const std::string &name, SettingsErrors &errors);

    bool isConfiguration() const;

    /// Checks the file as whichever kind it is.
    void check(SettingsErrors &errors) const;

    std::optional<ProcessSettings> process(SettingsErrors &errors) const;

    /// Returns the checked documents by path, each as YAML text.
    std::map<std::string, std::string> documents(SettingsErrors &errors) const;

    SettingsNode root() const;

private:
    explicit SettingsFile(SettingsNode root);

    SettingsNode m_root;
};

} // namespace Guavalock
