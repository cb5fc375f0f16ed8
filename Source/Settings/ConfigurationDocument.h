#pragma once

#include "Settings/SettingsValue.h"

#include <string>
#include <vector>

namespace Guavalock
{

/// Validates documents of the operators' configuration tree; the path determines the document type.
///
/// Paths: organisations/NAME, data-centres/NAME, targets/NAME, teams/TEAM/pools/NAME and teams/TEAM/pipelines/NAME.
class ConfigurationDocument
{
public:
    /// Returns whether a path matches one of the forms above.
    static bool isKnownPath(const std::string &path);

    /// Returns a comma-separated list of the path forms, for error messages.
    static std::string knownPaths();

    /// Returns the subtree of a path, the unit of versioning: its first two components.
    static std::string subtree(const std::string &path);

    /// Splits a path at slashes.
    static std::vector<std::string> components(const std::string &path);

    /// Appends an error for each problem found in the document at a path.
    static void check(const std::string &path, const SettingsNode &node, SettingsErrors &errors);
};

} // namespace Guavalock
