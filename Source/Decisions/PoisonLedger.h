#pragma once

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>

namespace Guavalock
{

/// Remembers requests that were in flight when their target died, by fingerprint.
///
/// One death makes a request a suspect: it is retried apart from other suspects. A second death quarantines it for a stated time.
class PoisonLedger
{
public:
    static constexpr std::size_t deathsToQuarantine = 2;

    explicit PoisonLedger(std::chrono::seconds quarantine);

    /// Notes a death and returns how many are known for the request.
    std::size_t died(std::uint64_t fingerprint, Clock::TimePoint now);

    /// Takes over what a peer knows.
    void learned(std::uint64_t fingerprint, std::size_t deaths, Clock::TimePoint now);

    bool suspect(std::uint64_t fingerprint, Clock::TimePoint now) const;
    bool quarantined(std::uint64_t fingerprint, Clock::TimePoint now) const;

    /// Forgets a suspect that has since been answered.
    void cleared(std::uint64_t fingerprint);

    /// Drops what is older than the quarantine.
    void forget(Clock::TimePoint now);

    std::size_t size() const;

private:
    struct Record {
        std::size_t deaths = 0;
        Clock::TimePoint until{};
    };

    std::size_t deaths(std::uint64_t fingerprint, Clock::TimePoint now) const;

    std::chrono::seconds m_quarantine;
    std::map<std::uint64_t, Record> m_records;
};

} // namespace Guavalock
