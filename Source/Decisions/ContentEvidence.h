#pragma once

#include "Decisions/CrashReport.h"
#include "Kernel/Clock.h"

#include <cstdint>
#include <vector>

namespace Guavalock
{

/// What daemons tell each other about content that may crash targets.
struct ContentEvidence {
    /// A target completed a response to a request with the content.
    struct Response {
        std::uint64_t content = 0;
        Clock::TimePoint at;
    };

    /// A daemon refuses requests with the content.
    struct Quarantine {
        std::uint64_t content = 0;
        Clock::TimePoint lastCrash; ///< Of a target that had the content. Later responses lift the quarantine.
        Clock::TimePoint end;
        unsigned count = 0; ///< How often the content has been in quarantine, with this time.
    };

    std::vector<CrashReport> crashes;
    std::vector<Response> responses;
    std::vector<Quarantine> quarantines;

    bool empty() const
    {
        return crashes.empty() && responses.empty() && quarantines.empty();
    }
};

} // namespace Guavalock
