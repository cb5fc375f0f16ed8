#pragma once

#include <cstdint>
#include <string>

namespace Guavalock
{

/// Settings of the real program, as a process beside a SiteFleet, whose store it uses.
class ProgramSettings
{
public:
    static constexpr std::uint16_t callerPort = 8'600;
    static constexpr std::uint16_t readinessPort = 8'601;
    static constexpr std::uint16_t metricsPort = 9'464; ///< Of the deploy file.

    /// Returns the text of the settings file. The grace period is 8 s.
    static std::string text(const std::string &vm);
};

} // namespace Guavalock
