#pragma once

#include "Settings/SettingsValue.h"

#include <map>
#include <optional>
#include <string>

namespace Guavalock
{

struct ProcessSettings;

/// A YAML settings file: either process settings or documents of the configuration tree keyed by path.
///
/// A file with a slash in any top-level key is a configuration file; any other file holds process settings.
class SettingsFile
{
public:
    /// Loads a file. Returns nothing and appends an error if it cannot be read or is not valid YAML.
    static std::optional<SettingsFile> load(const std::string &file, SettingsErrors &errors);

    /// Parses text; the name identifies it in error messages.
    static std::optional<SettingsFile> parse(const std::string &text, const std::string &name, SettingsErrors &errors);

    bool isConfiguration() const;

    /// Validates the file according to its kind.
    void check(SettingsErrors &errors) const;

    std::optional<ProcessSettings> process(SettingsErrors &errors) const;

    /// Validates the documents and returns them as YAML text, keyed by path.
    std::map<std::string, std::string> documents(SettingsErrors &errors) const;

    SettingsNode root() const;

private:
    explicit SettingsFile(SettingsNode root);

    SettingsNode m_root;
};

} // namespace Guavalock
