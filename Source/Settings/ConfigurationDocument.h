#pragma once

#include "Settings/SettingsValue.h"

#include <string>
#include <vector>

namespace Guavalock
{

/// Checks the documents of the operators' configuration tree by their paths.
///
/// Paths: organisations/NAME, data-centres/NAME, targets/NAME, teams/TEAM/pools/NAME and teams/TEAM/pipelines/NAME.
class ConfigurationDocument
{
public:
    /// Returns whether a path has one of the known forms.
    static bool isKnownPath(const std::string &path);

    /// Returns the known forms, for error messages.
    static std::string knownPaths();

    /// Returns the part of a path that is versioned as one: its first two components.
    static std::string subtree(const std::string &path);

    /// Splits a path at its slashes.
    static std::vector<std::string> components(const std::string &path);

    /// Adds an error for each thing that is wrong with the document at a path.
    static void check(const std::string &path, const SettingsNode &node, SettingsErrors &errors);
};

} // namespace Guavalock
