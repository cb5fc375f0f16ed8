#pragma once

#include <string>

namespace Guavalock
{

/// A validation error in a settings file.
struct SettingsError {
    std::string file;
    int line = 0; ///< 1-based.
    std::string path;
    std::string found;
    std::string expected;

    /// Returns `FILE:LINE: PATH: found FOUND; expected EXPECTED`.
    std::string text() const;
};

} // namespace Guavalock
