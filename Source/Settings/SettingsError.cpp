#include "Settings/SettingsError.h"

namespace Guavalock
{

std::string SettingsError::text() const
{
    return file + ":" + std::to_string(line) + ": " + path + ": found " + found + "; expected " + expected;
}

} // namespace Guavalock
