#pragma once

#include "Fleet/AttemptReport.h"
#include "Fleet/VersionPlan.h"
#include "Kernel/Clock.h"

#include <cstdint>
#include <string>

namespace Guavalock
{

struct TargetRequirements;

/// Decides which versions of a service a request may be sent to, and observes the attempts. Called with the lock of FleetTable held, so an
/// implementation may only take locks of a higher rank.
class VersionFilter
{
public:
    /// An attempt that is about to be sent.
    struct Attempt {
        const std::string &service;
        const std::string &route; ///< Empty for calls to stage services.
        const std::string &version;
        bool isRepetition = false;
        bool isCold = false; ///< Whether the target is cold, so that its response says little about its version.
    };

    virtual ~VersionFilter() = default;

    /// A target of the version is known.
    virtual void recordVersion(const std::string &service, const std::string &version, Clock::TimePoint now) = 0;

    /// Returns the versions that a request may be sent to. Counts nothing.
    virtual VersionPlan plan(const TargetRequirements &requirements, Clock::TimePoint now) = 0;

    /// Counts an attempt. Returns its number, or zero if the attempt isn't observed.
    virtual std::uint64_t recordSend(const Attempt &attempt, Clock::TimePoint now) = 0;

    /// The response to an attempt has started.
    virtual void recordResponseStart(std::uint64_t attempt, Clock::TimePoint now) = 0;

    virtual void recordEnd(std::uint64_t attempt, AttemptReport::Outcome outcome, Clock::TimePoint now) = 0;
};

} // namespace Guavalock
