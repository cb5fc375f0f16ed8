#pragma once

#include "Kernel/Clock.h"
#include "Rollout/VersionVerdict.h"

#include <cstdint>
#include <optional>

namespace Guavalock
{

/// Takes a verdict *bad* for true only if bad responses keep coming.
///
/// A new version has few targets, so that the crash of one or two of them, for whatever reason, may fail much of what was sent until then.
/// After it, no further responses are bad.
class VerdictConfirmation
{
public:
    static constexpr std::chrono::milliseconds confirmationTime{500}; ///< Two intervals of evidence.
    static constexpr std::uint64_t moreBad = 4; ///< Bad responses in that time. A bad version has ten and more.
    static constexpr std::uint64_t enoughBad = 50; ///< By which the users' rule requires the verdict.

    /// Returns the verdict with *not enough seen* in place of *bad* until that is confirmed. The count is that of all bad responses.
    VersionVerdict confirm(VersionVerdict verdict, std::uint64_t badResponses, Clock::TimePoint now);

private:
    struct Suspicion {
        Clock::TimePoint since;
        std::uint64_t badResponses = 0;
    };

    std::optional<Suspicion> m_suspicion;
};

} // namespace Guavalock
