#pragma once

#include <string>

namespace Guavalock
{

/// One thing that is wrong with a settings file.
struct SettingsError {
    std::string file;
    int line = 0; ///< Counted from 1.
    std::string path;
    std::string found;
    std::string expected;

    /// Returns `FILE:LINE: PATH: found FOUND; expected EXPECTED`.
    std::string text() const;
};

} // namespace Guavalock
